"""Tell callers that come back after a refusal from those that ask for the first time.

A caller that comes back names the time that it has left, which is shorter than what others of its
route name by the time that it has spent already. Nothing else tells it: each attempt has an id of
its own, and may reach another daemon. A caller that always allows less time than others looks the
same; it has less time left as well, and is served before them for that reason.
"""

# The longest deadline of a route is that of the last one to two of these, in seconds: long enough
# to see some first attempts on a quiet route, short enough to follow a change of configuration.
GENERATION_SECONDS = 10.0
# Deadlines that differ by less than this, in seconds, are taken for the same; what a caller spends
# on a connection of its own is below it, and the shortest time to come back after is above it.
TOLERANCE_SECONDS = 0.1


class UsualDeadlines:
    """The longest deadline that callers of each route named lately, in seconds."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}
        self._before: dict[str, float] = {}
        self._since = 0.0

    def seen(self, route: str, deadline: float, now: float) -> bool:
        """Take in the ``deadline`` of a request, and say whether its caller probably came back."""
        if deadline <= 0:
            return False
        self._begin_generation(now)
        self._longest[route] = max(deadline, self._longest.get(route, 0.0))
        usual = max(self._longest[route], self._before.get(route, 0.0))
        return deadline < usual - TOLERANCE_SECONDS

    def _begin_generation(self, now: float) -> None:
        if now - self._since < GENERATION_SECONDS:
            return
        self._before, self._longest = self._longest, {}
        self._since = now
