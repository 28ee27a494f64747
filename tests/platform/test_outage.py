"""What a daemon does with what it knows of replicas while the platform's store is away."""

import unittest

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

    async def test_refusal_tells_when_to_come_back_within_what_a_caller_waits(self):
        node = await self.serve(refusing(Not_Run="1"))
        answer = await self.call(node, "/once/", Deadline_Ms="3000")
        self.assertEqual(answer.status, 503)
        self.assertTrue(0 < float(answer.headers["Retry-After"]) <= 1.0)


if __name__ == "__main__":
    unittest.main()
