"""What can be done with a request before it is read: find its key, or refuse it.

Both take a small part of the time that parsing the request takes.
"""

import re

from tornado.iostream import IOStream, StreamClosedError

from railsail.core.sockets import peek
from railsail.gateway.callers import bearer_key

# Bytes of a request in which its key is looked for.
PEEKED_BYTES = 2048
# Maximum size of a request that is refused without parsing it. The rest of a larger one resets the
# connection, after which the caller retries as well.
MAX_REFUSED_BYTES = 128 << 10
_AUTHORIZATION = re.compile(rb"\r\nauthorization:[ \t]*([^\r\n]*)", re.IGNORECASE)
_REFUSAL_BODY = b"this node is overloaded\n"


def has_arrived(stream: IOStream) -> bool:
    """Return True if a part of a request, or the end of the connection, has arrived."""
    return peek(stream.socket, 1) is not None


def read_key(stream: IOStream) -> str:
    """Return the bearer key of the request that has arrived on ``stream``, and leave it there.

    Return an empty text if there is none yet.
    """
    found = _AUTHORIZATION.search(peek(stream.socket, PEEKED_BYTES) or b"")
    return bearer_key(found[1].decode(errors="replace")) if found is not None else ""


def refuse_unparsed(stream: IOStream, retry_after: float) -> None:
    """Refuse what has arrived on ``stream`` as not run, and close it."""
    head = (
        "HTTP/1.1 503 Service Unavailable\r\n"
        f"Retry-After: {retry_after:.3f}\r\n"
        "Connection: close\r\n"
        "Content-Type: text/plain\r\n"
        f"Content-Length: {len(_REFUSAL_BODY)}\r\n\r\n"
    )
    try:
        # A connection that is closed with unread bytes is reset, and the refusal would be lost.
        stream.read_bytes(MAX_REFUSED_BYTES, partial=True)
        stream.write(head.encode() + _REFUSAL_BODY)
    except StreamClosedError:
        # The caller has disconnected and waits for no answer.
        return
    stream.close()
