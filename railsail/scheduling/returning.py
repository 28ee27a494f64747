"""Who comes back after a refusal, as the dispatcher that refused them knows.

The load that this answers: a flood in which most requests are refused once. A caller that comes
back was late from its first try on, so that nothing is lost by serving it after those that can
still be in time; but it will hardly come back again, so that it may wait for longer than they do.
To tell it from the others by what it says of itself is a guess: where callers name deadlines that
differ from the first try on, nine of ten first tries were taken for returns, all of them were let
wait, and 99 in 100 refusals came 0.6 s late (one played flood of 62 nodes).

A repeat has the fingerprint of its first try; and it comes when it was told to, so that it is
remembered until shortly after.
"""

from collections import Counter, deque

# A caller that was told when to come back takes so many seconds more: for a connection of its own,
# and for the way to the dispatcher.
COME_BACK_SLACK_SECONDS = 1.0
# Refusals remembered at once; of more than that the oldest are forgotten. A flood of 2,000 refusals
# a second, each told to stay away for 4 s, needs fewer.
MOST_REMEMBERED = 16_384
# A request whose caller came back may wait for so many of its objectives: a late answer is better
# than another refusal, but after a few objectives callers leave.
RETURN_WAIT_OBJECTIVES = 2.0


class RefusedCallers:
    """Remember refusals by fingerprint; times are in seconds of the dispatcher's clock."""

    def __init__(self) -> None:
        self._awaited: Counter[int] = Counter()
        self._until: deque[tuple[float, int]] = deque()

    def refused(self, fingerprint: int, come_back: float, now: float) -> None:
        """Take note that a request was refused, and its caller told to ``come_back`` so late."""
        if not fingerprint:
            return
        if len(self._until) >= MOST_REMEMBERED:
            self._forget_oldest()
        self._awaited[fingerprint] += 1
        self._until.append((now + come_back + COME_BACK_SLACK_SECONDS, fingerprint))

    def comes_back(self, fingerprint: int, now: float) -> bool:
        """Say whether a request that comes now was refused before, and forget that refusal."""
        while self._until and self._until[0][0] < now:
            self._forget_oldest()
        if not self._awaited.get(fingerprint):
            return False
        self._take(fingerprint)
        return True

    def _forget_oldest(self) -> None:
        _, fingerprint = self._until.popleft()
        if self._awaited.get(fingerprint):
            self._take(fingerprint)

    def _take(self, fingerprint: int) -> None:
        self._awaited[fingerprint] -= 1
        if not self._awaited[fingerprint]:
            del self._awaited[fingerprint]
