"""Conversion of the platform's objects to railsail's own, in their stored form."""

import functools
from collections.abc import Callable, Iterator
from typing import Any

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
from railsail.platform.specs import (
    AllowedRegions,
    Backend,
    Configuration,
    RolloutSpec,
    RolloutStatus,
    RouteSpec,
    Server,
    ServiceSpec,
    Tenant,
)
from railsail.routing.defaults import DEFAULT_CLASS, DEFAULT_POLICY
from railsail.store.decoding import UndecodableObject, decode

MS_PER_SECOND = 1000.0
# Keys that are hashed, and objects that are converted, without a pause.
KEYS_AT_ONCE = 1000
OBJECTS_AT_ONCE = 20
STREAMING = "streaming"
IDEMPOTENT = "idempotent"


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
