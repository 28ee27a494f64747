"""When a region's cell moves tickets to other regions, and when it requests theirs."""

import random
import unittest
from dataclasses import replace

from railsail.core.outcomes import Reason
from railsail.scheduling.cells import Cell
from railsail.scheduling.decisions import Decision, Grant, Move, Refusal
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.fairqueue import FairQueue
from railsail.scheduling.overflow import (
    MAX_REQUESTED_TICKETS,
    MIN_WAITED_SECONDS,
    OFFER_LIFETIME_SECONDS,
    OVERLOAD_LINGER_SECONDS,
    REPORT_INTERVAL_SECONDS,
    REQUEST_INTERVAL_SECONDS,
    WAY_SECONDS,
    Overflow,
)
from railsail.scheduling.tickets import Ticket

NORTH = Cell("model", 0, 3, "north")
SOUTH = Cell("model", 1, 3, "south")
WEST = Cell("model", 2, 3, "west")
NOW = 100.0


def ticket(number: int, waited: float = 0.05, workspace: str = "one", **more) -> Ticket:
    values = {"patience": 0.2, **more}
    return Ticket("entry", number, 1, workspace, 0.0, 1.0, NOW - waited, **values)


def queue(*tickets: Ticket) -> FairQueue:
    built = FairQueue(lambda workspace: 1.0)
    for each in tickets:
        built.push(each)
    return built


class ReportTests(unittest.TestCase):
    def setUp(self):
        self.overflow = Overflow()

    def test_cell_that_was_never_overloaded_reports_nothing(self):
        self.assertIsNone(self.overflow.news(5, NOW))

    def test_overload_is_reported_and_repeated_while_it_lasts(self):
        self.overflow.record_overload(NOW)
        self.assertEqual(self.overflow.news(5, NOW), 5)
        self.assertIsNone(self.overflow.news(7, NOW + 0.1))
        self.overflow.record_overload(NOW + REPORT_INTERVAL_SECONDS)
        self.assertEqual(self.overflow.news(7, NOW + 1.1 * REPORT_INTERVAL_SECONDS), 7)

    def test_overload_is_reported_where_all_is_refused_and_nothing_waits(self):
        self.overflow.record_overload(NOW)
        self.assertEqual(self.overflow.news(0, NOW), 1)

    def test_end_of_an_overload_is_reported_once(self):
        self.overflow.record_overload(NOW)
        self.overflow.news(5, NOW)
        self.assertIsNone(self.overflow.news(0, NOW + 0.5 * OVERLOAD_LINGER_SECONDS))
        self.assertEqual(self.overflow.news(0, NOW + 1.1 * OVERLOAD_LINGER_SECONDS), 0)
        self.assertIsNone(self.overflow.news(0, NOW + 2 * OVERLOAD_LINGER_SECONDS))


class RequestTests(unittest.TestCase):
    def setUp(self):
        self.overflow = Overflow()

    def request(self, waiting: int, spare_slots: int, now: float = NOW) -> tuple[Cell, int] | None:
        return (
            self.overflow.tickets_to_request(waiting, spare_slots, now)
            if self.overflow.can_request(now)
            else None
        )

    def test_cell_that_is_not_overloaded_is_sent_no_request(self):
        self.assertIsNone(self.request(0, 50))
        self.overflow.told(SOUTH, 0, NOW)
        self.assertIsNone(self.request(0, 50))

    def test_longest_queue_is_sent_a_request_for_the_spare_capacity(self):
        self.overflow.told(SOUTH, 3, NOW)
        self.overflow.told(WEST, 9, NOW)
        self.assertEqual(self.request(0, 8), (WEST, 8))

    def test_own_waiting_tickets_reduce_the_request(self):
        self.overflow.told(SOUTH, 3, NOW)
        self.assertEqual(self.request(5, 8), (SOUTH, 3))
        self.assertIsNone(self.request(8, 8))

    def test_requests_are_bounded_in_size_and_rate(self):
        self.overflow.told(SOUTH, 3, NOW)
        self.assertEqual(self.request(0, 500), (SOUTH, MAX_REQUESTED_TICKETS))
        self.assertIsNone(self.request(0, 500, NOW + 0.5 * REQUEST_INTERVAL_SECONDS))
        self.assertIsNotNone(self.request(0, 500, NOW + 1.1 * REQUEST_INTERVAL_SECONDS))

    def test_overloaded_cell_sends_no_request(self):
        self.overflow.told(SOUTH, 3, NOW)
        self.overflow.record_overload(NOW)
        self.assertIsNone(self.request(0, 500))

    def test_report_that_is_not_repeated_expires(self):
        self.overflow.told(SOUTH, 3, NOW)
        self.assertIsNone(self.request(0, 500, NOW + 2.1 * REPORT_INTERVAL_SECONDS))


class MoveTests(unittest.TestCase):
    def setUp(self):
        self.overflow = Overflow()

    def moved(self, waiting: FairQueue, now: float = NOW) -> list[int]:
        return [ticket.number for ticket, _ in self.overflow.pop_moved(waiting, now)]

    def test_no_ticket_moves_without_an_offer(self):
        self.assertEqual(self.moved(queue(ticket(1))), [])

    def test_no_more_tickets_move_than_were_requested(self):
        waiting = queue(*(ticket(number) for number in range(5)))
        self.overflow.offered(SOUTH, 2, NOW)
        self.assertEqual(len(self.moved(waiting)), 2)
        self.assertEqual(len(waiting), 3)
        self.assertEqual(self.moved(waiting), [])

    def test_offer_of_an_overloaded_cell_ends_until_it_offers_again(self):
        self.overflow.offered(SOUTH, 9, NOW)
        self.overflow.told(SOUTH, 3, NOW)
        self.assertIsNone(self.overflow.use_offer(ticket(1), NOW))
        self.overflow.offered(SOUTH, 9, NOW)
        self.assertEqual(self.overflow.use_offer(ticket(1), NOW), SOUTH)

    def test_offer_expires(self):
        self.overflow.offered(SOUTH, 2, NOW - 0.5 * OFFER_LIFETIME_SECONDS)
        self.assertEqual(self.moved(queue(ticket(1))), [1])
        self.assertEqual(self.moved(queue(ticket(2)), now=NOW + OFFER_LIFETIME_SECONDS), [])

    def test_ticket_that_would_expire_during_the_move_stays(self):
        self.overflow.offered(SOUTH, 2, NOW)
        late = ticket(1, waited=0.2 - 0.9 * WAY_SECONDS)
        self.assertEqual(self.moved(queue(late, ticket(2, waited=0.1))), [2])

    def test_ticket_without_a_maximum_wait_moves(self):
        self.overflow.offered(SOUTH, 2, NOW)
        self.assertEqual(self.moved(queue(ticket(1, waited=9.0, patience=0.0))), [1])

    def test_ticket_that_has_just_arrived_stays(self):
        self.overflow.offered(SOUTH, 2, NOW)
        self.assertEqual(self.moved(queue(ticket(1, waited=0.5 * MIN_WAITED_SECONDS))), [])

    def test_ticket_moves_only_to_its_allowed_regions(self):
        self.overflow.offered(SOUTH, 9, NOW)
        waiting = queue(ticket(1, regions=("west",)), ticket(2, regions=("west", "south")))
        self.assertEqual(self.moved(waiting), [2])

    def test_tickets_of_the_workspace_served_last_move_first(self):
        waiting = queue(ticket(1, workspace="small"), ticket(2, workspace="large"))
        waiting.charge("large", 100.0)
        self.overflow.offered(SOUTH, 1, NOW)
        self.assertEqual(self.moved(waiting), [2])


class BackAndForthTests(unittest.TestCase):
    """Two full cells, each of which has just requested tickets from the other."""

    def setUp(self):
        self.cells = {NORTH: self.full(), SOUTH: self.full()}
        self.cells[NORTH].overflow.offered(SOUTH, MAX_REQUESTED_TICKETS, NOW)
        self.cells[SOUTH].overflow.offered(NORTH, MAX_REQUESTED_TICKETS, NOW)

    def full(self) -> CellDispatcher:
        """Return a cell that grants no more tickets of workspace ``one``."""
        cell = CellDispatcher(
            lambda workspace: 1.0, random.Random(1), fair_window=4.0, overflow=Overflow()
        )
        cell.set_replicas({"r": 1})
        for number, workspace in ((1, "one"), (2, "one"), (3, "other")):
            cell.offer(ticket(number, 0.3, workspace, patience=0.25), NOW - 0.1)
        cell.pump(NOW)
        return cell

    def moves(self, placed: Ticket) -> int:
        """Return how many times ``placed``, whose entry is in the north, is moved from there."""
        at, other, now = NORTH, SOUTH, NOW
        for count in range(MAX_REQUESTED_TICKETS):
            (decision,) = self.cells[at].put(placed, now)
            self.report(other, at, now)
            if not isinstance(decision, Move):
                return count
            waited = now - placed.enqueued_at + (WAY_SECONDS if at == NORTH else 0.0)
            now += WAY_SECONDS / 2
            placed = replace(placed, enqueued_at=now - waited)
            at, other = other, at
        return MAX_REQUESTED_TICKETS

    def report(self, source: Cell, target: Cell, now: float) -> None:
        """Report the overload of ``source`` to ``target``, behind any ticket of the same time."""
        waiting = self.cells[source].overflow.news(0, now)
        if waiting is not None:
            self.cells[target].overflow.told(source, waiting, now)

    def test_ticket_does_not_move_back_and_forth(self):
        # On its first return it meets the report that this cell is full.
        self.assertLessEqual(self.moves(ticket(9, waited=0.0)), 3)


class DispatcherTests(unittest.TestCase):
    """A cell of one replica with one slot, and an offer of another region."""

    def setUp(self):
        self.cell = CellDispatcher(
            lambda workspace: 1.0, random.Random(1), fair_window=4.0, overflow=Overflow()
        )
        self.cell.set_replicas({"r": 1})

    def moved(self, decisions: list[Decision]) -> list[int]:
        return [d.ticket.number for d in decisions if isinstance(d, Move)]

    def fill(self) -> None:
        """Grant what the replica takes: a call in its slot, and one in its queue."""
        for number in (1, 2):
            (grant,) = self.cell.offer(ticket(number), NOW)
            self.assertIsInstance(grant, Grant)

    def test_ticket_that_can_start_here_stays(self):
        self.cell.overflow.offered(SOUTH, 9, NOW)
        self.fill()

    def test_ticket_that_cannot_start_here_moves(self):
        self.fill()
        self.cell.overflow.offered(SOUTH, 9, NOW)
        self.assertEqual(self.moved(self.cell.offer(ticket(3), NOW)), [3])
        self.assertEqual(len(self.cell.queue), 0)

    def test_ticket_without_an_offer_waits_and_the_overload_is_reported(self):
        self.fill()
        self.assertEqual(self.cell.offer(ticket(3), NOW), [])
        self.assertEqual(self.cell.overflow.news(len(self.cell.queue), NOW), 1)

    def test_excess_ticket_is_moved_rather_than_refused(self):
        """Guards against refusals of excess tickets while replicas elsewhere are idle."""
        self.fill()
        self.cell.offer(ticket(3, workspace="other"), NOW)
        (expired,) = self.cell.pump(NOW + 0.3)
        self.assertEqual(expired.reason, Reason.EXPIRED)
        late = ticket(4, waited=-0.3)
        self.assertEqual([type(d) for d in self.cell.put(late, NOW + 0.3)], [Refusal])
        self.cell.overflow.offered(SOUTH, 1, NOW + 0.3)
        self.assertEqual(self.moved(self.cell.put(late, NOW + 0.3)), [4])

    def test_cell_with_spare_replicas_requests_tickets(self):
        self.cell.overflow.told(SOUTH, 3, NOW)
        self.assertEqual(self.cell.wanted(NOW), (SOUTH, 1))

    def test_fleet_of_one_region_moves_no_tickets(self):
        plain = CellDispatcher(lambda workspace: 1.0, random.Random(1))
        plain.set_replicas({"r": 1})
        decisions = [d for number in range(9) for d in plain.offer(ticket(number), NOW)]
        self.assertEqual(self.moved(decisions), [])
        self.assertIsNone(plain.wanted(NOW))


if __name__ == "__main__":
    unittest.main()
