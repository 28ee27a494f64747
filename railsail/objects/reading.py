"""Reading of stored objects.

A stored object was accepted when it was written: by the operators' interface of this build or of
another one, or by another system. The bounds in ``railsail.objects.kinds`` are checks of what is
written through the operators' interface, and an object that exceeds them is used nevertheless, as
far as possible: numbers are moved to the nearest bound, texts and lists may be longer. An object
that cannot be used is kept in its stored form. Nothing is admitted or run by it, and it does not
keep the other objects of its version from coming into force.
"""

import functools
import math
import typing
from collections.abc import Mapping

import msgspec

from railsail.core.checks import Finding, error
from railsail.objects.kinds import (
    KINDS,
    MAX_HOST_LENGTH,
    MAX_REGIONS,
    Pool,
    PoolShare,
    Resource,
    Route,
    Workspace,
)

# Names are sent to peers, whose messages carry texts of this length at most.
MAX_NAME_LENGTH = 256
# The field of a stored object that says why its fields could not be decoded.
UNREADABLE = "unreadable"

Key = tuple[str, str]


class UnusableObject(msgspec.Struct, frozen=True):
    """A stored object that this build cannot use.

    ``value`` is its stored form, which is passed on to other nodes unchanged, since their build may
    be able to use it. The ``findings`` name the fields at fault, and contain no values of them.
    """

    key: Key
    value: Mapping[str, object]
    findings: tuple[Finding, ...]

    @property
    def label(self) -> str:
        """Return the kind and the name of the object as one text."""
        return "/".join(self.key)

    @property
    def problem(self) -> str:
        """Return the first finding as text."""
        finding = self.findings[0]
        return f"{finding.place}: {finding.message}"


class _AnyShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A ``PoolShare`` without bounds."""

    pool: str
    weight: float = 1.0


class _Field(msgspec.Struct, frozen=True):
    """A field of a kind: its type without bounds, and the bounds if it is a number."""

    name: str
    type: object
    required: bool
    bounds: msgspec.Meta | None


def read_resource(value: Mapping[str, object]) -> Resource | UnusableObject:
    """Return the object that the stored ``value`` describes, also one out of the usual bounds."""
    kind = KINDS.get(str(value.get("kind")))
    if kind is not None and UNREADABLE not in value:
        fields = {name: field for name, field in value.items() if name != "kind"}
        try:
            return msgspec.convert(fields, kind)
        except msgspec.ValidationError:
            return _read_fields(kind, value)
    key = _key_of(value)
    if kind is None:
        return UnusableObject(key, value, (error("railsail.E011", "unknown kind", "/".join(key)),))
    message = str(value[UNREADABLE])
    return UnusableObject(key, value, (error("railsail.E023", message, "/".join(key)),))


def _key_of(value: Mapping[str, object]) -> Key:
    return (str(value.get("kind")), str(value.get("name")))


def _read_fields(kind: type[Resource], value: Mapping[str, object]) -> Resource | UnusableObject:
    key = _key_of(value)
    label = "/".join(key)
    findings: list[Finding] = []
    fields: dict[str, object] = {}
    known = _fields_of(kind)
    for field in known:
        if field.name in value:
            fields[field.name] = _read_field(field, value[field.name], label, findings)
        elif field.required:
            findings.append(error("railsail.E012", "is required", f"{label}.{field.name}"))
    # A field of a later build may restrict what the object allows, so that it cannot be ignored.
    for name in sorted(set(value) - {field.name for field in known} - {"kind"}):
        findings.append(error("railsail.E013", "unknown field", f"{label}.{name}"))
    if findings:
        return UnusableObject(key, value, tuple(findings))
    if kind is Route:
        fields["pools"] = tuple(PoolShare(s.pool, s.weight) for s in fields["pools"])
    resource = kind(**fields)
    findings += _check_use(resource, label)
    return UnusableObject(key, value, tuple(findings)) if findings else resource


def _read_field(field: _Field, value: object, label: str, findings: list[Finding]) -> object:
    place = f"{label}.{field.name}"
    try:
        read = msgspec.convert(value, field.type)
    except msgspec.ValidationError as problem:
        findings.append(error("railsail.E014", str(problem), place))
        return None
    if field.bounds is None or read is None:
        return read
    bounds = field.bounds
    if bounds.gt is not None and read <= bounds.gt:
        findings.append(error("railsail.E014", f"Expected a number above {bounds.gt}", place))
        return None
    if bounds.le is not None:
        read = min(read, bounds.le)
    return read if bounds.ge is None else max(read, bounds.ge)


@functools.cache
def _fields_of(kind: type[Resource]) -> tuple[_Field, ...]:
    bounded = typing.get_type_hints(kind, include_extras=True)
    bare = typing.get_type_hints(kind)
    if kind is Route:
        bare["pools"] = tuple[_AnyShare, ...]
    return tuple(
        _Field(field.name, bare[field.name], field.required, _number_bounds(bounded[field.name]))
        for field in msgspec.structs.fields(kind)
    )


def _number_bounds(hint: object) -> msgspec.Meta | None:
    """Return the bounds of a number, or of a number or nothing; ``None`` for other types."""
    for option in (hint, *typing.get_args(hint)):
        if typing.get_origin(option) is typing.Annotated:
            base, meta = typing.get_args(option)[:2]
            if base in (int, float):
                return meta
    return None


def _check_use(resource: Resource, label: str) -> list[Finding]:
    """Return why ``resource`` cannot be used although its fields have the right types."""
    findings = []
    if isinstance(resource, Workspace | Pool):
        findings += _check_name(resource.name, label)
    if isinstance(resource, Workspace | Route):
        findings += _check_regions(resource.regions, label)
    if isinstance(resource, Route):
        findings += _check_route(resource, label)
    return findings


def _check_name(name: str, label: str) -> list[Finding]:
    if 0 < len(name) <= MAX_NAME_LENGTH and name.isprintable() and name == name.strip():
        return []
    # The name of a workspace is sent to replicas in a header.
    message = (
        f"Expected 1 to {MAX_NAME_LENGTH} printable characters, none of them a space at an end"
    )
    return [error("railsail.E014", message, f"{label}.name")]


def _check_regions(regions: tuple[str, ...], label: str) -> list[Finding]:
    if len(regions) <= MAX_REGIONS and all(len(region) <= MAX_NAME_LENGTH for region in regions):
        return []
    message = f"Expected at most {MAX_REGIONS} regions of at most {MAX_NAME_LENGTH} characters"
    return [error("railsail.E014", message, f"{label}.regions")]


def _check_route(route: Route, label: str) -> list[Finding]:
    findings = []
    if not 0 < len(route.host) <= MAX_HOST_LENGTH:
        message = f"Expected 1 to {MAX_HOST_LENGTH} characters"
        findings.append(error("railsail.E014", message, f"{label}.host"))
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        message = "Expected a text that begins and ends with a slash"
        findings.append(error("railsail.E014", message, f"{label}.prefix"))
    if any(len(share.pool) > MAX_NAME_LENGTH for share in route.pools):
        message = f"Expected names of at most {MAX_NAME_LENGTH} characters"
        findings.append(error("railsail.E014", message, f"{label}.pools"))
    weights = [share.weight for share in route.pools]
    if not weights or min(weights) < 0 or not math.isfinite(sum(weights)):
        message = "Expected one pool or more, with weights that are not negative"
        findings.append(error("railsail.E014", message, f"{label}.pools"))
    return findings
