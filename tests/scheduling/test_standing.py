"""A workspace that requests less than its share is served beside one that requests far more.

Guards against refusals of the smaller workspace. In one case it requested 0.5 million tokens a
second over six seconds and was served 0.23 million, beside a workspace that requested several times
as much and was served 1.29 million. In another, 114 of its 350 requests were refused after their
maximum wait, and 77 as excess.

All slots of the cell were in use: 173 to 192 calls in flight, with 180 slots and 15 more calls that
may be queued. A slot became free every 15 ms or so, and a request waits for one for a fifth of its
objective, 50 to 80 ms. The fair queue decides only among waiting tickets. The larger workspace had
dozens of them at any moment, while the smaller one seldom had one when a slot became free.
"""

import random
import unittest

from railsail.scheduling.decisions import Grant
from railsail.scheduling.dispatcher import CellDispatcher
from tests.scheduling.test_fairqueue import ticket

STEP_SECONDS = 0.005
# How long a call uses its slot, and when its answer starts.
CALL_SECONDS = 2.0
ANSWER_SECONDS = 0.05
REPLICAS = 4
SLOTS = 12
MAX_WAIT_SECONDS = 0.06
SECONDS = 20.0
# Requests are counted from this time.
COUNTED_FROM_SECONDS = 6.0


class SimulatedCell:
    """A cell with calls of fixed length, and callers that send requests at fixed rates."""

    def __init__(self, slots: int = SLOTS, window: float = 4.0) -> None:
        self.dispatcher = CellDispatcher(lambda name: 1.0, random.Random(1), fair_window=window)
        self.dispatcher.set_replicas({f"r{number}": slots for number in range(REPLICAS)})
        self.requested: dict[str, int] = {}
        self.served: dict[str, int] = {}
        self._running: list[tuple[float, tuple[str, int]]] = []
        self._starting: list[tuple[float, tuple[str, int]]] = []
        self._number = 0
        self._due: dict[str, float] = {}

    def run(self, rates: dict[str, float]) -> None:
        """Send the requests of each workspace at its rate, in requests per second."""
        now = 0.0
        while now < SECONDS:
            now += STEP_SECONDS
            self._advance(now)
            for workspace, rate in rates.items():
                self._due[workspace] = self._due.get(workspace, 0.0) + rate * STEP_SECONDS
                while self._due[workspace] >= 1.0:
                    self._due[workspace] -= 1.0
                    self._send_request(workspace, now)
            self._record_grants(self.dispatcher.pump(now), now)

    def _send_request(self, workspace: str, now: float) -> None:
        self._number += 1
        if now > COUNTED_FROM_SECONDS:
            self.requested[workspace] = self.requested.get(workspace, 0) + 1
        sent = ticket(self._number, workspace, patience=MAX_WAIT_SECONDS, enqueued_at=now)
        self._record_grants(self.dispatcher.put(sent, now), now)

    def _record_grants(self, decisions: list, now: float) -> None:
        for decision in decisions:
            if not isinstance(decision, Grant):
                continue
            key = decision.ticket.key
            self._running.append((now + CALL_SECONDS, key))
            self._starting.append((now + ANSWER_SECONDS, key))
            if now > COUNTED_FROM_SECONDS:
                workspace = decision.ticket.workspace
                self.served[workspace] = self.served.get(workspace, 0) + 1

    def _advance(self, now: float) -> None:
        while self._starting and self._starting[0][0] <= now:
            self.dispatcher.answered(self._starting.pop(0)[1], now)
        while self._running and self._running[0][0] <= now:
            self.dispatcher.release(self._running.pop(0)[1], 10.0, now)


class SmallWorkspaceTests(unittest.TestCase):
    def served_share(self, rates: dict[str, float], workspace: str) -> float:
        cell = SimulatedCell()
        cell.run(rates)
        return cell.served[workspace] / cell.requested[workspace]

    def test_small_workspace_is_served_beside_an_overloading_one(self):
        # The cell serves 24 requests per second: 8 are a third of them.
        self.assertGreater(self.served_share({"flood": 300.0, "light": 8.0}, "light"), 0.95)

    def test_small_workspaces_are_served_beside_two_overloading_ones(self):
        rates = {"one": 200.0, "two": 100.0, "light": 4.0, "lighter": 2.0}
        for workspace in ("light", "lighter"):
            with self.subTest(workspace=workspace):
                self.assertGreater(self.served_share(rates, workspace), 0.95)

    def test_overloading_workspace_uses_what_others_leave(self):
        cell = SimulatedCell()
        cell.run({"flood": 300.0, "light": 2.0})
        seconds = SECONDS - COUNTED_FROM_SECONDS
        capacity = REPLICAS * SLOTS / CALL_SECONDS
        self.assertGreater(sum(cell.served.values()) / seconds, 0.85 * capacity)

    def test_single_workspace_uses_the_whole_cell(self):
        cell = SimulatedCell()
        cell.run({"flood": 300.0})
        capacity = REPLICAS * SLOTS / CALL_SECONDS
        self.assertGreater(cell.served["flood"] / (SECONDS - COUNTED_FROM_SECONDS), 0.9 * capacity)

    def test_no_workspace_is_limited_without_a_window(self):
        cell = SimulatedCell(window=0.0)
        cell.run({"flood": 300.0})
        capacity = REPLICAS * SLOTS / CALL_SECONDS
        self.assertGreater(cell.served["flood"] / (SECONDS - COUNTED_FROM_SECONDS), 0.95 * capacity)

    def test_all_slots_of_small_replicas_are_used(self):
        for slots in (1, 2, 6):
            with self.subTest(slots=slots):
                cell = SimulatedCell(slots)
                cell.run({"flood": 300.0})
                capacity = REPLICAS * slots / CALL_SECONDS
                seconds = SECONDS - COUNTED_FROM_SECONDS
                self.assertGreater(cell.served["flood"] / seconds, 0.9 * capacity)


if __name__ == "__main__":
    unittest.main()
