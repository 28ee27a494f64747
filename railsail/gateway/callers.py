"""Identify callers by their bearer keys."""

from railsail.core.outcomes import NotRun, Reason
from railsail.objects.catalog import Catalog, hash_key, key_index
from railsail.objects.kinds import Pool, Workspace
from railsail.objects.reading import UnusableObject


class Callers:
    """Map of the callers' bearer keys to workspaces.

    A key is looked up by its hash, so that the time of a lookup reveals nothing about stored keys.
    """

    def __init__(self) -> None:
        self._index: dict[str, str] = {}
        # By hash: the keys of workspaces that cannot be used.
        self._unusable: dict[str, UnusableObject] = {}
        # Whether there are workspaces of which not even the keys can be read.
        self._has_unreadable_keys = False
        self.configured_version = 0

    def configured(self, catalog: Catalog) -> None:
        """Replace the keys by those of a new version of the configuration."""
        self._index = key_index(catalog)
        self.configured_version = catalog.version
        unusable = catalog.unusable_of_kind(Workspace)
        self._unusable = {}
        self._has_unreadable_keys = False
        for workspace in unusable:
            hashes = workspace.value.get("key_hashes")
            if isinstance(hashes, list | tuple):
                self._unusable.update((digest, workspace) for digest in hashes)
            else:
                self._has_unreadable_keys = True

    def refusal_of(self, key: str) -> NotRun | None:
        """Return why ``key``, which belongs to no workspace in use, cannot be decided on.

        Return ``None`` if it certainly is no key of any workspace.
        """
        unusable = self._unusable.get(hash_key(key)) if key else None
        if unusable is not None:
            return unusable_refusal(unusable, self.configured_version)
        if key and self._has_unreadable_keys:
            detail = (
                f"configuration {self.configured_version} has a workspace whose keys cannot be read"
            )
            return NotRun(Reason.UNUSABLE_CONFIGURATION, detail)
        return None

    def workspace_of(self, key: str) -> str | None:
        """Return the workspace that owns ``key``, or ``None``."""
        return self._index.get(hash_key(key)) if key else None


def bearer_key(authorization: str) -> str:
    """Return the key of an ``Authorization`` header, empty if there is none."""
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def unusable_refusal(unusable: UnusableObject, version: int) -> NotRun:
    """Return the outcome of a request on which an object that cannot be used decides."""
    detail = f"configuration {version} cannot be used for this request: {unusable.problem}"
    return NotRun(Reason.UNUSABLE_CONFIGURATION, detail)


def missing_pool(catalog: Catalog, name: str) -> NotRun:
    """Return the outcome of a request for a pool that is not there or cannot be used."""
    unusable = catalog.unusable.get((Pool.KIND, name))
    if unusable is not None:
        return unusable_refusal(unusable, catalog.version)
    return NotRun(Reason.UNKNOWN_POOL, f"there is no pool {name!r}")
