"""How outdated a node's copy of the store's objects can be, by kind.

A call that the store answered proves that the caller had all changes of a kind up to a version at
a given time. A change that this node does not have yet was made after that time, so that the age of
the newest proof bounds how outdated the copy is.
"""

import math
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from railsail.store.versions import era_of

# For how many seconds it is remembered which versions were proved when.
REMEMBERED_SECONDS = 10.0


class Proof(msgspec.Struct, frozen=True):
    """Proof that a node has all changes of ``kind`` up to the store's ``version``.

    That version was the store's newest one at ``at``, in seconds of the monotonic clock.
    """

    kind: str
    version: int
    at: float


class _Recorded(NamedTuple):
    """The version of a proof, and when this node recorded the proof."""

    version: int
    recorded_at: float


class Freshness:
    """The newest proof of each kind, and the versions that were proved a moment ago."""

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._proofs: dict[str, Proof] = {}
        self._restored_at = -math.inf
        self._recorded: defaultdict[str, deque[_Recorded]] = defaultdict(deque)
        self._listeners: list[Callable[[Proof], None]] = []

    def on_own_proof(self, listener: Callable[[Proof], None]) -> None:
        """Call ``listener`` with each new proof that this node got from the store itself."""
        self._listeners.append(listener)

    def now(self) -> float:
        """Return the current time by the clock that proofs use, in seconds."""
        return self._monotonic()

    def record_own(self, proof: Proof) -> None:
        """Record a proof that this node got from the store itself, and notify the listeners."""
        if self.record(proof):
            for listener in self._listeners:
                listener(proof)

    def record(self, proof: Proof) -> bool:
        """Record ``proof`` if it is newer than the recorded one; return True if it is.

        A later proof of a lower version is ignored: it comes from a node that read an outdated
        copy of the store.
        """
        known = self._proofs.get(proof.kind)
        if known is not None and (proof.at <= known.at or proof.version < known.version):
            return False
        if known is not None and era_of(proof.version) > era_of(known.version):
            self._restored_at = self._monotonic()
        self._proofs[proof.kind] = proof
        self._remember(proof)
        return True

    def _remember(self, proof: Proof) -> None:
        now = self._monotonic()
        recorded = self._recorded[proof.kind]
        recorded.append(_Recorded(proof.version, now))
        # The first one stays the newest of those that are that old.
        while len(recorded) > 1 and recorded[1].recorded_at <= now - REMEMBERED_SECONDS:
            recorded.popleft()

    def proofs(self) -> list[Proof]:
        """Return the newest proof of each kind."""
        return list(self._proofs.values())

    def ages(self) -> dict[str, float]:
        """Return the age of the newest proof of each kind in seconds."""
        return {kind: self.age(kind) for kind in self._proofs}

    def age(self, kind: str) -> float:
        """Return the age of the newest proof of ``kind`` in seconds, infinite if there is none."""
        known = self._proofs.get(kind)
        return float("inf") if known is None else self._monotonic() - known.at

    def seconds_since_restore(self) -> float:
        """Return for how long this node has known that the store was restored from a copy.

        It is infinite if the store was not restored while this node followed it.
        """
        return self._monotonic() - self._restored_at

    def settled_version(self, kind: str, seconds: float) -> int:
        """Return the newest version of ``kind`` that this node knew to be proved ``seconds`` ago.

        Return the first version that was proved if that was later, and 0 if none was. ``seconds``
        are at most ``REMEMBERED_SECONDS``.
        """
        recorded = self._recorded[kind]
        latest = self._monotonic() - seconds
        settled = [entry.version for entry in recorded if entry.recorded_at <= latest]
        return settled[-1] if settled else recorded[0].version if recorded else 0

    def version(self, kind: str) -> int:
        """Return the version of the newest proof of ``kind``, 0 if there is none."""
        known = self._proofs.get(kind)
        return 0 if known is None else known.version
