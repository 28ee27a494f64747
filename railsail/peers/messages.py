"""The typed messages between daemons.

On the wire, a message is a CBOR array of its number and its fields in order. The numbers and the
order of the fields never change; ``docs/internals/protocol.md`` lists them. Costs and counters are
whole cost units, and times are whole milliseconds, because CBOR encodes small integers in few
bytes.
"""

from collections.abc import Mapping
from typing import Annotated, ClassVar, Self

import msgspec

from railsail.core.outcomes import Reason
from railsail.peers.base import Blob, Digest, Message, Natural, Signed, Text
from railsail.peers.levels import (
    OLDEST,
    PARTS,
    PIECES,
    PROOFS,
    QUARANTINE,
    ROLLOUTS,
    SILENCES,
    STREAMS,
)
from railsail.peers.records import (
    MOST_PARTS,
    CounterRecord,
    DomainRecord,
    FlightRecord,
    MemberRecord,
    OriginRecord,
    ProofRecord,
    ReplicaEndRecord,
    RolloutRecord,
    SumRecord,
    TallyRecord,
    UpstreamRecord,
)

# Maximum number of replicas that one ticket excludes, which is that of the replicas of a cell.
MOST_EXCLUDED = 64

# Records of the lists that are sent in parts. A record of a replica's end may have thousands of
# requests, so that a part has fewer of them.
_RECORDS_PER_PART = 1000
_ENDS_PER_PART = 10

# For peers below the level ``QUARANTINE``: the results of calls to send in place of those that they
# do not know. An answer that broke off becomes an error, and a caller that left becomes no result.
_RESULTS_BEFORE_QUARANTINE = {4: 2, 5: 0}
# For peers below the level ``SILENCES``: they take the end of a call whose replica fell silent for
# an answer that broke off.
_RESULTS_BEFORE_SILENCES = {7: 4}
# For peers below the level ``PARTS``: a rejected request is a success of its replica.
_RESULTS_BEFORE_PARTS = {6: 1}


class Heartbeat(Message, frozen=True, tag=1):
    """Show that the sender is alive, and with which state, so that differences are detected.

    ``configuration`` is the version of its configuration; ``members``, ``upstreams`` and
    ``quarantine`` are digests of what it knows of these.
    """

    SHARES_FRAME: ClassVar[bool] = True
    FIELD_COUNTS: ClassVar[Mapping[int, int]] = {OLDEST: 4}

    configuration: Natural
    members: Natural
    upstreams: Natural
    wants_reply: bool = False
    quarantine: Natural = 0


class MemberNews(Message, frozen=True, tag=2):
    """Send the records of members that are new to the sender, or all."""

    PART_LENGTHS: ClassVar[Mapping[str, int]] = {"members": _RECORDS_PER_PART}

    members: Annotated[list[MemberRecord], msgspec.Meta(max_length=2000)]


class StateRequest(Message, frozen=True, tag=3):
    """Request all members, all upstreams, and the changes after version ``configuration``."""

    configuration: Natural


class UpstreamNews(Message, frozen=True, tag=4):
    """Send the records of replicas and failure domains that are new to the sender, or all."""

    PART_LENGTHS: ClassVar[Mapping[str, int]] = {
        "upstreams": _RECORDS_PER_PART,
        "domains": _RECORDS_PER_PART,
    }

    upstreams: Annotated[list[UpstreamRecord], msgspec.Meta(max_length=5000)]
    domains: Annotated[list[DomainRecord], msgspec.Meta(max_length=1000)] = []


class ConfigurationNews(Message, frozen=True, tag=5):
    """Send the changes after version ``since``, or all objects if ``since`` is 0, as JSON.

    The result is the configuration of ``version``. If ``since`` equals ``version``, the message
    announces that version only. Peers that know ``ConfigurationPiece`` are sent announcements only.
    """

    since: Natural
    version: Natural
    body: Blob


class QuarantineNews(Message, frozen=True, tag=6):
    """Send the crashes of replicas that are new to the sender, or all."""

    SINCE_LEVEL: ClassVar[int] = QUARANTINE
    PART_LENGTHS: ClassVar[Mapping[str, int]] = {"ends": _ENDS_PER_PART}

    ends: Annotated[list[ReplicaEndRecord], msgspec.Meta(max_length=1000)]


class ProofNews(Message, frozen=True, tag=7):
    """Send proofs that the sender has all changes of the store; see ``railsail.store.proofs``.

    ``sent_at`` is the time of sending in milliseconds of the sender's monotonic clock, and
    ``configuration`` the version of its active configuration.
    """

    SINCE_LEVEL: ClassVar[int] = PROOFS

    sent_at: Natural
    configuration: Natural
    proofs: Annotated[list[ProofRecord], msgspec.Meta(max_length=32)]


class RolloutUpdate(Message, frozen=True, tag=8):
    """Send the rollouts whose order or state is new to the sender, or all."""

    SINCE_LEVEL: ClassVar[int] = ROLLOUTS
    PART_LENGTHS: ClassVar[Mapping[str, int]] = {"rollouts": _RECORDS_PER_PART}

    rollouts: Annotated[list[RolloutRecord], msgspec.Meta(max_length=1000)]


class Place(Message, frozen=True, tag=10):
    """Place a ticket with the dispatcher of a cell.

    ``flags`` is a sum of 1 for urgent work, 2 for a request whose caller was refused before and 4
    for one that continues a stream, which only replicas of ``software_version`` may do. The ticket
    may wait for ``patience`` milliseconds. If it is refused, its caller is expected to retry
    within ``returns_within`` milliseconds, with a request of the same ``fingerprint``. Its entry
    may not send it to the replicas ``excluded``. ``route`` is the fingerprint of its route, 0 if
    there is none. ``parts`` are the fingerprints of the parts that its prompt shares with others.
    For the other fields see ``railsail.scheduling.tickets.Ticket``; ``rank`` is in thousandths,
    ``waited`` and ``objective`` are in milliseconds.
    """

    FIELD_COUNTS: ClassVar[Mapping[int, int]] = {
        QUARANTINE: 18,
        PROOFS: 19,
        ROLLOUTS: 20,
        STREAMS: 21,
    }

    number: Natural
    attempt: Natural
    cell: Natural
    pool: Text
    workspace: Text
    rank: Signed
    estimate: Natural
    waited: Natural
    flags: Natural = 0
    prefix: Natural = 0
    avoid: Text = ""
    prompt_tokens: Natural = 0
    shared_tokens: Natural = 0
    objective: Natural = 0
    patience: Natural = 0
    returns_within: Natural = 0
    regions: Annotated[list[Text], msgspec.Meta(max_length=64)] = []
    fingerprint: Natural = 0
    excluded: Annotated[list[Text], msgspec.Meta(max_length=MOST_EXCLUDED)] = []
    route: Natural = 0
    software_version: Text = ""
    parts: Annotated[list[Natural], msgspec.Meta(max_length=MOST_PARTS)] = []


class Granted(Message, frozen=True, tag=11):
    """Grant ``replica`` to a ticket; ``counter`` is the counter of its workspace."""

    number: Natural
    attempt: Natural
    replica: Text
    counter: Signed


class Refused(Message, frozen=True, tag=12):
    """Refuse a ticket.

    Its caller should retry after ``come_back`` milliseconds, 0 if that is not known.
    """

    number: Natural
    attempt: Natural
    reason: Text
    come_back: Natural = 0

    def for_level(self, level: int) -> Self:
        """Return the message with a reason that peers of ``level`` know."""
        if level >= QUARANTINE or self.reason != Reason.QUARANTINED:
            return self
        return Refused(self.number, self.attempt, Reason.EXPIRED, self.come_back)


class Cancel(Message, frozen=True, tag=13):
    """Withdraw a waiting ticket."""

    number: Natural


class Release(Message, frozen=True, tag=14):
    """Report the end of a granted request, which releases its replica.

    ``result`` is 0 if nothing was learnt of the replica, 1 for success, 2 for an error, 3 for an
    unreachable replica, 4 for an answer that broke off, 5 for a caller that left while the replica
    ran its request, 6 for an answer that rejects the request, 7 for a replica that fell silent.
    """

    number: Natural
    attempt: Natural
    cost: Natural
    result: Annotated[int, msgspec.Meta(ge=0, le=7)]

    def for_level(self, level: int) -> Self:
        """Return the message with a result that peers of ``level`` know."""
        result = self.result
        if level < SILENCES:
            result = _RESULTS_BEFORE_SILENCES.get(result, result)
        if level < PARTS:
            result = _RESULTS_BEFORE_PARTS.get(result, result)
        if level < QUARANTINE:
            result = _RESULTS_BEFORE_QUARANTINE.get(result, result)
        return Release(self.number, self.attempt, self.cost, result)


class Progress(Message, frozen=True, tag=15):
    """Raise the total charge of a running request to ``charged``."""

    SHARES_FRAME: ClassVar[bool] = True

    number: Natural
    charged: Natural


class Begun(Message, frozen=True, tag=17):
    """Report that the answer to a granted request has started."""

    number: Natural
    attempt: Natural


class Held(Message, frozen=True, tag=25):
    """Keep a ticket waiting instead of refusing it once more, for ``patience`` milliseconds.

    Its caller was refused before.
    """

    number: Natural
    attempt: Natural
    patience: Natural


class Probe(Message, frozen=True, tag=18):
    """Check that a dispatcher that has been silent is alive."""


class ProbeReply(Message, frozen=True, tag=19):
    """Answer a probe."""


class Resync(Message, frozen=True, tag=16):
    """Send a dispatcher all tickets, in-flight calls and counters that the entry has of a cell.

    The dispatcher drops the tickets and calls of the entry that are not named.
    """

    pool: Text
    cell: Natural
    waiting: Annotated[list[Place], msgspec.Meta(max_length=5000)]
    flights: Annotated[list[FlightRecord], msgspec.Meta(max_length=5000)]
    counters: Annotated[list[CounterRecord], msgspec.Meta(max_length=2000)]


class Served(Message, frozen=True, tag=20):
    """Report the service of the sender and the nodes below it in the tree, as sums since ``epoch``.

    Only sums that changed are sent.
    """

    SHARES_FRAME: ClassVar[bool] = True
    PART_LENGTHS: ClassVar[Mapping[str, int]] = {"totals": _RECORDS_PER_PART}

    pool: Text
    epoch: Natural
    totals: Annotated[list[SumRecord], msgspec.Meta(max_length=2000)]


class FleetServed(Message, frozen=True, tag=21):
    """Send down the tree the service of the whole pool, as ``root`` has summed it since ``epoch``.

    The root decides that all nodes exchange sums every ``period`` milliseconds.
    """

    SHARES_FRAME: ClassVar[bool] = True
    PART_LENGTHS: ClassVar[Mapping[str, int]] = {"totals": _RECORDS_PER_PART}

    pool: Text
    root: Text
    epoch: Natural
    period: Natural
    totals: Annotated[list[SumRecord], msgspec.Meta(max_length=2000)]


class CellHint(Message, frozen=True, tag=22):
    """Report to a neighbour cell how many tickets wait in ``from_cell``.

    Request ``wanted`` of the tickets that wait in ``to_cell``.
    """

    SHARES_FRAME: ClassVar[bool] = True

    pool: Text
    to_cell: Natural
    from_cell: Natural
    waiting: Natural
    wanted: Natural


class Passed(Message, frozen=True, tag=23):
    """Forward a ticket of ``entry`` to ``cell``, another cell of its pool."""

    entry: Text
    cell: Natural
    ticket: Place


class Moved(Message, frozen=True, tag=24):
    """Notify an entry that its ticket was forwarded to cell ``to_cell``, dispatched by ``node``."""

    number: Natural
    attempt: Natural
    to_cell: Natural
    node: Text


class ClaimRequest(Message, frozen=True, tag=30):
    """Request that the batcher of a shard claims a key, or releases it if ``release`` is set."""

    number: Natural
    key: Digest
    fingerprint: Digest
    attempt: Natural
    release: bool


class ClaimReply(Message, frozen=True, tag=31):
    """Answer a claim with its result, a ``ClaimResult``, and the claim that holds the key, if any.

    ``holder`` is the node of that claim and ``holder_start`` its start id.
    """

    number: Natural
    result: Annotated[int, msgspec.Meta(ge=0, le=3)]
    holder: Text = ""
    holder_start: Natural = 0
    fingerprint: bytes = b""


class AnswerRequest(Message, frozen=True, tag=32):
    """Request the answer of a claimed request from the node that ran it.

    The node waits for the end of the request for ``wait`` milliseconds at most.
    """

    number: Natural
    key: Digest
    wait: Natural


class AnswerReply(Message, frozen=True, tag=33):
    """Return the answer of a claimed request; ``status`` is 0 if the sender does not have it.

    ``request`` is the id of the request that was answered.
    """

    number: Natural
    status: Annotated[int, msgspec.Meta(ge=0, le=599)]
    content_type: Text
    request: Text
    body: Blob


class HandedOver(Message, frozen=True, tag=34):
    """Transfer the counters of a cell and its virtual time to the node that now dispatches it."""

    PART_LENGTHS: ClassVar[Mapping[str, int]] = {"counters": _RECORDS_PER_PART}

    pool: Text
    cell: Natural
    counters: Annotated[list[CounterRecord], msgspec.Meta(max_length=2000)]
    virtual_time: Signed = 0


class RolloutAllowance(Message, frozen=True, tag=35):
    """Allow the dispatcher of a cell to send calls to the target version of a rollout.

    The rollout is that of ``service`` whose order has ``version``. The allowance replaces those of
    a lower ``term``, and those of the same term with a lower ``serial``. It expires after ``valid``
    milliseconds. ``stage`` is a ``railsail.rollouts.stages.Stage``. In this ``term``, ``calls``
    calls may be sent in total. They go to ``replicas``, or to any replicas of the target version if
    none are named.
    """

    SINCE_LEVEL: ClassVar[int] = ROLLOUTS

    service: Text
    cell: Natural
    version: Natural
    term: Natural
    serial: Natural
    stage: Annotated[int, msgspec.Meta(ge=0, le=3)]
    calls: Natural
    valid: Natural
    replicas: Annotated[list[Text], msgspec.Meta(max_length=64)] = []


class RolloutEvidence(Message, frozen=True, tag=36):
    """Report what the dispatcher of a cell has observed of a rollout, as sums since ``start``.

    ``arrivals`` counts all calls of the service that it granted, ``exposed`` those of them that
    went to the target version in ``term``, and ``running`` those in flight on other versions now.
    """

    SINCE_LEVEL: ClassVar[int] = ROLLOUTS

    service: Text
    cell: Natural
    version: Natural
    start: Natural
    term: Natural
    arrivals: Natural
    exposed: Natural
    running: Natural
    tallies: Annotated[list[TallyRecord], msgspec.Meta(max_length=2000)]


class StreamBegun(Message, frozen=True, tag=37):
    """Report where the stream ``key`` began, to be kept for ``keep`` milliseconds.

    The key is that of ``railsail.streams.origins.stream_key``.
    """

    SINCE_LEVEL: ClassVar[int] = STREAMS

    key: Natural
    pool: Text
    software_version: Text
    keep: Natural


class StreamQuery(Message, frozen=True, tag=38):
    """Ask where the stream ``key`` began, and where streams of ``host`` may begin.

    The key is 0 for a stream whose caller does not name it. If ``reads`` is set, a receiver that
    does not know the stream reads the store before it replies.
    """

    SINCE_LEVEL: ClassVar[int] = STREAMS
    FIELD_COUNTS: ClassVar[Mapping[int, int]] = {SILENCES: 3}

    number: Natural
    key: Natural
    host: Text
    reads: bool = False


class StreamReply(Message, frozen=True, tag=39):
    """Answer a query about a stream.

    ``known`` is where the stream began, empty if the sender does not know it; it was recorded
    ``age`` milliseconds ago. ``possible`` is where streams of the host may have begun recently.
    ``complete`` is set if the sender has read the store after the query, and lacks none of these.
    Builds below the level ``READS`` set it if they lacked none a moment before the query.
    """

    SINCE_LEVEL: ClassVar[int] = STREAMS

    number: Natural
    known: Annotated[list[OriginRecord], msgspec.Meta(max_length=1)]
    age: Natural
    possible: Annotated[list[OriginRecord], msgspec.Meta(max_length=100)]
    complete: bool


class ConfigurationRequest(Message, frozen=True, tag=40):
    """Request an update of the configuration from version ``since``, from byte ``offset`` on.

    ``version`` is the version that the pieces received so far lead to, 0 if there are none yet. If
    the receiver has a newer one, it sends that update from its start.
    """

    SINCE_LEVEL: ClassVar[int] = PIECES

    since: Natural
    version: Natural
    offset: Natural


class ConfigurationPiece(Message, frozen=True, tag=41):
    """Send the bytes from ``offset`` on of an update of the configuration that has ``size`` bytes.

    The update leads from version ``since`` to ``version``, and has all objects if ``since`` is 0
    (see ``railsail.configuration.updates``).
    """

    SINCE_LEVEL: ClassVar[int] = PIECES

    since: Natural
    version: Natural
    size: Natural
    offset: Natural
    body: Blob


AnyMessage = (
    Heartbeat
    | MemberNews
    | StateRequest
    | UpstreamNews
    | ConfigurationNews
    | QuarantineNews
    | ProofNews
    | RolloutUpdate
    | Place
    | Granted
    | Refused
    | Held
    | Cancel
    | Release
    | Progress
    | Begun
    | Probe
    | ProbeReply
    | Resync
    | Served
    | FleetServed
    | CellHint
    | Passed
    | Moved
    | ClaimRequest
    | ClaimReply
    | AnswerRequest
    | AnswerReply
    | HandedOver
    | RolloutAllowance
    | RolloutEvidence
    | StreamBegun
    | StreamQuery
    | StreamReply
    | ConfigurationRequest
    | ConfigurationPiece
)
