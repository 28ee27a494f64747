"""The whole path: a caller, three daemons, engines and services."""

import asyncio
import json
import unittest

from railsail.standins.batching import EngineSettings
from tests.fleet.base import FleetTestCase, whole


class PathTests(FleetTestCase):
    async def test_stream_is_served_whole_at_every_node(self):
        for node in self.fleet.nodes:
            response = await self.complete(node, tokens=45)
            self.assertEqual(response.code, 200)
            self.assertTrue(whole(response))
            self.assertTrue(response.headers["X-Request-Id"].startswith("req-"))

    async def test_plain_answer_bears_its_own_id(self):
        response = await self.complete(self.fleet.nodes[1], stream=False)
        body = json.loads(response.body)
        self.assertEqual(body["id"], response.headers["X-Request-Id"])
        self.assertEqual(response.headers["X-Railsail-Outcome"], "completed")

    async def test_service_call_keeps_method_path_and_query(self):
        response = await self.call(self.fleet.nodes[2], "/services/desk/status/7?key=a", "PUT", {})
        body = json.loads(response.body)
        self.assertEqual((body["path"], body["key"]), ("/status/7", "a"))

    async def test_unknown_key_is_refused_as_not_run(self):
        response = await self.complete(self.fleet.nodes[0], workspace="nobody")
        error = json.loads(response.body)["error"]
        self.assertEqual((response.code, error["outcome"]), (401, "not-run"))
        self.assertEqual(self.fleet.engines["model-0"].log, [])

    async def test_time_line_tells_the_story_in_order(self):
        node = self.fleet.nodes[0]
        response = await self.complete(node)
        request = response.headers["X-Request-Id"]
        await self.until(lambda: node.events.select(request)[-1].kind == "ended")
        kinds = [event.kind for event in node.events.select(request)]
        self.assertEqual(kinds, ["received", "queued", "granted", "sent", "first-byte", "ended"])


class UrgentTests(FleetTestCase):
    policies = {"may_wait": "request.max_tokens == 1 ? 0 : 60"}
    engines = 1
    engine = EngineSettings(slots=1, decode_rate=100.0, load_lag=0.05)

    async def test_work_that_may_not_wait_goes_ahead_or_is_refused_at_once(self):
        node = self.fleet.nodes[0]
        engine = self.fleet.engines["model-0"]
        await self.complete(node, 1)
        # The limit is reported; until then a first guess is used.
        await self.until(lambda: 1.0 in self.limits())
        drafts = [asyncio.ensure_future(self.complete(node, 100)) for _ in range(4)]
        await self.until(lambda: len(engine.log) == 3 and len(node.tickets.waiting()) == 2)
        body = {"model": "model", "max_tokens": 1, "prompt": "x", "stream": True}
        body["metadata"] = {"output_tokens": "1"}
        urgent = [
            asyncio.ensure_future(self.call(node, "/v1/completions", "POST", body))
            for _ in range(4)
        ]
        responses = await asyncio.gather(*urgent)
        refused = [response for response in responses if response.code == 503]
        self.assertTrue(refused)
        self.assertEqual({r.headers["X-Railsail-Reason"] for r in refused}, {"no-room"})
        self.assertTrue(all("Retry-After" in response.headers for response in refused))
        ran = {run.request for run in engine.log}
        self.assertFalse(ran & {response.headers["X-Request-Id"] for response in refused})
        await asyncio.gather(*drafts)

    def limits(self) -> list[float]:
        cells = [c for n in self.fleet.nodes for c in n.dispatchers.dispatchers().values()]
        return [room.limit for cell in cells for room in cell.replicas.values()]


if __name__ == "__main__":
    unittest.main()
