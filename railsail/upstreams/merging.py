"""Merge the records of a replica that come from the store and from peers, in any order.

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
LEAVING_SECONDS = 300.0


class RecordMerger:
    """Merge records, and remember what is needed to recognize restarts and outdated records.

    ``monotonic`` returns seconds.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        # When this node first received the signal that a replica is leaving.
        self._signed_at: dict[str, float] = {}
        # Replicas that the list had as leaving, and not as live since.
        self._listed_leaving: set[str] = set()

    def kept(self, upstream: Upstream) -> None:
        """Remember what is needed of a record that is now in the directory."""
        if upstream.listed is Listed.LEAVING:
            self._listed_leaving.add(upstream.name)
        elif upstream.listed is Listed.LIVE:
            self._listed_leaving.discard(upstream.name)
        if upstream.signed_leaving:
            self._signed_at.setdefault(upstream.name, self._monotonic())
        else:
            self._signed_at.pop(upstream.name, None)

    def merge(self, known: Upstream, candidate: Upstream) -> Upstream:
        """Return the record that replaces ``known`` after ``candidate`` was received."""
        merged = known
        if candidate.version > known.version:
            merged = self._with_newer_record(known, candidate)
        if candidate.sign_at > merged.sign_at and _may_be_same_life(candidate, merged):
            merged = _signed_as(merged, candidate)
        return merged

    def _with_newer_record(self, known: Upstream, candidate: Upstream) -> Upstream:
        if _is_former_life(candidate, known):
            return replace(known, version=candidate.version)
        merged = _signed_as(candidate, known)
        if self._is_older_word(known, candidate):
            merged = _kept_leaving(merged)
        if known.sign_leaving and self._is_new_life(known, candidate):
            # All nodes that see the restart generate the same signal, which is the newest.
            merged = replace(merged, sign_at=known.sign_at + 1, sign_leaving=False)
        return merged

    def _is_older_word(self, known: Upstream, candidate: Upstream) -> bool:
        """Return True if a record that lists a replica as live may be outdated.

        After the store was restored from a copy, its records may be from before the replica started
        to leave.
        """
        if candidate.listed is not Listed.LIVE or known.name not in self._listed_leaving:
            return False
        return _is_of_later_era(candidate, known)

    def _is_new_life(self, known: Upstream, candidate: Upstream) -> bool:
        """Return True if ``candidate`` shows that the replica restarted after its known signal."""
        if known.born and candidate.born:
            return candidate.born != known.born
        if candidate.endpoint != known.endpoint:
            return True
        signed_at = self._signed_at.get(known.name, self._monotonic())
        long_ago = self._monotonic() - signed_at > LEAVING_SECONDS
        return long_ago and candidate.listed is Listed.LIVE


def _signed_as(record: Upstream, signed: Upstream) -> Upstream:
    """Return ``record`` with the signal of ``signed``."""
    return replace(
        record,
        sign_version=signed.sign_version,
        sign_at=signed.sign_at,
        sign_leaving=signed.sign_leaving,
    )


def _kept_leaving(upstream: Upstream) -> Upstream:
    # Each node that sees the record generates the same signal, so that it is broadcast only once.
    sign_at = max(upstream.sign_at + 1, upstream.born)
    return replace(upstream, sign_version=upstream.version, sign_at=sign_at, sign_leaving=True)


def _is_former_life(candidate: Upstream, known: Upstream) -> bool:
    """Return True if ``candidate``, from a restored store, is older than the last restart."""
    return 0 < candidate.born < known.born and _is_of_later_era(candidate, known)


def _is_of_later_era(candidate: Upstream, known: Upstream) -> bool:
    """Return True if the store was restored from a copy between the two records."""
    return era_of(candidate.version) > era_of(known.version)


def _may_be_same_life(one: Upstream, other: Upstream) -> bool:
    return one.born == other.born or not (one.born and other.born)
