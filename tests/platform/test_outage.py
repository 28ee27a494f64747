"""What a daemon does with what it knows while the platform's store is away.

A node that had heard nothing of the store for long refused requests on routes, and with keys, that
a change might have added, with 404 and 401. Callers take these for final and ask nobody else. The
line of such a refusal shows ``proof_age_ms`` over 2200, or none.
"""

import unittest
from unittest import mock

from railsail.node import Node
from tests.platform.base import PlatformTestCase
from tests.platform.standins import answering, refusing


class OutageTests(PlatformTestCase):
    def received(self) -> list[int]:
        return [len(replica.received) for replica in self.replicas]

    async def test_replica_known_to_leave_gets_nothing_while_the_store_is_away(self):
        node = await self.serve(answering(), answering())
        self.list_replica(self.replicas[0], "draining")
        await self.until(lambda: node.directory.get("i-0").leaving)
        self.store.stop()
        for number in range(6):
            answer = await self.call(node, "/once/", Request_Id=f"r-{number}")
            self.assertEqual(answer.status, 200)
        self.assertEqual(self.received(), [0, 6])

    async def test_known_replicas_serve_on_while_the_store_is_away(self):
        node = await self.serve(answering(), answering())
        self.store.stop()
        await self.until(lambda: not node.watcher.reachable)
        answer = await self.call(node, "/once/")
        self.assertEqual(answer.status, 200)

    async def test_replica_whose_entry_lapsed_serves_again_when_it_is_back(self):
        node = await self.serve(answering())
        self.store.remove("servers", "i-0")
        await self.until(lambda: node.directory.get("i-0").leaving)
        self.assertEqual((await self.call(node, "/once/", Request_Id="r-1")).status, 503)
        self.list_replica(self.replicas[0], "ready")
        await self.until(lambda: not node.directory.get("i-0").leaving)
        self.assertEqual((await self.call(node, "/once/", Request_Id="r-2")).status, 200)

    async def test_entry_that_stays_away_is_taken_as_gone(self):
        node = await self.serve(answering(), answering())
        self.store.remove("servers", "i-0")
        await self.until(lambda: node.directory.get("i-0").leaving)
        for number in range(4):
            await self.call(node, "/once/", Request_Id=f"r-{number}")
        self.assertEqual(self.received(), [0, 4])

    async def unproved(self) -> Node:
        """Return a node that cannot know whether its configuration is the newest any more."""
        node = await self.serve(answering())
        self.store.down = True
        await self.until(lambda: node.carrier.held().proof_age > node.settings.watch_seconds * 2)
        return node

    async def test_caller_of_a_route_that_may_be_new_may_ask_another_node(self):
        node = await self.unproved()
        answer = await self.call(node, "/added/")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        answer = await self.call(node, "/once/", Request_Id="r-2", Authorization="Bearer new")
        self.assertEqual(answer.status, 503)
        answer = await self.call(node, "/once/", Request_Id="r-3")
        self.assertEqual(answer.status, 200)

    async def test_no_final_refusal_rests_on_a_proof_older_than_a_change_may_take(self):
        """A change is to be in force everywhere within the longest wait of a watch.

        Refusals by proofs of up to 1.1 of it were final for routes that were older than that.
        """
        node = await self.serve(answering())
        for share, status in ((0.95, 404), (1.05, 503)):
            age = share * node.settings.watch_seconds
            with mock.patch.object(node.freshness, "age", lambda kind, age=age: age):
                self.assertEqual((await self.call(node, "/added/")).status, status)

    async def test_caller_of_no_route_is_told_so_while_the_store_answers(self):
        node = await self.serve(answering())
        await self.until(lambda: node.carrier.held().proof_age < node.settings.watch_seconds)
        self.assertEqual((await self.call(node, "/added/")).status, 404)
        answer = await self.call(node, "/once/", Request_Id="r-2", Authorization="Bearer new")
        self.assertEqual(answer.status, 401)

    async def test_refusal_tells_when_to_come_back_within_what_a_caller_waits(self):
        node = await self.serve(refusing(Not_Run="1"))
        answer = await self.call(node, "/once/", Deadline_Ms="3000")
        self.assertEqual(answer.status, 503)
        self.assertTrue(0 < float(answer.headers["Retry-After"]) <= 1.0)


if __name__ == "__main__":
    unittest.main()
