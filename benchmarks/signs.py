"""Engines that say in their answers that they leave, or that they want rest.

    python -m benchmarks.signs [--seconds=12] [--off]

Four daemons in one process, four engines, 33 requests a second. Two runs: in the first one an
engine says in all its answers to calls that it leaves, while its record and its load reports do
not; counted are the calls that reach it later than two seconds after its first answer. In the
second one two engines turn 4 of 10 calls away and ask for three seconds of rest; counted are the
most calls of one daemon that reach one of them between half a second after such an answer and the
end of that time. ``--off`` hears no answers, as a pair.

Without hearing answers 88 calls come too late (16 before), with it 0 (1 before). Without it 13
calls reach an engine within one rest, with it 0. All of 388 and 389 requests are served in each run
(one run each, beside other load).
"""

import asyncio
import logging
import time
from collections import defaultdict
from dataclasses import dataclass, field
from unittest import mock

import fire

from benchmarks.chat import ask, endpoint_of, start_fleet
from railsail.core.logs import configure_logs
from railsail.standins.batching import EngineSettings, Faults
from railsail.standins.fleet import StandinFleet
from railsail.upstreams import heard

DAEMONS = 4
ENGINES = 4
EVERY_SECONDS = 0.03
# Later than this after a daemon has passed on that an engine leaves, it may be sent nothing.
LEAVE_SECONDS = 2.0
REST_SECONDS = 3.0
# Calls that are on their way when an engine asks for rest may arrive.
GRACE_SECONDS = 0.5
SETTINGS = EngineSettings(slots=16, decode_rate=400.0)


@dataclass
class Run:
    """One run: the fleet, its requests, and what daemons sent to each engine, and when."""

    fleet: StandinFleet
    sent: int = 0
    served: int = 0
    calls: list[tuple[str, str, float]] = field(default_factory=list)
    rests: list[tuple[str, str, float]] = field(default_factory=list)

    async def ask(self) -> None:
        """Send one request to the next daemon."""
        node = self.fleet.nodes[self.sent % DAEMONS]
        self.sent += 1
        response = await ask(endpoint_of(node), "hello", False, output_tokens="20")
        self.served += response is not None and response.code == 200

    def watch(self) -> None:
        """Note each call that a daemon sends, and each answer that asks for rest."""
        for node in self.fleet.nodes:
            emit = node.events.emit

            def noted(kind, detail="", *rest, node=node, emit=emit, **facts):
                if kind == "sent":
                    self.calls.append((node.settings.node_id, detail, time.monotonic()))
                emit(kind, detail, *rest, **facts)

            node.events.emit = noted
            listener = node.replica_signals.listener

            def listens(replica, read, node=node, listener=listener):
                on_head = listener(replica, read)

                def hears(status, headers):
                    if "Retry-After" in headers:
                        now = time.monotonic()
                        self.rests.append((node.settings.node_id, replica, now))
                    on_head(status, headers)

                return hears

            node.replica_signals.listener = listens

    def late_calls(self, engine: str) -> tuple[int, int]:
        """Return the calls of ``engine`` that came too late after its first one, and all others."""
        times = [at for _, replica, at in self.calls if replica == engine]
        late = [at for at in times if at > times[0] + LEAVE_SECONDS]
        return len(late), len(times) - len(late)

    def most_in_rest(self) -> int:
        """Return the most calls of one daemon that reached an engine in one rest."""
        counts: defaultdict[tuple[str, str, float], int] = defaultdict(int)
        for node, engine, asked_at in self.rests:
            for caller, replica, at in self.calls:
                inside = asked_at + GRACE_SECONDS < at < asked_at + REST_SECONDS
                if (caller, replica) == (node, engine) and inside:
                    counts[node, engine, asked_at] += 1
        return max(counts.values(), default=0)


async def _play(seconds: float, faults: dict[str, Faults]) -> Run:
    run = Run(await start_fleet(DAEMONS, ENGINES, SETTINGS))
    run.watch()
    for name, fault in faults.items():
        run.fleet.engines[name].faults = fault
    calls = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        calls.append(asyncio.ensure_future(run.ask()))
        await asyncio.sleep(EVERY_SECONDS)
    await asyncio.gather(*calls)
    await run.fleet.stop()
    return run


def main(seconds: float = 12.0, off: bool = False) -> None:
    """Play both runs, and print their figures."""
    configure_logs("critical", "benchmark")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    hearing = heard.HeardSigns._heard
    with mock.patch.object(heard.HeardSigns, "_heard", _deaf if off else hearing):
        run = asyncio.run(_play(seconds, {"model-0": Faults(says_leaving=True)}))
        late, others = run.late_calls("model-0")
        print("leaving: late, others", (late, others), "sent, served", (run.sent, run.served))
        resting = Faults(rest=str(REST_SECONDS), rest_share=0.4)
        run = asyncio.run(_play(seconds, {"model-0": resting, "model-1": resting}))
        print("rest: most in one", run.most_in_rest(), "sent, served", (run.sent, run.served))


def _deaf(*answer: object) -> None:
    """Take no note of an answer."""


if __name__ == "__main__":
    fire.Fire(main)
