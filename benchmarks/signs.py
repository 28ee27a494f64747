"""Measure how daemons react to signals in answers: that a replica leaves, or requests a backoff.

    python -m benchmarks.signs [--seconds=12] [--off]

Four daemons run in one process, with four engines and 33 requests a second. There are two runs. In
the first, one engine reports in all its answers that it is leaving (draining before it stops),
while its record and its load reports do not; the figure is the number of calls that are sent to it
later than two seconds after its first call. In the second, two engines refuse 4 of 10 calls and
request a backoff of three seconds; the figure is the largest number of calls that one daemon sends
to one of them between half a second after such an answer and the end of the backoff. ``--off``
ignores the signals, for comparison.

Without the signals, 88 calls were sent too late (16 in time), with them 0 (1 in time). Without
them, 13 calls were sent to an engine within one backoff, with them 0. All of 388 and 389 requests
were served in each run (one run each, beside other load).
"""

import asyncio
import logging
import time
from collections import defaultdict
from dataclasses import dataclass, field
from unittest import mock

import fire

from benchmarks.chat import endpoint_of, send_chat, start_fleet
from railsail.core.logs import configure_logs
from railsail.standins.batching import EngineSettings, Faults
from railsail.standins.fleet import StandinFleet
from railsail.upstreams import heard

DAEMONS = 4
ENGINES = 4
REQUEST_INTERVAL_SECONDS = 0.03
# After this time all daemons have received the update that an engine is leaving, so that none may
# send it a call.
LEAVE_GRACE_SECONDS = 2.0
BACKOFF_SECONDS = 3.0
# Calls that are in flight when an engine requests a backoff may still reach it for this long.
IN_FLIGHT_SECONDS = 0.5
SETTINGS = EngineSettings(slots=16, decode_rate=400.0)


@dataclass
class Run:
    """The fleet of one run, its requests, and what daemons sent to the engines.

    ``calls`` are the calls and ``backoffs`` the answers that requested a backoff, each as the node
    id of the daemon, the engine and the time.
    """

    fleet: StandinFleet
    sent: int = 0
    served: int = 0
    calls: list[tuple[str, str, float]] = field(default_factory=list)
    backoffs: list[tuple[str, str, float]] = field(default_factory=list)

    async def send_request(self) -> None:
        """Send one request to the next daemon."""
        node = self.fleet.nodes[self.sent % DAEMONS]
        self.sent += 1
        response = await send_chat(endpoint_of(node), "hello", False, output_tokens="20")
        self.served += response is not None and response.code == 200

    def record_traffic(self) -> None:
        """Record each call that a daemon sends, and each answer that requests a backoff.

        This wraps ``emit`` of the events and ``listener`` of the answer heads in each daemon.
        """
        for node in self.fleet.nodes:
            emit = node.events.emit

            def emit_and_record(kind, detail="", *rest, node=node, emit=emit, **facts):
                if kind == "sent":
                    self.calls.append((node.settings.node_id, detail, time.monotonic()))
                emit(kind, detail, *rest, **facts)

            node.events.emit = emit_and_record
            listener = node.replica_signals.listener

            def wrapped_listener(replica, read, node=node, listener=listener):
                on_head = listener(replica, read)

                def record_backoff(status, headers):
                    if "Retry-After" in headers:
                        now = time.monotonic()
                        self.backoffs.append((node.settings.node_id, replica, now))
                    on_head(status, headers)

                return record_backoff

            node.replica_signals.listener = wrapped_listener

    def late_calls(self, engine: str) -> tuple[int, int]:
        """Return how many calls of ``engine`` were late after its first call, and how many not."""
        times = [at for _, replica, at in self.calls if replica == engine]
        late = [at for at in times if at > times[0] + LEAVE_GRACE_SECONDS]
        return len(late), len(times) - len(late)

    def max_calls_in_backoff(self) -> int:
        """Return the most calls that one daemon sent to an engine within one backoff."""
        counts: defaultdict[tuple[str, str, float], int] = defaultdict(int)
        for node, engine, requested_at in self.backoffs:
            for sender, replica, at in self.calls:
                inside = requested_at + IN_FLIGHT_SECONDS < at < requested_at + BACKOFF_SECONDS
                if (sender, replica) == (node, engine) and inside:
                    counts[node, engine, requested_at] += 1
        return max(counts.values(), default=0)


async def _measure(seconds: float, faults: dict[str, Faults]) -> Run:
    run = Run(await start_fleet(DAEMONS, ENGINES, SETTINGS))
    run.record_traffic()
    for name, fault in faults.items():
        run.fleet.engines[name].faults = fault
    calls = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        calls.append(asyncio.ensure_future(run.send_request()))
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    await asyncio.gather(*calls)
    await run.fleet.stop()
    return run


def main(seconds: float = 12.0, off: bool = False) -> None:
    """Run both parts of the benchmark, and print their figures."""
    configure_logs("critical", "benchmark")
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    handle_answer = heard.HeardSigns._record
    with mock.patch.object(heard.HeardSigns, "_record", _ignore_answer if off else handle_answer):
        run = asyncio.run(_measure(seconds, {"model-0": Faults(says_leaving=True)}))
        late, others = run.late_calls("model-0")
        print("leaving: late, others", (late, others), "sent, served", (run.sent, run.served))
        refusing = Faults(rest=str(BACKOFF_SECONDS), rest_share=0.4)
        run = asyncio.run(_measure(seconds, {"model-0": refusing, "model-1": refusing}))
        print(
            "backoff: most in one",
            run.max_calls_in_backoff(),
            "sent, served",
            (run.sent, run.served),
        )


def _ignore_answer(*answer: object) -> None:
    """Ignore the head of an answer."""


if __name__ == "__main__":
    fire.Fire(main)
