"""Error answers to callers whose requests were not served."""

import random

from railsail.core.outcomes import Completed, NotRun, Outcome, Reason, Unknown
from railsail.core.retryafter import MAX_RETRY_AFTER_SECONDS, random_retry_after
from railsail.routing.client import ClientAnswer
from railsail.routing.protocol import RouteProtocol
from railsail.routing.relay import RETRY_AFTER_SHARE

# The status of an answer that promises nothing: the request may have run.
UNKNOWN_STATUS = 502
_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.UNKNOWN_ROUTE: 404,
}
_NOT_RUN_STATUS = 503
_TIMEOUT_STATUS = 504


class ErrorAnswers:
    """Sender of error answers for requests that were not served."""

    def __init__(self, protocol: RouteProtocol, rng: random.Random) -> None:
        self._protocol = protocol
        self._rng = rng

    async def send(
        self, request_id: str, deadline: float, outcome: Outcome, client: ClientAnswer
    ) -> int:
        """Answer a request that was not served, and return the status sent.

        Return 0 if an answer had already started and the connection was closed instead. Of a
        completed request, only return the status. ``deadline`` is how many seconds the caller would
        have waited, 0 if it did not say.
        """
        if isinstance(outcome, Completed):
            return outcome.status
        if client.started:
            client.abort()
            return 0
        status = _status(outcome)
        retry_after = None
        if status == _NOT_RUN_STATUS:
            retry_after = outcome.come_back or self._retry_after(deadline)
        headers = self._protocol.own_headers(request_id, retry_after)
        await client.send(status, headers, f"{outcome.detail}\n".encode())
        return status

    def _retry_after(self, deadline: float) -> float:
        max_seconds = MAX_RETRY_AFTER_SECONDS
        if deadline:
            max_seconds = min(max_seconds, RETRY_AFTER_SHARE * deadline)
        return random_retry_after(self._rng, max_seconds)


def _status(outcome: NotRun | Unknown) -> int:
    if isinstance(outcome, NotRun):
        return _STATUS.get(outcome.reason, _NOT_RUN_STATUS)
    return _TIMEOUT_STATUS if outcome.timed_out else UNKNOWN_STATUS
