"""The kinds of configuration objects.

A workspace has a priority class, which gives it a weight, and a policy, which is a set of short CEL
programs. A pool is the set of upstream replicas that serve one model or one plain service. A route
sends requests of a host and a path prefix to pools.
"""

import enum
from typing import Annotated, ClassVar

import msgspec

from railsail.core.registry import Registry

# The patterns end with ``\Z``, since ``$`` also matches before a line feed at the end.
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z")]
Program = Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]
# A ticket carries this many regions at most.
MAX_REGIONS = 64
Regions = Annotated[tuple[str, ...], msgspec.Meta(max_length=MAX_REGIONS)]
# The name of no region: what is restricted to it can run nowhere. Empty regions restrict nothing.
NO_REGION = "-"
MAX_HOST_LENGTH = 255
# Priorities only order requests. The bound leaves room for ranks, which are sent in thousandths.
Priority = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]

# The kinds of upstreams that a pool may name; their plug-ins register themselves.
UPSTREAM_KINDS: Registry[type] = Registry("upstream kind")


class CostUnit(enum.StrEnum):
    """The unit in which the cost of requests is counted."""

    TOKENS = "tokens"
    MILLISECONDS = "milliseconds"
    CALLS = "calls"


class Resource(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base class of all configuration objects: a kind and a name."""

    KIND: ClassVar[str] = ""

    name: Name

    @property
    def key(self) -> tuple[str, str]:
        """Return the kind and the name, which together are unique."""
        return (self.KIND, self.name)


class PriorityClass(Resource, frozen=True, forbid_unknown_fields=True):
    """A priority that a customer can buy for a workspace.

    ``weight`` is its share relative to other classes. ``engine_priority`` is sent to model engines,
    which serve lower numbers first.
    """

    KIND: ClassVar[str] = "priorityclass"

    weight: Annotated[float, msgspec.Meta(ge=0.01, le=1000)] = 1.0
    engine_priority: Annotated[int, msgspec.Meta(ge=0, le=100)] = 50


class Policy(Resource, frozen=True, forbid_unknown_fields=True):
    """How the requests of a workspace are treated; each field is a CEL program.

    ``rank`` orders the requests of the workspace, higher first; one unit counts as much as 30 s of
    waiting. ``may_wait`` returns the maximum wait of a request in seconds, 0 for none.
    ``never_repeat`` returns true if a request may run at most once.
    """

    KIND: ClassVar[str] = "policy"

    rank: Program = "0"
    may_wait: Program = "60"
    never_repeat: Program = "false"


class Workspace(Resource, frozen=True, forbid_unknown_fields=True):
    """A customer of the fleet.

    ``key_hashes`` are the SHA-256 digests, in hexadecimal, of the bearer keys of its callers;
    without any, no caller is admitted. ``priority`` overrides the priority of a route; 0 is the
    highest. If ``regions`` are given, its requests only run in those.
    """

    KIND: ClassVar[str] = "workspace"

    priority_class: Name
    policy: Name
    key_hashes: Annotated[tuple[KeyHash, ...], msgspec.Meta(max_length=64)]
    priority: Priority | None = None
    regions: Regions = ()


class Pool(Resource, frozen=True, forbid_unknown_fields=True):
    """The replicas that serve one model or one plain service.

    ``upstream_kind`` names the plug-in that calls them. ``slots`` is the number of concurrent calls
    of a replica that reports no such number; with 0 the limit is learnt. ``first_estimate`` is the
    assumed cost of a request, in ``cost_unit``, until costs were observed. A replica is cold for
    ``cold_seconds`` after its start, and sustains ``warmup_rate`` calls a second during that time,
    0 for any number.
    """

    KIND: ClassVar[str] = "pool"

    upstream_kind: Name
    cost_unit: CostUnit
    slots: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    first_estimate: Annotated[float, msgspec.Meta(gt=0, le=1e9)] = 100.0
    cold_seconds: Annotated[float, msgspec.Meta(ge=0, le=86_400)] = 0.0
    warmup_rate: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0


class PoolShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool of a route; ``weight`` is its share of the requests relative to the other pools."""

    pool: Name
    weight: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 1.0


class Route(Resource, frozen=True, forbid_unknown_fields=True):
    """Which pools serve the requests for a host whose path starts with ``prefix``.

    Among the routes of a host, the one with the longest matching prefix is used. ``repeatable``
    requests may run more than once. ``streaming`` answers are streams of events; ``resumable``
    streams may continue on another replica. ``timeout`` is the maximum time of a request,
    ``objective`` the target time to its answer (to the first event of a stream) and ``pause`` the
    target for the longest time between two events; all in seconds, the latter two 0 for none.
    ``priority`` 0 is the highest. ``max_attempts`` is the maximum number of attempts per request.
    ``public`` routes need no key, and all others do. ``affinity`` prefers the replica that has the
    prompt prefix in its cache. If ``regions`` are given, requests only run in those that their
    workspace allows too.
    """

    KIND: ClassVar[str] = "route"

    host: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_HOST_LENGTH)]
    prefix: Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?\Z", max_length=2048)]
    pools: Annotated[tuple[PoolShare, ...], msgspec.Meta(min_length=1, max_length=64)]
    repeatable: bool = False
    streaming: bool = False
    resumable: bool = False
    public: bool = False
    affinity: bool = False
    timeout: Annotated[float, msgspec.Meta(gt=0, le=86_400)] = 60.0
    objective: Annotated[float, msgspec.Meta(ge=0, le=86_400)] = 0.0
    pause: Annotated[float, msgspec.Meta(ge=0, le=86_400)] = 0.0
    priority: Priority = 0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    regions: Regions = ()

    @property
    def may_repeat(self) -> bool:
        """Return True if a request may run again although it may have run before."""
        return self.repeatable or self.resumable


KINDS: dict[str, type[Resource]] = {
    kind.KIND: kind for kind in (PriorityClass, Policy, Workspace, Pool, Route)
}
