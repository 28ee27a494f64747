"""What one node believes of every member of the fleet; pure state, no input or output.

Beliefs merge by ``(start_id, sequence, state)``, so that repeats and reorderings do no harm. A node
that restarts has a later ``start_id``. Only a node itself raises its ``sequence``, by which it
refutes a false suspicion; where its clock was set back before it restarted, it hears of the later
``start_id`` of its past self, and takes one that is later still.
Source: SWIM (Das et al., 2002), with suspicion.
"""

import enum
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace


class MemberState(enum.IntEnum):
    """The states of a member; of two beliefs alike, the higher state wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True)
class Member:
    """One member; ``node`` is its id, which is its peer endpoint ``ip:port``.

    ``speed`` is the level that it measured of itself (see ``railsail.membership.speed``), and
    ``forward_port`` the TCP port at which it takes requests of callers from other nodes, 0 if none.
    """

    node: str
    start_id: int
    sequence: int
    state: MemberState
    admin_port: int
    failure_domain: str
    region: str
    speed: int = 0
    forward_port: int = 0

    @property
    def order(self) -> tuple[int, int, int]:
        """Return what decides between two beliefs about the same node."""
        return (self.start_id, self.sequence, int(self.state))

    @property
    def usable(self) -> bool:
        """Say whether the member may be given work of the fleet."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberTable:
    """Hold the beliefs of the node ``own.node``."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.node: own}
        self._suspected_at: dict[str, float] = {}
        self._digest = 0
        self._toggle(own)

    def __len__(self) -> int:
        return len(self._members)

    def get(self, node: str) -> Member | None:
        """Return the belief about ``node``."""
        return self._members.get(node)

    def all(self) -> list[Member]:
        """Return all beliefs, by node."""
        return [self._members[node] for node in sorted(self._members)]

    def present(self) -> list[Member]:
        """Return the members that are not dead, by node."""
        return [member for member in self.all() if member.state is not MemberState.DEAD]

    def usable(self) -> list[Member]:
        """Return the members that may be given work of the fleet, by node."""
        return [member for member in self.all() if member.usable]

    @property
    def digest(self) -> int:
        """Return a 32-bit sum over all beliefs; equal tables have equal sums."""
        return self._digest

    def merge(self, belief: Member, now: float) -> Member | None:
        """Take in ``belief``, and return what must be passed on, or ``None`` if nothing is new.

        A belief that this node itself is suspect or dead is refuted by a new sequence.
        """
        known = self._members.get(belief.node)
        if belief.node == self.own.node:
            return self._refute(belief)
        if known is not None and belief.order <= known.order:
            return None
        self._put(belief)
        if belief.state is MemberState.SUSPECT:
            self._suspected_at[belief.node] = now
        else:
            self._suspected_at.pop(belief.node, None)
        return belief

    def suspect(self, node: str, now: float) -> Member | None:
        """Suspect ``node``, and return the belief to pass on, if it is new."""
        known = self._members.get(node)
        if known is None or known.state not in (MemberState.ALIVE, MemberState.LEAVING):
            return None
        return self.merge(replace(known, state=MemberState.SUSPECT), now)

    def resumed(self, now: float) -> None:
        """Count all suspicions from ``now``: a refutation may have come while nobody listened."""
        for node in self._suspected_at:
            self._suspected_at[node] = now

    def expire(self, now: float, patience: float) -> list[Member]:
        """Declare dead whoever was suspect for ``patience`` seconds; return the new beliefs."""
        news = []
        for node, since in list(self._suspected_at.items()):
            if now - since >= patience:
                belief = replace(self._members[node], state=MemberState.DEAD)
                news.append(self.merge(belief, now))
        return [belief for belief in news if belief is not None]

    def change_own(self, **changes: object) -> Member:
        """Change fields of this node's own entry, and return the belief to pass on."""
        return self._renew(replace(self.own, sequence=self.own.sequence + 1, **changes))

    def _refute(self, belief: Member) -> Member | None:
        stale = belief.start_id < self.own.start_id
        if stale or belief.order <= self.own.order:
            return None
        if belief.start_id > self.own.start_id:
            # A node's id is the address at which this process listens, so that the other one ended.
            return self._renew(replace(self.own, start_id=belief.start_id + 1))
        return self._renew(replace(self.own, sequence=belief.sequence + 1))

    def _renew(self, own: Member) -> Member:
        self.own = own
        self._put(own)
        return own

    def forget(self, nodes: Iterable[str]) -> None:
        """Drop the beliefs about ``nodes``."""
        for node in nodes:
            member = self._members.pop(node, None)
            if member is not None:
                self._toggle(member)
                self._suspected_at.pop(node, None)

    def _put(self, member: Member) -> None:
        known = self._members.get(member.node)
        if known is not None:
            self._toggle(known)
        self._members[member.node] = member
        self._toggle(member)

    def _toggle(self, member: Member) -> None:
        # Dead members are left out, so that tables agree whether or not they still list them.
        if member.state is not MemberState.DEAD:
            text = f"{member.node} {member.order}"
            self._digest ^= zlib.crc32(text.encode())
