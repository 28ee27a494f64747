"""When the balancer is told that a daemon may be sent callers."""

import asyncio
import unittest

from railsail.node import Node
from tests.platform.base import LOOPBACK, PlatformTestCase, configuration
from tests.platform.standins import answering


class ReadyTests(PlatformTestCase):
    async def ready(self, node: Node) -> int:
        """Return the status of ``GET /ready``, asked for as the balancer does."""
        reader, writer = await asyncio.open_connection(LOOPBACK, node.settings.admin_port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = (await reader.read()).split(b"\r\n")[0]
        writer.close()
        return int(line.split()[1])

    async def test_daemon_without_a_configuration_is_not_ready(self):
        node = await self.serve(answering(), configured=False)
        self.assertEqual(await self.ready(node), 503)
        self.assertEqual((await self.call(node, "/once/")).status, 503)
        self.store.put("config", "main", configuration(3))
        await self.until(lambda: node.carrier.catalog.version == 3)
        self.assertEqual(await self.ready(node), 200)

    async def test_daemon_that_stops_is_not_ready_at_once_and_answers_what_it_reads(self):
        node = await self.serve(answering(seconds=0.3))
        running = asyncio.ensure_future(self.call(node, "/once/"))
        await self.until(lambda: self.replicas[0].received)
        drain = asyncio.ensure_future(node.drain())
        await self.until(node.not_ready)
        self.assertEqual(await self.ready(node), 503)
        answer = await running
        self.assertEqual((answer.status, answer.headers["Connection"]), (200, "close"))
        await drain

    async def test_daemon_that_reaches_neither_store_nor_peers_is_not_ready(self):
        node = await self.serve(answering())
        self.store.down = True
        await self.until(lambda: not node.watcher.reachable)
        self.assertEqual(await self.ready(node), 503)
        self.store.down = False
        await self.until(lambda: node.watcher.reachable)
        self.assertEqual(await self.ready(node), 200)


if __name__ == "__main__":
    unittest.main()
