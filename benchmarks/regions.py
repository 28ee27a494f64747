"""Compare strategies to dispatch a pool over several regions, in a discrete-event simulation.

    python -m benchmarks.regions compare --flood=4 --seconds=20

prints for each strategy how long callers waited, how many requests were served and how many in
time, and how much crossed regions. Dispatchers, cells and overflow are railsail's own code; the
network between regions, the engines and the callers are simulated. Cells do not exchange sums of
service here.
"""

import dataclasses
import heapq
import itertools
import math
import random
import statistics
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import fire

from railsail.membership.placement import choose
from railsail.scheduling.cells import Cell, cut, cut_by_region
from railsail.scheduling.decisions import Decision, Grant, Move
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.overflow import WAY_SECONDS, Overflow
from railsail.scheduling.placing import Openings, Placing, ShareState
from railsail.scheduling.room import LONG_PREFIX_TOKENS, ReplicaRoom
from railsail.scheduling.tickets import WAIT_SHARE, Ticket

REGIONS = ("costa", "oriente", "sierra")
FAR_SECONDS = 0.02
NEAR_SECONDS = 0.001
LOOK_SECONDS = 0.006
# The time beyond a ticket's maximum wait in which the entry still accepts a grant.
DECISION_SECONDS = 0.025
# An engine's prefill rate in tokens a second, the time of one decoding step, and the size of its
# prefix cache.
READ_RATE = 61_800.0
STEP_SECONDS = 0.0031
MEMORY_TOKENS = 400_000
FAIR_WINDOW_SECONDS = 4.0
WORKSPACES = 30
FLOODER = "flooder"
# The share of a run at its start that is not counted, because the prefix caches are still empty.
WARM_SHARE = 0.25


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    ``rate`` is in requests a second over all regions. A prompt has ``shared`` tokens of one of
    ``beginnings`` prefixes, and ``own`` tokens of its own; the answer has ``output`` tokens. The
    first token should arrive within ``objective`` seconds.
    """

    rate: float
    shared: int
    own: int
    output: int
    beginnings: int
    objective: float


KINDS = (
    Kind(157.0, 5382, 6610, 380, 206, 1.0),
    Kind(211.0, 198, 628, 290, 277, 0.6),
    Kind(306.0, 568, 1800, 20, 179, 0.6),
)


# Calls of a plain service. Each takes as long as ``output`` decoding steps of an engine.
SERVICE_KINDS = (Kind(98.0, 0, 0, 29, 1, 0.5),)


@dataclass(frozen=True)
class Way:
    """A strategy to dispatch.

    With ``by_region``, each region has cells of its own; otherwise the cells span all regions. With
    ``passes``, an overloaded cell moves tickets to cells of other regions. ``near`` prefers a
    replica of the entry's region within a cell. ``one_home`` sends a prompt with a long prefix to
    the region of the one replica that owns the prefix.
    """

    name: str
    by_region: bool
    passes: bool = False
    near: bool = False
    one_home: bool = False


WAYS = (
    Way("one cell", by_region=False),
    Way("one cell, near replicas first", by_region=False, near=True),
    Way("cells by region, each alone", by_region=True),
    Way("cells by region, tickets moved", by_region=True, passes=True),
    Way("the same, one prefix owner over all regions", by_region=True, passes=True, one_home=True),
)


@dataclass(frozen=True)
class Shape:
    """A pool and its callers.

    Each kind of request arrives at ``load`` times its rate. One workspace sends ``flood`` times the
    usual requests of a region, all in the first region.
    """

    replicas: int
    slots: int
    kinds: tuple[Kind, ...]
    load: float
    flood: float


class NearFirst(Placing):
    """Prefer replicas in the region of the ticket's entry to those of other regions."""

    def choose(
        self,
        ticket: Ticket,
        openings: Openings,
        now: float,
        standing: ShareState = ShareState.EVEN,
    ) -> ReplicaRoom | None:
        """Return the replica for ``ticket``, or ``None`` if it has to wait."""
        near = dataclasses.replace(ticket, regions=(ticket.entry,))
        found = super().choose(near, openings, now, standing)
        return found or super().choose(ticket, openings, now, standing)


@dataclass
class Engine:
    """A replica that prefills one prompt after the other and caches prefixes (LRU)."""

    name: str
    region: str
    speed: float
    free_at: float = 0.0
    memory: OrderedDict[int, int] = field(default_factory=OrderedDict)

    def read(self, prefix: int, kind: Kind, now: float) -> tuple[float, bool]:
        """Prefill a prompt; return when it will be done, and whether its prefix was cached."""
        kept = prefix in self.memory
        tokens = kind.own + (0 if kept else kind.shared)
        self.free_at = max(self.free_at, now) + tokens / (READ_RATE * self.speed)
        self.memory[prefix] = kind.shared
        self.memory.move_to_end(prefix)
        while sum(self.memory.values()) > MEMORY_TOKENS:
            self.memory.popitem(last=False)
        return self.free_at, kept


@dataclass
class Call:
    """A request and its result.

    ``engine`` is empty until the request was sent to one. ``waited`` is the time until the grant,
    in seconds; ``in_time`` tells whether the first token met the objective, and ``kept`` whether
    the prefix was cached.
    """

    ticket: Ticket
    kind: Kind
    came_at: float
    engine: str = ""
    waited: float = 0.0
    in_time: bool = False
    kept: bool = False


class Model:
    """A simulation of the callers of three regions and one strategy to dispatch.

    It counts the grants that reached their entry ``too_late``, the tickets ``passed`` to another
    region, and the ``hints``, which are the messages between cells.
    """

    def __init__(self, way: Way, seed: int, shape: Shape) -> None:
        self._way = way
        self._shape = shape
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()
        self._now = 0.0
        self.engines = self._engines(shape.replicas)
        regions = {engine.name: engine.region for engine in self.engines.values()}
        self.cells = (
            cut_by_region("model", regions, 64, REGIONS)
            if way.by_region
            else cut("model", list(regions), 64)
        )
        self.dispatchers = {cell: self._dispatcher(names) for cell, names in self.cells.items()}
        self._looking: set[Cell] = set()
        self.calls: dict[tuple[str, int], Call] = {}
        self.too_late = 0
        self.passed = 0
        self.hints = 0

    def _engines(self, replicas: int) -> dict[str, Engine]:
        engines = {}
        for number in range(replicas):
            speed = (1.0, 1.3)[number // len(REGIONS) % 2]
            name = f"r{number:03}"
            engines[name] = Engine(name, REGIONS[number % len(REGIONS)], speed)
        return engines

    def _dispatcher(self, names: list[str]) -> CellDispatcher:
        rng = random.Random(self._rng.getrandbits(64))
        overflow = Overflow() if self._way.passes else None
        made = CellDispatcher(lambda workspace: 1.0, rng, True, FAIR_WINDOW_SECONDS, overflow)
        if self._way.near:
            made._placing = NearFirst(rng, True)
        made.set_replicas(dict.fromkeys(names, self._shape.slots))
        made.set_regions({name: self.engines[name].region for name in names})
        return made

    def at(self, after: float, do: Callable, *arguments: object) -> None:
        """Call ``do(*arguments)`` ``after`` seconds from now."""
        heapq.heappush(self._events, (self._now + after, next(self._order), do, arguments))

    def run(self, seconds: float) -> None:
        """Simulate arrivals for ``seconds``, and continue until all requests have ended."""
        self._plan(seconds)
        while self._events:
            self._now, _, do, arguments = heapq.heappop(self._events)
            do(*arguments)

    def _plan(self, seconds: float) -> None:
        for kind in self._shape.kinds:
            usual = kind.rate * self._shape.load / len(REGIONS)
            for region in REGIONS:
                self._plan_calls(kind, region, usual, "", 0.0, seconds)
            flood = usual * self._shape.flood
            self._plan_calls(kind, REGIONS[0], flood, FLOODER, seconds / 3, seconds)

    def _plan_calls(
        self, kind: Kind, region: str, rate: float, workspace: str, begin: float, end: float
    ) -> None:
        now = begin
        while rate and (now := now + self._rng.expovariate(rate)) < end:
            name = workspace or f"w{int(WORKSPACES * self._rng.random() ** 2):02}"
            prefix = 0
            if kind.shared:
                prefix = 1 + KINDS.index(kind) * 1000 + self._rng.randrange(kind.beginnings)
            ticket = Ticket(
                entry=region,
                number=len(self.calls),
                attempt=1,
                workspace=name,
                rank=0.0,
                estimate=max(1.0, kind.shared + kind.own + 2.0 * kind.output),
                enqueued_at=now,
                prefix=prefix,
                prompt_tokens=kind.shared + kind.own,
                shared_tokens=kind.shared,
                objective=kind.objective,
                patience=WAIT_SHARE * kind.objective,
            )
            self.calls[ticket.key] = Call(ticket, kind, now)
            heapq.heappush(self._events, (now, next(self._order), self._come, (ticket,)))

    def _region(self, cell: Cell) -> str:
        # A cell that spans all regions is dispatched by the node that consistent hashing chooses,
        # which may be in any region.
        return cell.region or REGIONS[-1]

    def _seconds(self, left: str, right: str) -> float:
        return NEAR_SECONDS if left == right else FAR_SECONDS

    def _come(self, ticket: Ticket) -> None:
        region = ticket.entry
        if self._way.one_home and ticket.shared_tokens >= LONG_PREFIX_TOKENS:
            region = self.engines[choose(str(ticket.prefix), self.engines)].region
        (cell,) = [cell for cell in self.cells if cell.region in ("", region)]
        if region != ticket.entry:
            earlier = ticket.enqueued_at - WAY_SECONDS
            ticket = dataclasses.replace(ticket, enqueued_at=earlier)
        self.at(self._seconds(ticket.entry, self._region(cell)), self._place, cell, ticket)

    def _place(self, cell: Cell, ticket: Ticket) -> None:
        dispatcher = self.dispatchers[cell]
        if len(dispatcher.queue):
            self._carry_out(cell, dispatcher.put(ticket, self._now))
        else:
            self._carry_out(cell, dispatcher.offer(ticket, self._now))
        self._looked(cell)

    def _pump(self, cell: Cell) -> None:
        self._looking.discard(cell)
        self._carry_out(cell, self.dispatchers[cell].pump(self._now))
        self._looked(cell)

    def _looked(self, cell: Cell) -> None:
        if self._way.passes:
            self._tell(cell)
        if len(self.dispatchers[cell].queue) and cell not in self._looking:
            self._looking.add(cell)
            self.at(LOOK_SECONDS, self._pump, cell)

    def _tell(self, cell: Cell) -> None:
        dispatcher = self.dispatchers[cell]
        news = dispatcher.overflow.news(len(dispatcher.queue), self._now)
        if news is not None:
            for other in self.cells:
                if other != cell:
                    self._hint(self.dispatchers[other].overflow.told, other, cell, news)
        wanted = dispatcher.wanted(self._now)
        if wanted is not None:
            asked = self.dispatchers[wanted[0]].overflow
            self._hint(asked.offered, wanted[0], cell, wanted[1])

    def _hint(self, take: Callable, to: Cell, source: Cell, number: int) -> None:
        self.hints += 1

        def arrive() -> None:
            take(source, number, self._now)
            self._looked(to)

        self.at(FAR_SECONDS, arrive)

    def _carry_out(self, cell: Cell, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Grant):
                way = self._seconds(self._region(cell), decision.ticket.entry)
                self.at(way, self._granted, cell, decision)
            elif isinstance(decision, Move):
                self._pass(cell, decision.ticket, decision.cell)

    def _pass(self, cell: Cell, ticket: Ticket, other: Cell) -> None:
        self.passed += 1
        if ticket.entry == cell.region:
            earlier = ticket.enqueued_at - WAY_SECONDS
            ticket = dataclasses.replace(ticket, enqueued_at=earlier)
        self.at(FAR_SECONDS, self._place, other, ticket)

    def _granted(self, cell: Cell, grant: Grant) -> None:
        call = self.calls[grant.ticket.key]
        back = self._seconds(call.ticket.entry, self._region(cell))
        waited = self._now - call.came_at
        if waited > call.ticket.patience + DECISION_SECONDS:
            self.too_late += 1
            self.at(back, self._release, cell, call, CallResult.NOTHING)
            return
        engine = self.engines[grant.replica]
        call.engine, call.waited = engine.name, waited
        far = self._seconds(call.ticket.entry, engine.region)
        self.at(far, self._read, cell, call, engine, far, back)

    def _read(self, cell: Cell, call: Call, engine: Engine, far: float, back: float) -> None:
        read_at, call.kept = engine.read(call.ticket.prefix, call.kind, self._now)
        begins = read_at + far
        call.in_time = begins <= call.came_at + call.kind.objective
        ends = begins + call.kind.output * STEP_SECONDS / engine.speed
        self.at(begins + back - self._now, self._begun, cell, call)
        self.at(ends + back - self._now, self._release, cell, call, CallResult.GOOD)

    def _begun(self, cell: Cell, call: Call) -> None:
        self.dispatchers[cell].answered(call.ticket.key, self._now)

    def _release(self, cell: Cell, call: Call, result: CallResult) -> None:
        cost = call.ticket.estimate if result is CallResult.GOOD else 0.0
        self.dispatchers[cell].release(call.ticket.key, cost, self._now, result)
        if not len(self.dispatchers[cell].queue):
            self._looked(cell)


def figures(model: Model, seconds: float) -> dict[str, float]:
    """Return the figures of all calls, except those that arrived during the warm-up."""
    calls = [c for c in model.calls.values() if c.came_at >= WARM_SHARE * seconds]
    own = [call for call in calls if call.ticket.workspace != FLOODER]
    served = [call for call in calls if call.engine]
    waits = [call.waited * 1000 for call in served]
    crossed = [c for c in served if model.engines[c.engine].region != c.ticket.entry]
    tokens = sum(c.ticket.prompt_tokens for c in crossed)
    anew = sum(c.kind.shared for c in served if not c.kept)
    asked = Counter(call.ticket.workspace for call in own)
    good = Counter(call.ticket.workspace for call in own if call.in_time)
    shares = [good[name] / asked[name] for name in asked if asked[name] >= 50]
    flooded = [call for call in own if call.ticket.entry == REGIONS[0]]
    return {
        "served": len(served) / len(calls),
        "in time": sum(call.in_time for call in calls) / len(calls),
        "in time, without the flooder": sum(c.in_time for c in own) / len(own),
        "the same in the flooded region": sum(c.in_time for c in flooded) / len(flooded),
        "least served workspace in time": min(shares, default=math.nan),
        "median wait, ms": statistics.median(waits),
        "90th percentile of waits, ms": statistics.quantiles(waits, n=10)[-1],
        "grants too late": model.too_late,
        "requests that crossed a region": len(crossed) / len(served),
        "1,000 prompt tokens that crossed": tokens / 1000,
        "1,000 shared tokens prefilled without a cache hit": anew / 1000,
        "tickets moved": model.passed,
        "hints": model.hints,
    }


def compare(
    seconds: float = 20.0,
    load: float = 1.0,
    flood: float = 0.0,
    service: bool = False,
    runs: int = 3,
    seed: int = 1,
) -> None:
    """Print the figures of each strategy, as medians over ``runs`` seeds.

    ``load`` multiplies the request rate of all regions. After a third of the run, one workspace
    sends ``flood`` times the usual requests of a region, all in the first region. With
    ``service``, the pool is a plain service with two replicas in each region.
    """
    shape = Shape(56, 12, KINDS, load, flood)
    if service:
        shape = Shape(6, 6, SERVICE_KINDS, load, flood)
    for way in WAYS:
        found = []
        for number in range(runs):
            model = Model(way, seed + number, shape)
            model.run(seconds)
            found.append(figures(model, seconds))
        print(f"{way.name}:")
        for name in found[0]:
            print(f"  {name}: {statistics.median(each[name] for each in found):.3f}")


if __name__ == "__main__":
    fire.Fire({"compare": compare})
