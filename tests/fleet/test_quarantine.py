"""A request that ends each engine that runs it, at the model interface.

Engines ended one after the other and took along all that ran on them. Sent every 0.4 s for 24 s to
four daemons in turn, one request ended 94 to 97 engines, and 70 to 81 of its sends came more than
three seconds after the third end; nothing about a request outlasted its arrival.
"""

import asyncio
import json
import time
import unittest

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from railsail.standins.fleet import ADMIN_SECRET
from tests.fleet.base import FAST, FleetTestCase

# Whoever is in touch has heard of the third end after so many seconds; deployments allow 3 to 5.
HEARD_SECONDS = 1.0
# Engines that may end after that: nobody could prevent these sends.
MOST_LATE_ENDS = 3
BACK_SECONDS = 0.5
SENDS = 50
SEND_SECONDS = 0.1


class EndingEngineTests(FleetTestCase):
    engines = 4

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.next_number = self.engines
        self.replacing = asyncio.ensure_future(self.replace_ended())

    async def asyncTearDown(self) -> None:
        self.replacing.cancel()
        await super().asyncTearDown()

    async def replace_ended(self) -> None:
        """Start another engine, under a new name, for each that has ended."""
        replaced = set()
        while True:
            due = time.time() - BACK_SECONDS
            for engine in list(self.fleet.engines.values()):
                if 0 < engine.crashed_at < due and engine.name not in replaced:
                    replaced.add(engine.name)
                    self.fleet.store.delete("upstream", engine.name)
                    self.fleet.add_engine(f"model-{self.next_number}", "model", FAST)
                    self.next_number += 1
                    await self.fleet.store.wake()
            await asyncio.sleep(0.02)

    def ends(self) -> list[float]:
        return sorted(e.crashed_at for e in self.fleet.engines.values() if e.crashed_at)

    async def end_engine(self, node) -> object:
        body = {
            "model": "model",
            "stream": True,
            "messages": [{"role": "user", "content": "hello"}],
            "metadata": {"crash": "1"},
        }
        return await self.call(node, "/v1/chat/completions", "POST", body, X_Deadline_Seconds="5")

    async def test_request_that_ends_engines_is_kept_from_them(self):
        calls = []
        for number in range(SENDS):
            node = self.fleet.nodes[number % self.daemons]
            calls.append(asyncio.ensure_future(self.end_engine(node)))
            await asyncio.sleep(SEND_SECONDS)
        await asyncio.gather(*calls)
        ends = self.ends()
        self.assertGreaterEqual(len(ends), 3)
        late = [at for at in ends if at > ends[2] + HEARD_SECONDS]
        self.assertLessEqual(len(late), MOST_LATE_ENDS)

    async def test_operator_sees_it_and_lifts_it(self):
        node = self.fleet.nodes[0]
        while not node.quarantine.standings(3):
            await self.end_engine(node)
        body = (await self.operate(node, "GET", "/v1/quarantine")).body
        (row,) = json.loads(body)["requests"]
        self.assertEqual(row["ends"], 3)
        self.assertEqual(len(row["replicas"]), 3)
        self.assertGreater(row["held_seconds"], 60)
        path = f"/v1/quarantine/{row['request']}"
        self.assertEqual((await self.operate(node, "DELETE", path)).code, 200)
        self.assertEqual((await self.operate(node, "DELETE", path)).code, 404)
        await self.until(lambda: not any(n.quarantine.standings() for n in self.fleet.nodes))

    async def test_caller_of_a_held_request_is_told_why_and_for_how_long(self):
        node = self.fleet.nodes[0]
        while not node.quarantine.standings(3):
            await self.end_engine(node)
        response = await self.end_engine(self.fleet.nodes[1])
        self.assertEqual(response.code, 503)
        self.assertEqual(response.headers["X-Railsail-Outcome"], "not-run")
        self.assertEqual(response.headers["X-Railsail-Reason"], "quarantined")
        self.assertGreater(int(response.headers["Retry-After"]), 60)

    async def test_request_that_ran_is_never_told_as_not_run(self):
        """Its own repeats end engines until it is held; then the last word was that it did not run.

        Any refusal after an attempt of unknown outcome was told so; a claimed key was given back.
        """
        response = await self.end_engine(self.fleet.nodes[0])
        self.assertGreaterEqual(len(self.ends()), 1)
        self.assertEqual(response.code, 502)
        self.assertEqual(response.headers["X-Railsail-Outcome"], "unknown")

    async def operate(self, node, method: str, path: str) -> HTTPResponse:
        request = HTTPRequest(
            f"http://{node.settings.node_ip}:{node.settings.admin_port}{path}",
            method=method,
            headers={"Authorization": f"Bearer {ADMIN_SECRET}"},
        )
        return await AsyncHTTPClient(force_instance=True).fetch(request, raise_error=False)


if __name__ == "__main__":
    unittest.main()
