"""Tell whether a store that answers again was away for so long that objects may be missing.

Objects lapse whose writers could not reach the store for a few heartbeats, and a store that came
back from a copy lacks what was written since. Their writers write them again when it is back.
"""

from railsail.store.versions import era_of

# Objects lapse when their writers have been silent for three heartbeats, of about a second each. A
# shorter absence, such as that of a watch that was cut, is none.
LAPSE_SECONDS = 2.0
# What was missing when the store came back is written again within about two seconds, and counts as
# gone if it is still missing then.
RETURN_SECONDS = 2.5


class StoreAbsence:
    """Follow the calls about some kinds; times are in seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._era: int | None = None

    @property
    def era(self) -> int:
        """Return the era of the last listing, 0 before the first one."""
        return self._era or 0

    def failed(self, asked_at: float, now: float, waits: float) -> None:
        """Take note that a call of ``asked_at``, which waits by its own wish, was not answered.

        Where it was not even answered after its wait, the store has been silent since.
        """
        silent = now - asked_at > waits
        if self._since is None:
            self._since = asked_at if silent else now

    def lapsed(self, now: float) -> bool:
        """Say whether the store has not answered for so long that objects have lapsed."""
        return self._since is not None and now - self._since > LAPSE_SECONDS

    def ended(self) -> None:
        """Take note that the store answered, or that peers have read it since."""
        self._since = None

    def answered(self, version: int, now: float) -> bool:
        """Take note of a listing, and say whether objects may be missing from it."""
        lapsed = self.lapsed(now)
        older = self._era is not None and era_of(version) > self._era
        self.ended()
        self._era = era_of(version)
        return older or lapsed
