"""The platform's objects as typed values, with the names that the platform gives their fields.

A ``Server`` is a replica, a service a pool, and a tenant a workspace.
"""

from typing import Annotated

import msgspec

# Versions of the configuration that peers can send to each other.
MAX_VERSION = 1 << 62
# Bounds the duration of a rollout: a week.
MAX_ROLLOUT_SECONDS = 604_800

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
# The regions that an entry allows. An empty list allows none, and no list allows any.
AllowedRegions = list[str] | msgspec.UnsetType


class Metadata(msgspec.Struct, frozen=True):
    """The metadata of a stored object."""

    name: str
    revision: int = 0


class StoredItem(msgspec.Struct, frozen=True):
    """One stored object; how ``spec`` and ``status`` are decoded depends on its kind."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class ListPage(msgspec.Struct, frozen=True):
    """One page of a list, read at revision ``at``; ``more`` is true if another follows."""

    items: list[StoredItem]
    at: int
    more: bool = False


class Change(msgspec.Struct, frozen=True):
    """One change in the answer to a watch; ``gone`` is true if the object was deleted."""

    object: StoredItem
    gone: bool = False


class Changes(msgspec.Struct, frozen=True):
    """The answer to a watch: all changes up to revision ``at``."""

    events: list[Change]
    at: int


class Server(msgspec.Struct, frozen=True):
    """A replica, as it registered itself.

    Programs other than replicas may write such entries too. An entry without a required field, or
    with a field of another type, is invalid. ``cold_left_ms`` is for how many more milliseconds the
    replica was cold when it wrote the entry, and ``born`` is when it started, in milliseconds since
    the Unix epoch. ``version`` is the version of its software.
    """

    service: Text
    addr: Text
    zone: Text
    slots: Annotated[int, msgspec.Meta(ge=0)]
    state: Text
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    version: str | int = ""


class Backend(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests, relative to the other weights."""

    service: str
    weight: float = 1.0


class RouteSpec(msgspec.Struct, frozen=True):
    """A route, to one ``service`` or to several ``backends``.

    ``slo_ms`` is the target time to the answer (to the first event of a stream), and ``gap_slo_ms``
    the target for the longest time between two events.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float = 0
    gap_slo_ms: float = 0
    priority: int = 0
    service: str = ""
    backends: list[Backend] = []
    max_attempts: int = 1
    anonymous: bool = False
    sticky: bool = False
    resumable: bool = False
    allowed_regions: AllowedRegions = msgspec.UNSET


class Engine(msgspec.Struct, frozen=True):
    """The capacity of each replica of a model service."""

    slots: int = 0


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service; ``engine`` is given if its replicas run a model.

    A replica is cold for ``cold_start_s`` seconds after its start, and sustains ``warmup_per_s``
    requests a second during that time, 0 for any number.
    """

    name: str
    engine: Engine | None = None
    cold_start_s: float = 0.0
    warmup_per_s: float = 0.0


class Tenant(msgspec.Struct, frozen=True):
    """A customer and its keys: railsail's workspace."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: AllowedRegions = msgspec.UNSET


class Configuration(msgspec.Struct, frozen=True):
    """The operator's current configuration, in full.

    The entries of its lists are decoded one by one, so that one that cannot be decoded does not
    hide the others. Without ``tenants`` no request needs a key. An empty list is another matter:
    no key is known then, and only routes that are ``anonymous`` admit requests.
    """

    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    routes: list[msgspec.Raw] = []
    services: list[msgspec.Raw] = []
    tenants: list[msgspec.Raw] | msgspec.UnsetType = msgspec.UNSET


class RolloutSpec(msgspec.Struct, frozen=True):
    """An order to move ``service`` to replicas of ``target_version``.

    ``duration_s`` is the time until the deadline of the rollout. The version may be a text or a
    number; the status has it in the same form.
    """

    service: Text
    target_version: Text | int
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_ROLLOUT_SECONDS)]


class RolloutStatus(msgspec.Struct, frozen=True):
    """The status that railsail wrote for a rollout.

    ``target_version`` is the version of the order that ``state`` belongs to; the order may have
    been replaced since.
    """

    state: str = ""
    target_version: str | int = ""
