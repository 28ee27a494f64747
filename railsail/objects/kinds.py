"""The kinds of objects that operators write.

A workspace buys a priority class, which has a weight, and follows a policy, which is a set of short
CEL programs. A pool is the set of upstream replicas that serve one model or one plain service.
"""

import enum
from typing import Annotated, ClassVar

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Program = Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class CostUnit(enum.StrEnum):
    """What service is counted in."""

    TOKENS = "tokens"
    MILLISECONDS = "milliseconds"
    CALLS = "calls"


class Resource(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of all objects: a kind and a name."""

    KIND: ClassVar[str] = ""

    name: Name

    @property
    def key(self) -> tuple[str, str]:
        """Return kind and name, which together are unique."""
        return (self.KIND, self.name)


class PriorityClass(Resource, frozen=True, forbid_unknown_fields=True):
    """A priority that a workspace can buy.

    ``weight`` is its share against other classes. ``engine_priority`` is passed to model engines,
    which serve lower numbers first.
    """

    KIND: ClassVar[str] = "priorityclass"

    weight: Annotated[float, msgspec.Meta(ge=0.01, le=1000)] = 1.0
    engine_priority: Annotated[int, msgspec.Meta(ge=0, le=100)] = 50


class Policy(Resource, frozen=True, forbid_unknown_fields=True):
    """How the requests of a workspace are treated; each field is a CEL program.

    ``rank`` orders the workspace's own requests, higher first; one unit is worth 30 s of waiting.
    ``may_wait`` gives the seconds that a request may wait, 0 for not at all. ``never_repeat`` says
    whether a request may run at most once.
    """

    KIND: ClassVar[str] = "policy"

    rank: Program = "0"
    may_wait: Program = "60"
    never_repeat: Program = "false"


class Workspace(Resource, frozen=True, forbid_unknown_fields=True):
    """A customer of the fleet.

    ``key_hashes`` are the SHA-256 sums, in hexadecimal, of the bearer keys of its callers.
    """

    KIND: ClassVar[str] = "workspace"

    priority_class: Name
    policy: Name
    key_hashes: Annotated[tuple[KeyHash, ...], msgspec.Meta(min_length=1, max_length=8)]


class Pool(Resource, frozen=True, forbid_unknown_fields=True):
    """The replicas that serve one model or one plain service.

    ``upstream_kind`` names the plug-in that speaks to them. ``slots`` is the number of calls that a
    replica works on at once where it reports none; 0 lets the limit be learnt. ``first_estimate``
    is the cost assumed of a request, in ``cost_unit``, until costs were seen.
    """

    KIND: ClassVar[str] = "pool"

    upstream_kind: Name
    cost_unit: CostUnit
    slots: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    first_estimate: Annotated[float, msgspec.Meta(gt=0, le=1e9)] = 100.0


KINDS: dict[str, type[Resource]] = {
    kind.KIND: kind for kind in (PriorityClass, Policy, Workspace, Pool)
}
