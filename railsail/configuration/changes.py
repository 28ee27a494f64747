"""Changes of the configuration: each is committed as a whole and sent to every daemon."""

import json

import msgspec

from railsail.core.checks import Finding
from railsail.core.exceptions import ImproperlyConfigured, RailsailError
from railsail.objects.catalog import Catalog, Operation
from railsail.objects.parse import parse_resource, to_plain


class OperationRecord(msgspec.Struct, frozen=True):
    """An operation in its stored form; ``value`` is ``None`` for a deletion."""

    kind: str
    name: str
    value: dict[str, object] | None


class Change(msgspec.Struct, frozen=True):
    """A committed change.

    ``version`` is the version of the configuration after it. The proposer chose ``id``, by which
    the change is recognised if the reply was lost. ``at`` is in seconds since the Unix epoch.
    """

    version: int
    id: str
    author: str
    at: float
    operations: tuple[OperationRecord, ...]

    def keys(self) -> set[tuple[str, str]]:
        """Return the keys of the objects that the change writes or deletes."""
        return {(operation.kind, operation.name) for operation in self.operations}


class Snapshot(msgspec.Struct, frozen=True):
    """All objects at ``version``, in their stored form."""

    version: int
    objects: tuple[dict[str, object], ...]


class ConfigurationConflict(RailsailError):
    """Another operator has changed the same objects; ``other`` is that change."""

    def __init__(self, other: Change) -> None:
        keys = ", ".join(f"{kind}/{name}" for kind, name in sorted(other.keys()))
        super().__init__(f"version {other.version} by {other.author!r} changed {keys} meanwhile")
        self.other = other


class Proposal(msgspec.Struct, frozen=True):
    """A change that an operator requests; ``base`` is the version that the operator has seen."""

    id: str
    author: str
    base: int
    operations: tuple[Operation, ...]


def to_record(operation: Operation) -> OperationRecord:
    """Return ``operation`` in its stored form."""
    value = None if operation.resource is None else to_plain(operation.resource)
    return OperationRecord(*operation.key, value)


def apply_change(catalog: Catalog, change: Change) -> Catalog:
    """Return the catalog after ``change``."""
    operations = [_from_record(record) for record in change.operations]
    return catalog.changed(change.version, operations)


def _from_record(record: OperationRecord) -> Operation:
    if record.value is None:
        return Operation((record.kind, record.name), None)
    return Operation((record.kind, record.name), parse_or_raise(record.value))


def parse_or_raise(value: dict[str, object]):
    """Return the object that ``value`` describes, or raise ``ImproperlyConfigured``."""
    findings: list[Finding] = []
    resource = parse_resource(value, "stored", findings)
    if findings:
        raise ImproperlyConfigured(findings)
    return resource


def snapshot(catalog: Catalog) -> Snapshot:
    """Return all objects of ``catalog`` in their stored form."""
    objects = tuple(to_plain(catalog.resources[key]) for key in sorted(catalog.resources))
    return Snapshot(catalog.version, objects)


def restore(stored: Snapshot) -> Catalog:
    """Return the catalog of a snapshot."""
    resources = [parse_or_raise(value) for value in stored.objects]
    return Catalog(stored.version, {resource.key: resource for resource in resources})


def encode(value: Change | Snapshot | list[Change]) -> bytes:
    """Return ``value`` as JSON."""
    return json.dumps(msgspec.to_builtins(value), separators=(",", ":")).encode()
