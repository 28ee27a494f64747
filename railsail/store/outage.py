"""Detection of store outages after which a listing may lack objects.

An object expires if its writer cannot reach the store for a few heartbeats, and a store that was
restored from a copy lacks what was written after the copy was made. The writers write the missing
objects again once the store answers.
"""

from railsail.store.versions import era_of

# Objects expire when their writers miss three heartbeats of about a second each. A shorter time
# without answers, such as that of one failed watch, does not count as an outage.
LAPSE_SECONDS = 2.0
# Time after an outage in which missing objects are not taken as deleted: their writers need about
# two seconds to write them again.
RETURN_SECONDS = 2.5


class StoreAbsence:
    """The recent results of the calls for one kind, and the store outage that they show.

    Times are in seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._since: float | None = None
        self._era: int | None = None

    @property
    def era(self) -> int:
        """Return the store generation of the last listing, 0 before the first listing."""
        return self._era or 0

    def failed(self, asked_at: float, now: float, waits: float) -> None:
        """Record that a call made at ``asked_at`` failed at ``now``.

        ``waits`` is how many seconds the call let the store delay the answer. If it failed after
        more time than that, the store has been silent since ``asked_at``; otherwise the outage is
        counted from ``now``.
        """
        silent = now - asked_at > waits
        if self._since is None:
            self._since = asked_at if silent else now

    def lapsed(self, now: float) -> bool:
        """Return True if the store has been silent for so long that objects have expired."""
        return self._since is not None and now - self._since > LAPSE_SECONDS

    def ended(self) -> None:
        """Record that the store answered, or that peers have read it in the meantime."""
        self._since = None

    def answered(self, version: int, now: float) -> bool:
        """Record a listing at ``version``; return True if objects may be missing from it."""
        lapsed = self.lapsed(now)
        older = self._era is not None and era_of(version) > self._era
        self.ended()
        self._era = era_of(version)
        return older or lapsed
