"""Parse the answers by which an upstream says that it did not run a request.

These are answers with status 429 or 503 and the header ``X-Not-Run: true``. See
``docs/ref/upstreams.md``.
"""

from tornado.httputil import HTTPHeaders

from railsail.core.outcomes import NotRun, Reason
from railsail.core.retryafter import TURNED_AWAY, asks_rest


def read_refusal(status: int, headers: HTTPHeaders) -> NotRun | None:
    """Return the outcome of a refused request, ``None`` if the request may have run."""
    if status not in TURNED_AWAY or headers.get("X-Not-Run") != "true":
        return None
    asked_rest = asks_rest(status, headers)
    return NotRun(Reason.REFUSED, f"status {status}", asked_rest=asked_rest)
