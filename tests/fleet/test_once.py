"""At most once, and the truth of "not run", through kills, retries and store trouble."""

import asyncio
import json
from unittest import mock

from railsail.configuration.changes import Proposal
from railsail.core.exceptions import StoreUnavailable
from railsail.gateway.sink import CallerSink
from railsail.membership.placement import choose
from railsail.objects.catalog import Operation
from railsail.standins.service import Faults
from railsail.standins.store import Faults as StoreFaults
from railsail.store.claims import claim_key, shard_of
from railsail.upstreams.signs import Source
from tests.fleet.base import FleetTestCase

PATH = "/services/desk/classify?key=k1&seconds=0.2"


class OnceTests(FleetTestCase):
    policies = {"never_repeat": "request.method == 'POST'"}

    def runs(self) -> list[dict]:
        return self.fleet.services["desk-0"].log

    async def ask(self, node, path: str = PATH, **headers: str):
        return await self.call(node, path, "POST", {}, Idempotency_Key="k1", **headers)

    async def test_retries_at_all_nodes_at_once_run_once_and_get_one_answer(self):
        responses = await asyncio.gather(*(self.ask(node) for node in self.fleet.nodes))
        self.assertEqual([response.code for response in responses], [200, 200, 200])
        self.assertEqual(len({response.body for response in responses}), 1)
        self.assertEqual(len({r.headers["X-Request-Id"] for r in responses}), 1)
        self.assertEqual(len(self.runs()), 1)

    async def test_later_retry_elsewhere_gets_the_first_answer(self):
        first = await self.ask(self.fleet.nodes[0])
        second = await self.ask(self.fleet.nodes[1])
        self.assertEqual((second.code, second.body), (200, first.body))
        self.assertEqual(len(self.runs()), 1)

    async def test_retry_after_all_keys_were_taken_away_does_not_get_the_first_answer(self):
        nodes = self.fleet.nodes
        first = await self.ask(nodes[0])
        self.assertEqual(first.code, 200)
        gone = [Operation(("workspace", name), None) for name in ("one", "two")]
        proposal = Proposal("c1", "test", 1, tuple(gone))
        committed = await nodes[0].repository.commit(proposal, nodes[0].carrier.catalog)
        nodes[0].carrier.committed(committed)
        await self.until(lambda: {node.carrier.catalog.version for node in nodes} == {2})
        for node in nodes:
            self.assertEqual((await self.ask(node)).code, 401)
        self.assertEqual(len(self.runs()), 1)

    async def test_retry_after_the_node_was_lost_is_a_conflict_and_never_a_second_run(self):
        lost, other, _ = self.fleet.nodes
        first = asyncio.ensure_future(self.ask(lost))
        await self.until(self.runs)
        await self.fleet.kill(lost)
        await asyncio.gather(first, return_exceptions=True)
        second = await self.ask(other, X_Deadline_Seconds="3")
        self.assertEqual(second.code, 409)
        self.assertEqual(json.loads(second.body)["error"]["outcome"], "unknown")
        self.assertEqual(len(self.runs()), 1)

    async def test_caller_that_leaves_before_its_call_was_sent_can_ask_again(self):
        node = self.fleet.nodes[0]
        for each in self.fleet.nodes:
            each.directory.sign_leaving("desk-0", Source.LOAD, each.clock.wall())
        expired = await self.ask(node, X_Deadline_Seconds="0.5")
        self.assertNotEqual(expired.code, 200)
        reader, writer = await asyncio.open_connection("127.0.0.1", node.settings.caller_port)
        writer.write(raw_post("k9"))
        await self.until(node.tickets.waiting)
        writer.close()
        await self.until(lambda: not node.tickets.waiting())
        del reader
        self.assertEqual(self.runs(), [])
        for each in self.fleet.nodes:
            each.directory.withdraw("desk-0", Source.LOAD, each.clock.wall())
        response = await self.call(node, "/services/desk/x", "POST", {}, Idempotency_Key="k9")
        while response.code == 409:
            response = await self.call(node, "/services/desk/x", "POST", {}, Idempotency_Key="k9")
        self.assertEqual((response.code, len(self.runs())), (200, 1))

    async def test_batcher_that_falls_silent_is_left(self):
        batcher = choose(f"claims {shard_of(claim_key('one', 'k1'))}", self.ids())
        silent = next(n for n in self.fleet.nodes if n.settings.node_id == batcher)
        asker = next(n for n in self.fleet.nodes if n is not silent)
        silent.hub.send = lambda node, message: True
        # The silence alone must suffice, whatever becomes of the link.
        asker.hub.drop = lambda node: None
        response = await self.ask(asker, X_Deadline_Seconds="12")
        self.assertEqual((response.code, len(self.runs())), (200, 1))

    def ids(self) -> list[str]:
        return [node.settings.node_id for node in self.fleet.nodes]

    async def test_key_of_another_request_is_a_conflict(self):
        await self.ask(self.fleet.nodes[0])
        second = await self.ask(self.fleet.nodes[1], "/services/desk/classify?key=other")
        self.assertEqual(second.code, 409)
        self.assertEqual(len(self.runs()), 1)

    async def test_same_key_of_another_workspace_is_another_key(self):
        await self.ask(self.fleet.nodes[0])
        second = await self.call(
            self.fleet.nodes[0], PATH, "POST", {}, workspace="two", Idempotency_Key="k1"
        )
        self.assertEqual(second.code, 200)
        self.assertEqual(len(self.runs()), 2)

    async def test_cut_answer_is_unknown_and_not_tried_again(self):
        self.fleet.services["desk-0"].faults = Faults(close=True)
        first = await self.ask(self.fleet.nodes[0])
        second = await self.ask(self.fleet.nodes[1], X_Deadline_Seconds="2")
        self.assertEqual((first.code, second.code), (502, 409))
        self.assertEqual(len(self.runs()), 1)

    async def test_without_key_a_cut_call_is_sent_once(self):
        self.fleet.services["desk-0"].faults = Faults(close=True)
        response = await self.call(self.fleet.nodes[0], PATH, "POST", {})
        self.assertEqual(response.code, 502)
        self.assertEqual(len(self.runs()), 1)

    async def test_repeatable_call_is_tried_again_within_the_budget(self):
        self.fleet.services["desk-0"].faults = Faults(close=True)
        response = await self.call(self.fleet.nodes[0], PATH)
        self.assertEqual(response.code, 502)
        self.assertGreater(len(self.runs()), 1)

    async def test_store_down_refuses_claims_as_not_run_and_serves_the_rest(self):
        self.fleet.store.faults = StoreFaults(down=True)
        claimed = await self.ask(self.fleet.nodes[0], X_Deadline_Seconds="0.5")
        plain = await self.call(self.fleet.nodes[0], "/services/desk/status")
        error = json.loads(claimed.body)["error"]
        self.assertEqual((claimed.code, error["reason"]), (503, "claim-unavailable"))
        self.assertEqual(claimed.headers["Retry-After"], "2")
        self.assertEqual(plain.code, 200)
        self.assertEqual([run["path"] for run in self.runs()], ["/status"])

    async def test_batcher_that_the_store_turns_away_is_left(self):
        """The store turned one node away; claims of keys that it batches for all were refused.

        It was chosen since it lives, and went on to try, so that nobody left it; the nodes that
        asked it could have written the claims themselves. Callers got 503 ``claim-unavailable``
        after the whole time for a claim, 15 s.
        """
        batcher = choose(f"claims {shard_of(claim_key('one', 'k1'))}", self.ids())
        turned_away = next(n for n in self.fleet.nodes if n.settings.node_id == batcher)
        away = mock.AsyncMock(side_effect=StoreUnavailable("turned away"))
        with mock.patch.multiple(turned_away.store, get=away, put=away):
            for node in self.fleet.nodes:
                response = await self.ask(node)
                self.assertEqual((response.code, len(self.runs())), (200, 1))

    async def test_key_refused_as_not_run_can_be_used_when_the_store_is_back(self):
        self.fleet.store.faults = StoreFaults(down=True)
        await self.ask(self.fleet.nodes[0], X_Deadline_Seconds="0.3")
        self.fleet.store.faults = StoreFaults()
        responses = []
        while not responses or responses[-1].code == 409:
            responses.append(await self.ask(self.fleet.nodes[1], X_Deadline_Seconds="5"))
        self.assertEqual(responses[-1].code, 200)
        self.assertEqual(len(self.runs()), 1)

    async def test_lost_replies_of_the_store_change_nothing(self):
        self.fleet.store.faults = StoreFaults(lose_replies=0.3)
        for number in range(4):
            key = f"lossy-{number}"
            path = f"/services/desk/classify?key={key}"
            asks = [
                self.call(node, path, "POST", {}, Idempotency_Key=key) for node in self.fleet.nodes
            ]
            responses = await asyncio.gather(*asks)
            self.assertEqual({response.code for response in responses}, {200})
        self.assertEqual(len(self.runs()), 4)


class KillTests(FleetTestCase):
    """Kill the node that serves a claimed call at each step, and ask again elsewhere."""

    policies = {"never_repeat": "request.method == 'POST'"}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.node, self.other, _ = self.fleet.nodes
        self.reached = asyncio.Event()

    async def stop_here(self, *arguments, **named) -> None:
        """Stand in for a step that the killed node never gets past."""
        self.reached.set()
        await asyncio.Event().wait()

    async def kill_and_ask_again(self) -> int:
        """Return the runs of the call once it was asked for again."""
        ask = self.call(self.node, PATH, "POST", {}, Idempotency_Key="k1")
        first = asyncio.ensure_future(ask)
        await self.reached.wait()
        await self.fleet.kill(self.node)
        await asyncio.gather(first, return_exceptions=True)
        second = await self.call(self.other, PATH, "POST", {}, Idempotency_Key="k1")
        self.assertEqual(second.code, 409)
        self.assertEqual(json.loads(second.body)["error"]["outcome"], "unknown")
        return len(self.fleet.services["desk-0"].log)

    async def test_between_claim_and_dispatch(self):
        self.node.gateway.server._attempts.run = self.stop_here
        self.assertEqual(await self.kill_and_ask_again(), 0)

    async def test_between_grant_and_first_byte(self):
        self.node.gateway.server._attempts._call = self.stop_here
        self.assertEqual(await self.kill_and_ask_again(), 0)

    async def test_between_dispatch_and_answer(self):
        service = self.fleet.services["desk-0"]
        asyncio.ensure_future(self.until(lambda: service.log)).add_done_callback(
            lambda done: self.reached.set()
        )
        self.assertEqual(await self.kill_and_ask_again(), 1)

    async def test_between_answer_and_caller(self):
        with mock.patch.object(CallerSink, "start", self.stop_here):
            self.assertEqual(await self.kill_and_ask_again(), 1)


def raw_post(key: str) -> bytes:
    """Return a POST as ``call`` would send it, for a caller that leaves."""
    head = (
        "POST /services/desk/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-of-one\r\n"
        f"Idempotency-Key: {key}\r\nContent-Length: 2\r\n\r\n"
    )
    return head.encode() + b"{}"
