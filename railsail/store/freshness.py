"""How old what a node holds of the store's objects may be, by kind.

A call that the store answered proves that its caller held all changes of a kind up to a version,
and when. The age of the newest proof bounds how long ago a change can have been made that the node
does not know.
"""

from collections.abc import Callable

import msgspec


class Proof(msgspec.Struct, frozen=True):
    """That all changes of ``kind`` up to the store's ``version`` are held.

    That version was the store's newest one at ``at``, in seconds of the monotonic clock.
    """

    kind: str
    version: int
    at: float


class Freshness:
    """Keep the newest proof of each kind."""

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._proofs: dict[str, Proof] = {}
        self._listeners: list[Callable[[Proof], None]] = []

    def on_read(self, listener: Callable[[Proof], None]) -> None:
        """Call ``listener`` with each proof that this node has from the store itself."""
        self._listeners.append(listener)

    def now(self) -> float:
        """Return the time by which proofs are told."""
        return self._monotonic()

    def read(self, proof: Proof) -> None:
        """Keep a proof that this node has from the store itself."""
        if self.take(proof):
            for listener in self._listeners:
                listener(proof)

    def take(self, proof: Proof) -> bool:
        """Keep ``proof`` if it is newer than the one known, and say whether it is.

        A later proof of an earlier version comes from a reader of an older copy of the store.
        """
        known = self._proofs.get(proof.kind)
        if known is not None and (proof.at <= known.at or proof.version < known.version):
            return False
        self._proofs[proof.kind] = proof
        return True

    def all(self) -> list[Proof]:
        """Return the newest proof of each kind."""
        return list(self._proofs.values())

    def ages(self) -> dict[str, float]:
        """Return the ages of the newest proofs in seconds, by kind."""
        return {kind: self.age(kind) for kind in self._proofs}

    def age(self, kind: str) -> float:
        """Return the age of the newest proof in seconds, infinite where there is none."""
        known = self._proofs.get(kind)
        return float("inf") if known is None else self._monotonic() - known.at

    def version(self, kind: str) -> int:
        """Return the store's version up to which all changes are held, 0 where none is proved."""
        known = self._proofs.get(kind)
        return 0 if known is None else known.version
