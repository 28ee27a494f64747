"""The configuration in the store, and the commit of changes.

A head object holds the version, the newest changes and the version of a snapshot. A change is
committed if and only if the conditional update of the head took effect. All objects of a change are
committed together, and versions only rise.
"""

import asyncio
import contextlib
import random

import msgspec

from railsail.configuration.changes import (
    Change,
    ConfigurationConflict,
    Proposal,
    Snapshot,
    apply_change,
    restore_steps,
    snapshot,
    to_record,
)
from railsail.core.clock import Clock
from railsail.core.exceptions import ImproperlyConfigured, StoreConflict, StoreUnavailable
from railsail.core.slices import Steps, run_sliced
from railsail.objects.catalog import Catalog
from railsail.objects.checks import check_catalog
from railsail.store.base import Store, StoredObject
from railsail.store.journal import Backoff

KIND = "configuration"
HEAD = "head"
# A head with this many changes is compacted: all objects are stored as a snapshot.
MAX_CHANGES = 64
# The newest changes, which stay in a compacted head, and which each daemon keeps to send to peers.
KEPT_CHANGES = 16
MAX_ATTEMPTS = 6


class Head(msgspec.Struct, frozen=True):
    """The head object.

    ``changes`` are the newest changes up to ``version``. They include all changes after the
    snapshot, whose version is ``base``, 0 for none. A head that another system writes holds all
    ``objects`` of its version instead.
    """

    version: int = 0
    base: int = 0
    changes: tuple[Change, ...] = ()
    objects: tuple[dict[str, object], ...] | None = None


class Committed(msgspec.Struct, frozen=True):
    """A committed configuration; ``stored_version`` is the store's version of the head object."""

    stored_version: int
    head: Head
    catalog: Catalog


class ConfigurationRepository:
    """Read the configuration from the store, and commit changes to it."""

    def __init__(self, store: Store, clock: Clock, rng: random.Random) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng

    async def read(self, known: Catalog) -> Committed:
        """Return the committed configuration.

        If ``known`` is recent enough to apply the changes of the head to it, no snapshot is read.
        """
        stored = await self._store.get(KIND, HEAD)
        if stored is None:
            return Committed(0, Head(), Catalog())
        return await self.resolve(stored, known)

    async def resolve(self, stored: StoredObject, known: Catalog) -> Committed:
        """Return the configuration of the head object ``stored``."""
        steps = self.resolve_known(stored, known)
        if steps is not None:
            return await run_sliced(steps)
        head = msgspec.convert(stored.value, Head)
        catalog = await self._read_snapshot(head.base)
        return await run_sliced(_with_changes(stored, head, catalog))

    def resolve_known(self, stored: StoredObject, known: Catalog) -> Steps[Committed] | None:
        """Return the configuration of ``stored``, or ``None`` if its snapshot has to be read."""
        head = msgspec.convert(stored.value, Head)
        if head.objects is not None:
            return _restored(stored, head, Snapshot(head.version, head.objects))
        if head.base <= known.version <= head.version:
            return _with_changes(stored, head, known)
        return _with_changes(stored, head, Catalog()) if head.base == 0 else None

    async def _read_snapshot(self, version: int) -> Catalog:
        stored = await self._store.get(KIND, f"snapshot-{version}")
        if stored is None:
            raise StoreUnavailable(f"snapshot {version} is not there")
        return await run_sliced(restore_steps(msgspec.convert(stored.value, Snapshot)))

    async def commit(self, proposal: Proposal, known: Catalog) -> Committed:
        """Commit ``proposal``, and return the configuration that includes it.

        Raise ``ImproperlyConfigured`` with all findings if the result is invalid,
        ``ConfigurationConflict`` if another change wrote the same objects after ``proposal.base``,
        and ``StoreUnavailable`` if the result is not known. The same proposal can then be sent
        again, since it is committed at most once.
        """
        backoff = Backoff(self._rng, 0.05, 2.0)
        problem: Exception = StoreUnavailable("not tried")
        for _ in range(MAX_ATTEMPTS):
            try:
                committed = await self.read(known)
                return await self._try_commit(proposal, committed)
            except (StoreConflict, StoreUnavailable) as caught:
                # If the write took effect and only its reply was lost, the next attempt finds the
                # id of the change in the head.
                problem = caught
                await asyncio.sleep(backoff.pause())
        raise StoreUnavailable(f"change {proposal.id} may or may not be committed: {problem}")

    async def _try_commit(self, proposal: Proposal, committed: Committed) -> Committed:
        if any(change.id == proposal.id for change in committed.head.changes):
            return committed
        _check_conflicts(proposal, committed.head)
        catalog = committed.catalog.changed(committed.head.version + 1, proposal.operations)
        findings = check_catalog(catalog)
        if findings:
            raise ImproperlyConfigured(findings)
        change = Change(
            catalog.version,
            proposal.id,
            proposal.author,
            self._clock.wall(),
            tuple(to_record(operation) for operation in proposal.operations),
        )
        head = await self._compact(committed)
        head = Head(catalog.version, head.base, (*head.changes, change))
        version = await self._store.put(
            KIND, HEAD, msgspec.to_builtins(head), committed.stored_version
        )
        return Committed(version, head, catalog)

    async def _compact(self, committed: Committed) -> Head:
        head = committed.head
        if len(head.changes) < MAX_CHANGES:
            return head
        value = msgspec.to_builtins(snapshot(committed.catalog))
        # A conflict means that another operator stored the same snapshot.
        with contextlib.suppress(StoreConflict):
            await self._store.put(KIND, f"snapshot-{head.version}", value, 0)
        await self._delete_snapshot(head.base)
        # The newest changes are kept to recognise lost replies and conflicts.
        return Head(head.version, head.version, head.changes[-KEPT_CHANGES:])

    async def _delete_snapshot(self, version: int) -> None:
        stored = await self._store.get(KIND, f"snapshot-{version}")
        if stored is not None and version:
            await self._store.delete(KIND, stored.name, stored.version)


def _check_conflicts(proposal: Proposal, head: Head) -> None:
    keys = {operation.key for operation in proposal.operations}
    for change in reversed(head.changes):
        if change.version > proposal.base and change.keys() & keys:
            raise ConfigurationConflict(change)


def _restored(stored: StoredObject, head: Head, objects: Snapshot) -> Steps[Committed]:
    return Committed(stored.version, head, (yield from restore_steps(objects)))


def _with_changes(stored: StoredObject, head: Head, catalog: Catalog) -> Steps[Committed]:
    """Return the configuration after the changes of ``head`` that ``catalog`` lacks."""
    for change in head.changes:
        if change.version > catalog.version:
            catalog = apply_change(catalog, change)
            yield
    return Committed(stored.version, head, catalog)
