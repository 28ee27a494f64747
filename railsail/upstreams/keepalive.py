"""For how long a connection may be kept, as the head of an answer says (RFC 9112, section 9.3)."""

from tornado.httputil import HTTPHeaders, ResponseStartLine

# A connection is closed this long before its replica would close it, so that no request is sent
# while the replica closes it.
MARGIN_SECONDS = 0.5
_PARAMETER = "timeout"
# After an answer with this status or above, an error or a refusal, the connection is closed.
MIN_ERROR_STATUS = 400


def may_be_kept(start: ResponseStartLine, headers: HTTPHeaders) -> bool:
    """Return True if the connection of an answer may be used for another request."""
    if start.version != "HTTP/1.1" or not 200 <= start.code < MIN_ERROR_STATUS:
        return False
    options = headers.get("Connection", "").lower().split(",")
    return "close" not in {option.strip() for option in options}


def idle_seconds(headers: HTTPHeaders, max_seconds: float) -> float:
    """Return for how long a connection may be idle, at most ``max_seconds``; 0 for not at all."""
    announced = _announced_seconds(headers.get("Keep-Alive", ""))
    if announced is None:
        return max_seconds
    return max(0.0, min(max_seconds, announced - MARGIN_SECONDS))


def _announced_seconds(text: str) -> float | None:
    for part in text.split(","):
        name, separator, value = part.strip().partition("=")
        if separator and name.strip().lower() != _PARAMETER:
            continue
        number = (value if separator else name).strip()
        if number.isdecimal():
            return float(number)
    return None
