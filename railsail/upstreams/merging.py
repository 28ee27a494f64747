"""Merge the records of a replica that are received from the store and from peers, in any order.

A replica that is leaving stays so until it restarts. A signal therefore holds until then, whatever
later records say: such a record may have been written before the signal, and arrive late. A restart
is recognized by the start time or, if records lack it, by another endpoint or by a new record long
after the signal. The newest signal wins, and so does the listed record with the highest version, so
that duplicates and reordering do no harm.
"""

from collections.abc import Callable
from dataclasses import replace

from railsail.store.versions import era_of
from railsail.upstreams.records import Listed, Upstream

# A replica has stopped this many seconds after a signal that it is leaving: platforms allow it some
# seconds, up to about a minute. A new record that lists it as live after that means that it has
# restarted, also if the record has no start time.
MAX_LEAVING_SECONDS = 300.0


class RecordMerger:
    """A merger of records.

    It remembers what is needed to recognize restarts and outdated records. ``monotonic`` returns
    seconds.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        # When this node first received the signal that a replica is leaving.
        self._signalled_at: dict[str, float] = {}
        # Replicas that the list had as leaving, and not as live since.
        self._listed_leaving: set[str] = set()

    def on_stored(self, upstream: Upstream) -> None:
        """Remember what is needed of a record that is now in the directory."""
        if upstream.listed is Listed.LEAVING:
            self._listed_leaving.add(upstream.name)
        elif upstream.listed is Listed.LIVE:
            self._listed_leaving.discard(upstream.name)
        if upstream.leaving_by_signal:
            self._signalled_at.setdefault(upstream.name, self._monotonic())
        else:
            self._signalled_at.pop(upstream.name, None)

    def merge(self, known: Upstream, candidate: Upstream) -> Upstream:
        """Return the record that replaces ``known`` after ``candidate`` was received."""
        merged = known
        if candidate.version > known.version:
            merged = self._with_newer_record(known, candidate)
        if candidate.signalled_at_ms > merged.signalled_at_ms and _may_be_same_start(
            candidate, merged
        ):
            merged = _with_signal_of(merged, candidate)
        return merged

    def _with_newer_record(self, known: Upstream, candidate: Upstream) -> Upstream:
        if _is_before_restart(candidate, known):
            return replace(known, version=candidate.version)
        merged = _with_signal_of(candidate, known)
        if self._may_be_outdated(known, candidate):
            merged = _marked_leaving(merged)
        if known.signal_leaving and self._is_restart(known, candidate):
            # All nodes that see the restart generate the same signal, which is the newest.
            merged = replace(
                merged, signalled_at_ms=known.signalled_at_ms + 1, signal_leaving=False
            )
        return merged

    def _may_be_outdated(self, known: Upstream, candidate: Upstream) -> bool:
        """Return True if a record that lists a replica as live may be outdated.

        After the store was restored from a copy, its records may be from before the replica started
        to leave.
        """
        if candidate.listed is not Listed.LIVE or known.name not in self._listed_leaving:
            return False
        return _is_of_later_generation(candidate, known)

    def _is_restart(self, known: Upstream, candidate: Upstream) -> bool:
        """Return True if ``candidate`` shows that the replica restarted after its known signal."""
        if known.born and candidate.born:
            return candidate.born != known.born
        if candidate.endpoint != known.endpoint:
            return True
        signalled_at = self._signalled_at.get(known.name, self._monotonic())
        long_ago = self._monotonic() - signalled_at > MAX_LEAVING_SECONDS
        return long_ago and candidate.listed is Listed.LIVE


def _with_signal_of(record: Upstream, signalled: Upstream) -> Upstream:
    """Return ``record`` with the signal of ``signalled``."""
    return replace(
        record,
        signal_version=signalled.signal_version,
        signalled_at_ms=signalled.signalled_at_ms,
        signal_leaving=signalled.signal_leaving,
    )


def _marked_leaving(upstream: Upstream) -> Upstream:
    # Each node that sees the record generates the same signal, so that it is broadcast only once.
    signalled_at_ms = max(upstream.signalled_at_ms + 1, upstream.born)
    return replace(
        upstream,
        signal_version=upstream.version,
        signalled_at_ms=signalled_at_ms,
        signal_leaving=True,
    )


def _is_before_restart(candidate: Upstream, known: Upstream) -> bool:
    """Return True if ``candidate``, from a restored store, is older than the last restart."""
    return 0 < candidate.born < known.born and _is_of_later_generation(candidate, known)


def _is_of_later_generation(candidate: Upstream, known: Upstream) -> bool:
    """Return True if the store was restored from a copy between the two records."""
    return era_of(candidate.version) > era_of(known.version)


def _may_be_same_start(one: Upstream, other: Upstream) -> bool:
    return one.born == other.born or not (one.born and other.born)
