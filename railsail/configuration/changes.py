"""Changes of the configuration: each is committed as a whole and sent to every daemon."""

import msgspec

from railsail.core.exceptions import RailsailError
from railsail.core.slices import Steps
from railsail.objects.catalog import Catalog, Operation
from railsail.objects.kinds import Resource
from railsail.objects.parse import to_plain
from railsail.objects.reading import Key, UnusableObject, read_resource

# Objects that are read without a pause.
OBJECTS_AT_ONCE = 20


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
    value = None if operation.resource is None else to_stored(operation.resource)
    return OperationRecord(*operation.key, value)


def to_stored(resource: Resource | UnusableObject) -> dict[str, object]:
    """Return an object in its stored form; that of an unusable one is as it was read."""
    if isinstance(resource, UnusableObject):
        return dict(resource.value)
    return to_plain(resource)


def apply_change(catalog: Catalog, change: Change) -> Catalog:
    """Return the catalog after ``change``."""
    operations = [_from_record(record) for record in change.operations]
    return catalog.changed(change.version, operations)


def _from_record(record: OperationRecord) -> Operation:
    value = None if record.value is None else read_resource(record.value)
    return Operation((record.kind, record.name), value)


def snapshot(catalog: Catalog) -> Snapshot:
    """Return all objects of ``catalog`` in their stored form."""
    objects = catalog.objects()
    return Snapshot(catalog.version, tuple(to_stored(objects[key]) for key in sorted(objects)))


def restore_steps(stored: Snapshot) -> Steps[Catalog]:
    """Return the catalog of a snapshot."""
    objects: dict[Key, Resource | UnusableObject] = {}
    for count, value in enumerate(stored.objects):
        read = read_resource(value)
        objects[read.key] = read
        if count % OBJECTS_AT_ONCE == 0:
            yield
    return Catalog.of(stored.version, objects)


def encode(value: Change | Snapshot | list[Change]) -> bytes:
    """Return ``value`` as JSON."""
    return msgspec.json.encode(value)
