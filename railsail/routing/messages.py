"""What the parts of the routed path tell each other of requests and answers."""

from collections.abc import Sequence

import msgspec
from tornado.httputil import HTTPHeaders, RequestStartLine

EVENT_STREAM = "text/event-stream"


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt; parts with the same ``digest`` are the same tokens."""

    digest: int
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """What a request tells of the tokens that it needs.

    ``tokens`` are those of the prompt, ``most_output`` bounds those to be made and
    ``expected_output`` is the caller's guess of them; all 0 where the request told nothing.
    ``parts`` are in order; the last one belongs to the request or to its session.
    """

    tokens: int = 0
    most_output: int = 0
    expected_output: int = 0
    parts: Sequence[PromptPart] = ()

    @property
    def affinity_key(self) -> int:
        """Return the digest of the longest beginning that other requests share, or 0."""
        if not self.parts:
            return 0
        return self.parts[-2 if len(self.parts) > 1 else 0].digest

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the beginning that ``affinity_key`` names."""
        return sum(part.tokens for part in self.parts[:-1])


class RoutedRequest(msgspec.Struct, frozen=True):
    """One request as it came, read but not changed.

    ``target`` is path and query as sent, ``path`` the path alone. ``headers`` are those that are
    passed on. ``key`` is the caller's bearer key, empty for none. ``deadline`` is in seconds from
    the request's arrival, 0 for none. ``last_event`` is the id of the event after which a stream
    that broke off is to go on, empty for a stream from its start.
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
    prompt: Prompt = Prompt()


class Arrival(msgspec.Struct, frozen=True):
    """A request as it came; ``at`` is when, in seconds of the monotonic clock."""

    line: RequestStartLine
    headers: HTTPHeaders
    body: bytes
    at: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.line.path.partition("?")[0]


class Origin(msgspec.Struct, frozen=True):
    """What tells who sent a request, and to which route.

    ``key`` is the caller's bearer key, empty for none. ``deadline`` is in seconds from the
    request's arrival, 0 for none.
    """

    request_id: str
    key: str
    host: str
    deadline: float


class Dispatch(msgspec.Struct, frozen=True):
    """What is added to a request when it is sent to ``replica``.

    ``workspace`` is empty for requests that belong to none; ``seconds`` are left to answer it.
    """

    replica: str
    workspace: str
    seconds: float
    last_event: str = ""


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of a replica's answer.

    ``headers`` are those that are passed on. ``not_run`` says that the replica did not run the
    request, ``misdirected`` that another replica has the address now. ``request_id`` names the
    request that is answered, empty where the replica named none. ``signed`` says that the answer
    bears the replica's signature, ``asks_rest`` that the replica turned the request away and named
    a time to stay away.
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
        """Say whether the status is that of a success."""
        return 200 <= self.status < 300

    @property
    def event_stream(self) -> bool:
        """Say whether the body is a series of events."""
        kind = self.headers.get("Content-Type", "").partition(";")[0]
        return kind.strip().lower() == EVENT_STREAM
