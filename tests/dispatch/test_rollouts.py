"""Rollouts at one node: allowances to its cells, evidence sent back, and checks of grants."""

import random
import unittest

from railsail.core.clock import Clock
from railsail.core.events import EventLog, Kind
from railsail.core.fingerprints import route_fingerprint
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.dispatch.bookings import PoolRequest, to_place, to_ticket
from railsail.dispatch.cellmap import CellMap
from railsail.dispatch.entry import TicketClient
from railsail.dispatch.gate import SendGate
from railsail.dispatch.replicas import CellReplicas, FleetBounds
from railsail.dispatch.rollouts import COORDINATOR_TIMEOUT_SECONDS, RolloutDispatch
from railsail.dispatch.service import DispatcherService
from railsail.objects.catalog import Catalog
from railsail.peers.link import Identity
from railsail.peers.messages import (
    Begun,
    Granted,
    Place,
    Release,
    Resync,
    RolloutAllowance,
    RolloutEvidence,
)
from railsail.peers.records import FlightRecord
from railsail.rollouts.orders import Order
from railsail.rollouts.stages import Stage
from railsail.scheduling.cells import Cell
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.newversions import HOLD_SECONDS
from railsail.store.base import WatchEvent
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.rests import ReplicaBackoffs

OWN, ENTRY, COORDINATOR = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
CELL = Cell("model", 0, 1)
MANY = 1 << 40
START = 1000.0


class SteppedClock(Clock):
    """A clock that tests advance."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class Hub:
    """Records the messages sent, and delivers messages of tests to the handlers."""

    def __init__(self) -> None:
        self.own = Identity(OWN, 1)
        self.handlers = {}
        self.sent: list[tuple[str, object]] = []

    def handle(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def on_up(self, listener) -> None:
        pass

    def on_down(self, listener) -> None:
        pass

    def last_heard(self, node: str) -> float:
        return START

    def connected(self, node: str) -> bool:
        return True

    def send(self, node: str, message) -> bool:
        self.sent.append((node, message))
        return True

    def deliver(self, node: str, message) -> None:
        self.handlers[type(message)](node, message)

    def pop_sent(self, kind) -> list:
        """Remove the sent messages of type ``kind``, and return them."""
        found = [message for _, message in self.sent if isinstance(message, kind)]
        self.sent = [pair for pair in self.sent if not isinstance(pair[1], kind)]
        return found


class Registry:
    """A rollout registry that tests set."""

    def __init__(self) -> None:
        self.order: Order | None = None
        self.stopped_versions: set[str] = set()
        self._listeners = []

    def running(self, service: str) -> Order | None:
        return self.order if self.order is not None and self.order.service == service else None

    def takes_work(self, service: str, software_version: str) -> bool:
        return software_version not in self.stopped_versions

    def on_change(self, listener) -> None:
        self._listeners.append(listener)

    def set(self, order: Order | None, *stopped_versions: str) -> None:
        self.order = order
        self.stopped_versions = set(stopped_versions)
        for listener in self._listeners:
            listener()


class Loads:
    """Load reports of replicas that report nothing."""

    def on_report(self, listener) -> None:
        pass

    def poll(self, cell, dispatcher) -> None:
        pass


class Trials:
    """Trials of a fleet in which no request crashes replicas."""

    def undecided(self, fingerprints) -> bool:
        return False

    def refusal_seconds(self, dispatcher, ticket) -> float:
        return 0.0

    def ended(self, flight, result) -> None:
        pass


class RolloutCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = SteppedClock()
        self.kernel = Kernel(self.clock, random.Random(1), EventLog(OWN, self.clock), Metrics())
        self.hub = Hub()
        self.registry = Registry()
        self.directory = UpstreamDirectory(
            lambda *args: None, self.kernel.events, self.clock.monotonic, self.clock.wall
        )
        self.cells = CellMap(OWN, self.directory, lambda: [OWN], 64, local=True)
        self.replicas = CellReplicas(self.cells, self.directory, Catalog, FleetBounds(), self.clock)
        self.dispatchers = DispatcherService(
            self.cells,
            self.replicas,
            Catalog,
            Loads(),
            self.hub,
            self.kernel,
            True,
            0.0,
            Trials(),
        )
        self.directory.on_change(self.dispatchers.renew_replicas)
        self.tickets = TicketClient(self.cells, self.hub, self.kernel)
        self.backoffs = ReplicaBackoffs()
        self.gate = SendGate(self.directory, self.backoffs, {}, self.hub, self.kernel)
        self.rollouts = RolloutDispatch(
            self.registry, self.directory, self.dispatchers, self.tickets, self.hub, self.kernel
        )
        self.revision = 0
        self.number = 0
        self.serial = 0
        for number in range(2):
            self.list_replica(f"old{number}", "v1")

    def list_replica(self, name: str, version: str) -> None:
        self.revision += 1
        record = {
            "pool": "model",
            "endpoint": "127.0.0.1:9",
            "failure_domain": "a",
            "state": "live",
            "slots": 8,
            "born": round(self.clock.now * 1000),
            "software_version": version,
        }
        self.directory.seen(WatchEvent("upstream", name, self.revision, record))

    def order(self, version: int = 7) -> None:
        self.registry.set(Order("model", version, "v2", 12.0))
        for number in range(2):
            self.list_replica(f"new{number}", "v2")

    def allow(self, stage: Stage, calls: int = MANY, term: int = 1, version: int = 7) -> None:
        self.serial += 1
        message = RolloutAllowance(
            "model", 0, version, term, self.serial, int(stage), calls, 1000, ["new0"]
        )
        self.hub.deliver(COORDINATOR, message)

    def place(self, route: int = 0) -> str:
        """Place a ticket, and return the granted replica, or an empty string if there is none."""
        self.number += 1
        request = PoolRequest(f"r-{self.number}", "model", "one", 0.0, 10.0, False, route=route)
        self.hub.deliver(ENTRY, to_place(request, self.number, 1, CELL, 0.0))
        return next((grant.replica for grant in self.hub.pop_sent(Granted)), "")

    def end(self, result: CallResult = CallResult.GOOD) -> None:
        self.hub.deliver(ENTRY, Release(self.number, 1, 10, int(result)))

    def serve(self, count: int, route: int = 0) -> dict[str, int]:
        """Serve ``count`` calls one after the other, and return how many each version got."""
        served = {"old": 0, "new": 0, "": 0}
        for _ in range(count):
            served[self.place(route)[:3]] += 1
            self.end()
        return served

    def evidence(self) -> RolloutEvidence:
        return self.hub.pop_sent(RolloutEvidence)[-1]


class AllowanceTests(RolloutCase):
    async def test_target_gets_no_calls_before_an_allowance(self):
        self.order()
        self.assertEqual(self.serve(40), {"old": 40, "new": 0, "": 0})

    async def test_allowance_moves_calls_until_it_expires(self):
        self.order()
        self.allow(Stage.SHIFT)
        self.assertEqual(self.serve(40)["new"], 40)
        self.clock.now += 1.0
        self.assertEqual(self.serve(40)["old"], 40)

    async def test_allowance_of_an_older_term_is_ignored(self):
        self.order()
        self.allow(Stage.HOLD, 0, term=2)
        self.allow(Stage.SHIFT, term=1)
        self.assertEqual(self.serve(40)["new"], 0)

    async def test_allowance_of_another_order_is_ignored(self):
        self.order()
        self.allow(Stage.SHIFT, version=6)
        self.assertEqual(self.serve(40)["new"], 0)
        self.assertEqual(self.hub.pop_sent(RolloutEvidence), [])

    async def test_allowance_for_an_unknown_cell_applies_to_no_other_cell(self):
        self.order()
        message = RolloutAllowance("model", 3, 7, 1, 1, int(Stage.SHIFT), MANY, 1000, [])
        self.hub.deliver(COORDINATOR, message)
        self.assertEqual(self.serve(40)["new"], 0)

    async def test_allowance_does_not_outlive_its_order(self):
        self.order()
        self.allow(Stage.SHIFT)
        self.order(version=9)
        self.assertEqual(self.serve(40)["new"], 0)

    async def test_dispatcher_created_by_an_allowance_sends_exactly_its_calls(self):
        self.order()
        self.assertEqual(self.dispatchers.dispatchers(), {})
        self.allow(Stage.CANARY, 3)
        served = {"old": 0, "new": 0}
        for _ in range(60):
            self.clock.now += 0.01
            served[self.place()[:3]] += 1
            self.end()
        self.assertEqual(served["new"], 3)

    async def test_in_flight_call_of_an_earlier_dispatcher_counts_as_exposed(self):
        self.order()
        flights = [FlightRecord(n, 1, "one", "new0", 10, 100, 1, 0) for n in (901, 902)]
        self.hub.deliver(ENTRY, Resync("model", 0, [], flights, []))
        self.allow(Stage.CANARY, 3)
        self.assertEqual(self.evidence().exposed, 2)
        self.assertEqual(self.serve(1)["new"], 1)
        self.assertEqual(self.serve(40)["new"], 0)

    async def test_rollback_stops_calls_despite_an_allowance(self):
        self.order()
        self.allow(Stage.SHIFT)
        self.registry.set(None, "v2")
        self.assertEqual(self.serve(40), {"old": 40, "new": 0, "": 0})

    async def test_success_stops_calls_to_other_versions(self):
        self.order()
        self.registry.set(None, "v1")
        self.assertEqual(self.serve(40), {"old": 0, "new": 40, "": 0})


class NewVersionTests(RolloutCase):
    async def test_version_without_an_order_gets_no_calls_for_a_moment(self):
        self.clock.now += 10.0
        self.list_replica("new0", "v2")
        self.assertEqual(self.serve(40)["new"], 0)
        self.clock.now += HOLD_SECONDS
        self.assertGreater(self.serve(40)["new"], 5)

    async def test_order_that_arrives_within_the_hold_keeps_calls_away(self):
        self.clock.now += 10.0
        self.list_replica("new0", "v2")
        self.clock.now += HOLD_SECONDS / 2
        self.order()
        self.clock.now += HOLD_SECONDS
        self.assertEqual(self.serve(40)["new"], 0)


class NoRolloutsTests(unittest.TestCase):
    def test_no_version_is_held_if_rollouts_are_not_followed(self):
        clock = SteppedClock()
        directory = UpstreamDirectory(
            lambda *args: None, EventLog(OWN, clock), clock.monotonic, clock.wall
        )
        cells = CellMap(OWN, directory, lambda: [OWN], 64, local=True)
        replicas = CellReplicas(cells, directory, Catalog, FleetBounds(), clock)
        dispatcher = CellDispatcher(lambda workspace: 1.0, random.Random(1))
        for number, version in enumerate(("v1", "v2"), start=1):
            record = {"pool": "model", "endpoint": "127.0.0.1:9", "failure_domain": "a"}
            record |= {"state": "live", "software_version": version}
            directory.seen(WatchEvent("upstream", version, number, record))
            replicas.update(CELL, dispatcher)
        self.assertTrue(all(each.serves(clock.now) for each in dispatcher.replicas.values()))


class EvidenceTests(RolloutCase):
    async def test_evidence_is_sent_on_an_allowance_and_then_periodically(self):
        self.order()
        self.allow(Stage.CANARY, 20)
        self.assertEqual(self.hub.sent[-1][0], COORDINATOR)
        self.assertEqual(self.evidence().arrivals, 0)
        self.serve(10)
        self.rollouts.send_all_evidence()
        self.assertEqual(self.evidence().arrivals, 10)

    async def test_coordinator_that_timed_out_is_sent_no_evidence(self):
        self.order()
        self.allow(Stage.CANARY, 20)
        self.hub.sent.clear()
        self.clock.now += COORDINATOR_TIMEOUT_SECONDS + 0.1
        self.rollouts.send_all_evidence()
        self.assertEqual(self.hub.sent, [])

    async def test_no_evidence_is_sent_of_an_ended_order(self):
        self.order()
        self.allow(Stage.CANARY, 20)
        self.hub.sent.clear()
        self.registry.set(None, "v2")
        self.rollouts.send_all_evidence()
        self.assertEqual(self.hub.pop_sent(RolloutEvidence), [])

    async def test_evidence_has_sums_by_route_and_version(self):
        self.order()
        self.allow(Stage.CANARY, 4)
        for step in range(20):
            replica = self.place(route=5)
            self.clock.now += 0.010
            self.hub.deliver(ENTRY, Begun(self.number, 1))
            self.clock.now += 0.010
            bad = replica.startswith("new")
            self.end(CallResult.ERROR if bad and step % 2 else CallResult.GOOD)
        self.rollouts.send_all_evidence()
        evidence = self.evidence()
        self.assertEqual((evidence.term, evidence.exposed, evidence.arrivals), (1, 4, 20))
        sums = {(t.route, t.software_version, t.replica): t for t in evidence.tallies}
        self.assertEqual(set(sums), {(5, "v1", ""), (5, "v2", "new0")})
        self.assertEqual((sums[5, "v2", "new0"].answers, sums[5, "v1", ""].answers), (4, 16))
        self.assertEqual(sums[5, "v2", "new0"].failed, 2)
        self.assertEqual(sum(sums[5, "v1", ""].first), 16)

    async def test_running_counts_in_flight_calls_on_other_versions(self):
        self.order()
        self.place()
        self.place()
        self.allow(Stage.SHIFT)
        self.place()
        self.rollouts.send_all_evidence()
        self.assertEqual(self.evidence().running, 2)


class RouteTests(unittest.TestCase):
    def test_route_is_passed_from_the_request_to_the_ticket(self):
        route = route_fingerprint("briefings")
        request = PoolRequest("r", "model", "one", 0.0, 10.0, False, route=route)
        place = to_place(request, 1, 1, CELL, 0.0)
        self.assertIsInstance(place, Place)
        self.assertEqual(to_ticket(ENTRY, place, 0.0).route, route)

    def test_fingerprints_of_routes_differ_and_are_never_0(self):
        found = {route_fingerprint(f"route-{number}") for number in range(200)}
        self.assertEqual(len(found), 200)
        self.assertTrue(all(0 < value < 1 << 62 for value in found))


class GateTests(RolloutCase):
    async def test_grant_of_a_version_that_was_rolled_back_is_rejected(self):
        self.order()
        self.assertEqual(self.gate.admit("new0"), "")
        self.registry.set(None, "v2")
        self.assertIn("rolled back", self.gate.admit("new0"))
        self.assertEqual(self.gate.admit("old0"), "")

    async def test_request_is_refused_if_all_replicas_that_accept_work_are_in_backoff(self):
        self.order()
        self.registry.set(None, "v2")
        request = PoolRequest("r", "model", "one", 0.0, 10.0, False)
        for name in ("old0", "old1"):
            self.backoffs.extend(name, 10.0, self.clock.now)
        self.assertIsNotNone(self.gate.refusal(request))


class RolloutPrefixOwnerTests(RolloutCase):
    def owner(self, prefix: int) -> str | None:
        return self.cells._prefix_owner("model", prefix, list(self.cells.cells("model")))

    async def test_prefixes_keep_their_owners_until_the_rollout_has_succeeded(self):
        before = {prefix: self.owner(prefix) for prefix in range(1, 60)}
        self.order()
        during = {prefix: self.owner(prefix) for prefix in range(1, 60)}
        self.assertEqual(during, before)
        self.registry.set(None, "v1")
        after = {self.owner(prefix) for prefix in range(1, 60)}
        self.assertEqual(after, {"new0", "new1"})


class LargePoolTests(RolloutCase):
    async def test_each_cell_gets_replicas_of_both_versions_and_keeps_its_own(self):
        for number in range(70):
            self.list_replica(f"old{number:03}", "v1")
        before = self.cells.cells("model")
        self.assertEqual(len(before), 2)
        self.registry.set(Order("model", 7, "v2", 12.0))
        for number in range(70):
            self.list_replica(f"new{number:03}", "v2")
        during = self.cells.cells("model")
        self.assertEqual(list(during), list(before))
        for cell, names in during.items():
            self.assertEqual([name for name in names if name.startswith("old")], before[cell])
            self.assertEqual(sum(name.startswith("new") for name in names), 35)
        self.registry.set(None, "v2")
        self.assertEqual(self.cells.cells("model"), during)
        self.registry.set(None, "v1")
        for names in self.cells.cells("model").values():
            self.assertEqual(sum(name.startswith("new") for name in names), 35)


class LogTests(RolloutCase):
    async def test_log_of_a_canary_grant_has_version_and_stage(self):
        self.order()
        self.allow(Stage.CANARY, 1)
        self.place()
        events = [event for event in self.kernel.events if event.kind is Kind.GRANTED]
        self.assertEqual(events[-1].facts["software_version"], "v2")
        self.assertEqual(events[-1].facts["stage"], "CANARY")
        self.assertEqual(events[-1].facts["ticket"], f"{ENTRY}#1")

    async def test_log_of_an_entry_has_the_version_while_a_rollout_runs(self):
        request = PoolRequest("r-1", "model", "one", 0.0, 10.0, False)
        for running in (False, True):
            if running:
                self.order()
            call = self.tickets.place(request, self.clock.now)
            self.hub.deliver(OWN, Granted(call.number, 1, "old0", 0))
            granted = [event for event in self.kernel.events if event.kind is Kind.GRANTED][-1]
            self.assertEqual(granted.facts.get("software_version"), "v1" if running else None)

    async def test_grants_are_counted_by_stage_and_version(self):
        self.serve(3)
        counter = self.kernel.metrics.rollout_calls
        self.assertEqual(counter.get_all(), [])
        self.order()
        self.allow(Stage.SHIFT)
        self.serve(5)
        labels = {"pool": "model", "stage": "SHIFT", "version": "target"}
        self.assertEqual(counter.get(labels), 5)
