"""The crash of a replica, and what ran on it."""

from dataclasses import dataclass, replace

CrashKey = tuple[str, int]


@dataclass(frozen=True)
class ReplicaCrash:
    """The crash of a replica, at the time ``at`` of this node's clock in seconds.

    ``start_id`` identifies the process of the replica: it is the time when it had started, in
    milliseconds since the Unix epoch, or 0 if the replica does not report that. ``fingerprints``
    are those of the requests that ran on it, and of the shared parts of their prompts; those in
    ``cleared`` are known not to have caused the crash.
    """

    replica: str
    start_id: int
    at: float
    fingerprints: frozenset[int]
    cleared: frozenset[int] = frozenset()

    @property
    def key(self) -> CrashKey:
        """Return the key that identifies the crash."""
        return (self.replica, self.start_id)

    @property
    def suspects(self) -> frozenset[int]:
        """Return the fingerprints that may be those of the cause."""
        return self.fingerprints - self.cleared

    def union(self, other: "ReplicaCrash") -> "ReplicaCrash":
        """Return the union of this record and ``other``, which is about the same crash."""
        fingerprints = self.fingerprints | other.fingerprints
        return replace(self, fingerprints=fingerprints, cleared=self.cleared | other.cleared)
