"""Detect whether a replica whose call broke off has crashed, and what ran on it.

A lost connection is weak evidence: connections are reset, answers are cut short, and replicas lose
the network to some nodes. A replica has crashed if its port refuses connections right after a call
broke off, or if the replica reports that it has restarted since. A port that does not answer at all
says nothing about the process behind it.
"""

import asyncio
from collections.abc import Callable, Collection

from railsail.core.kernel import Kernel
from railsail.core.tasks import TaskSet
from railsail.quarantine.service import Quarantine
from railsail.quarantine.table import ReplicaCrash
from railsail.upstreams.directory import UpstreamDirectory
from railsail.upstreams.probing import refuses_connections
from railsail.upstreams.records import Upstream

# Retries of the request wait for the first probe, but no longer than this. A port on which no
# process listens refuses within a round trip, which takes 40 ms between the regions of one fleet.
HOLD_SECONDS = 0.05
# Delay before each probe, and the timeout of each. A process that is being killed may still accept
# connections shortly after it has closed its own, an answer to a probe may be lost, and a node that
# is busy reads it late. A replica takes a second or more to restart, so that all probes come before
# that.
PROBE_DELAYS_SECONDS = (0.0, 0.1, 0.3)
PROBE_SECONDS = 0.25
# Calls that broke off up to this long before are part of the same crash: all callers notice it
# within this time.
SAME_CRASH_SECONDS = 1.0


class EndObserver:
    """Check the replicas of calls that broke off, and report crashes to the quarantine.

    ``calls_on`` returns the fingerprints of the requests in flight on a replica that were sent no
    later than the given time, and of the shared parts of their prompts. ``survivors_on`` returns
    the parts of those prompts whose answers the replica had been writing for a while at that time.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        directory: UpstreamDirectory,
        calls_on: Callable[[str, float], set[int]],
        survivors_on: Callable[[str, float], set[int]],
        kernel: Kernel,
    ) -> None:
        self._quarantine = quarantine
        self._directory = directory
        self._calls_on = calls_on
        self._survivors_on = survivors_on
        self._clock = kernel.clock
        self._tasks = TaskSet()
        # By replica and fingerprint, when the last call with it broke off or was abandoned.
        self._interrupted_calls: dict[str, dict[int, float]] = {}
        # By replica, the parts of prompts whose answers it had been writing for a while when they
        # broke off. They are kept for calls whose end is reported later.
        self._survivors: dict[str, set[int]] = {}
        self._checking: set[str] = set()
        # Replicas whose first probe since they broke off a call is running.
        self._first_probes: set[str] = set()
        directory.on_rebirth(self._on_restart)

    def stop(self) -> None:
        """Cancel all checks."""
        self._tasks.cancel()

    def is_probing(self, fingerprints: Collection[int]) -> bool:
        """Return True if a probe is running that may show a crash under one of ``fingerprints``."""
        return any(
            fingerprint in self._interrupted_calls.get(replica, ())
            for replica in self._first_probes
            for fingerprint in fingerprints
        )

    def record_broken_call(
        self, replica: str, fingerprints: Collection[int], survivors: Collection[int]
    ) -> None:
        """Record that ``replica`` broke off its answer to a request, and check the replica.

        ``fingerprints`` are those of the request and of the parts that may be to blame, and
        ``survivors`` are the parts that are not, if it had been writing the answer for a while.
        """
        self._record(replica, fingerprints)
        self._survivors.setdefault(replica, set()).update(survivors)
        if replica not in self._checking:
            self._first_probes.add(replica)
        self._start_check(replica)

    def record_abandoned_call(self, replica: str, fingerprints: Collection[int]) -> None:
        """Record that a call ended before its answer did, though the replica did not break it off.

        The caller left before or soon after the answer started, or the replica fell silent. The
        call cannot break off any more, but the replica may still crash.
        """
        self._record(replica, fingerprints)
        self._start_check(replica)

    def _start_check(self, replica: str) -> None:
        upstream = self._directory.get(replica)
        if upstream is not None and replica not in self._checking:
            self._checking.add(replica)
            self._tasks.start(self._check(upstream))

    def _record(self, replica: str, fingerprints: Collection[int]) -> None:
        now = self._clock.monotonic()
        for name, interrupted in list(self._interrupted_calls.items()):
            recent = _recent(interrupted, now)
            if recent:
                self._interrupted_calls[name] = recent
            else:
                del self._interrupted_calls[name]
        for name in [name for name in self._survivors if self._directory.get(name) is None]:
            del self._survivors[name]
        self._interrupted_calls.setdefault(replica, {}).update(dict.fromkeys(fingerprints, now))

    async def _check(self, upstream: Upstream) -> None:
        try:
            if await self._has_crashed(upstream):
                self._report_crash(upstream)
        finally:
            self._first_probes.discard(upstream.name)
            self._checking.discard(upstream.name)

    async def _has_crashed(self, upstream: Upstream) -> bool:
        loop = asyncio.get_running_loop()
        release = loop.call_later(HOLD_SECONDS, self._first_probes.discard, upstream.name)
        try:
            for delay in PROBE_DELAYS_SECONDS:
                await asyncio.sleep(delay)
                if await refuses_connections(upstream.endpoint, PROBE_SECONDS):
                    return True
                self._first_probes.discard(upstream.name)
            return False
        finally:
            release.cancel()

    def _on_restart(self, former: Upstream) -> None:
        self._report_crash(former)
        self._survivors.pop(former.name, None)

    def _report_crash(self, upstream: Upstream) -> None:
        now = self._clock.monotonic()
        interrupted = _recent(self._interrupted_calls.pop(upstream.name, {}), now)
        ran = set(interrupted)
        broke_off_at = min(interrupted.values(), default=now)
        ran |= self._calls_on(upstream.name, broke_off_at)
        ran -= self._survivors.get(upstream.name, set())
        ran -= self._survivors_on(upstream.name, broke_off_at)
        if ran:
            crash = ReplicaCrash(upstream.name, upstream.born, broke_off_at, frozenset(ran))
            self._quarantine.record_crash(crash)


def _recent(interrupted: dict[int, float], now: float) -> dict[int, float]:
    """Return those of ``interrupted`` calls that may be part of a crash that is noticed now."""
    return {fp: at for fp, at in interrupted.items() if at >= now - SAME_CRASH_SECONDS}
