"""Read callers' requests from HTTP, and check them."""

import json
import re
import zlib
from collections.abc import Mapping

import msgspec

from railsail.core.outcomes import NotRun, Reason

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-Seconds"
MAX_DEADLINE_SECONDS = 86_400.0
MAX_KEY_CHARACTERS = 200
# The first characters of a prompt identify its prefix. A shorter prompt has no prefix worth
# caching.
PREFIX_CHARACTERS = 256
_FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")
_SERVICE_PATH = re.compile(r"/services/([a-z0-9][a-z0-9-]{0,62})(/[^\s]*)?")


class BadRequest(Exception):
    """A request that cannot be run because it is not valid."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.outcome = NotRun(Reason.BAD_REQUEST, detail)


class CallerRequest(msgspec.Struct, frozen=True):
    """One checked request.

    ``path`` and ``body`` are those to send to the upstream. ``prefix`` is a hash of the prompt's
    prefix, 0 for none. ``deadline`` is in seconds from the start, 0 for none. ``key`` is the
    idempotency key, empty for none.
    """

    pool: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    stream: bool
    max_tokens: int
    prefix: int
    deadline: float
    key: str


def read_request(
    method: str, path: str, query: str, headers: Mapping[str, str], body: bytes
) -> CallerRequest:
    """Return the checked request; raise ``BadRequest`` with what is wrong."""
    deadline = _deadline(headers.get(DEADLINE_HEADER, ""))
    key = _key(headers.get(KEY_HEADER, ""))
    forwarded_headers = {name: headers[name] for name in _FORWARDED_HEADERS if name in headers}
    if path in MODEL_PATHS:
        return _model_request(path, forwarded_headers, body, deadline, key)
    match = _SERVICE_PATH.fullmatch(path)
    if match is None:
        raise BadRequest("there is nothing at this path")
    target = (match.group(2) or "/") + (f"?{query}" if query else "")
    return CallerRequest(
        match.group(1), method, target, forwarded_headers, body, False, 0, 0, deadline, key
    )


def _deadline(text: str) -> float:
    if not text:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        raise BadRequest(f"{DEADLINE_HEADER} is not a number") from None
    if not 0.0 < seconds <= MAX_DEADLINE_SECONDS:
        raise BadRequest(f"{DEADLINE_HEADER} must be above 0 and at most {MAX_DEADLINE_SECONDS:g}")
    return seconds


def _key(text: str) -> str:
    if len(text) > MAX_KEY_CHARACTERS or not text.isprintable():
        raise BadRequest(f"{KEY_HEADER} must be printable, at most {MAX_KEY_CHARACTERS} characters")
    return text


def _model_request(
    path: str, headers: Mapping[str, str], body: bytes, deadline: float, key: str
) -> CallerRequest:
    content = _json_object(body)
    model = content.get("model")
    if not isinstance(model, str) or not model:
        raise BadRequest("the field 'model' must name a pool")
    stream = content.get("stream", False)
    if not isinstance(stream, bool):
        raise BadRequest("the field 'stream' must be true or false")
    max_tokens = content.get("max_tokens", 0)
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool) or max_tokens < 0:
        raise BadRequest("the field 'max_tokens' must be a whole number")
    if stream:
        # With these options the engine reports in each event what the stream has cost so far.
        content["stream_options"] = {"include_usage": True, "continuous_usage_stats": True}
        body = json.dumps(content, separators=(",", ":")).encode()
    prefix = _prefix(content)
    return CallerRequest(
        model, "POST", path, headers, body, stream, max_tokens, prefix, deadline, key
    )


def _json_object(body: bytes) -> dict[str, object]:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError) as problem:
        raise BadRequest(f"the body is not JSON: {str(problem)[:100]}") from None
    if not isinstance(content, dict):
        raise BadRequest("the body must be a JSON object")
    return content


def _prefix(content: dict[str, object]) -> int:
    text = content.get("prompt")
    if not isinstance(text, str):
        text = _messages_text(content.get("messages"))
    if len(text) < PREFIX_CHARACTERS:
        return 0
    return zlib.crc32(text[:PREFIX_CHARACTERS].encode(errors="replace"))


def _messages_text(messages: object) -> str:
    if not isinstance(messages, list):
        return ""
    contents = [message.get("content") for message in messages if isinstance(message, dict)]
    return "".join(content for content in contents if isinstance(content, str))
