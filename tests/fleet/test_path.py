"""The whole path: a caller, three daemons, engines and services."""

import json
import unittest

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


if __name__ == "__main__":
    unittest.main()
