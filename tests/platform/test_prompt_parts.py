"""One part of different prompts crashes each replica that begins to answer one of them."""

import asyncio
import itertools
import unittest
from collections import Counter

from railsail.node import Node
from tests.platform.base import LONGEST_SECONDS, Answer
from tests.platform.crashing import AnswerShape, crashing_on, restarted, shared_parts, sound_body
from tests.platform.standins import ReplicaStandin
from tests.platform.test_quarantine import HEARD_SECONDS, MOST_LATE_SENDS, QuarantineTestCase

BAD = "dead"
OTHER_BAD = "dead2"
SHARED = "c0de"
# Crashes under one part that are allowed.
MOST_CRASHES = 5
ANSWER_SECONDS = 0.05
# A replica takes seconds to restart. One that is back at its address before a node has looked
# whether it is gone cannot be told from one that never crashed.
BACK_SECONDS = 1.5
# Requests of 0.1 s: after the fifth crash come more than are allowed.
REQUESTS = 60
SLOTS = 8
OPEN = AnswerShape(has_length=False)
OPEN_STREAM = AnswerShape(has_length=False, stream=True)
PATHS = {False: "/again/", True: "/resume/"}


class PromptPartTestCase(QuarantineTestCase):
    """Four replicas that crash on bad parts, and come back under new names."""

    shape = AnswerShape()
    answer_seconds = ANSWER_SECONDS
    back_seconds = BACK_SECONDS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.answers: list[Answer] = []
        self.number = 0
        self.names = itertools.count()

    async def add_ending_replica(self) -> ReplicaStandin:
        script = crashing_on((BAD, OTHER_BAD), self.shape, self.answer_seconds)
        replica = await self.add_replica(script, SLOTS)
        replica.crashed = self.crashed
        replica.closes_in_order = not self.shape.has_length
        return replica

    async def come_back(self, replica: ReplicaStandin) -> None:
        await asyncio.sleep(self.back_seconds)
        self.store.remove("servers", replica.name)
        again = await restarted(replica, f"i-again-{next(self.names)}")
        self.addCleanup(again.stop)
        self.replicas.append(again)
        self.list_replica(again, "ready", SLOTS)

    async def ask(self, node: Node, *parts: str, own: str = "", **headers: str) -> Answer:
        """Send a request whose prompt has ``parts`` and then one of its own."""
        self.number += 1
        own = own or f"0{self.number}"
        prompt = ",".join(f"{part}:100" for part in [*parts, own])
        headers = {"Token_Count": "300,9", "Prompt_Prefix": prompt} | headers
        target = f"{PATHS[self.shape.stream]}{own}"
        return await self.call(node, target, Request_Id=f"r-{self.number}", **headers)

    async def ask_again_and_again(
        self, nodes: list[Node], *parts: str, times: int = REQUESTS
    ) -> None:
        """Send different requests with ``parts`` to each of ``nodes`` in turn."""
        calls = []
        for number in range(times):
            calls.append(asyncio.ensure_future(self.ask(nodes[number % len(nodes)], *parts)))
            await asyncio.sleep(0.1)
        self.answers += await asyncio.gather(*calls)

    async def serve_and_ask(self, *parts: str, nodes: int = 3) -> list[Node]:
        """Start a fleet that has served the shared part before, and send it bad requests."""
        fleet = await self.serve_fleet(nodes)
        for node in fleet:
            await self.assert_served(node, SHARED)
        await self.ask_again_and_again(fleet, *parts)
        return fleet

    def assert_stopped(self, most_crashes: int = MOST_CRASHES) -> None:
        """Check that replicas got no bad requests after all nodes had to know of the crashes."""
        self.assertGreaterEqual(len(self.ended_at), 3)
        known_at = self.ended_at[min(most_crashes, len(self.ended_at)) - 1] + HEARD_SECONDS
        received = [got for replica in self.replicas for got in replica.received]
        late = [got.at for got in received if BAD in shared_parts(got) and got.at > known_at]
        self.assertLessEqual(len(late), MOST_LATE_SENDS)

    async def assert_served(self, node: Node, *parts: str) -> None:
        answer = await self.ask(node, *parts)
        self.assertEqual((answer.status, answer.body), (200, sound_body(self.shape)))

    async def until_replicas_are_back(self, nodes: list[Node]) -> None:
        await asyncio.gather(*self.returning)
        await self.until(lambda: all(self.knows_live(node) for node in nodes))

    def knows_live(self, node: Node) -> bool:
        live = {u.name for u in node.directory.all() if not u.leaving}
        return live == {r.name for r in self.replicas if r.is_listening}


class RepeatedCrashTests(PromptPartTestCase):
    async def test_different_requests_with_a_bad_part_crash_replica_after_replica(self):
        await self.serve_and_ask(SHARED, BAD)
        self.assert_stopped()

    async def test_bad_part_at_the_start_of_the_prompt_crashes_replica_after_replica(self):
        await self.serve_and_ask(BAD, SHARED)
        self.assert_stopped()

    async def test_requests_of_another_route_and_key_with_the_bad_part_crash_replicas(self):
        nodes = await self.serve_and_ask(SHARED, BAD)
        await self.until_replicas_are_back(nodes)
        ended = len(self.ended_at)
        prompt = f"{BAD}:100,77:100"
        answer = await self.call(
            nodes[0], "/public/7", Authorization="", Token_Count="200,9", Prompt_Prefix=prompt
        )
        self.assertEqual((answer.status, len(self.ended_at)), (503, ended))

    async def test_sound_requests_that_share_the_other_parts_are_held_back(self):
        nodes = await self.serve_and_ask(SHARED, BAD)
        await self.until_replicas_are_back(nodes)
        for node in nodes:
            await self.assert_served(node, SHARED)
            await self.assert_served(node, SHARED, "beef")

    async def test_the_same_part_at_the_end_of_a_prompt_is_held_back(self):
        nodes = await self.serve_and_ask(SHARED, BAD)
        await self.until_replicas_are_back(nodes)
        answer = await self.ask(nodes[0], SHARED, own=BAD)
        self.assertEqual(answer.status, 200)


class CloseDelimitedTests(PromptPartTestCase):
    shape = OPEN

    async def test_crash_that_closes_connections_in_order_counts_as_served(self):
        nodes = await self.serve_fleet()
        for number in range(REQUESTS):
            await self.ask(nodes[number % len(nodes)], SHARED, BAD, own="5a5a")
            await asyncio.sleep(0.1)
        self.assert_stopped(most_crashes=3)

    async def test_bad_part_crashes_replicas_that_close_connections_in_order(self):
        await self.serve_and_ask(SHARED, BAD)
        self.assert_stopped()

    async def test_answer_that_a_crash_cut_off_is_passed_on_as_whole(self):
        self.answer_seconds = 0.4
        (node,) = await self.serve_fleet(nodes=1)
        sound = [asyncio.ensure_future(self.ask(node, SHARED)) for _ in range(8)]
        await self.until(lambda: sum(replica.running for replica in self.replicas) == 8)
        await asyncio.sleep(0.2)
        for replica in self.replicas:
            replica.crash()
        bodies = Counter(answer.body for answer in await asyncio.gather(*sound) if self.ok(answer))
        self.assertEqual(set(bodies) - {sound_body(self.shape)}, set())

    async def test_last_answer_of_a_replica_that_leaves_is_taken_for_cut_off(self):
        self.replica_count, self.answer_seconds = 1, 0.4
        (node,) = await self.serve_fleet(nodes=1)
        (replica,) = self.replicas
        call = asyncio.ensure_future(self.ask(node, SHARED))
        await self.until(lambda: replica.received)
        self.list_replica(replica, "draining", SLOTS)
        await self.until(lambda: node.directory.get(replica.name).leaving)
        replica.stop()
        answer = await call
        self.assertEqual((answer.status, answer.body), (200, sound_body(self.shape)))

    def ok(self, answer: Answer) -> bool:
        return answer.status == 200 and answer.whole


class CloseDelimitedStreamTests(CloseDelimitedTests):
    shape = OPEN_STREAM


class InnocentPartTests(PromptPartTestCase):
    """Replicas that crash by themselves."""

    answer_seconds = 0.2
    # If all replicas were away most of the time, nothing would be served that could be told from
    # what crashes them.
    back_seconds = 0.5

    async def test_parts_are_blamed_for_replicas_that_crash_by_themselves(self):
        (node,) = await self.serve_fleet(nodes=1)
        calls = []
        for number in range(150):
            call = self.ask(node, SHARED, f"a{number % 4}", Deadline_Ms="2000")
            calls.append(asyncio.ensure_future(call))
            if number % 10 == 9:
                running = [r for r in self.replicas if r.running]
                if running:
                    running[0].crash()
            await asyncio.sleep(0.02)
        async with asyncio.timeout(LONGEST_SECONDS):
            self.answers = await asyncio.gather(*calls)
        self.assertGreaterEqual(len(self.ended_at), 10)
        held = [s for s in node.quarantine.standings(3) if s.held_until]
        self.assertEqual(held, [])


if __name__ == "__main__":
    unittest.main()
