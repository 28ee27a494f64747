"""The signals that replicas give about themselves in the head of any answer.

The headers are ``X-Leaving`` (see ``docs/ref/upstreams.md``) and ``Retry-After`` (RFC 9110, section
10.2.3). The adapter of a platform that uses other headers parses those instead.
"""

import enum

import msgspec
from tornado.httputil import HTTPHeaders

from railsail.core.retryafter import rest_seconds

# Bounds the backoff that a replica can ask for, so that a single wrong answer does not keep a node
# from using it for good. Replicas that restart or shed load ask for some seconds.
MAX_BACKOFF_SECONDS = 3600.0


class Source(enum.StrEnum):
    """Where the information that a replica is leaving comes from, as logs name it."""

    LIST = "list"
    ANSWER = "answer"
    LOAD = "load report"
    MISDIRECTED = "another replica at its address"
    PEER = "peer"


class AnswerSigns(msgspec.Struct, frozen=True):
    """The signals in one answer of a replica.

    ``leaving`` is true if the replica is to get no new work. This node is to send it nothing for
    ``backoff_seconds``, 0 for none.
    """

    leaving: bool = False
    backoff_seconds: float = 0.0


def read_signs(status: int, headers: HTTPHeaders, wall: float) -> AnswerSigns:
    """Return the signals in an answer; ``wall`` is now, in seconds since the Unix epoch."""
    leaving = headers.get("X-Leaving", "").strip().lower() == "true"
    return AnswerSigns(leaving, read_backoff(status, headers, wall))


def read_backoff(status: int, headers: HTTPHeaders, wall: float) -> float:
    """Return the seconds of backoff for which an answer asks, 0 unless it refuses a request."""
    return rest_seconds(status, headers, wall, MAX_BACKOFF_SECONDS)
