"""The headers that the platform's callers and replicas send and expect."""

import math
import zlib

from tornado.httputil import HTTPHeaders

from railsail.core.fingerprints import part_fingerprint
from railsail.core.retryafter import asks_rest
from railsail.gateway.callers import bearer_key
from railsail.routing.messages import (
    AnswerHead,
    Dispatch,
    Origin,
    Prompt,
    PromptPart,
    RoutedRequest,
)
from railsail.routing.protocol import ROUTE_PROTOCOLS
from railsail.upstreams.signs import AnswerSigns, read_backoff

REQUEST_ID = "Request-Id"
# The time that is left, in milliseconds.
DEADLINE = "Deadline-Ms"
LAST_EVENT = "Last-Event-Id"
# The id of the request whose answer brought the first event of a stream that is resumed.
RESUMES = "Resumes"
# The tokens of the prompt and the maximum of its output, separated by a comma.
TOKENS = "Token-Count"
# The parts of a prompt from its start, each as ``digest:tokens``, separated by commas.
PARTS = "Prompt-Prefix"
# The expected output, in tokens.
LENGTH_HINT = "Length-Hint"
WORKSPACE = "Tenant"
# The replica that is to run a request. Another replica at its address answers 421.
REPLICA = "Expect-Instance"
SIGNATURE = "Response-Seal"
NOT_RUN = "Not-Run"
# In answers of any kind: the replica that sent it is leaving.
LEAVING = "Server-Leaving"
_NOT_LEAVING = ("", "0")
KEY = "Authorization"
_MISDIRECTED = 421
# Headers that apply to one connection only (RFC 9110, section 7.6.1), and the length of the body,
# which is set again for the next one.
_HOP_BY_HOP = frozenset(
    {
        "Connection",
        "Content-Length",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    }
)
# Headers that control a replica and that only the fleet may send. With one of them, a caller could
# occupy slots and memory of a replica, make it copy memory, or make it refuse the request.
_REPLICA_CONTROLS = frozenset(
    {
        REPLICA,
        "Expect-Version",
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-Fetch",
        "Kv-From",
        "Wait-Ms",
    }
)
# ``Expect: 100-continue`` is for this node only: the body has been received when the request is
# forwarded.
_FOR_THIS_NODE = frozenset({"Expect"})
# Headers of answers by which replicas describe themselves; they have no meaning in a request.
_SENT_BY_REPLICAS = frozenset({SIGNATURE, NOT_RUN, LEAVING, "Instance-Id", "Weight-Versions"})
_DROPPED_FROM_REQUESTS = (
    _REPLICA_CONTROLS | _SENT_BY_REPLICAS | {KEY, WORKSPACE, DEADLINE, "Expect"}
)


@ROUTE_PROTOCOLS.register("prepared")
class PlatformProtocol:
    """The route protocol of the platform."""

    def read_request(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes
    ) -> RoutedRequest:
        """Return the parsed request; raise ``ValueError`` if a header is invalid."""
        return RoutedRequest(
            id=headers.get(REQUEST_ID, ""),
            method=method,
            host=headers.get("Host", ""),
            target=target,
            path=target.partition("?")[0],
            headers=_end_to_end(headers, _DROPPED_FROM_REQUESTS),
            body=body,
            key=_bearer_key(headers.get(KEY, "")),
            deadline=_parse_number(headers.get(DEADLINE, ""), DEADLINE) / 1000,
            last_event=headers.get(LAST_EVENT, ""),
            resumes=headers.get(RESUMES, ""),
            prompt=_parse_prompt(headers),
        )

    def read_origin(self, headers: HTTPHeaders) -> Origin:
        """Return the origin of a request, without parsing the rest of it."""
        return Origin(
            headers.get(REQUEST_ID, ""),
            _bearer_key(headers.get(KEY, "")),
            headers.get("Host", ""),
            _deadline_ms(headers) / 1000,
        )

    def forward_headers(self, headers: HTTPHeaders, spent: float) -> HTTPHeaders:
        """Return the headers with which a request is forwarded to another node.

        ``spent`` are the seconds since it was received, by which its deadline is shortened.
        """
        kept = _end_to_end(headers, _FOR_THIS_NODE)
        deadline = _deadline_ms(kept)
        if deadline:
            kept[DEADLINE] = str(max(1, math.floor(deadline - spent * 1000)))
        return kept

    def request_headers(self, request: RoutedRequest, dispatch: Dispatch) -> HTTPHeaders:
        """Return the headers with which ``request`` is sent to a replica."""
        headers = request.headers.copy()
        headers[REPLICA] = dispatch.replica
        headers[DEADLINE] = str(max(1, math.floor(dispatch.seconds * 1000)))
        if dispatch.workspace:
            # Tornado encodes headers as Latin-1; the bytes that are sent are UTF-8.
            headers[WORKSPACE] = dispatch.workspace.encode().decode("latin-1")
        if dispatch.last_event:
            headers[LAST_EVENT] = dispatch.last_event
        return headers

    def read_answer(self, status: int, headers: HTTPHeaders) -> AnswerHead:
        """Return the parsed head of a replica's answer."""
        return AnswerHead(
            status,
            _end_to_end(headers, frozenset()),
            not_run=NOT_RUN in headers or status == _MISDIRECTED,
            misdirected=status == _MISDIRECTED,
            request_id=self.answered_id(headers),
            signed=SIGNATURE in headers,
            asks_rest=asks_rest(status, headers),
        )

    def answered_id(self, headers: HTTPHeaders) -> str:
        """Return the id of the request that an answer belongs to, empty if it has none."""
        return headers.get(REQUEST_ID, "")

    def read_signs(self, status: int, headers: HTTPHeaders, wall: float) -> AnswerSigns:
        """Return the signals about the replica itself in the head of its answer."""
        leaving = headers.get(LEAVING, "").strip() not in _NOT_LEAVING
        return AnswerSigns(leaving, read_backoff(status, headers, wall))

    def own_headers(self, request_id: str, retry_after: float | None) -> HTTPHeaders:
        """Return the headers of an answer that the fleet gives itself.

        ``retry_after`` is in seconds.
        """
        headers = HTTPHeaders({"Content-Type": "text/plain"})
        if request_id:
            headers[REQUEST_ID] = request_id
        if retry_after is not None:
            headers["Retry-After"] = f"{retry_after:.3f}"
        return headers


def _deadline_ms(headers: HTTPHeaders) -> float:
    """Return the deadline, 0 for none or an invalid one, which ``read_request`` refuses."""
    try:
        return _parse_number(headers.get(DEADLINE, ""), DEADLINE)
    except ValueError:
        return 0.0


def _end_to_end(headers: HTTPHeaders, dropped: frozenset[str]) -> HTTPHeaders:
    connection_options = {
        option.strip().title() for option in headers.get("Connection", "").split(",")
    }
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name in _HOP_BY_HOP or name in dropped or name in connection_options - {REQUEST_ID}:
            continue
        kept.add(name, value)
    return kept


def _bearer_key(authorization: str) -> str:
    key = bearer_key(authorization)
    if key.isascii():
        return key
    # Tornado decodes headers as Latin-1, and keys are UTF-8.
    try:
        return key.encode("latin-1").decode()
    except UnicodeError:
        return key


def _parse_prompt(headers: HTTPHeaders) -> Prompt:
    counts = headers.get(TOKENS, "")
    if not counts:
        return Prompt()
    tokens, _, max_output = counts.partition(",")
    hint = headers.get(LENGTH_HINT, "")
    return Prompt(
        int(_parse_number(tokens, TOKENS)),
        int(_parse_number(max_output, TOKENS)),
        int(_parse_number(hint, LENGTH_HINT)),
        tuple(_parse_part(part) for part in headers.get(PARTS, "").split(",") if part.strip()),
    )


def _parse_part(part: str) -> PromptPart:
    digest, _, tokens = part.strip().partition(":")
    count = int(_parse_number(tokens, PARTS))
    # The id is a hexadecimal number, of which upper and lower case are the same.
    return PromptPart(zlib.crc32(digest.encode()), count, part_fingerprint(digest.lower()))


def _parse_number(text: str, name: str) -> float:
    text = text.strip()
    if not text:
        return 0.0
    try:
        number = float(text)
    except ValueError:
        raise ValueError(f"{name} is not a number") from None
    if not 0 <= number < 1e15:
        raise ValueError(f"{name} is out of range")
    return number
