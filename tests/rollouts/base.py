"""A fake store, fleet and dispatcher for tests of rollouts."""

import random
import unittest
from collections.abc import Callable

from railsail.core.clock import ManualClock
from railsail.core.events import EventLog
from railsail.core.exceptions import StoreConflict, StoreUnavailable
from railsail.core.kernel import Kernel
from railsail.core.metrics import Metrics
from railsail.peers.messages import RolloutAllowance, RolloutEvidence
from railsail.peers.records import TallyRecord
from railsail.rollouts.book import KIND as ROLLOUT
from railsail.rollouts.book import RolloutBook
from railsail.rollouts.bounds import ExposureBounds
from railsail.rollouts.coordination import Coordination
from railsail.rollouts.evidence import BUCKETS
from railsail.rollouts.fleet import Replica
from railsail.rollouts.ledger import KIND as LEDGER
from railsail.rollouts.verdict import Judgement, Verdict
from railsail.store.base import Listing, StoredObject, WatchEvent

SERVICE = "lm"
BOUNDS = ExposureBounds(0.1, 50)
START = 1000.0
NAMES = ["a", "b", "c"]
STEP = 0.1
RATE = 100.0


class FakeStore:
    """A store with one increasing version for all objects, whose calls fail as a test requires."""

    def __init__(self) -> None:
        self.version = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        # Nodes whose calls are refused and have no effect.
        self.refused_nodes: set[str] = set()
        # Whether the next write gets no answer: it takes effect, or is held back until released.
        self.loses_answer = False
        self.holds_back = False
        self.held_back: list[Callable[[], None]] = []
        self.writes = 0
        self.reads = 0

    async def get(self, kind: str, name: str) -> StoredObject | None:
        self.reads += 1
        return self.objects.get((kind, name))

    async def put(self, kind: str, name: str, value: dict, expected: int) -> int:
        return self._write(kind, name, value, expected)

    async def put_status(self, kind: str, name: str, value: dict, expected: int) -> int:
        current = self.objects[(kind, name)]
        if current.version == expected and current.value.get("status") == value:
            return current.version
        return self._write(kind, name, {**current.value, "status": value}, expected)

    def _write(self, kind: str, name: str, value: dict, expected: int) -> int:
        if self.holds_back:
            self.holds_back = False
            self.held_back.append(lambda: self._write(kind, name, value, expected))
            raise StoreUnavailable("no answer; the write takes effect later")
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != expected:
            raise StoreConflict("another version")
        version = self.set(kind, name, value)
        self.writes += 1
        if self.loses_answer:
            self.loses_answer = False
            raise StoreUnavailable("no answer; the write has taken effect")
        return version

    def set(self, kind: str, name: str, value: dict) -> int:
        """Write without a condition, as the operator does."""
        self.version += 1
        self.objects[(kind, name)] = StoredObject(kind, name, self.version, value)
        return self.version

    def release(self) -> None:
        """Let the writes that were held back take effect if their conditions still hold."""
        for write in self.held_back:
            try:
                write()
            except StoreConflict:
                continue
        self.held_back.clear()

    def order(self, target: object = "v2", seconds: float = 20.0, service: str = SERVICE) -> int:
        """Write an order and keep the status of the object."""
        current = self.objects.get((ROLLOUT, service))
        status = current.value.get("status", {}) if current else {}
        spec = {"service": service, "target_version": target, "duration": seconds}
        return self.set(ROLLOUT, service, spec | {"status": status})

    def status(self, service: str = SERVICE) -> dict:
        return self.objects[(ROLLOUT, service)].value["status"]

    def ledger(self, service: str = SERVICE) -> dict:
        return self.objects[(LEDGER, service)].value

    def listing(self) -> Listing:
        found = [item for (kind, _), item in self.objects.items() if kind == ROLLOUT]
        return Listing(self.version, tuple(found))


class NodeStore:
    """The store as seen by one node."""

    def __init__(self, store: FakeStore, node: str) -> None:
        self._store = store
        self._node = node

    def __getattr__(self, name: str) -> object:
        call = getattr(self._store, name)

        async def checked(*args: object) -> object:
            if self._node in self._store.refused_nodes:
                raise StoreUnavailable("refused")
            return await call(*args)

        return checked


class FakeFleet:
    """A node's view of a fleet with one cell, whose dispatcher is node ``d``."""

    def __init__(self, node_id: str, nodes: list[str]) -> None:
        self.node_id = node_id
        self.nodes = nodes
        self.sent: list[RolloutAllowance] = []
        self.cells = {0: "d"}
        # The start id of the dispatcher's process.
        self.dispatcher_start_id = 1
        versions = {"old": "v1", "new": "v2"}
        self.all = [
            Replica(f"{w}-{n}", 0, versions[w], 8, True) for n in range(4) for w in versions
        ]

    def candidates(self) -> list[str]:
        return self.nodes

    def dispatchers(self, service: str) -> dict[int, str]:
        return self.cells

    def start_id(self, node: str) -> int:
        return self.dispatcher_start_id

    def replicas(self, service: str) -> list[Replica]:
        return self.all

    def send(self, node: str, message: RolloutAllowance) -> bool:
        self.sent.append(message)
        return True


def new_kernel(clock: ManualClock) -> Kernel:
    return Kernel(clock, random.Random(1), EventLog("n", clock), Metrics())


def new_book(clock: ManualClock, flooded: list | None = None) -> RolloutBook:
    sent = [] if flooded is None else flooded
    return RolloutBook(lambda update, source: sent.append((update, source)), new_kernel(clock))


class FakeNode:
    """A node that may coordinate the rollout; ``verdict`` replaces its test of the evidence."""

    def __init__(self, name: str, names: list[str], store: FakeStore, clock: ManualClock) -> None:
        self.name = name
        self.clock = clock
        self.verdict = Verdict.UNDECIDED
        self.store = store
        self.fleet = FakeFleet(name, names)
        self.flooded: list = []
        self.book = new_book(clock, self.flooded)
        self.read()
        self.start_coordination()

    def start_coordination(self) -> None:
        """Start to coordinate the running order, as a process does when it starts."""
        self.coordination = Coordination(
            self.book.running(SERVICE),
            self.book,
            NodeStore(self.store, self.name),
            self.fleet,
            BOUNDS,
            new_kernel(self.clock),
            lambda evidence: Judgement(self.verdict, "as the test says"),
        )

    def read(self) -> None:
        self.book.listed(self.store.listing())

    async def step(self) -> float | None:
        """Make the store calls that are due; return ``None`` if the store failed."""
        try:
            return await self.coordination.step()
        except (StoreConflict, StoreUnavailable):
            self.coordination._ledger.needs_read = True
            return None

    @property
    def leads(self) -> bool:
        coordinator_term = self.coordination.coordinator_term
        return coordinator_term is not None and coordinator_term.holds_lease()

    @property
    def allowed(self) -> RolloutAllowance:
        return self.fleet.sent[-1]


def evidence(
    arrivals: int,
    exposed: int = 0,
    running: int = 0,
    start: int = 1,
    term: int = 1,
    version: int = 1,
) -> RolloutEvidence:
    return RolloutEvidence(SERVICE, 0, version, start, term, arrivals, exposed, running, [])


def tally(route: int, version: str, replica: str, answers: int, failed: int = 0) -> TallyRecord:
    times = [0] * BUCKETS
    return TallyRecord(route, version, replica, answers, failed, times, times)


def event(store: FakeStore, service: str = SERVICE) -> WatchEvent:
    """Return the watch event of the operator's object."""
    stored = store.objects[(ROLLOUT, service)]
    return WatchEvent(ROLLOUT, service, stored.version, stored.value)


class CoordinationCase(unittest.IsolatedAsyncioTestCase):
    """Three nodes that may coordinate, and one dispatcher."""

    def setUp(self) -> None:
        self.clock = ManualClock(START)
        self.store = FakeStore()
        self.version = self.store.order()
        self.nodes = [FakeNode(name, NAMES, self.store, self.clock) for name in NAMES]
        # The calls that the dispatcher has granted, and by term those sent to the target.
        self.arrivals = 0.0
        self.exposed: dict[int, int] = {}
        self.running = 0
        self.start = 1

    async def pass_time(self, seconds: float, nodes: list[FakeNode] | None = None) -> None:
        """Advance the time and let ``nodes`` work; the target receives all calls that it may."""
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            self.arrivals += RATE * STEP
            for node in self.nodes if nodes is None else nodes:
                if node.book.running(SERVICE) is not None and node.coordination._is_still_ordered():
                    await node.step()
                    node.coordination.tick()
                self.answer(node)

    def answer(self, node: FakeNode) -> None:
        """Act as the dispatcher: use the last allowance of ``node``, and send evidence to it."""
        if not node.fleet.sent:
            return
        term = node.allowed.term
        before = self.exposed.get(term, 0)
        self.exposed[term] = max(before, min(node.allowed.calls, before + round(RATE * STEP)))
        answer = evidence(
            int(self.arrivals),
            self.exposed[term],
            self.running,
            self.start,
            term,
            node.allowed.version,
        )
        node.coordination.received("d", answer)

    @property
    def used(self) -> int:
        return sum(self.exposed.values())

    def leader(self) -> FakeNode:
        (leader,) = [node for node in self.nodes if node.leads]
        return leader

    async def start_rollout(self) -> FakeNode:
        await self.pass_time(1.0)
        return self.leader()

    def judge(self, verdict: Verdict) -> None:
        for node in self.nodes:
            node.verdict = verdict
