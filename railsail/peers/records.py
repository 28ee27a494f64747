"""Records that messages between daemons contain in lists."""

from collections.abc import Mapping
from typing import Annotated, ClassVar

import msgspec

from railsail.peers.base import Message, Natural, Signed, Text
from railsail.peers.levels import OLDEST, PROOFS, STREAMS

# Maximum number of parts of a prompt that are sent with a ticket or a call.
MOST_PARTS = 32


class MemberRecord(Message, frozen=True):
    """The record of a member; see ``railsail.membership.table.Member``."""

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
    """The record of a replica; see ``railsail.upstreams.records.Upstream``."""

    FIELD_COUNTS: ClassVar[Mapping[int, int]] = {PROOFS: 12}

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
    """Proof that a node has all changes of ``kind`` up to the store's ``version``.

    That version was the newest one ``age`` milliseconds ago or later.
    """

    kind: Text
    version: Natural
    age: Natural


class DomainRecord(Message, frozen=True):
    """Whether a failure domain is evacuated, as of ``version`` of the store."""

    domain: Text
    version: Natural
    evacuated: bool


class ReplicaEndRecord(Message, frozen=True):
    """The crash of a replica ``age`` milliseconds ago.

    ``life`` is its start id: when its process started, in milliseconds since the Unix epoch, 0 if
    that is not known. ``requests`` are the fingerprints of the requests that ran on it, and of the
    shared parts of their prompts. Those in ``cleared`` are known not to be the cause.
    """

    replica: Text
    life: Natural
    age: Natural
    requests: Annotated[list[Natural], msgspec.Meta(max_length=5000)]
    cleared: Annotated[list[Natural], msgspec.Meta(max_length=5000)] = []


class FlightRecord(Message, frozen=True):
    """An in-flight call, as its entry reports it to a dispatcher.

    It has run for ``running`` milliseconds. ``unread`` is the number of prompt tokens whose prefill
    is pending, 0 once the answer has started. ``parts`` are the fingerprints of the parts that its
    prompt shares with others.
    """

    FIELD_COUNTS: ClassVar[Mapping[int, int]] = {OLDEST: 7, STREAMS: 8}

    number: Natural
    attempt: Natural
    workspace: Text
    replica: Text
    charged: Natural
    running: Natural
    unread: Natural = 0
    fingerprint: Natural = 0
    parts: Annotated[list[Natural], msgspec.Meta(max_length=MOST_PARTS)] = []


class CounterRecord(Message, frozen=True):
    """The counter of a workspace, in cost units per weight."""

    workspace: Text
    value: Signed


class SumRecord(Message, frozen=True):
    """The total service of a workspace, in cost units.

    ``workspace`` is the digest of its name (see ``railsail.scheduling.totals``).
    """

    workspace: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    value: Natural


class RolloutRecord(Message, frozen=True):
    """An operator's rollout and its state; see ``railsail.rollouts.orders.Rollout``.

    ``duration`` is in milliseconds. ``gone`` is set if the operator deleted the order. ``state`` is
    a ``railsail.rollouts.orders.State`` and refers to ``decided_version``. ``stored`` is the
    version of the stored object that was read last, and ``written`` the state in it. ``dropped``
    are the versions whose rollouts did not succeed before. ``in_use`` is the version whose rollout
    succeeded last, by the order of version ``in_use_order``.
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
    """The results of the calls of one route on one software version, as sums.

    ``route`` is a fingerprint, 0 if it is not known; ``replica`` is empty for the sum over all
    replicas. ``first`` and ``whole`` are histograms of the times to the first byte and to the end
    of the answers (see ``railsail.rollouts.evidence``).
    """

    route: Natural
    software_version: Text
    replica: Text
    answers: Natural
    failed: Natural
    first: Annotated[list[Natural], msgspec.Meta(max_length=64)]
    whole: Annotated[list[Natural], msgspec.Meta(max_length=64)]


class OriginRecord(Message, frozen=True):
    """Where streams begin; see ``railsail.streams.origins.StreamOrigin``."""

    pool: Text
    software_version: Text
