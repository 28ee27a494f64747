"""A rollout in a small fleet: one coordinator, its successor, and what operators see."""

import asyncio
import contextlib
import io
import json
import os
import unittest
from unittest import mock

from railsail.cli.main import Railsail
from railsail.node import Node
from railsail.standins.fleet import ADMIN_SECRET
from railsail.standins.store import Faults
from tests.fleet.base import FleetTestCase

SERVICE = "desk"


class RolloutFleetTests(FleetTestCase):
    node_settings = {"expose_share": "0.1", "expose_slack": "50"}

    async def order(self, target: str = "v2", seconds: float = 60.0) -> None:
        value = {"service": SERVICE, "target_version": target, "duration": seconds}
        self.fleet.store.put("rollout", SERVICE, value)
        await self.fleet.store.wake()

    def stored(self, kind: str) -> dict:
        return self.fleet.store.objects.get((kind, SERVICE), {}).get("value", {})

    def leader(self) -> Node | None:
        found = [node for node in self.fleet.nodes if self.leads(node)]
        return found[0] if len(found) == 1 else None

    def leads(self, node: Node) -> bool:
        coordination = node.parts["rollouts"].coordinator.coordination(SERVICE)
        coordinator_term = coordination.coordinator_term if coordination is not None else None
        return coordinator_term is not None and coordinator_term.holds_lease()

    async def begin(self) -> Node:
        await self.order()
        await self.until(lambda: self.stored("rollout").get("status") and self.leader())
        return self.leader()

    async def test_one_coordinates_and_all_know(self):
        await self.begin()
        status = {"state": "running", "target_version": "v2"}
        self.assertEqual(self.stored("rollout")["status"], status)
        books = [node.parts["rollouts"].book for node in self.fleet.nodes]
        await self.until(lambda: len({str(book.all()) for book in books}) == 1)
        self.assertIsNotNone(books[0].running(SERVICE))

    async def test_coordinator_that_is_killed_is_followed(self):
        dead = await self.begin()
        await self.fleet.kill(dead)
        await self.until(lambda: self.leader() is not None)
        ledger = self.stored("rollout-ledger")
        self.assertEqual((ledger["term"], ledger["holder"]), (2, self.leader().settings.node_id))

    async def test_nobody_leads_while_the_store_is_down(self):
        await self.begin()
        self.fleet.store.faults = Faults(down=True)
        await self.until(lambda: not any(self.leads(node) for node in self.fleet.nodes))
        self.fleet.store.faults = Faults()
        await self.until(lambda: self.leader() is not None)

    async def test_lost_answers_leave_one_coordinator(self):
        self.fleet.store.faults = Faults(lose_replies=0.3)
        await self.order()
        await self.until(lambda: self.stored("rollout").get("status"))
        for _ in range(20):
            await asyncio.sleep(0.1)
            self.assertLessEqual(sum(self.leads(node) for node in self.fleet.nodes), 1)

    async def test_operators_see_it(self):
        leader = await self.begin()
        admin = f"127.0.0.1:{self.fleet.nodes[0].settings.admin_port}"

        def run() -> str:
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                Railsail(admin=admin, output="json").rollouts()
            return out.getvalue()

        with mock.patch.dict(os.environ, {"RAILSAIL_ADMIN_SECRET": ADMIN_SECRET}):
            (row,) = json.loads(await asyncio.to_thread(run))
        self.assertEqual((row["service"], row["target_version"]), (SERVICE, "v2"))
        self.assertEqual((row["state"], row["stage"]), ("running", "hold"))
        self.assertEqual((row["coordinator"], row["spent"]), (leader.settings.node_id, 0))
        self.assertIn("no replica ready", row["reason"])


if __name__ == "__main__":
    unittest.main()
