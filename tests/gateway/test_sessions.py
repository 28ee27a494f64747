"""Whole sessions compared with golden files: the bytes, outcomes and events that callers get.

``GOLDEN=write tools/test tests.gateway.test_sessions`` writes the files again.
"""

import os
import re
import unittest
from pathlib import Path

from tornado.httpclient import HTTPResponse

from railsail.standins.batching import Faults
from railsail.standins.service import Faults as ServiceFaults
from tests.fleet.base import FleetTestCase

GOLDEN = Path(__file__).parents[1] / "golden"
WRITE = os.environ.get("GOLDEN") == "write"
HEADERS = (
    "Content-Type",
    "Retry-After",
    "X-Railsail-Outcome",
    "X-Railsail-Reason",
    "X-Request-Id",
)
_ENDPOINT = re.compile(r"127\.0\.0\.1:\d+")


class SessionTests(FleetTestCase):
    daemons = 1
    engines = 1
    policies = {
        "rank": "request.pool == 'desk' ? 2 : 0",
        "may_wait": "request.pool == 'desk' ? 5 : 60",
        "never_repeat": "request.pool == 'desk' && request.method == 'POST'",
    }

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.lines: list[str] = []
        self.node = self.fleet.nodes[0]
        self.engine_faults = self.fleet.engines["model-0"]
        self.service = self.fleet.services["desk-0"]

    async def record(self, title: str, response: HTTPResponse) -> None:
        """Add one call to the record of the session."""
        self.lines.append(f"== {title}")
        self.lines.append(f"status {response.code}")
        for name in HEADERS:
            if name in response.headers:
                self.lines.append(f"{name}: {response.headers[name]}")
        self.lines.append(response.body.decode())
        await self.record_events(response.headers["X-Request-Id"])

    async def record_events(self, request: str) -> None:
        if self.node.events.select(request):
            await self.until(lambda: self.has_ended(request))
        for event in self.node.events.select(request):
            # Times differ from run to run.
            facts = [f"{k}={v}" for k, v in event.facts.items() if not k.endswith("_ms")]
            words = ["event", event.kind, event.workspace, event.detail, *facts]
            self.lines.append(" ".join(word for word in words if word))

    def has_ended(self, request: str) -> bool:
        return any(event.kind == "ended" for event in self.node.events.select(request))

    def check(self, name: str) -> None:
        text = _ENDPOINT.sub("ENDPOINT", "\n".join(self.lines)) + "\n"
        path = GOLDEN / f"{name}.txt"
        if WRITE:
            path.write_text(text)
        self.assertEqual(text, path.read_text())

    async def desk(self, title: str, path: str, method: str = "GET", **headers: str) -> None:
        body = {} if method == "POST" else None
        response = await self.call(self.node, f"/services/desk{path}", method, body, **headers)
        await self.record(title, response)

    async def test_model_session(self):
        await self.record("a streamed draft", await self.complete(self.node, 25))
        await self.record("a whole draft", await self.complete(self.node, 5, stream=False))
        self.engine_faults.faults = Faults(cut_after=2)
        await self.record("a stream that is cut", await self.complete(self.node, 50))
        self.engine_faults.faults = Faults(duplicate=True)
        await self.record("events that come twice", await self.complete(self.node, 25))
        self.engine_faults.faults = Faults(cross=True)
        await self.record("an answer of another request", await self.complete(self.node, 25))
        self.check("model")

    async def test_service_session(self):
        await self.desk("a status check", "/status/4?key=a")
        await self.desk("a classification", "/classify?key=k1", "POST", Idempotency_Key="k1")
        await self.desk("the same once more", "/classify?key=k1", "POST", Idempotency_Key="k1")
        await self.desk("another one, same key", "/classify?key=k2", "POST", Idempotency_Key="k1")
        self.service.faults = ServiceFaults(close=True)
        await self.desk("an answer that is cut", "/classify?key=k3", "POST", Idempotency_Key="k3")
        await self.desk("and asked for again", "/classify?key=k3", "POST", Idempotency_Key="k3")
        self.check("service")

    async def test_bad_requests(self):
        node = self.node
        path = "/v1/chat/completions"
        wrong = await self.complete(node, workspace="nobody")
        await self.record("a key that nobody has", wrong)
        await self.record("no such path", await self.call(node, "/v2/files"))
        await self.record("no object", await self.call(node, path, "POST", [1]))
        await self.record("no model", await self.call(node, path, "POST", {"stream": True}))
        unknown = {"model": "nothing"}
        await self.record("no such pool", await self.call(node, path, "POST", unknown))
        bad = {"model": "model", "max_tokens": -1}
        await self.record("bad max_tokens", await self.call(node, path, "POST", bad))
        bad = {"model": "model", "stream": "yes"}
        await self.record("bad stream", await self.call(node, path, "POST", bad))
        await self.desk("a bad deadline", "/x", X_Deadline_Seconds="soon")
        await self.desk("a deadline out of range", "/x", X_Deadline_Seconds="-1")
        await self.desk("a key that is too long", "/x", Idempotency_Key="k" * 300)
        self.check("bad-requests")


if __name__ == "__main__":
    unittest.main()
