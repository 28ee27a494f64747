"""The backoff that an HTTP answer requests with ``Retry-After`` (RFC 9110, section 10.2.3)."""

import math
import random
from datetime import UTC
from email.utils import parsedate_to_datetime

from tornado.httputil import HTTPHeaders

# The status codes with which a server refuses a request that it may accept later.
TURNED_AWAY = (429, 503)
# Bounds of the backoff that this node asks for itself.
MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 2.5


def random_retry_after(rng: random.Random, most: float = MAX_RETRY_AFTER_SECONDS) -> float:
    """Return a backoff to ask for, in seconds, ``most`` at most.

    It is random, to keep callers that are refused at the same time from retrying at the same time.
    """
    return rng.uniform(min(MIN_RETRY_AFTER_SECONDS, most), most)


def asks_rest(status: int, headers: HTTPHeaders) -> bool:
    """Return True if an answer refuses its request and has a ``Retry-After``."""
    return status in TURNED_AWAY and "Retry-After" in headers


def rest_seconds(status: int, headers: HTTPHeaders, wall: float, most: float) -> float:
    """Return the backoff that an answer requests, in seconds; 0 for none, ``most`` at most.

    ``wall`` is the current time in seconds since the Unix epoch.
    """
    if not asks_rest(status, headers):
        return 0.0
    return min(retry_after_seconds(headers["Retry-After"], wall), most)


def retry_after_seconds(text: str, wall: float) -> float:
    """Return the seconds that the ``Retry-After`` value ``text`` stands for.

    Return 0 if the date has passed, or if the value is neither a number nor a date. ``wall`` is the
    current time in seconds since the Unix epoch.
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
    # A date without a time zone is in UTC.
    return (date if date.tzinfo else date.replace(tzinfo=UTC)).timestamp() - wall
