"""For how long a connection may be kept, as the head of an answer says (RFC 9112, section 9.3)."""

from tornado.httputil import HTTPHeaders, ResponseStartLine

# A connection is closed this long before its replica would close it, so that no request is sent
# while the replica closes it.
MARGIN_SECONDS = 0.5
_PARAMETER = "timeout"
# After an answer with this status or above, an error or a refusal, the connection is closed.
FIRST_ERROR = 400


def may_be_kept(start: ResponseStartLine, headers: HTTPHeaders) -> bool:
    """Return True if the connection of an answer may be used for another request."""
    if start.version != "HTTP/1.1" or not 200 <= start.code < FIRST_ERROR:
        return False
    words = headers.get("Connection", "").lower().split(",")
    return "close" not in {word.strip() for word in words}


def idle_seconds(headers: HTTPHeaders, most: float) -> float:
    """Return for how many seconds, at most ``most``, a connection may be idle; 0 for none."""
    told = _told_seconds(headers.get("Keep-Alive", ""))
    if told is None:
        return most
    return max(0.0, min(most, told - MARGIN_SECONDS))


def _told_seconds(text: str) -> float | None:
    for part in text.split(","):
        name, separator, value = part.strip().partition("=")
        if separator and name.strip().lower() != _PARAMETER:
            continue
        number = (value if separator else name).strip()
        if number.isdecimal():
            return float(number)
    return None
