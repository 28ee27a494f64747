"""The objects of the platform, and their conversion to railsail's own.

Names of fields are the platform's. A ``Server`` is a replica, a service a pool, and a tenant a
workspace.
"""

import functools
from collections.abc import Callable, Iterator
from typing import Annotated, Any

import msgspec

from railsail.core.logs import get_logger
from railsail.core.slices import Steps
from railsail.objects.catalog import hash_key
from railsail.objects.kinds import (
    NO_REGION,
    CostUnit,
    Pool,
    PoolShare,
    Resource,
    Route,
    Workspace,
)
from railsail.objects.parse import to_plain
from railsail.objects.reading import UNREADABLE
from railsail.routing.defaults import DEFAULT_CLASS, DEFAULT_POLICY
from railsail.store.decoding import UndecodableObject, decode

MS_PER_SECOND = 1000.0
# Versions of the configuration that peers can send to each other.
MAX_VERSION = 1 << 62
# Bounds the duration of a rollout: a week.
MAX_ROLLOUT_SECONDS = 604_800
# Keys that are hashed, and objects that are converted, without a pause.
KEYS_AT_ONCE = 1000
OBJECTS_AT_ONCE = 20
STREAMING = "streaming"
IDEMPOTENT = "idempotent"


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


Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
# The regions that an entry allows. An empty list allows none, and no list allows any.
AllowedRegions = list[str] | msgspec.UnsetType


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


def configuration_steps(spec: bytes) -> Steps[dict[str, object]]:
    """Return the platform's configuration as the head object of railsail's configuration.

    A route, service or tenant that cannot be decoded becomes an object that says why. Raise
    ``UndecodableObject`` if not even the version and the lists can be decoded.
    """
    given = decode(spec, Configuration)
    objects = [to_plain(DEFAULT_CLASS), to_plain(DEFAULT_POLICY)]
    for count, stored in enumerate(_stored_objects(given)):
        objects.append(stored)
        if count % OBJECTS_AT_ONCE == 0:
            yield
    for tenant in _by_name(_decoded(given.tenants or [], Tenant, Workspace.KIND)):
        if isinstance(tenant, Tenant):
            objects.append((yield from _workspace_steps(tenant)))
        else:
            objects.append(tenant)
        yield
    return {"version": given.version, "base": given.version, "changes": [], "objects": objects}


def _stored_objects(given: Configuration) -> Iterator[dict[str, object]]:
    """Yield the services and routes of a configuration in their stored form."""
    for service in _decoded(given.services, ServiceSpec, Pool.KIND):
        yield _converted(service, _pool)
    names: dict[str, int] = {}
    to_route = functools.partial(_route, needs_keys=given.tenants is not msgspec.UNSET)
    for route in _decoded(given.routes, RouteSpec, Route.KIND):
        stored = _converted(route, to_route)
        # Routes are told apart by host and path, and two of them may have the same name.
        stored["name"] = _unused_name(str(stored["name"]), names)
        yield stored


def _converted(given: Any, convert: Callable[[Any], Resource]) -> dict[str, object]:
    return given if isinstance(given, dict) else to_plain(convert(given))


def _decoded(items: list[msgspec.Raw], shape: type, kind: str) -> Iterator[Any]:
    """Yield the decoded ``items``, and a stored object that says why for those that cannot be."""
    for number, raw in enumerate(items):
        try:
            yield decode(raw, shape)
        except UndecodableObject as problem:
            yield _unreadable(kind, number, raw, str(problem))


def _unreadable(kind: str, number: int, raw: msgspec.Raw, problem: str) -> dict[str, object]:
    """Return the stored form of an entry that cannot be decoded.

    It has what tells the requests that the entry is about, but no keys, which may be secret.
    """
    try:
        given = decode(raw, Any)
    except UndecodableObject:
        given = None
    fields = given if isinstance(given, dict) else {}
    name = fields.get("name")
    stored: dict[str, object] = {"kind": kind, UNREADABLE: problem}
    stored["name"] = name if isinstance(name, str) else f"#{number}"
    for platform_name, field in (("host", "host"), ("path_prefix", "prefix")):
        if kind == Route.KIND and isinstance(fields.get(platform_name), str):
            stored[field] = fields[platform_name]
    return stored


def _unused_name(name: str, counts: dict[str, int]) -> str:
    """Return ``name``, or with a number after it if it was returned before.

    ``counts`` says how often each name was asked for.
    """
    counts[name] = counts.get(name, 0) + 1
    if counts[name] == 1:
        return name
    return _unused_name(f"{name}#{counts[name]}", counts)


def _by_name(tenants: Iterator[Any]) -> list[Any]:
    """Return ``tenants``; those of the same name become one, with the keys of all of them."""
    found: dict[str, Any] = {}
    for tenant in tenants:
        name = tenant.name if isinstance(tenant, Tenant) else str(tenant["name"])
        known = found.get(name)
        if isinstance(known, Tenant) and isinstance(tenant, Tenant):
            found[name] = msgspec.structs.replace(tenant, api_keys=known.api_keys + tenant.api_keys)
        elif known is None or isinstance(known, Tenant):
            # An unreadable tenant hides the others of its name, whose keys it may restrict.
            found[name] = tenant
    return list(found.values())


def replica_value(spec: bytes) -> dict[str, object]:
    """Return a replica's entry as a listed record of railsail's directory.

    Raise ``UndecodableObject`` if it cannot be decoded.
    """
    given = decode(spec, Server)
    return {
        "pool": given.service,
        "endpoint": given.addr,
        "failure_domain": given.zone,
        "slots": given.slots,
        "state": "live" if given.state == "ready" else "leaving",
        "born": given.born,
        "cold": round(given.cold_left_ms),
        "software_version": str(given.version),
    }


def rollout_value(spec: bytes, status: bytes) -> dict[str, object]:
    """Return the rollout that ``spec`` orders, and its ``status``.

    Raise ``UndecodableObject`` if the order cannot be decoded. A status that cannot be decoded
    counts as empty, so that the order still takes effect and its status is written again.
    """
    given = decode(spec, RolloutSpec)
    return {
        "service": given.service,
        "target_version": given.target_version,
        "duration": given.duration_s,
        "status": msgspec.to_builtins(_rollout_status(status)),
    }


def _rollout_status(status: bytes) -> RolloutStatus:
    try:
        return decode(status, RolloutStatus | None) or RolloutStatus()
    except UndecodableObject as problem:
        get_logger().warning("invalid rollout status", reason=str(problem))
        return RolloutStatus()


def _pool(service: ServiceSpec) -> Pool:
    engine = service.engine
    return Pool(
        name=service.name,
        upstream_kind="service",
        cost_unit=CostUnit.CALLS if engine is None else CostUnit.TOKENS,
        slots=0 if engine is None else engine.slots,
        cold_seconds=service.cold_start_s,
        warmup_rate=service.warmup_per_s,
    )


def _regions(allowed: AllowedRegions) -> tuple[str, ...]:
    """Return the regions of a route or a workspace, empty for any region."""
    if allowed is msgspec.UNSET:
        return ()
    return tuple(allowed) or (NO_REGION,)


def _route(route: RouteSpec, needs_keys: bool) -> Route:
    backends = route.backends or [Backend(route.service)]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        pools=tuple(PoolShare(backend.service, backend.weight) for backend in backends),
        repeatable=route.kind == IDEMPOTENT,
        streaming=route.kind == STREAMING,
        resumable=route.resumable,
        public=route.anonymous or not needs_keys,
        affinity=route.sticky,
        timeout=route.timeout_ms / MS_PER_SECOND,
        objective=route.slo_ms / MS_PER_SECOND,
        pause=route.gap_slo_ms / MS_PER_SECOND,
        priority=route.priority,
        max_attempts=route.max_attempts,
        regions=_regions(route.allowed_regions),
    )


def _workspace_steps(tenant: Tenant) -> Steps[dict[str, object]]:
    """Return a tenant as a workspace in its stored form."""
    hashes = []
    for start in range(0, len(tenant.api_keys), KEYS_AT_ONCE):
        hashes += [hash_key(key) for key in tenant.api_keys[start : start + KEYS_AT_ONCE]]
        yield
    workspace = Workspace(
        name=tenant.name,
        priority_class=DEFAULT_CLASS.name,
        policy=DEFAULT_POLICY.name,
        key_hashes=tuple(hashes),
        priority=tenant.priority,
        regions=_regions(tenant.allowed_regions),
    )
    return to_plain(workspace)
