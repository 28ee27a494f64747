"""The catalog: all configuration objects at one version."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

import msgspec

from railsail.core.checks import Finding, error
from railsail.objects.kinds import Policy, Pool, PriorityClass, Resource, Route, Workspace
from railsail.objects.reading import Key, UnusableObject


class Operation(msgspec.Struct, frozen=True):
    """One step of a change: write ``resource`` at ``key``, or delete the object if ``None``."""

    key: Key
    resource: Resource | UnusableObject | None


class Catalog(msgspec.Struct, frozen=True):
    """All objects at one ``version``; versions only rise.

    ``unusable`` are the objects that this build cannot use. Requests that they decide on are
    refused.
    """

    version: int = 0
    resources: Mapping[Key, Resource] = msgspec.field(default_factory=dict)
    unusable: Mapping[Key, UnusableObject] = msgspec.field(default_factory=dict)

    def changed(self, version: int, operations: Iterable[Operation]) -> Catalog:
        """Return the catalog at ``version``, with ``operations`` applied in order."""
        objects = self.objects()
        for operation in operations:
            if operation.resource is None:
                objects.pop(operation.key, None)
            else:
                objects[operation.key] = operation.resource
        return Catalog.of(version, objects)

    @classmethod
    def of(cls, version: int, objects: Mapping[Key, Resource | UnusableObject]) -> Catalog:
        """Return the catalog of ``objects``, of which some may be unusable."""
        resources: dict[Key, Resource] = {}
        unusable: dict[Key, UnusableObject] = {}
        for key, found in objects.items():
            if isinstance(found, UnusableObject):
                unusable[key] = found
            else:
                resources[key] = found
        return cls(version, resources, unusable)

    def objects(self) -> dict[Key, Resource | UnusableObject]:
        """Return all objects, also those that are unusable."""
        return {**self.resources, **self.unusable}

    def contains(self, key: Key) -> bool:
        """Return True if there is an object at ``key``, which may be unusable."""
        return key in self.resources or key in self.unusable

    def count(self, kind: type[Resource]) -> int:
        """Return the number of objects of ``kind``, including those that are unusable."""
        return sum(key[0] == kind.KIND for key in (*self.resources, *self.unusable))

    def unusable_of_kind(self, kind: type[Resource]) -> list[UnusableObject]:
        """Return the unusable objects of ``kind``, sorted by name."""
        return [self.unusable[key] for key in sorted(self.unusable) if key[0] == kind.KIND]

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace named ``name``, or ``None``."""
        return self._get(Workspace, name)

    def regions_of(self, workspace: str) -> tuple[str, ...]:
        """Return the regions in which ``workspace`` may run, empty for any region."""
        owner = self.workspace(workspace)
        return owner.regions if owner is not None else ()

    def policy(self, name: str) -> Policy | None:
        """Return the policy named ``name``, or ``None``."""
        return self._get(Policy, name)

    def pool(self, name: str) -> Pool | None:
        """Return the pool named ``name``, or ``None``."""
        return self._get(Pool, name)

    def class_of(self, workspace: str) -> PriorityClass:
        """Return the priority class of ``workspace``, or a default one if either is unknown."""
        owner = self.workspace(workspace)
        found = self._get(PriorityClass, owner.priority_class) if owner else None
        return found or PriorityClass(name="unknown")

    def of_kind(self, kind: type[Resource]) -> list[Resource]:
        """Return all objects of ``kind``, sorted by name."""
        chosen = [self.resources[key] for key in sorted(self.resources) if key[0] == kind.KIND]
        return [resource for resource in chosen if isinstance(resource, kind)]

    def _get(self, kind: type, name: str):
        return self.resources.get((kind.KIND, name))


def hash_key(key: str) -> str:
    """Return the SHA-256 digest, in hexadecimal, under which a caller's bearer key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_index(catalog: Catalog) -> dict[str, str]:
    """Return a mapping from key hashes to names of workspaces."""
    index = {}
    for workspace in catalog.of_kind(Workspace):
        for digest in workspace.key_hashes:
            index[digest] = workspace.name
    return index


def check_references(catalog: Catalog) -> list[Finding]:
    """Return a finding for each reference to a missing object and each key of two workspaces."""
    findings = []
    owners: dict[str, str] = {}
    for workspace in catalog.of_kind(Workspace):
        findings += _check_workspace(catalog, workspace)
        for digest in workspace.key_hashes:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                place = f"workspace/{workspace.name}.key_hashes"
                message = f"a key belongs to workspace {owner!r} already"
                findings.append(error("railsail.E021", message, place))
    for route in catalog.of_kind(Route):
        findings += _check_route(catalog, route)
    return findings


def _check_route(catalog: Catalog, route: Route) -> list[Finding]:
    findings = []
    for index, share in enumerate(route.pools):
        if not catalog.contains((Pool.KIND, share.pool)):
            place = f"route/{route.name}.pools[{index}]"
            hint = f"create pool/{share.pool} first, or in the same change"
            findings.append(error("railsail.E020", f"there is no pool {share.pool!r}", place, hint))
    return findings


def _check_workspace(catalog: Catalog, workspace: Workspace) -> list[Finding]:
    findings = []
    references = (("priorityclass", "priority_class"), ("policy", "policy"))
    for kind, field_name in references:
        name = getattr(workspace, field_name)
        if not catalog.contains((kind, name)):
            place = f"workspace/{workspace.name}.{field_name}"
            hint = f"create {kind}/{name} first, or in the same change"
            findings.append(error("railsail.E020", f"there is no {kind} {name!r}", place, hint))
    return findings
