"""Detection of store outages after which a listing may lack objects.

An object expires if its writer cannot reach the store for a few heartbeats, and a store that was
restored from a copy lacks what was written after the copy was made. The writers write the missing
objects again once the store answers.
"""

from railsail.store.versions import era_of

# Objects expire when their writers miss three heartbeats of about a second each. A shorter time
# without answers, such as that of one failed watch, does not count as an outage.
OBJECT_EXPIRY_SECONDS = 2.0
# Time after an outage in which missing objects are not taken as deleted: their writers need about
# two seconds to write them again.
REWRITE_SECONDS = 2.5


class StoreOutage:
    """The recent results of the calls for one kind, and the store outage that they show.

    Times are in seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._since: float | None = None
        self._generation: int | None = None

    @property
    def generation(self) -> int:
        """Return the store generation of the last listing, 0 before the first listing."""
        return self._generation or 0

    def record_failure(self, called_at: float, now: float, max_wait: float) -> None:
        """Record that a call made at ``called_at`` failed at ``now``.

        ``max_wait`` is how many seconds the call let the store delay the answer. If it failed after
        more time than that, the store has been silent since ``called_at``; otherwise the outage is
        counted from ``now``.
        """
        timed_out = now - called_at > max_wait
        if self._since is None:
            self._since = called_at if timed_out else now

    def objects_expired(self, now: float) -> bool:
        """Return True if the store has been silent for so long that objects have expired."""
        return self._since is not None and now - self._since > OBJECT_EXPIRY_SECONDS

    def end(self) -> None:
        """Record that the store answered, or that peers have read it in the meantime."""
        self._since = None

    def record_listing(self, version: int, now: float) -> bool:
        """Record a listing at ``version``; return True if objects may be missing from it."""
        expired = self.objects_expired(now)
        restored = self._generation is not None and era_of(version) > self._generation
        self.end()
        self._generation = era_of(version)
        return restored or expired
