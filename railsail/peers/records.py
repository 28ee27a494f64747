"""Records that messages between daemons hold lists of."""

from collections.abc import Mapping
from typing import Annotated, ClassVar

import msgspec

from railsail.peers.base import Message, Natural, Signed, Text
from railsail.peers.levels import OLDEST, PROOFS


class MemberRecord(Message, frozen=True):
    """A belief about a member, as ``railsail.membership.table.Member`` has it."""

    node: Text
    start_id: Natural
    sequence: Natural
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]
    admin_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    failure_domain: Text
    region: Text
    speed: Annotated[int, msgspec.Meta(ge=0, le=16)] = 0
    forward_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0


class UpstreamRecord(Message, frozen=True):
    """What is known of a replica, as ``railsail.upstreams.directory.Upstream`` has it."""

    COUNTS: ClassVar[Mapping[int, int]] = {PROOFS: 12}

    name: Text
    pool: Text
    endpoint: Text
    failure_domain: Text
    version: Natural
    listed: Annotated[int, msgspec.Meta(ge=0, le=2)]
    sign_version: Natural
    sign_at: Natural
    sign_leaving: bool
    slots: Natural = 0
    born: Natural = 0
    cold: Natural = 0
    software_version: Text = ""


class ProofRecord(Message, frozen=True):
    """That changes of ``kind`` are held up to the store's ``version``.

    That version was the newest one ``age`` milliseconds ago, or later.
    """

    kind: Text
    version: Natural
    age: Natural


class DomainRecord(Message, frozen=True):
    """Whether a failure domain is evacuated, at a version of the store."""

    domain: Text
    version: Natural
    evacuated: bool


class ReplicaEndRecord(Message, frozen=True):
    """The end of a replica, ``age`` milliseconds ago, and the fingerprints of what ran on it.

    ``life`` is when it had started, in milliseconds since the Unix epoch, 0 where it did not say;
    the requests ``cleared`` are not why it ended.
    """

    replica: Text
    life: Natural
    age: Natural
    requests: Annotated[list[Natural], msgspec.Meta(max_length=5000)]
    cleared: Annotated[list[Natural], msgspec.Meta(max_length=5000)] = []


class FlightRecord(Message, frozen=True):
    """A request in flight, told to a new dispatcher."""

    COUNTS: ClassVar[Mapping[int, int]] = {OLDEST: 7}

    number: Natural
    attempt: Natural
    workspace: Text
    replica: Text
    charged: Natural
    running: Natural
    unread: Natural = 0
    fingerprint: Natural = 0


class CounterRecord(Message, frozen=True):
    """A workspace's counter, in cost units per weight."""

    workspace: Text
    value: Signed


class SumRecord(Message, frozen=True):
    """The service of a workspace, named by its digest (see ``railsail.scheduling.totals``)."""

    workspace: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    value: Natural


class RolloutRecord(Message, frozen=True):
    """An operator's rollout and how it stands, as ``railsail.rollouts.orders.Rollout`` has it.

    ``duration`` is in milliseconds. ``gone`` says that the operator took the order away. ``state``
    is a ``railsail.rollouts.orders.State``, which is about ``decided_version``. ``stored`` is the
    version of the stored object that was read last, and ``written`` the state that it tells.
    ``dropped`` are versions whose rollouts did not succeed before, ``in_use`` the one that did
    last, by the order of version ``in_use_order``.
    """

    service: Text
    version: Natural
    target_version: Text
    duration: Natural
    gone: bool = False
    state: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    decided_version: Text = ""
    stored: Natural = 0
    written: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    dropped: Annotated[list[Text], msgspec.Meta(max_length=64)] = []
    in_use: Text = ""
    in_use_order: Natural = 0


class TallyRecord(Message, frozen=True):
    """What became of the calls of one route on one software version, as sums since a start.

    ``route`` is a fingerprint, 0 where it is not known; ``replica`` is empty for the sum over all
    replicas. ``first`` and ``whole`` count answers by the time to their first byte and to their end
    (see ``railsail.rollouts.evidence``).
    """

    route: Natural
    software_version: Text
    replica: Text
    answers: Natural
    failed: Natural
    first: Annotated[list[Natural], msgspec.Meta(max_length=64)]
    whole: Annotated[list[Natural], msgspec.Meta(max_length=64)]
