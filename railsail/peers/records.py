"""Records that messages between daemons hold lists of."""

from collections.abc import Mapping
from typing import Annotated, ClassVar

import msgspec

from railsail.peers.base import Message, Natural, Signed, Text
from railsail.peers.levels import OLDEST


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
