"""Merge two records of one replica, whichever way and in whatever order they come.

A replica that leaves does not change its mind: a sign holds for its life, whatever the list says of
that life later, since a record may have been written before the replica decided, and come late. A
new life is told by the time of its start or, where records lack that, by another address, or by a
new record long after the sign. Among signs the newest wins, and among the list's records the one of
the highest version, so that repeats and reorderings do no harm.
"""

from collections.abc import Callable
from dataclasses import replace

from railsail.store.versions import era_of
from railsail.upstreams.records import Listed, Upstream

# A replica that says that it leaves has ended so many seconds later: platforms keep one for seconds
# up to a minute or so. A new record that calls it live after that is of a new life, also where it
# tells no start.
LEAVING_SECONDS = 300.0


class RecordMerger:
    """Merge records, and remember what tells lives and older words apart.

    ``monotonic`` tells seconds.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        # When this node heard first that a replica leaves.
        self._signed_at: dict[str, float] = {}
        # Replicas that the list called leaving and has not called live since.
        self._listed_leaving: set[str] = set()

    def kept(self, upstream: Upstream) -> None:
        """Take note of a record that is in force now."""
        if upstream.listed is Listed.LEAVING:
            self._listed_leaving.add(upstream.name)
        elif upstream.listed is Listed.LIVE:
            self._listed_leaving.discard(upstream.name)
        if upstream.signed_leaving:
            self._signed_at.setdefault(upstream.name, self._monotonic())
        else:
            self._signed_at.pop(upstream.name, None)

    def merge(self, known: Upstream, candidate: Upstream) -> Upstream:
        """Return what holds where ``known`` did and ``candidate`` comes."""
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
            # All nodes that see the new life give it the same sign, which is the newest.
            merged = replace(merged, sign_at=known.sign_at + 1, sign_leaving=False)
        return merged

    def _is_older_word(self, known: Upstream, candidate: Upstream) -> bool:
        """Say whether a record that calls a replica live may be older than what is known of it.

        Where the store came back from a copy, its records may be from before the replica decided to
        leave.
        """
        if candidate.listed is not Listed.LIVE or known.name not in self._listed_leaving:
            return False
        return _is_of_later_era(candidate, known)

    def _is_new_life(self, known: Upstream, candidate: Upstream) -> bool:
        """Say whether the newer record ``candidate`` is of another life than the sign known."""
        if known.born and candidate.born:
            return candidate.born != known.born
        if candidate.endpoint != known.endpoint:
            return True
        signed_at = self._signed_at.get(known.name, self._monotonic())
        long_ago = self._monotonic() - signed_at > LEAVING_SECONDS
        return long_ago and candidate.listed is Listed.LIVE


def _signed_as(record: Upstream, signed: Upstream) -> Upstream:
    """Return ``record`` with the sign of ``signed``."""
    return replace(
        record,
        sign_version=signed.sign_version,
        sign_at=signed.sign_at,
        sign_leaving=signed.sign_leaving,
    )


def _kept_leaving(upstream: Upstream) -> Upstream:
    # Each node that sees the record makes the same sign, so that it is told on only once.
    sign_at = max(upstream.sign_at + 1, upstream.born)
    return replace(upstream, sign_version=upstream.version, sign_at=sign_at, sign_leaving=True)


def _is_former_life(candidate: Upstream, known: Upstream) -> bool:
    """Say whether a store that came back from a copy holds the record of a life before."""
    return 0 < candidate.born < known.born and _is_of_later_era(candidate, known)


def _is_of_later_era(candidate: Upstream, known: Upstream) -> bool:
    """Say whether the store came back from a copy between two records."""
    return era_of(candidate.version) > era_of(known.version)


def _may_be_same_life(one: Upstream, other: Upstream) -> bool:
    return one.born == other.born or not (one.born and other.born)
