"""What replicas say about themselves in the head of any answer, whatever it says of the request.

The words are ``X-Leaving`` (see ``docs/ref/upstreams.md``) and ``Retry-After`` (RFC 9110, section
10.2.3); a platform with words of its own has them translated by its adapter.
"""

import enum

import msgspec
from tornado.httputil import HTTPHeaders

from railsail.core.retryafter import rest_seconds

# A replica is given no longer rest than this, in seconds, so that one bad answer does not close it
# to a node for good; replicas that restart or shed load ask for seconds.
MOST_REST_SECONDS = 3600.0


class Source(enum.StrEnum):
    """What said that a replica leaves, as logs name it."""

    LIST = "list"
    ANSWER = "answer"
    LOAD = "load report"
    MISDIRECTED = "another replica at its address"
    PEER = "peer"


class AnswerSigns(msgspec.Struct, frozen=True):
    """What one answer says of its replica.

    ``leaving`` says that it is to get no new work. It wants nothing from this node for ``rest``
    seconds, 0 where it does not say so.
    """

    leaving: bool = False
    rest: float = 0.0


def read_signs(status: int, headers: HTTPHeaders, wall: float) -> AnswerSigns:
    """Return the signs of an answer; ``wall`` is now, in seconds since the Unix epoch."""
    leaving = headers.get("X-Leaving", "").strip().lower() == "true"
    return AnswerSigns(leaving, read_rest(status, headers, wall))


def read_rest(status: int, headers: HTTPHeaders, wall: float) -> float:
    """Return for how many seconds an answer that turns a request away asks for rest."""
    return rest_seconds(status, headers, wall, MOST_REST_SECONDS)
