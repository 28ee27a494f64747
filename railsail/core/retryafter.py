"""The rest that an HTTP answer asks for: a time for coming back (RFC 9110, section 10.2.3)."""

import math
from datetime import UTC
from email.utils import parsedate_to_datetime

from tornado.httputil import HTTPHeaders

# The answers with which a server turns a request away.
TURNED_AWAY = (429, 503)


def asks_rest(status: int, headers: HTTPHeaders) -> bool:
    """Say whether an answer turns a request away and names a time to stay away."""
    return status in TURNED_AWAY and "Retry-After" in headers


def rest_seconds(status: int, headers: HTTPHeaders, wall: float, most: float) -> float:
    """Return for how many seconds an answer asks for rest, 0 for none and ``most`` at most.

    ``wall`` is now, in seconds since the Unix epoch.
    """
    if not asks_rest(status, headers):
        return 0.0
    return min(retry_after_seconds(headers["Retry-After"], wall), most)


def retry_after_seconds(text: str, wall: float) -> float:
    """Return the seconds that a ``Retry-After`` of ``text`` names, 0 for none.

    A value that is neither a number nor a date names none. ``wall`` is now, in seconds since the
    Unix epoch.
    """
    text = text.strip()
    try:
        seconds = float(text)
    except ValueError:
        seconds = _seconds_until(text, wall)
    return max(0.0, seconds) if math.isfinite(seconds) else 0.0


def _seconds_until(text: str, wall: float) -> float:
    try:
        date = parsedate_to_datetime(text)
    except (TypeError, ValueError, IndexError, OverflowError):
        return 0.0
    # A date without a zone is in Greenwich's.
    return (date if date.tzinfo else date.replace(tzinfo=UTC)).timestamp() - wall
