"""Find the route of a request, and choose one of its pools."""

import random
from collections.abc import Iterable

from railsail.objects.kinds import Route


class RouteTable:
    """Table of routes by host and path prefix; the longest prefix wins."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or ``None``; ``host`` is a name with or without a port."""
        prefixes = self._hosts.get(_without_port(host).lower())
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
