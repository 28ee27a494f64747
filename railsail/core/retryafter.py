"""The time that an HTTP answer names for coming back (RFC 9110, section 10.2.3)."""

import math
from datetime import UTC
from email.utils import parsedate_to_datetime


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
