"""An operator who changes the configuration, and callers who tell which version answered them."""

import asyncio
import random
from dataclasses import dataclass, field

from tests.platform.base import configuration
from tests.platform.processes import Daemon, ProcessFleet
from tests.platform.standins import PlatformStoreStandin

# Each version adds a route and a key; so many versions later it is taken away again.
KEPT_VERSIONS = 8
# Each so many versions, the operator writes one that is out of the usual form or size.
ODD_VERSIONS = 3
FIRST_VERSION = 3
# Statuses with which a node says that there is no such route or key.
REFUSED_AS_WRONG = frozenset({401, 403, 404})
OK = 200


def route_of(version: int) -> str:
    """Return the path prefix of the route that ``version`` adds."""
    return f"/added-{version}/"


def key_of(version: int) -> str:
    """Return the key that ``version`` adds."""
    return f"the-key-of-{version}"


def odd_shape(version: int) -> tuple[list[dict], list[dict]]:
    """Return tenants and routes that ``version`` has beside the usual ones, of many sizes."""
    rng = random.Random(version)
    prefix = rng.choice(["Customer.", "ärikliendid ", "x" * 200])
    tenants = [
        {"name": f"{prefix}{number}", "api_keys": [f"odd-{number}-{key}" for key in range(count)]}
        for number, count in enumerate((0, 65, rng.choice([200, 3000, 12_000])))
    ]
    # Objects that no build can use, and that must not hold back the others.
    tenants += [{"name": "a\nb", "api_keys": ["nobody"]}, {"name": 7, "api_keys": "none"}]
    routes = [
        {"name": "Wide", "path_prefix": f"/odd/{number}/", "priority": rng.choice([0, 5000])}
        for number in range(rng.choice([1, 100, 1500]))
    ]
    routes[0]["backends"] = [{"service": "desk", "weight": share} for share in range(81)]
    return tenants, routes


class Operator:
    """Change the configuration; times are those of the event loop."""

    def __init__(
        self,
        store: PlatformStoreStandin,
        tenants: list[dict] | None = None,
        route_changes: dict[str, dict] | None = None,
    ) -> None:
        self._store = store
        # Fields that routes have in every version, by the name of the route.
        self._route_changes = route_changes or {}
        # Workspaces that every version has beside the usual one.
        self._tenants = tenants or []
        self.version = FIRST_VERSION
        self.sent_at: dict[int, float] = {}
        # When the store confirmed each version.
        self.confirmed_at: dict[int, float] = {}
        self.change()

    def change(self) -> None:
        """Put the next version into the store."""
        self.version += 1
        kept = range(max(FIRST_VERSION + 1, self.version - KEPT_VERSIONS + 1), self.version + 1)
        value = configuration(self.version, **self._route_changes)
        like = next(route for route in value["routes"] if route["name"] == "again")
        for version in kept:
            added = {"name": f"added-{version}", "path_prefix": route_of(version)}
            value["routes"].append(like | added)
            value["tenants"][0]["api_keys"].append(key_of(version))
        value["tenants"] += self._tenants
        if self.version % ODD_VERSIONS == 0:
            tenants, routes = odd_shape(self.version)
            value["tenants"] += tenants
            value["routes"] += [like | route for route in routes]
        now = asyncio.get_running_loop().time()
        self.sent_at[self.version] = now
        self._store.put("config", "main", value)
        self.confirmed_at[self.version] = asyncio.get_running_loop().time()

    def oldest_kept(self) -> int:
        """Return the oldest version whose route is still there."""
        return max(FIRST_VERSION + 1, self.version - KEPT_VERSIONS + 1)

    def seconds_of_older(self, version: int, sent_at: float, status: int) -> float:
        """Return how long after the confirmation of a version an older one decided an answer.

        ``version`` added the route or the key of the request. It is 0 where the newest may have.
        """
        dropped = version + KEPT_VERSIONS
        if status in REFUSED_AS_WRONG:
            may_be_dropped = dropped in self.sent_at
            return 0.0 if may_be_dropped else sent_at - self.confirmed_at[version]
        if status == OK and dropped in self.confirmed_at:
            return max(0.0, sent_at - self.confirmed_at[dropped])
        return 0.0


@dataclass(frozen=True)
class OldAnswer:
    """An answer that only an older configuration allows."""

    node: str
    request: str
    target: str
    status: int
    # Seconds from the confirmation of the version that would have decided otherwise.
    age: float


@dataclass(frozen=True)
class Cut:
    """A connection that ended without an answer, ``seconds`` after it was asked for."""

    node: str
    request: str
    sent_at: float
    seconds: float


@dataclass
class Callers:
    """Ask the daemons in turn for what the newest versions added and dropped.

    A daemon's answers count when it has been up, and served by the store, for ``settled`` seconds.
    """

    fleet: ProcessFleet
    operator: Operator
    rng: random.Random
    bound: float
    settled: float = 6.0
    every: float = 0.02
    # The part of the calls that are made on routes that versions add; others have a key they add.
    route_share: float = 0.5
    asked: int = 0
    served: int = 0
    old: list[OldAnswer] = field(default_factory=list)
    # For how many seconds after a confirmation an older version has decided, at most.
    longest: float = 0.0
    # Connections that ended without an answer, but for those of daemons that were killed.
    cut: list["Cut"] = field(default_factory=list)
    _calls: set[asyncio.Task] = field(default_factory=set)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            call = asyncio.ensure_future(self._ask(self.rng.choice(self.fleet.balanced())))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.sleep(self.every)

    async def settle(self) -> None:
        """Wait until all calls have ended."""
        if self._calls:
            await asyncio.wait(self._calls)

    async def _ask(self, daemon: Daemon) -> None:
        loop = asyncio.get_running_loop()
        first = max(FIRST_VERSION + 1, self.operator.oldest_kept() - 2)
        version = self.rng.randint(first, self.operator.version)
        self.asked += 1
        number = f"c-{self.asked}"
        sent_at = loop.time()
        if self.rng.random() < self.route_share:
            target, headers = route_of(version), {}
        else:
            target, headers = "/again/", {"Authorization": f"Bearer {key_of(version)}"}
        life = daemon.process
        answer = await self.fleet.call(daemon, target, Request_Id=number, **headers)
        if answer is None:
            return
        self.served += answer.status == OK
        if answer.status == 0 and daemon.process is life and not daemon.killed:
            self.cut.append(Cut(daemon.node, number, sent_at, loop.time() - sent_at))
        if sent_at - daemon.served_since < self.settled or not daemon.running:
            return
        age = self.operator.seconds_of_older(version, sent_at, answer.status)
        self.longest = max(self.longest, age)
        if age > self.bound:
            self.old.append(OldAnswer(daemon.node, number, target, answer.status, age))
