"""Every caller receives the whole answer to its own request; leaving replicas get nothing new."""

import asyncio

from railsail.standins.batching import Faults
from tests.fleet.base import FleetTestCase, whole


class AnswerTests(FleetTestCase):
    daemons = 1

    def set_faults(self, **faults) -> None:
        for engine in self.fleet.engines.values():
            engine.faults = Faults(**faults)

    def runs(self) -> list:
        runs = [run for engine in self.fleet.engines.values() for run in engine.log]
        return sorted(runs, key=lambda run: run.received_at)

    async def test_cut_stream_is_resumed_and_whole(self):
        self.set_faults(cut_after=2)
        response = await self.complete(self.fleet.nodes[0], tokens=60)
        self.assertTrue(whole(response))
        self.assertEqual(len(self.runs()), 1)

    async def test_duplicated_events_are_passed_on_once(self):
        self.set_faults(duplicate=True)
        response = await self.complete(self.fleet.nodes[0], tokens=60)
        self.assertTrue(whole(response))

    async def test_crossed_answers_never_reach_the_caller(self):
        self.set_faults(cross=True)
        for stream in (True, False):
            response = await self.complete(self.fleet.nodes[0], stream=stream)
            self.assertEqual(response.code, 502)
            self.assertNotIn(b"choices", response.body)
            self.assertEqual(response.headers["X-Railsail-Outcome"], "unknown")

    async def test_failing_engine_is_avoided(self):
        self.fleet.engines["model-0"].faults = Faults(fail=True)
        responses = [await self.complete(self.fleet.nodes[0]) for _ in range(6)]
        self.assertEqual({response.code for response in responses}, {200})

    async def test_engine_that_is_gone_costs_the_caller_nothing(self):
        server = self.fleet.servers[1]
        server.stop()
        await server.close_all_connections()
        responses = [await self.complete(self.fleet.nodes[0]) for _ in range(4)]
        self.assertEqual({response.code for response in responses}, {200})

    async def test_caller_that_leaves_cancels_its_call(self):
        call = asyncio.ensure_future(self.complete(self.fleet.nodes[0], tokens=20_000))
        await self.until(self.runs)
        run = self.runs()[0]
        await self.until(lambda: run.events)
        # The client closes its connection when its request's time is over.
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.fleet.nodes[0].settings.caller_port
        )
        writer.write(_raw_request())
        await self.until(lambda: len(self.runs()) == 2)
        writer.close()
        second = self.runs()[1]
        await self.until(lambda: second.cancelled)
        self.assertFalse(run.cancelled)
        run.cancelled = True
        await asyncio.gather(call, return_exceptions=True)
        del reader


def _raw_request() -> bytes:
    body = b'{"model":"model","stream":true,"prompt":"x","metadata":{"output_tokens":"20000"}}'
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-of-one\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class LeavingTests(FleetTestCase):
    async def test_listed_as_leaving_gets_nothing_new_from_any_node(self):
        stored = self.fleet.store.objects[("upstream", "model-0")]
        self.fleet.store.put("upstream", "model-0", {**stored["value"], "state": "leaving"})
        await self.fleet.store.wake()
        await self.until(self.all_say_leaving)
        await self.calls_go_elsewhere()

    async def test_own_word_of_an_engine_reaches_all_nodes(self):
        self.fleet.engines["model-0"].faults = Faults(leaving=True)
        responses = [await self.complete(self.fleet.nodes[0]) for _ in range(6)]
        self.assertEqual({response.code for response in responses}, {200})
        await self.until(self.all_say_leaving)
        await self.calls_go_elsewhere()

    async def test_replica_that_comes_back_is_taken_up(self):
        self.fleet.engines["model-0"].faults = Faults(leaving=True)
        await self.complete(self.fleet.nodes[0])
        await self.complete(self.fleet.nodes[0])
        self.fleet.engines["model-0"].faults = Faults()
        await self.until(lambda: not self.any_say_leaving())

    def leaving(self) -> list[bool]:
        nodes = self.fleet.nodes
        return [node.directory.get("model-0").leaving for node in nodes]

    def all_say_leaving(self) -> bool:
        return all(self.leaving())

    def any_say_leaving(self) -> bool:
        return any(self.leaving())

    async def calls_go_elsewhere(self) -> None:
        engine = self.fleet.engines["model-0"]
        before = len(engine.log) + engine.refused
        for node in self.fleet.nodes:
            await self.complete(node)
        self.assertEqual(len(engine.log) + engine.refused, before)
