"""The documented way in which an upstream says that it did not run a request.

An answer 429 or 503 with the header ``X-Not-Run: true`` means that nothing was run; with
``X-Leaving: true`` the replica says as well that it is leaving. See ``docs/ref/upstreams.md``.
"""

from tornado.httputil import HTTPHeaders

from railsail.core.outcomes import NotRun, Reason

_REFUSALS = (429, 503)
LEAVING = "the replica is leaving"


def refusal(status: int, headers: HTTPHeaders) -> NotRun | None:
    """Return the outcome if the upstream said that it did not run the request."""
    if status not in _REFUSALS or headers.get("X-Not-Run") != "true":
        return None
    detail = LEAVING if headers.get("X-Leaving") == "true" else f"status {status}"
    return NotRun(Reason.REFUSED, detail)
