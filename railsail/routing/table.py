"""Find the route of a request, and choose one of its pools."""

import random
from collections.abc import Iterable

from railsail.objects.kinds import Route
from railsail.objects.reading import UnusableObject

Entry = Route | UnusableObject


class RouteTable:
    """Table of routes by host and path prefix; the longest prefix wins.

    Routes that cannot be used have their places too, so that their requests are not run by a route
    with a shorter prefix. A request without a route may be one of a route whose host or prefix
    cannot be read.
    """

    def __init__(
        self, routes: Iterable[Route] = (), unusable: Iterable[UnusableObject] = ()
    ) -> None:
        self._hosts: dict[str, dict[str, Entry]] = {}
        # Routes with an odd prefix, by host, and one whose place is not known at all.
        self._odd: dict[str, list[UnusableObject]] = {}
        self._unplaced: UnusableObject | None = None
        for route in routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route
        for route in unusable:
            self._add_unusable(route)

    def _add_unusable(self, route: UnusableObject) -> None:
        host, prefix = route.value.get("host"), route.value.get("prefix")
        if not isinstance(host, str) or not isinstance(prefix, str):
            self._unplaced = route
        elif prefix.startswith("/") and prefix.endswith("/"):
            self._hosts.setdefault(host.lower(), {})[prefix] = route
        else:
            self._odd.setdefault(host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Entry | None:
        """Return the route of a request, or ``None``; ``host`` is a name with or without a port."""
        host = _without_port(host).lower()
        found = self._find_regular(host, path)
        length = len(_prefix_of(found)) if found is not None else -1
        for odd in self._odd.get(host, ()):
            if len(_prefix_of(odd)) > length and path.startswith(_prefix_of(odd)):
                return odd
        return self._unplaced if found is None else found

    def _find_regular(self, host: str, path: str) -> Entry | None:
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only those parts of the path that end with one need to be
        # tried.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _prefix_of(entry: Entry) -> str:
    return entry.prefix if isinstance(entry, Route) else str(entry.value["prefix"])


def choose_pool(route: Route, rng: random.Random) -> str:
    """Return one of the route's pools, chosen at random by weight.

    If all weights are 0, return the first pool.
    """
    if len(route.pools) == 1:
        return route.pools[0].pool
    names = [share.pool for share in route.pools]
    weights = [share.weight for share in route.pools]
    if not any(weights):
        return names[0]
    return rng.choices(names, weights)[0]


def pools_in_use(route: Route) -> set[str]:
    """Return the pools that ``choose_pool`` may return for ``route``."""
    weighted = {share.pool for share in route.pools if share.weight}
    return weighted or {route.pools[0].pool}


def _without_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host
