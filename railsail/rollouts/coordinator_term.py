"""One term of the coordinator of a rollout: its evidence, plan, allowances and ledger entries.

Calls are reserved in the ledger before any dispatcher may send them, so that the next coordinator
knows how many may have been sent.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from railsail.core.events import Kind
from railsail.core.kernel import Kernel
from railsail.membership.placement import rank
from railsail.peers.messages import RolloutAllowance, RolloutEvidence
from railsail.rollouts.bounds import CANARY_SHARE, ExposureBounds
from railsail.rollouts.canaries import spread_over_domains
from railsail.rollouts.evidence_collector import EvidenceCollector, Source
from railsail.rollouts.fleet import Fleet, Replica
from railsail.rollouts.ledger import Entry
from railsail.rollouts.load import Load
from railsail.rollouts.orders import Order, State
from railsail.rollouts.plan import DEADLINE_MARGIN_SECONDS, Plan, PlanInputs, plan
from railsail.rollouts.quotas import Quotas
from railsail.rollouts.stages import Stage
from railsail.rollouts.verdict import Judgement, Verdict, VersionJudge

# The interval at which allowances are renewed, a fraction of the time after which they expire.
ALLOWANCE_INTERVAL_SECONDS = 0.25
# Dispatchers answer an allowance with their calls in flight, whose end is awaited in the drain.
DRAIN_ALLOWANCE_INTERVAL_SECONDS = 0.1
# A coordinator that has not written the ledger for this long may have been replaced.
LEASE_SECONDS = 2.5
# While the target receives all calls, the calls of this many seconds are reserved in advance, and
# a few more: the ledger is written about twice a second, and a store call may take a while.
RESERVE_AHEAD_SECONDS = 1.5
RESERVE_AHEAD_CALLS = 10
# The canary has several replicas, because one faulty replica does not make the version bad. In the
# canary a replica receives about as many calls as it would if calls went to all replicas.
MIN_CANARIES = 3
# The limit of ``RolloutAllowance.replicas``.
MAX_NAMED_REPLICAS = 64
UNLIMITED_CALLS = 1 << 40
_MS_PER_SECOND = 1000


@dataclass
class _Progress:
    """The state that changes in a term, except evidence and quotas; times are monotonic seconds."""

    plan: Plan
    judgement: Judgement
    loaded_since: float = 0.0
    # The load at the start of the shift.
    load: Load = field(default_factory=Load)
    serial: int = 0
    sent_at: float = -math.inf
    # Whether evidence has arrived since the last judgement.
    unjudged: bool = True


class CoordinatorTerm:
    """The coordination of ``order`` in the term of the ledger's ``entry``.

    The write of ``entry`` started at ``write_started_at`` (seconds of the monotonic clock), from
    which the lease counts. ``judge`` replaces ``VersionJudge.judge`` in tests.
    """

    def __init__(
        self,
        order: Order,
        entry: Entry,
        write_started_at: float,
        fleet: Fleet,
        bounds: ExposureBounds,
        kernel: Kernel,
        judge: Callable[[list], Judgement] | None = None,
    ) -> None:
        self.order = order
        self.entry = entry
        self.decided: Plan | None = None
        self._lease_started_at = write_started_at
        self._fleet = fleet
        self._bounds = bounds
        self._kernel = kernel
        self._judge = judge or VersionJudge().judge
        self._reserved_at_start = entry.reserved
        self._arrivals_at_start = entry.arrivals
        self._collector = EvidenceCollector()
        self._quotas = Quotas()
        waiting = Judgement(Verdict.UNDECIDED, "no evidence yet")
        self._progress = _Progress(Plan(Stage.HOLD, "the term begins"), waiting)

    @property
    def stage(self) -> Stage:
        """Return the current stage."""
        return self._progress.plan.stage

    @property
    def reason(self) -> str:
        """Return why the rollout is in its stage, and the reason of the judgement."""
        return f"{self._progress.plan.reason}; {self._progress.judgement.reason}"

    @property
    def verdict(self) -> Verdict:
        """Return the current verdict on the target version."""
        return self._progress.judgement.verdict

    @property
    def arrivals(self) -> int:
        """Return how many calls of the service have arrived since the order, at least."""
        return self._arrivals_at_start + self._collector.arrivals

    @property
    def spent(self) -> int:
        """Return how many calls have gone to the target version, or may have."""
        return self.entry.reserved - self._unspent_calls()

    @property
    def seconds_left(self) -> float:
        """Return the seconds until the deadline, negative after it."""
        return self.entry.ends / _MS_PER_SECOND - self._kernel.clock.wall()

    def received(self, node: str, evidence: RolloutEvidence) -> None:
        """Record ``evidence`` of the dispatcher at ``node`` if it is about this order."""
        start_id = self._fleet.start_id(node)
        if evidence.version == self.order.version:
            self._collector.record(node, start_id, evidence, self._now())
            self._progress.unjudged = True

    def record_write(self, entry: Entry, write_started_at: float) -> None:
        """Record that the ledger contains ``entry``, and renew the lease from the write's start."""
        self.entry = entry
        self._lease_started_at = write_started_at

    def holds_lease(self) -> bool:
        """Return True if the lease is valid, so that no other node can have taken over."""
        return self._now() < self._lease_started_at + LEASE_SECONDS

    def tick(self) -> None:
        """Judge the version, plan, and send allowances; do nothing without a valid lease."""
        if not self.holds_lease():
            return
        if self._progress.unjudged:
            routes = self._collector.routes(self.order.target_version)
            self._progress.judgement = self._judge(routes)
            self._progress.unjudged = False
        inputs = self._plan_inputs()
        self._enter_stage(self._plan(inputs), inputs)
        self._assign_quotas()
        self._send_allowances()

    def _plan(self, inputs: PlanInputs) -> Plan:
        # A decision may be on its way to the store, so later evidence must not change it.
        return self.decided or plan(inputs, self._bounds)

    def _enter_stage(self, chosen: Plan, inputs: PlanInputs) -> None:
        progress = self._progress
        if chosen.stage >= Stage.SHIFT > self.stage:
            progress.loaded_since = inputs.now
            progress.load = Load(inputs.running, inputs.rate)
        if chosen.stage != self.stage or (chosen.state and self.decided is None):
            self._emit_event(chosen, inputs)
            progress.sent_at = -math.inf
        progress.plan = chosen
        if chosen.state is not State.NONE and self.decided is None:
            self.decided = chosen

    def _plan_inputs(self) -> PlanInputs:
        now = self._now()
        targets, others = self._replicas_by_version()
        sources = self._active_sources()
        running = self._collector.running(sources.values())
        rate = self._collector.rate(now)
        return PlanInputs(
            now=now,
            deadline=now + self.seconds_left,
            stage=self.stage,
            arrivals=self.arrivals,
            rate=rate,
            spent=self.spent,
            verdict=self.verdict,
            ready_replicas=len(targets),
            has_capacity=self._progress.load.fits(targets, others, running, rate),
            all_reporting=len(sources) == len(self._fleet.dispatchers(self.order.service)),
            running=running,
            loaded_since=self._progress.loaded_since,
            other_replicas=len(others),
        )

    def _replicas_by_version(self) -> tuple[list[Replica], list[Replica]]:
        """Return the warm replicas of the target version, and all replicas of other versions.

        Cold replicas of the target are slow and give no evidence about the version.
        """
        replicas = self._fleet.replicas(self.order.service)
        target = self.order.target_version
        targets = [r for r in replicas if r.software_version == target and r.warm]
        return targets, [r for r in replicas if r.software_version != target]

    def _warm_targets(self) -> list[Replica]:
        return self._replicas_by_version()[0]

    def _active_sources(self) -> dict[int, Source]:
        """Return the present dispatchers that have recently sent evidence, by cell.

        A dispatcher that has restarted, or knows the order by another version, counts the calls
        that it sends from 0, so it must not be given the quota of its predecessor.
        """
        dispatchers = self._fleet.dispatchers(self.order.service)
        return {
            source.cell: source
            for source in self._collector.recent_sources(self._now())
            if dispatchers.get(source.cell) == source.node
            and source.version == self.order.version
            and source.process_start_id == self._fleet.start_id(source.node)
        }

    def _assign_quotas(self) -> None:
        cells = {replica.cell for replica in self._warm_targets()}
        weights = {
            source: 1.0 + self._collector.arrivals_of(source)
            for cell, source in self._active_sources().items()
            if cell in cells
        }
        free = self.entry.reserved - self._reserved_at_start - self._quotas.total
        self._quotas.divide(free, weights)

    def _send_allowances(self) -> None:
        now = self._now()
        interval = (
            DRAIN_ALLOWANCE_INTERVAL_SECONDS
            if self.stage is Stage.DRAIN
            else ALLOWANCE_INTERVAL_SECONDS
        )
        if now < self._progress.sent_at + interval:
            return
        self._progress.sent_at = now
        self._progress.serial += 1
        sources = self._active_sources()
        for cell, node in self._fleet.dispatchers(self.order.service).items():
            self._fleet.send(node, self._allowance(cell, sources.get(cell)))

    def _allowance(self, cell: int, source: Source | None) -> RolloutAllowance:
        # A dispatcher without recent evidence may send no calls; its answer shows if it is new.
        return RolloutAllowance(
            self.order.service,
            cell,
            self.order.version,
            self.entry.term,
            self._progress.serial,
            int(self.stage if source is not None else min(self.stage, Stage.CANARY)),
            self._calls(source),
            round(self._bounds.valid_seconds * _MS_PER_SECOND),
            self._canary_replicas(cell) if self.stage is Stage.CANARY else [],
        )

    def _calls(self, source: Source | None) -> int:
        if source is None or self.stage is Stage.HOLD:
            return 0
        if self._is_unbounded() and self.stage > Stage.CANARY:
            return UNLIMITED_CALLS
        return self._quotas.of(source)

    def _is_unbounded(self) -> bool:
        return (
            self._kernel.clock.wall() >= self.entry.ends / _MS_PER_SECOND + DEADLINE_MARGIN_SECONDS
        )

    def _canary_replicas(self, cell: int) -> list[str]:
        targets = self._warm_targets()
        count = math.ceil(CANARY_SHARE * self._bounds.share * len(targets))
        domains = {r.name: r.failure_domain for r in targets if r.cell == cell}
        chosen = spread_over_domains(
            rank(f"canary of {self.order.service}", list(domains)), domains
        )
        return chosen[: min(MAX_NAMED_REPLICAS, max(MIN_CANARIES, count))]

    def needs_write(self) -> bool:
        """Return True if the ledger has to be written at once, for a decision or for more calls."""
        if self.decided is not None:
            return not self.entry.state.ended
        return (
            self._calls_to_reserve() > self.entry.reserved
            and self._unspent_calls() <= self._calls_ahead() / 2
        )

    def next_entry(self) -> Entry:
        """Return the next entry to write to the ledger."""
        decision = self.decided
        return msgspec.structs.replace(
            self.entry,
            beat=self.entry.beat + 1,
            order=self.order.version,
            stage=self.stage,
            reserved=max(self.entry.reserved, self._calls_to_reserve()),
            arrivals=max(self.entry.arrivals, self.arrivals),
            state=decision.state if decision is not None else self.entry.state,
            reason=self.reason if decision is not None else self.entry.reason,
        )

    def _calls_to_reserve(self) -> int:
        """Return how many calls have to be reserved in total."""
        if self.stage is Stage.CANARY:
            return self._canary_calls()
        if self.stage is Stage.HOLD or self._is_unbounded():
            return self.entry.reserved
        required = self.entry.reserved + max(0, self._calls_ahead() - self._unspent_calls())
        return min(required, self._bounds.shift_calls(self.arrivals))

    def _canary_calls(self) -> int:
        if self._is_unbounded():
            # Calls are no longer bounded in the shift, so nothing has to be left for it.
            return self._bounds.shift_calls(self.arrivals)
        rate = self._collector.rate(self._now())
        return self._bounds.canary_calls(self.arrivals, rate, self._elapsed_share())

    def _elapsed_share(self) -> float:
        """Return the elapsed fraction of the order's duration, above 1 after its deadline."""
        duration = (self.entry.ends - self.entry.seen) / _MS_PER_SECOND
        return 1.0 - self.seconds_left / duration if duration > 0 else 1.0

    def _calls_ahead(self) -> int:
        """Return how many calls are reserved in advance, 0 unless the target receives all calls."""
        if self.stage < Stage.SHIFT:
            return 0
        return int(RESERVE_AHEAD_SECONDS * self._collector.rate(self._now())) + RESERVE_AHEAD_CALLS

    def _unspent_calls(self) -> int:
        """Return how many reserved calls have not been sent yet.

        These are the calls that are in no quota, and the rest of the quotas of dispatchers with
        recent evidence. The whole quota of a silent dispatcher counts as sent.
        """
        free = self.entry.reserved - self._reserved_at_start - self._quotas.total
        term = self.entry.term
        return free + sum(
            self._quotas.of(source) - self._collector.exposed_of(source, term)
            for source in self._active_sources().values()
        )

    def _emit_event(self, chosen: Plan, inputs: PlanInputs) -> None:
        self._kernel.events.emit(
            Kind.ROLLOUT,
            chosen.reason,
            notable=chosen.state is not State.NONE,
            service=self.order.service,
            target_version=self.order.target_version,
            term=self.entry.term,
            stage=chosen.stage.name.lower(),
            state=chosen.state.name.lower(),
            verdict=self.verdict.name.lower(),
            evidence=self._progress.judgement.reason,
            arrivals=inputs.arrivals,
            rate=round(inputs.rate, 1),
            reserved=self.entry.reserved,
            spent=inputs.spent,
            running=inputs.running,
            ready=inputs.ready_replicas,
            left_ms=round((inputs.deadline - inputs.now) * _MS_PER_SECOND),
        )

    def _now(self) -> float:
        return self._kernel.clock.monotonic()
