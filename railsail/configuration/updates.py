"""Updates of the configuration as bytes, which lead from one version to a later one.

An update consists of lines of JSON. A ``Step`` line names two versions, and the lines after it are
the objects that differ between them. Several steps in a row lead over several versions. A step from
version 0 has all objects. The keys of a workspace are sent by themselves, so that a change of one
of them does not send the others.
"""

from collections.abc import Iterator

import msgspec

from railsail.configuration.changes import to_stored
from railsail.core.slices import Steps, run_at_once
from railsail.objects.catalog import Catalog
from railsail.objects.kinds import Resource, Workspace
from railsail.objects.reading import UnusableObject, read_resource

# Keys of a workspace in one line, and lines that are read or written without a pause.
KEYS_PER_LINE = 500
LINES_AT_ONCE = 20


class Step(msgspec.Struct, frozen=True, array_like=True, tag="step"):
    """The lines up to the next step lead from version ``since`` to ``version``."""

    since: int
    version: int


class Write(msgspec.Struct, frozen=True, array_like=True, tag="write"):
    """Write an object in its stored form.

    With ``keeps_keys``, a workspace keeps the keys that it has.
    """

    value: dict[str, object]
    keeps_keys: bool = False


class Delete(msgspec.Struct, frozen=True, array_like=True, tag="delete"):
    """Delete an object."""

    kind: str
    name: str


class Keys(msgspec.Struct, frozen=True, array_like=True, tag="keys"):
    """Add hashes of keys to a workspace, and remove others."""

    workspace: str
    added: list[str]
    removed: list[str] = []


_DECODER = msgspec.json.Decoder(Step | Write | Delete | Keys)
_ENCODER = msgspec.json.Encoder()


class Update(msgspec.Struct, frozen=True):
    """An update from version ``since``, 0 for none, to ``version``.

    If both are equal, it announces the version only, and its body is empty.
    """

    since: int
    version: int
    body: bytes


def update_between(before: Catalog, after: Catalog) -> Update:
    """Return the update from one catalog to the next."""
    return run_at_once(_update_steps(before, after))


def announcement(version: int) -> Update:
    """Return an update that only says that there is ``version``."""
    return Update(version, version, b"")


def whole_steps(catalog: Catalog) -> Steps[Update]:
    """Return the update that has all of ``catalog``."""
    return _update_steps(Catalog(), catalog)


def _update_steps(before: Catalog, after: Catalog) -> Steps[Update]:
    lines = [_ENCODER.encode(Step(before.version, after.version))]
    for count, line in enumerate(_differences(before, after)):
        lines.append(_ENCODER.encode(line))
        if count % LINES_AT_ONCE == 0:
            yield
    return Update(before.version, after.version, b"\n".join(lines))


def _differences(before: Catalog, after: Catalog) -> Iterator[Write | Delete | Keys]:
    old, new = before.objects(), after.objects()
    for kind, name in sorted(old.keys() - new.keys()):
        yield Delete(kind, name)
    for key in sorted(new):
        known = old.get(key)
        if known != new[key]:
            yield from _object_differences(known, new[key])


def _object_differences(
    known: Resource | UnusableObject | None, new: Resource | UnusableObject
) -> Iterator[Write | Keys]:
    if not isinstance(new, Workspace):
        yield Write(to_stored(new))
        return
    if not isinstance(known, Workspace):
        yield Write(to_stored(_without_keys(new)))
        yield from _key_differences(new.name, (), new.key_hashes)
        return
    if _without_keys(known) != _without_keys(new):
        yield Write(to_stored(_without_keys(new)), keeps_keys=True)
    yield from _key_differences(new.name, known.key_hashes, new.key_hashes)


def _without_keys(workspace: Workspace) -> Workspace:
    return msgspec.structs.replace(workspace, key_hashes=())


def _key_differences(
    workspace: str, known: tuple[str, ...], new: tuple[str, ...]
) -> Iterator[Keys]:
    known_set, new_set = set(known), set(new)
    added = [key for key in new if key not in known_set]
    removed = [key for key in known if key not in new_set]
    for start in range(0, max(len(added), len(removed)), KEYS_PER_LINE):
        end = start + KEYS_PER_LINE
        yield Keys(workspace, added[start:end], removed[start:end])


def apply_steps(catalog: Catalog, body: bytes) -> Steps[Catalog]:
    """Return ``catalog`` after the update ``body``; steps that it has already are left out.

    Raise ``ValueError`` if the update does not lead from the version of ``catalog`` to a later one.
    """
    builder: _Builder | None = None
    for count, line in enumerate(body.split(b"\n")):
        record = _DECODER.decode(line)
        if isinstance(record, Step):
            if builder is not None:
                catalog = builder.build()
            builder = _Builder.start(catalog, record)
        elif builder is not None:
            builder.apply(record)
        if count % LINES_AT_ONCE == 0:
            yield
    if builder is None:
        raise ValueError(f"the update does not follow version {catalog.version}")
    return builder.build()


class _Builder:
    """A catalog to which the lines of a step are applied."""

    def __init__(self, catalog: Catalog, version: int) -> None:
        self._version = version
        self._objects = catalog.objects()
        # By workspace: the hashes of its keys, in order.
        self._keys: dict[str, dict[str, None]] = {}

    @classmethod
    def start(cls, catalog: Catalog, step: Step) -> "_Builder | None":
        """Return a builder for ``step``, or ``None`` if it does not follow ``catalog``."""
        if step.version <= catalog.version or step.since not in (0, catalog.version):
            return None
        return cls(catalog if step.since else Catalog(), step.version)

    def apply(self, record: Write | Delete | Keys) -> None:
        """Apply one line."""
        if isinstance(record, Write):
            self._write(record)
        elif isinstance(record, Delete):
            self._objects.pop((record.kind, record.name), None)
        else:
            keys = self._keys_of(record.workspace)
            for key in record.removed:
                keys.pop(key, None)
            keys.update(dict.fromkeys(record.added))

    def _write(self, record: Write) -> None:
        read = read_resource(record.value)
        if record.keeps_keys:
            read = self._with_known_keys(read)
        self._objects[read.key] = read

    def _with_known_keys(self, read: Resource | UnusableObject) -> Workspace:
        known = self._objects.get(read.key)
        if not (isinstance(read, Workspace) and isinstance(known, Workspace)):
            raise ValueError(f"the keys of {'/'.join(read.key)} are not known here")
        return msgspec.structs.replace(read, key_hashes=known.key_hashes)

    def _keys_of(self, workspace: str) -> dict[str, None]:
        if workspace not in self._keys:
            known = self._objects.get((Workspace.KIND, workspace))
            if not isinstance(known, Workspace):
                raise ValueError(f"there is no workspace {workspace!r} to add keys to")
            self._keys[workspace] = dict.fromkeys(known.key_hashes)
        return self._keys[workspace]

    def build(self) -> Catalog:
        """Return the catalog after all lines."""
        for name, keys in self._keys.items():
            key = (Workspace.KIND, name)
            known = self._objects.get(key)
            if isinstance(known, Workspace):
                self._objects[key] = msgspec.structs.replace(known, key_hashes=tuple(keys))
        return Catalog.of(self._version, self._objects)


class UpdateHistory:
    """The newest updates in a row, at most ``max_count`` of them with ``max_bytes`` in total."""

    def __init__(self, max_count: int, max_bytes: int) -> None:
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._updates: list[Update] = []

    def record(self, update: Update) -> None:
        """Append ``update``; updates that do not lead to it are dropped."""
        if self._updates and self._updates[-1].version != update.since:
            self._updates.clear()
        self._updates.append(update)
        while len(self._updates) > self._max_count or self._total_bytes() > self._max_bytes:
            self._updates.pop(0)

    def since(self, version: int) -> Update | None:
        """Return the updates from ``version`` on as one, or ``None`` if they are not kept."""
        following = [update for update in self._updates if update.since >= version]
        if not following or following[0].since != version:
            return None
        body = b"\n".join(update.body for update in following)
        return Update(version, following[-1].version, body)

    def _total_bytes(self) -> int:
        return sum(len(update.body) for update in self._updates)
