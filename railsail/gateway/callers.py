"""Identify callers by their bearer keys."""

from railsail.objects.catalog import Catalog, hash_key, key_index
from railsail.objects.kinds import Workspace


class Callers:
    """Map of the callers' bearer keys to workspaces.

    A key is looked up by its hash, so that the time of a lookup reveals nothing about stored keys.
    """

    def __init__(self) -> None:
        self._index: dict[str, str] = {}
        self.configured_version = 0
        self.has_workspaces = False

    def configured(self, catalog: Catalog) -> None:
        """Replace the keys by those of a new version of the configuration."""
        self._index = key_index(catalog)
        self.configured_version = catalog.version
        self.has_workspaces = bool(catalog.of_kind(Workspace))

    def authenticate(self, authorization: str) -> str | None:
        """Return the workspace of an ``Authorization`` header, or ``None``."""
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer":
            return None
        return self.workspace_of(key.strip())

    def workspace_of(self, key: str) -> str | None:
        """Return the workspace that owns ``key``, or ``None``."""
        return self._index.get(hash_key(key)) if key else None
