"""The member table of one node: pure state, without input or output.

Updates merge by ``(start_id, sequence, state)``, so that duplicated and reordered ones do no harm.
A node that restarts has a later ``start_id``. Only the node itself raises its ``sequence``, which
refutes a false suspicion. If its clock was set back before it restarted, it receives the later
``start_id`` of its former process and adopts one that is later still.
Source: SWIM (Das et al., 2002), with suspicion.
"""

import enum
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace


class MemberState(enum.IntEnum):
    """The states of a member; of two otherwise equal updates, the higher state wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True)
class Member:
    """The record of one member; ``node`` is its id, which is its peer endpoint ``ip:port``.

    ``start_id`` identifies its process. ``speed`` is the level that it measured (see
    ``railsail.membership.speed``), and ``forward_port`` the TCP port on which it accepts requests
    that other nodes forward, 0 if none.
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
    def precedence(self) -> tuple[int, int, int]:
        """Return the key that orders records of the same node, the latest one last."""
        return (self.start_id, self.sequence, int(self.state))

    @property
    def usable(self) -> bool:
        """Return True if the member may be given work of the fleet."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberTable:
    """The records that the node ``own.node`` has of all members, itself included."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.node: own}
        self._suspected_at: dict[str, float] = {}
        self._digest = 0
        self._toggle_digest(own)

    def __len__(self) -> int:
        return len(self._members)

    def get(self, node: str) -> Member | None:
        """Return the record of ``node``, or ``None`` if there is none."""
        return self._members.get(node)

    def all(self) -> list[Member]:
        """Return all records, sorted by node."""
        return [self._members[node] for node in sorted(self._members)]

    def present(self) -> list[Member]:
        """Return the members that are not dead, sorted by node."""
        return [member for member in self.all() if member.state is not MemberState.DEAD]

    def usable(self) -> list[Member]:
        """Return the members that may be given work of the fleet, sorted by node."""
        return [member for member in self.all() if member.usable]

    @property
    def digest(self) -> int:
        """Return a 32-bit checksum of all records of members that are not dead.

        Equal tables have equal checksums.
        """
        return self._digest

    def merge(self, update: Member, now: float) -> Member | None:
        """Merge ``update``; return the record to broadcast, or ``None`` if nothing is new.

        An update that says that this node itself is suspect or dead is refuted by a new sequence.
        """
        known = self._members.get(update.node)
        if update.node == self.own.node:
            return self._refute(update)
        if known is not None and update.precedence <= known.precedence:
            return None
        self._put(update)
        if update.state is MemberState.SUSPECT:
            self._suspected_at[update.node] = now
        else:
            self._suspected_at.pop(update.node, None)
        return update

    def suspect(self, node: str, now: float) -> Member | None:
        """Mark ``node`` as suspect; return the record to broadcast, or ``None`` if not changed."""
        known = self._members.get(node)
        if known is None or known.state not in (MemberState.ALIVE, MemberState.LEAVING):
            return None
        return self.merge(replace(known, state=MemberState.SUSPECT), now)

    def restart_suspicions(self, now: float) -> None:
        """Restart all suspicion timeouts at ``now``, after a pause of this process.

        Refutations that arrived during the pause may not be processed yet.
        """
        for node in self._suspected_at:
            self._suspected_at[node] = now

    def expire(self, now: float, suspicion_timeout: float) -> list[Member]:
        """Declare members dead that were suspect for ``suspicion_timeout`` seconds; return them."""
        updates = []
        for node, since in list(self._suspected_at.items()):
            if now - since >= suspicion_timeout:
                update = replace(self._members[node], state=MemberState.DEAD)
                updates.append(self.merge(update, now))
        return [update for update in updates if update is not None]

    def change_own(self, **changes: object) -> Member:
        """Change fields of this node's own record, and return it to be broadcast."""
        return self._replace_own(replace(self.own, sequence=self.own.sequence + 1, **changes))

    def _refute(self, update: Member) -> Member | None:
        stale = update.start_id < self.own.start_id
        if stale or update.precedence <= self.own.precedence:
            return None
        if update.start_id > self.own.start_id:
            # The id of a node is the address on which this process listens, so that the process
            # with the later start id has ended.
            return self._replace_own(replace(self.own, start_id=update.start_id + 1))
        return self._replace_own(replace(self.own, sequence=update.sequence + 1))

    def _replace_own(self, own: Member) -> Member:
        self.own = own
        self._put(own)
        return own

    def forget(self, nodes: Iterable[str]) -> None:
        """Drop the records of ``nodes``."""
        for node in nodes:
            member = self._members.pop(node, None)
            if member is not None:
                self._toggle_digest(member)
                self._suspected_at.pop(node, None)

    def _put(self, member: Member) -> None:
        known = self._members.get(member.node)
        if known is not None:
            self._toggle_digest(known)
        self._members[member.node] = member
        self._toggle_digest(member)

    def _toggle_digest(self, member: Member) -> None:
        # Dead members are left out, so that tables agree whether or not they still hold them.
        if member.state is not MemberState.DEAD:
            text = f"{member.node} {member.precedence}"
            self._digest ^= zlib.crc32(text.encode())
