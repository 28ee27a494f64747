"""A cell of simulated model replicas under load, to measure what each workspace is served.

The time is simulated, and everything random is seeded. A replica prefills one prompt after the
other and writes many answers at once. Callers retry once, at the time that a refusal names.
"""

import heapq
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from zlib import crc32

from railsail.scheduling.decisions import Decision, Grant, Hold, Refusal
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import CallResult
from railsail.scheduling.tickets import Ticket

PUMP_SECONDS = 0.006
PREFILL_TOKENS_PER_SECOND = 65_000.0
# From the end of the prefill to the first event of the answer, as the dispatcher hears of it.
FIRST_EVENT_SECONDS = 0.05
SECONDS_PER_TOKEN = 0.006
FAIR_WINDOW_SECONDS = 4.0
# A prompt token costs 1, a token of the answer as much as this many.
OUTPUT_COST = 10
# A workspace draws its prompts from this part of all prefixes of a kind.
WORKSPACES_PER_KIND = 8
WAIT_SHARE = 0.2
RETRY_SHARE = 1 / 3


@dataclass(frozen=True)
class RequestKind:
    """One kind of request; lengths are mean tokens, times are in seconds."""

    name: str
    weight: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    objective: float
    deadline: float
    prefixes: int


KINDS = (
    RequestKind("draft", 336, 5382, 6610, 384, 0.8, 12.0, 800),
    RequestKind("class", 370, 198, 628, 288, 0.4, 12.0, 1300),
    RequestKind("check", 600, 568, 1800, 24, 0.4, 3.0, 2100),
)


@dataclass
class Replica:
    """One simulated replica: when it is done with its prefill, and the prefixes it has cached."""

    prefilled_at: float = 0.0
    prefixes: set[int] = field(default_factory=set)

    def start(self, ticket: Ticket, now: float) -> float:
        """Return when the answer to ``ticket`` starts."""
        cached = ticket.shared_tokens if ticket.prefix in self.prefixes else 0
        self.prefixes.add(ticket.prefix)
        seconds = (ticket.prompt_tokens - cached) / PREFILL_TOKENS_PER_SECOND
        self.prefilled_at = max(now, self.prefilled_at) + seconds
        return self.prefilled_at + FIRST_EVENT_SECONDS


@dataclass
class WorkspaceTally:
    """The tokens that a workspace requested, and those of its requests that were started.

    They are counted by second.
    """

    requested: Counter[int] = field(default_factory=Counter)
    started: Counter[int] = field(default_factory=Counter)

    def total_started(self, seconds: range) -> int:
        """Return the tokens started in ``seconds``."""
        return sum(self.started[second] for second in seconds)


class SimulatedCell:
    """A dispatcher, its replicas and the callers of workspaces.

    ``delays`` is the mean time in seconds by which the nodes of a workspace are late to report that
    an answer has started or ended.
    """

    def __init__(
        self,
        seed: int,
        replicas: int = 12,
        slots: int = 24,
        delays: dict[str, float] | None = None,
    ) -> None:
        self._delays = delays or {}
        self.rng = random.Random(seed)
        self.dispatcher = CellDispatcher(
            lambda name: 1.0, random.Random(seed), fair_window=FAIR_WINDOW_SECONDS
        )
        self.replicas = {f"r{number}": Replica() for number in range(replicas)}
        self.dispatcher.set_replicas(dict.fromkeys(self.replicas, slots))
        self.tallies: dict[str, WorkspaceTally] = defaultdict(WorkspaceTally)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self._output_tokens: dict[tuple[str, int], int] = {}

    def run(self, seconds: float, rates: Callable[[float], dict[str, float]]) -> None:
        """Let each workspace send requests at its rate, in requests a second, for ``seconds``."""
        now = 0.0
        due: dict[str, float] = {}
        while now < seconds:
            now += PUMP_SECONDS
            for workspace, rate in rates(now).items():
                due.setdefault(workspace, now + self.rng.expovariate(rate))
                while due[workspace] <= now:
                    self._send(workspace, now)
                    due[workspace] += self.rng.expovariate(rate)
            while self._events and self._events[0][0] <= now:
                _, _, callback = heapq.heappop(self._events)
                callback(now)
            self._apply(self.dispatcher.pump(now), now)

    def _at(self, when: float, callback: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, callback))

    def _send(self, workspace: str, now: float) -> None:
        kind = self.rng.choices(KINDS, [kind.weight for kind in KINDS])[0]
        own_tokens = min(8 * kind.own_tokens, int(_lognormal(self.rng, kind.own_tokens)))
        thing = (
            f"{workspace} {kind.name} {self.rng.randrange(kind.prefixes // WORKSPACES_PER_KIND)}"
        )
        prefix = crc32(thing.encode())
        self._number += 1
        ticket = Ticket(
            "entry",
            self._number,
            1,
            workspace,
            rank=0.0,
            estimate=float(kind.shared_tokens + own_tokens + OUTPUT_COST * kind.output_tokens),
            enqueued_at=now,
            prefix=prefix,
            prompt_tokens=kind.shared_tokens + own_tokens,
            shared_tokens=kind.shared_tokens,
            objective=kind.objective,
            patience=WAIT_SHARE * kind.objective,
            returns_within=RETRY_SHARE * kind.deadline,
            fingerprint=self._number,
        )
        self._output_tokens[ticket.key] = kind.output_tokens
        self.tallies[workspace].requested[int(now)] += int(ticket.estimate)
        self._apply(self.dispatcher.put(ticket, now), now)

    def _retry(self, ticket: Ticket, now: float) -> None:
        self._number += 1
        # Callers retry once only.
        retry = replace(
            ticket,
            number=self._number,
            enqueued_at=now,
            returned=False,
            patience=WAIT_SHARE * ticket.objective,
            returns_within=0.0,
        )
        self._output_tokens[retry.key] = self._output_tokens[ticket.key]
        self.tallies[ticket.workspace].requested[int(now)] += int(ticket.estimate)
        self._apply(self.dispatcher.put(retry, now), now)

    def _apply(self, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            if isinstance(decision, Grant):
                self._start(decision.ticket, decision.replica, now)
            elif isinstance(decision, Refusal):
                if decision.come_back:
                    ticket = decision.ticket
                    self._at(now + decision.come_back, lambda at, t=ticket: self._retry(t, at))
            else:
                assert isinstance(decision, Hold)

    def _start(self, ticket: Ticket, name: str, now: float) -> None:
        self.tallies[ticket.workspace].started[int(now)] += int(ticket.estimate)
        starts_at = self.replicas[name].start(ticket, now)
        ends_at = starts_at + self._output_tokens[ticket.key] * SECONDS_PER_TOKEN
        key, cost = ticket.key, ticket.estimate
        delay = self.rng.uniform(0.0, 2 * self._delays.get(ticket.workspace, 0.0))
        self._at(starts_at + delay, lambda at: self.dispatcher.answered(key, at))
        self._at(
            ends_at + delay, lambda at: self.dispatcher.release(key, cost, at, CallResult.GOOD)
        )


def _lognormal(rng: random.Random, mean: float) -> float:
    sigma = 1.0
    return rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
