"""The typed messages between daemons.

On the wire a message is a CBOR array: its number, then its fields in order. Numbers and the order
of fields never change; ``docs/internals/protocol.md`` lists them. Costs and counters are whole cost
units, times are whole milliseconds, because small whole numbers are short in CBOR.
"""

from collections.abc import Mapping
from typing import Annotated, ClassVar, Self

import msgspec

from railsail.core.outcomes import Reason
from railsail.peers.base import Blob, Digest, Message, Natural, Signed, Text
from railsail.peers.levels import OLDEST, PROOFS, QUARANTINE, ROLLOUTS
from railsail.peers.records import (
    CounterRecord,
    DomainRecord,
    FlightRecord,
    MemberRecord,
    ProofRecord,
    ReplicaEndRecord,
    RolloutRecord,
    SumRecord,
    TallyRecord,
    UpstreamRecord,
)

# Replicas that one ticket can name as excluded: as many as a cell has.
MOST_EXCLUDED = 64

# Results of calls as peers without those of the quarantine know them: an answer that broke off is
# an error, and a caller that left tells nothing.
_OLD_RESULTS = {4: 2, 5: 0}


class Heartbeat(Message, frozen=True, tag=1):
    """Say that the sender lives, and what it knows, so that differences are seen."""

    PATIENT: ClassVar[bool] = True
    COUNTS: ClassVar[Mapping[int, int]] = {OLDEST: 4}

    configuration: Natural
    members: Natural
    upstreams: Natural
    wants_reply: bool = False
    quarantine: Natural = 0


class MemberNews(Message, frozen=True, tag=2):
    """Beliefs that are new to the sender."""

    members: Annotated[list[MemberRecord], msgspec.Meta(max_length=2000)]


class StateRequest(Message, frozen=True, tag=3):
    """Ask for all members, upstreams, and changes after version ``configuration``."""

    configuration: Natural


class UpstreamNews(Message, frozen=True, tag=4):
    """Replicas and failure domains whose state is new to the sender."""

    upstreams: Annotated[list[UpstreamRecord], msgspec.Meta(max_length=5000)]
    domains: Annotated[list[DomainRecord], msgspec.Meta(max_length=1000)] = []


class ConfigurationNews(Message, frozen=True, tag=5):
    """Changes after version ``since``, or all objects if ``since`` is 0, as JSON."""

    since: Natural
    version: Natural
    body: Blob


class QuarantineNews(Message, frozen=True, tag=6):
    """Replicas that ended while they ran requests, as far as that is new to the sender."""

    SINCE: ClassVar[int] = QUARANTINE

    ends: Annotated[list[ReplicaEndRecord], msgspec.Meta(max_length=1000)]


class ProofNews(Message, frozen=True, tag=7):
    """Say what of the store the sender holds, and when that was all; see ``railsail.store.proofs``.

    ``sent`` is the time by a steady clock of the sender's, in milliseconds from any start, and
    ``configuration`` the version that it holds.
    """

    SINCE: ClassVar[int] = PROOFS

    sent: Natural
    configuration: Natural
    proofs: Annotated[list[ProofRecord], msgspec.Meta(max_length=32)]


class RolloutUpdate(Message, frozen=True, tag=8):
    """Rollouts whose order or state is new to the sender."""

    SINCE: ClassVar[int] = ROLLOUTS

    rollouts: Annotated[list[RolloutRecord], msgspec.Meta(max_length=1000)]


class Place(Message, frozen=True, tag=10):
    """Place a ticket with the dispatcher of a cell.

    ``flags`` holds 1 for urgent work, and 2 for a request whose caller was refused before. The
    ticket may wait for ``patience``, and its caller would come back after ``returns_within``, with
    a request of the same ``fingerprint``. Its entry may not send it to the replicas ``excluded``.
    ``route`` is the fingerprint of its route, 0 where there is none.
    """

    COUNTS: ClassVar[Mapping[int, int]] = {QUARANTINE: 18, PROOFS: 19}

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


class Granted(Message, frozen=True, tag=11):
    """Give ``replica`` to a ticket; ``counter`` is that of its workspace."""

    number: Natural
    attempt: Natural
    replica: Text
    counter: Signed


class Refused(Message, frozen=True, tag=12):
    """Say that a ticket cannot be served now.

    Its caller should come back after ``come_back`` milliseconds, 0 where that is not known.
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
    """Take a ticket back that waits."""

    number: Natural


class Release(Message, frozen=True, tag=14):
    """End a granted request.

    ``result`` is 0 for nothing learnt, 1 for good, 2 for an error, 3 for a replica out of reach, 4
    for an answer that broke off, 5 for a caller that left while the replica ran its request.
    """

    number: Natural
    attempt: Natural
    cost: Natural
    result: Annotated[int, msgspec.Meta(ge=0, le=5)]

    def for_level(self, level: int) -> Self:
        """Return the message with a result that peers of ``level`` know."""
        if level >= QUARANTINE:
            return self
        result = _OLD_RESULTS.get(self.result, self.result)
        return Release(self.number, self.attempt, self.cost, result)


class Progress(Message, frozen=True, tag=15):
    """Raise the charge of a running request to ``charged`` in all."""

    PATIENT: ClassVar[bool] = True

    number: Natural
    charged: Natural


class Begun(Message, frozen=True, tag=17):
    """Say that the answer to a granted request has begun."""

    number: Natural
    attempt: Natural


class Held(Message, frozen=True, tag=25):
    """Say that a ticket's caller was refused before, and that it may wait for ``patience``."""

    number: Natural
    attempt: Natural
    patience: Natural


class Probe(Message, frozen=True, tag=18):
    """Ask a dispatcher that has been quiet for a word."""


class ProbeReply(Message, frozen=True, tag=19):
    """Answer a probe."""


class Resync(Message, frozen=True, tag=16):
    """Tell a dispatcher all that the entry has of a cell; what is not named is forgotten."""

    pool: Text
    cell: Natural
    waiting: Annotated[list[Place], msgspec.Meta(max_length=5000)]
    flights: Annotated[list[FlightRecord], msgspec.Meta(max_length=5000)]
    counters: Annotated[list[CounterRecord], msgspec.Meta(max_length=2000)]


class Served(Message, frozen=True, tag=20):
    """Service under the sender in the tree, summed up since ``epoch``; only what changed."""

    PATIENT: ClassVar[bool] = True

    pool: Text
    epoch: Natural
    totals: Annotated[list[SumRecord], msgspec.Meta(max_length=2000)]


class FleetServed(Message, frozen=True, tag=21):
    """Service of the whole pool, as ``root`` has summed it up since ``epoch``.

    All nodes exchange sums every ``period`` milliseconds, which the root decides.
    """

    PATIENT: ClassVar[bool] = True

    pool: Text
    root: Text
    epoch: Natural
    period: Natural
    totals: Annotated[list[SumRecord], msgspec.Meta(max_length=2000)]


class CellHint(Message, frozen=True, tag=22):
    """Tell a neighbour cell how many tickets wait, and ask it for ``wanted`` of its own."""

    PATIENT: ClassVar[bool] = True

    pool: Text
    to_cell: Natural
    from_cell: Natural
    waiting: Natural
    wanted: Natural


class Passed(Message, frozen=True, tag=23):
    """Pass a ticket of ``entry`` on to another cell of its pool."""

    entry: Text
    cell: Natural
    ticket: Place


class Moved(Message, frozen=True, tag=24):
    """Tell an entry that its ticket now waits with cell ``to_cell`` at ``node``."""

    number: Natural
    attempt: Natural
    to_cell: Natural
    node: Text


class ClaimRequest(Message, frozen=True, tag=30):
    """Ask the batcher of a shard to claim a key, or to release it if ``release``."""

    number: Natural
    key: Digest
    fingerprint: Digest
    attempt: Natural
    release: bool


class ClaimReply(Message, frozen=True, tag=31):
    """Answer a claim: ``result`` is a ``ClaimResult``; the holder is named where one is."""

    number: Natural
    result: Annotated[int, msgspec.Meta(ge=0, le=3)]
    holder: Text = ""
    holder_start: Natural = 0
    fingerprint: bytes = b""


class AnswerRequest(Message, frozen=True, tag=32):
    """Ask the node that ran a claimed request for its answer, waiting at most ``wait`` ms."""

    number: Natural
    key: Digest
    wait: Natural


class AnswerReply(Message, frozen=True, tag=33):
    """Give the answer of a claimed request; ``status`` is 0 if it is not known here."""

    number: Natural
    status: Annotated[int, msgspec.Meta(ge=0, le=599)]
    content_type: Text
    request: Text
    body: Blob


class HandedOver(Message, frozen=True, tag=34):
    """The counters of a cell, and its virtual time, from the dispatcher that gives it up."""

    pool: Text
    cell: Natural
    counters: Annotated[list[CounterRecord], msgspec.Meta(max_length=2000)]
    virtual_time: Signed = 0


class RolloutAllowance(Message, frozen=True, tag=35):
    """Let the dispatcher of a cell send calls to the target version of a rollout.

    The rollout is that of ``service`` whose order has ``version``. The allowance replaces those of
    lower ``serial`` and of lower ``term``, and lapses after ``valid`` milliseconds. ``stage`` is a
    ``railsail.rollouts.stages.Stage``. In all, ``calls`` calls may be sent in this ``term``; they
    go to ``replicas``, to any of the target version where none are named.
    """

    SINCE: ClassVar[int] = ROLLOUTS

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
    """What the dispatcher of a cell has seen of a rollout, as sums since ``start``.

    ``arrivals`` counts all calls of the service that it granted, ``exposed`` those of them that
    went to the target version in ``term``, and ``running`` those in flight on other versions now.
    """

    SINCE: ClassVar[int] = ROLLOUTS

    service: Text
    cell: Natural
    version: Natural
    start: Natural
    term: Natural
    arrivals: Natural
    exposed: Natural
    running: Natural
    tallies: Annotated[list[TallyRecord], msgspec.Meta(max_length=2000)]


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
)
