"""For how long a replica keeps a connection, as the head of its answer says (RFC 9112, 9.3)."""

from tornado.httputil import HTTPHeaders, ResponseStartLine

# A connection is given up so long before its replica does that, so that the two do not cross.
MARGIN_SECONDS = 0.5
_PARAMETER = "timeout"
# A replica that answers with an error, or refuses, is given its connection back.
FIRST_ERROR = 400


def may_be_kept(start: ResponseStartLine, headers: HTTPHeaders) -> bool:
    """Say whether the connection of an answer may carry another request after it."""
    if start.version != "HTTP/1.1" or not 200 <= start.code < FIRST_ERROR:
        return False
    words = headers.get("Connection", "").lower().split(",")
    return "close" not in {word.strip() for word in words}


def idle_seconds(headers: HTTPHeaders, most: float) -> float:
    """Return for how long a connection may be idle, ``most`` at most; 0 if not at all."""
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
