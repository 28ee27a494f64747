"""The client of the daemons' operators' interface."""

import json
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

CALL_SECONDS = 30.0


@dataclass(frozen=True)
class Reply:
    """The reply of a daemon.

    If there was none, ``status`` is 0 and ``body["error"]`` has the reason.
    """

    status: int
    body: dict[str, object]


class AdminClient:
    """Client of the operators' interface at ``endpoint``, an ``ip:port``."""

    def __init__(self, endpoint: str, secret: str) -> None:
        self.endpoint = endpoint
        self._secret = secret

    async def call(self, method: str, path: str, body: object = None) -> Reply:
        """Make one call, and return the reply."""
        request = HTTPRequest(
            f"http://{self.endpoint}{path}",
            method=method,
            headers={"Authorization": f"Bearer {self._secret}"},
            body=None if body is None else json.dumps(body),
            allow_nonstandard_methods=True,
            connect_timeout=3.0,
            request_timeout=CALL_SECONDS,
        )
        try:
            response = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as problem:
            return Reply(0, {"error": f"{self.endpoint}: {problem}"})
        try:
            return Reply(response.code, json.loads(response.body))
        except ValueError:
            return Reply(response.code, {"error": f"{self.endpoint}: not JSON"})
