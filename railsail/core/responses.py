"""Checks of the heads of HTTP responses that Tornado's codec leaves to its callers."""

from tornado.httputil import HTTPInputError, ResponseStartLine

# RFC 9110, section 15: all other numbers are invalid.
MIN_STATUS = 100
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101


def is_status(number: int) -> bool:
    """Return True if ``number`` is a status of HTTP."""
    return MIN_STATUS <= number <= MAX_STATUS


def check_start_line(line: ResponseStartLine) -> None:
    """Raise ``HTTPInputError`` if ``line`` does not start an answer to a request.

    The codec accepts any three digits as a status. No request here asks for another protocol, so
    that what follows a switch to one is no answer either.
    """
    if not is_status(line.code):
        raise HTTPInputError(f"status {line.code:03d} is not one of HTTP")
    if line.code == SWITCHING_PROTOCOLS:
        raise HTTPInputError("it switches to a protocol that was not requested")
