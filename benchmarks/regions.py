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
from railsail.scheduling.cells import Cell, cut_by_region, split_pool
from railsail.scheduling.decisions import Decision, Grant, Move
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.overflow import WAY_SECONDS, Overflow
from railsail.scheduling.room import LONG_PREFIX_TOKENS, ReplicaState
from railsail.scheduling.selection import AvailableReplicas, ReplicaSelector, ShareState
from railsail.scheduling.tickets import WAIT_SHARE, Ticket

REGIONS = ("costa", "oriente", "sierra")
CROSS_REGION_LATENCY_SECONDS = 0.02
LOCAL_LATENCY_SECONDS = 0.001
PUMP_INTERVAL_SECONDS = 0.006
# The time beyond a ticket's maximum wait in which the entry still accepts a grant.
GRANT_MARGIN_SECONDS = 0.025
# An engine's prefill rate in tokens a second, the time of one decoding step, and the size of its
# prefix cache.
PREFILL_TOKENS_PER_SECOND = 61_800.0
DECODE_STEP_SECONDS = 0.0031
CACHE_TOKENS = 400_000
FAIR_WINDOW_SECONDS = 4.0
WORKSPACES = 30
FLOODING_WORKSPACE = "flooder"
# The share of a run at its start that is not counted, because the prefix caches are still empty.
WARMUP_SHARE = 0.25


@dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    ``rate`` is in requests a second over all regions. A prompt starts with one of ``prefixes``
    prefixes of ``shared_tokens``, followed by ``own_tokens`` that no other prompt has. The first
    token of the answer should arrive within ``objective`` seconds.
    """

    rate: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    prefixes: int
    objective: float


KINDS = (
    RequestKind(157.0, 5382, 6610, 380, 206, 1.0),
    RequestKind(211.0, 198, 628, 290, 277, 0.6),
    RequestKind(306.0, 568, 1800, 20, 179, 0.6),
)


# Calls of a plain service. Each takes as long as ``output_tokens`` decoding steps of an engine.
SERVICE_KINDS = (RequestKind(98.0, 0, 0, 29, 1, 0.5),)


@dataclass(frozen=True)
class Strategy:
    """A strategy to dispatch.

    With ``by_region``, each region has cells of its own; otherwise the cells span all regions. With
    ``moves_tickets``, an overloaded cell moves tickets to cells of other regions. With
    ``prefers_local``, a cell prefers replicas of the entry's region. With ``one_owner``, a prompt
    with a long prefix goes to the region of the one replica that owns the prefix.
    """

    name: str
    by_region: bool
    moves_tickets: bool = False
    prefers_local: bool = False
    one_owner: bool = False


STRATEGIES = (
    Strategy("one cell", by_region=False),
    Strategy("one cell, near replicas first", by_region=False, prefers_local=True),
    Strategy("cells by region, each alone", by_region=True),
    Strategy("cells by region, tickets moved", by_region=True, moves_tickets=True),
    Strategy(
        "the same, one prefix owner over all regions",
        by_region=True,
        moves_tickets=True,
        one_owner=True,
    ),
)


@dataclass(frozen=True)
class Shape:
    """A pool and its callers.

    Each kind of request arrives at ``load`` times its rate. One workspace sends ``flood`` times the
    usual requests of a region, all in the first region.
    """

    replicas: int
    slots: int
    kinds: tuple[RequestKind, ...]
    load: float
    flood: float


class LocalFirstSelector(ReplicaSelector):
    """A placing that prefers replicas in the region of the ticket's entry."""

    def choose(
        self,
        ticket: Ticket,
        available: AvailableReplicas,
        now: float,
        share_state: ShareState = ShareState.PENDING_PREFILL,
    ) -> ReplicaState | None:
        """Return the replica for ``ticket``, or ``None`` if it has to wait."""
        local_ticket = dataclasses.replace(ticket, regions=(ticket.entry,))
        replica = super().choose(local_ticket, available, now, share_state)
        return replica or super().choose(ticket, available, now, share_state)


@dataclass
class Engine:
    """A replica that prefills one prompt after the other and caches prefixes (LRU)."""

    name: str
    region: str
    speed: float
    free_at: float = 0.0
    cache: OrderedDict[int, int] = field(default_factory=OrderedDict)

    def prefill(self, prefix: int, kind: RequestKind, now: float) -> tuple[float, bool]:
        """Prefill a prompt; return when it will be done, and whether its prefix was cached."""
        cached = prefix in self.cache
        tokens = kind.own_tokens + (0 if cached else kind.shared_tokens)
        self.free_at = max(self.free_at, now) + tokens / (PREFILL_TOKENS_PER_SECOND * self.speed)
        self.cache[prefix] = kind.shared_tokens
        self.cache.move_to_end(prefix)
        while sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)
        return self.free_at, cached


@dataclass
class Call:
    """A request and its result.

    ``engine`` is empty until the request was sent to one. ``waited`` is the time until the grant,
    in seconds; ``in_time`` tells whether the first token met the objective, and ``cached`` whether
    the prefix was in the engine's cache.
    """

    ticket: Ticket
    kind: RequestKind
    arrived_at: float
    engine: str = ""
    waited: float = 0.0
    in_time: bool = False
    cached: bool = False


class Simulation:
    """A simulation of the callers of three regions and one strategy to dispatch.

    It counts the ``late_grants`` that reached their entry after its maximum wait, the tickets
    ``moved`` to another region, and the ``hints``, which are the messages between cells.
    """

    def __init__(self, strategy: Strategy, seed: int, shape: Shape) -> None:
        self._strategy = strategy
        self._shape = shape
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = itertools.count()
        self._now = 0.0
        self.engines = self._engines(shape.replicas)
        regions = {engine.name: engine.region for engine in self.engines.values()}
        self.cells = (
            cut_by_region("model", regions, 64, REGIONS)
            if strategy.by_region
            else split_pool("model", list(regions), 64)
        )
        self.dispatchers = {cell: self._dispatcher(names) for cell, names in self.cells.items()}
        self._pump_scheduled: set[Cell] = set()
        self.calls: dict[tuple[str, int], Call] = {}
        self.late_grants = 0
        self.moved = 0
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
        overflow = Overflow() if self._strategy.moves_tickets else None
        dispatcher = CellDispatcher(lambda workspace: 1.0, rng, True, FAIR_WINDOW_SECONDS, overflow)
        if self._strategy.prefers_local:
            dispatcher._placing = LocalFirstSelector(rng, True)
        dispatcher.set_replicas(dict.fromkeys(names, self._shape.slots))
        dispatcher.set_regions({name: self.engines[name].region for name in names})
        return dispatcher

    def schedule(self, after: float, do: Callable, *arguments: object) -> None:
        """Call ``do(*arguments)`` ``after`` seconds from now."""
        heapq.heappush(self._events, (self._now + after, next(self._sequence), do, arguments))

    def run(self, seconds: float) -> None:
        """Simulate arrivals for ``seconds``, and continue until all requests have ended."""
        self._plan(seconds)
        while self._events:
            self._now, _, do, arguments = heapq.heappop(self._events)
            do(*arguments)

    def _plan(self, seconds: float) -> None:
        for kind in self._shape.kinds:
            usual_rate = kind.rate * self._shape.load / len(REGIONS)
            for region in REGIONS:
                self._plan_calls(kind, region, usual_rate, "", 0.0, seconds)
            flood = usual_rate * self._shape.flood
            self._plan_calls(kind, REGIONS[0], flood, FLOODING_WORKSPACE, seconds / 3, seconds)

    def _plan_calls(
        self, kind: RequestKind, region: str, rate: float, workspace: str, start: float, end: float
    ) -> None:
        now = start
        while rate and (now := now + self._rng.expovariate(rate)) < end:
            name = workspace or f"w{int(WORKSPACES * self._rng.random() ** 2):02}"
            prefix = 0
            if kind.shared_tokens:
                prefix = 1 + KINDS.index(kind) * 1000 + self._rng.randrange(kind.prefixes)
            ticket = Ticket(
                entry=region,
                number=len(self.calls),
                attempt=1,
                workspace=name,
                rank=0.0,
                estimate=max(1.0, kind.shared_tokens + kind.own_tokens + 2.0 * kind.output_tokens),
                enqueued_at=now,
                prefix=prefix,
                prompt_tokens=kind.shared_tokens + kind.own_tokens,
                shared_tokens=kind.shared_tokens,
                objective=kind.objective,
                patience=WAIT_SHARE * kind.objective,
            )
            self.calls[ticket.key] = Call(ticket, kind, now)
            heapq.heappush(self._events, (now, next(self._sequence), self._arrive, (ticket,)))

    def _dispatcher_region(self, cell: Cell) -> str:
        # A cell that spans all regions is dispatched by the node that rendezvous hashing chooses,
        # which may be in any region.
        return cell.region or REGIONS[-1]

    def _latency(self, left: str, right: str) -> float:
        return LOCAL_LATENCY_SECONDS if left == right else CROSS_REGION_LATENCY_SECONDS

    def _arrive(self, ticket: Ticket) -> None:
        region = ticket.entry
        if self._strategy.one_owner and ticket.shared_tokens >= LONG_PREFIX_TOKENS:
            region = self.engines[choose(str(ticket.prefix), self.engines)].region
        (cell,) = [cell for cell in self.cells if cell.region in ("", region)]
        if region != ticket.entry:
            backdated = ticket.enqueued_at - WAY_SECONDS
            ticket = dataclasses.replace(ticket, enqueued_at=backdated)
        self.schedule(
            self._latency(ticket.entry, self._dispatcher_region(cell)), self._enqueue, cell, ticket
        )

    def _enqueue(self, cell: Cell, ticket: Ticket) -> None:
        dispatcher = self.dispatchers[cell]
        if len(dispatcher.queue):
            self._carry_out(cell, dispatcher.put(ticket, self._now))
        else:
            self._carry_out(cell, dispatcher.offer(ticket, self._now))
        self._after_change(cell)

    def _pump(self, cell: Cell) -> None:
        self._pump_scheduled.discard(cell)
        self._carry_out(cell, self.dispatchers[cell].pump(self._now))
        self._after_change(cell)

    def _after_change(self, cell: Cell) -> None:
        if self._strategy.moves_tickets:
            self._send_hints(cell)
        if len(self.dispatchers[cell].queue) and cell not in self._pump_scheduled:
            self._pump_scheduled.add(cell)
            self.schedule(PUMP_INTERVAL_SECONDS, self._pump, cell)

    def _send_hints(self, cell: Cell) -> None:
        dispatcher = self.dispatchers[cell]
        update = dispatcher.overflow.news(len(dispatcher.queue), self._now)
        if update is not None:
            for other in self.cells:
                if other != cell:
                    self._send_hint(self.dispatchers[other].overflow.told, other, cell, update)
        request = dispatcher.wanted(self._now)
        if request is not None:
            offer_handler = self.dispatchers[request[0]].overflow
            self._send_hint(offer_handler.offered, request[0], cell, request[1])

    def _send_hint(self, handle: Callable, to: Cell, source: Cell, number: int) -> None:
        self.hints += 1

        def arrive() -> None:
            handle(source, number, self._now)
            self._after_change(to)

        self.schedule(CROSS_REGION_LATENCY_SECONDS, arrive)

    def _carry_out(self, cell: Cell, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Grant):
                latency = self._latency(self._dispatcher_region(cell), decision.ticket.entry)
                self.schedule(latency, self._granted, cell, decision)
            elif isinstance(decision, Move):
                self._move(cell, decision.ticket, decision.cell)

    def _move(self, cell: Cell, ticket: Ticket, other: Cell) -> None:
        self.moved += 1
        if ticket.entry == cell.region:
            backdated = ticket.enqueued_at - WAY_SECONDS
            ticket = dataclasses.replace(ticket, enqueued_at=backdated)
        self.schedule(CROSS_REGION_LATENCY_SECONDS, self._enqueue, other, ticket)

    def _granted(self, cell: Cell, grant: Grant) -> None:
        call = self.calls[grant.ticket.key]
        dispatcher_latency = self._latency(call.ticket.entry, self._dispatcher_region(cell))
        waited = self._now - call.arrived_at
        if waited > call.ticket.patience + GRANT_MARGIN_SECONDS:
            self.late_grants += 1
            self.schedule(dispatcher_latency, self._release, cell, call, CallResult.NOTHING)
            return
        engine = self.engines[grant.replica]
        call.engine, call.waited = engine.name, waited
        engine_latency = self._latency(call.ticket.entry, engine.region)
        self.schedule(
            engine_latency, self._prefill, cell, call, engine, engine_latency, dispatcher_latency
        )

    def _prefill(
        self,
        cell: Cell,
        call: Call,
        engine: Engine,
        engine_latency: float,
        dispatcher_latency: float,
    ) -> None:
        prefilled_at, call.cached = engine.prefill(call.ticket.prefix, call.kind, self._now)
        first_token_at = prefilled_at + engine_latency
        call.in_time = first_token_at <= call.arrived_at + call.kind.objective
        ended_at = first_token_at + call.kind.output_tokens * DECODE_STEP_SECONDS / engine.speed
        self.schedule(
            first_token_at + dispatcher_latency - self._now, self._first_token, cell, call
        )
        self.schedule(
            ended_at + dispatcher_latency - self._now, self._release, cell, call, CallResult.GOOD
        )

    def _first_token(self, cell: Cell, call: Call) -> None:
        self.dispatchers[cell].answered(call.ticket.key, self._now)

    def _release(self, cell: Cell, call: Call, result: CallResult) -> None:
        cost = call.ticket.estimate if result is CallResult.GOOD else 0.0
        self.dispatchers[cell].release(call.ticket.key, cost, self._now, result)
        if not len(self.dispatchers[cell].queue):
            self._after_change(cell)


def figures(simulation: Simulation, seconds: float) -> dict[str, float]:
    """Return the figures of all calls, except those that arrived during the warm-up."""
    calls = [
        each for each in simulation.calls.values() if each.arrived_at >= WARMUP_SHARE * seconds
    ]
    ordinary = [call for call in calls if call.ticket.workspace != FLOODING_WORKSPACE]
    served = [call for call in calls if call.engine]
    waits = [call.waited * 1000 for call in served]
    crossed = [
        each for each in served if simulation.engines[each.engine].region != each.ticket.entry
    ]
    tokens = sum(each.ticket.prompt_tokens for each in crossed)
    uncached_tokens = sum(each.kind.shared_tokens for each in served if not each.cached)
    requested = Counter(call.ticket.workspace for call in ordinary)
    in_time = Counter(call.ticket.workspace for call in ordinary if call.in_time)
    shares = [in_time[name] / requested[name] for name in requested if requested[name] >= 50]
    flooded = [call for call in ordinary if call.ticket.entry == REGIONS[0]]
    return {
        "served": len(served) / len(calls),
        "in time": sum(call.in_time for call in calls) / len(calls),
        "in time, without the flooder": sum(each.in_time for each in ordinary) / len(ordinary),
        "the same in the flooded region": sum(each.in_time for each in flooded) / len(flooded),
        "least served workspace in time": min(shares, default=math.nan),
        "median wait, ms": statistics.median(waits),
        "90th percentile of waits, ms": statistics.quantiles(waits, n=10)[-1],
        "grants too late": simulation.late_grants,
        "requests that crossed a region": len(crossed) / len(served),
        "1,000 prompt tokens that crossed": tokens / 1000,
        "1,000 shared tokens prefilled without a cache hit": uncached_tokens / 1000,
        "tickets moved": simulation.moved,
        "hints": simulation.hints,
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
    for strategy in STRATEGIES:
        results = []
        for number in range(runs):
            simulation = Simulation(strategy, seed + number, shape)
            simulation.run(seconds)
            results.append(figures(simulation, seconds))
        print(f"{strategy.name}:")
        for name in results[0]:
            print(f"  {name}: {statistics.median(each[name] for each in results):.3f}")


if __name__ == "__main__":
    fire.Fire({"compare": compare})
