"""Data structures that the modules of this package exchange about requests and answers."""

from collections.abc import Sequence

import msgspec
from tornado.httputil import HTTPHeaders, RequestStartLine

from railsail.peers.records import MOST_PARTS

EVENT_STREAM = "text/event-stream"


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt; parts with the same ``digest`` consist of the same tokens.

    ``digest`` has 32 bits, so that two parts may share it. ``fingerprint`` is long enough to
    identify the part.
    """

    digest: int
    tokens: int
    fingerprint: int


class Prompt(msgspec.Struct, frozen=True):
    """What a request says about its tokens.

    ``tokens`` is the length of the prompt, ``max_output`` the maximum number of tokens to generate
    and ``expected_output`` the caller's estimate of that number; all are 0 if the request does not
    say. ``parts`` are in order; the last one belongs to this request or its session alone.
    """

    tokens: int = 0
    max_output: int = 0
    expected_output: int = 0
    parts: Sequence[PromptPart] = ()

    @property
    def affinity_key(self) -> int:
        """Return the digest of the longest prompt prefix that other requests share, or 0."""
        if not self.parts:
            return 0
        return self.parts[-2 if len(self.parts) > 1 else 0].digest

    @property
    def shared_tokens(self) -> int:
        """Return the number of tokens in the prompt prefix that other requests share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def shared_parts(self) -> tuple[int, ...]:
        """Return the fingerprints of the parts that other prompts may share: all but the last.

        Those of a prompt with more parts than a ticket has room for are its first ones.
        """
        fingerprints = dict.fromkeys(part.fingerprint for part in self.parts[:-1])
        return tuple(fingerprints)[:MOST_PARTS]


class RoutedRequest(msgspec.Struct, frozen=True):
    """One request as it arrived, parsed but not changed.

    ``target`` is the path with the query as sent, ``path`` the path alone. ``headers`` are those to
    forward. ``key`` is the caller's bearer key, empty for none. ``deadline`` is in seconds from the
    request's arrival, 0 for none. ``last_event`` is the id of the event after which an interrupted
    stream is to be resumed, empty for a stream from its start. ``resumes`` is the id of the request
    whose answer began that stream, empty if the caller does not name it.
    """

    id: str
    method: str
    host: str
    target: str
    path: str
    headers: HTTPHeaders
    body: bytes
    key: str = ""
    deadline: float = 0.0
    last_event: str = ""
    resumes: str = ""
    prompt: Prompt = Prompt()


class IncomingRequest(msgspec.Struct, frozen=True):
    """A request as it arrived, at ``received_at`` in seconds of the monotonic clock."""

    line: RequestStartLine
    headers: HTTPHeaders
    body: bytes
    received_at: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.line.path.partition("?")[0]


class Origin(msgspec.Struct, frozen=True):
    """Who sent a request, and to which route.

    ``key`` is the caller's bearer key, empty for none. ``deadline`` is in seconds from the
    request's arrival, 0 for none.
    """

    request_id: str
    key: str
    host: str
    deadline: float


class Dispatch(msgspec.Struct, frozen=True):
    """What is added to a request when it is sent to ``replica``.

    ``workspace`` is empty for requests without a workspace. ``seconds`` is the time left to answer.
    """

    replica: str
    workspace: str
    seconds: float
    last_event: str = ""


class AnswerHead(msgspec.Struct, frozen=True):
    """The status and headers of a replica's answer.

    ``headers`` are those to forward. ``not_run`` is true if the replica did not run the request,
    ``misdirected`` if another replica has the address now. ``request_id`` is the id of the request
    that is answered, empty if the replica sent none. ``signed`` is true if the answer has the
    replica's signature, ``asks_rest`` if the replica refused the request and asked for a backoff.
    """

    status: int
    headers: HTTPHeaders
    not_run: bool = False
    misdirected: bool = False
    request_id: str = ""
    signed: bool = False
    asks_rest: bool = False

    @property
    def success(self) -> bool:
        """Return True if the status is that of a success."""
        return 200 <= self.status < 300

    @property
    def event_stream(self) -> bool:
        """Return True if the body is an event stream."""
        kind = self.headers.get("Content-Type", "").partition(";")[0]
        return kind.strip().lower() == EVENT_STREAM
