"""Checks of the heads of HTTP responses that Tornado's codec leaves to its callers."""

import re

from tornado.http1connection import is_transfer_encoding_chunked
from tornado.httputil import HTTPHeaders, HTTPInputError, ResponseStartLine

# RFC 9110, section 15: all other numbers are invalid.
MIN_STATUS = 100
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
# Statuses of answers that have no body, whatever length they name (RFC 9110, section 8.6).
BODILESS_STATUSES = (NO_CONTENT, 304)
# A length of 63 bits has no more digits.
_LENGTH = re.compile(r"[0-9]{1,19}")


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


def check_head(line: ResponseStartLine, headers: HTTPHeaders) -> None:
    """Raise ``HTTPInputError`` if the head of an answer is invalid.

    The codec checks the length and the transfer coding only of answers whose body it reads, not of
    those to a ``HEAD`` request.
    """
    check_start_line(line)
    # Raises an error if there is another coding, or a length beside it.
    is_transfer_encoding_chunked(headers)
    named_length(headers)


def has_body(method: str, status: int) -> bool:
    """Return True if an answer to ``method`` may have a body (RFC 9112, section 6.3)."""
    return method != "HEAD" and status not in BODILESS_STATUSES


def named_length(headers: HTTPHeaders) -> int | None:
    """Return the length that a head names, ``None`` if it names none.

    A length that is named more than once must be the same each time. Raise ``HTTPInputError`` if
    it is not, or if it is no number.
    """
    text = headers.get("Content-Length")
    if text is None:
        return None
    lengths = {part.strip(" \t") for part in text.split(",")}
    length = lengths.pop()
    if lengths or not _LENGTH.fullmatch(length):
        raise HTTPInputError(f"length {text!r} is not a number")
    return int(length)
