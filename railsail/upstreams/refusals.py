"""The documented way in which an upstream says that it did not run a request.

An answer 429 or 503 with the header ``X-Not-Run: true`` means that nothing was run. See
``docs/ref/upstreams.md``.
"""

from tornado.httputil import HTTPHeaders

from railsail.core.outcomes import NotRun, Reason
from railsail.core.retryafter import TURNED_AWAY, asks_rest


def refusal(status: int, headers: HTTPHeaders) -> NotRun | None:
    """Return the outcome if the upstream said that it did not run the request."""
    if status not in TURNED_AWAY or headers.get("X-Not-Run") != "true":
        return None
    asked_rest = asks_rest(status, headers)
    return NotRun(Reason.REFUSED, f"status {status}", asked_rest=asked_rest)
