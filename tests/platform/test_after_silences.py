"""What a silence of replicas leaves behind, once they go on: nothing that keeps calls from them.

A dispatcher, the quarantine and kept connections learn of silences too. None of them may take a
replica that stands still for a moment for one that is gone.
"""

import asyncio
import unittest
from unittest import mock

from railsail.node import Node
from railsail.routing import context
from railsail.routing.relay import RETRY_AFTER_SHARE
from railsail.scheduling import room
from railsail.scheduling.dispatcher import CellDispatcher
from railsail.scheduling.health import INITIAL_EJECTION_SECONDS
from railsail.scheduling.room import ReplicaState
from tests.platform.base import LONG_MS, LONGEST_SECONDS, ROUTES, Answer, PlatformTestCase
from tests.platform.keeping import KeepingReplica
from tests.platform.standins import ReplicaStandin, answering

SILENCE_SECONDS = 0.2
DEADLINE_MS = 6000


class AfterSilencesTestCase(PlatformTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.hold(mock.patch.object(context, "MIN_SILENCE_TIMEOUT_SECONDS", SILENCE_SECONDS))
        self.hold(mock.patch.object(context, "SILENCE_TIMEOUT_OBJECTIVES", 0.0))
        # Requests that wait for a silent replica must not end before it goes on.
        self.hold(mock.patch.dict(ROUTES["once"], {"timeout_ms": LONG_MS}))
        self.hold(mock.patch.dict(ROUTES["again"], {"timeout_ms": LONG_MS, "slo_ms": 5000}))

    async def serve_two(self) -> Node:
        return await self.serve_answering(2)

    async def serve_answering(self, replicas: int) -> Node:
        node = await self.serve(*[answering()] * replicas)
        self.hold_lag(node)
        # A process that has just started has no share of the slack of the budget.
        node.front._relay._started_at -= 1000.0
        # The first request makes the node the dispatcher of the replicas.
        self.assertEqual((await self.call(node, "/once/")).status, 200)
        return node

    def start(self, node: Node, target: str, number: int) -> asyncio.Task[Answer]:
        """Start a call with an id and a body of its own."""
        return asyncio.ensure_future(
            self.call(
                node,
                target,
                body=str(number).encode(),
                Request_Id=f"r-{number}",
                Deadline_Ms=str(LONG_MS),
            )
        )

    def dispatcher(self, node: Node) -> CellDispatcher:
        (dispatcher,) = node.dispatchers.dispatchers().values()
        return dispatcher

    def room(self, node: Node) -> int:
        return self.dispatcher(node).room(node.clock.monotonic())

    def ran(self) -> list[str]:
        received = [got for replica in self.replicas for got in replica.received]
        return sorted(got.headers["Request-Id"] for got in received)


class RoomTests(AfterSilencesTestCase):
    async def test_request_runs_later_that_was_refused_while_all_replicas_were_silent(self):
        node = await self.serve_two()
        for replica in self.replicas:
            replica.pause()
        waiting = [self.start(node, "/once/", number) for number in (2, 3)]
        await self.until(lambda: len(self.dispatcher(node).flights) == 2 and not self.room(node))
        refused = await self.call(
            node, "/once/", Request_Id="refused", Deadline_Ms=str(DEADLINE_MS)
        )
        self.assertEqual(refused.status, 503)
        self.assertLessEqual(
            float(refused.headers["Retry-After"]), RETRY_AFTER_SHARE * DEADLINE_MS / 1000
        )
        for replica in self.replicas:
            replica.resume()
        # All of the room is back as soon as the answers begin.
        self.assertEqual([(await call).status for call in waiting], [200, 200])
        self.assertEqual((await self.start(node, "/once/", 4)).status, 200)
        self.assertEqual(self.ran(), ["r-1", "r-2", "r-3", "r-4"])
        self.assertEqual(self.room(node), 8)

    # Each look for a replica to replace a silent one was a ticket that expired: callers were asked
    # to stay away for longer, and requests were refused as in an overload.
    async def test_silent_requests_that_wait_count_as_refused_callers(self):
        node = await self.serve_answering(1)
        self.replicas[0].pause()
        calls = [self.start(node, "/again/", number) for number in range(4)]
        dispatcher = self.dispatcher(node)
        await self.until(lambda: len(dispatcher.queue) == 4)
        # Longer than a ticket waits that is placed anew each time.
        await asyncio.sleep(2 * context.MIN_SILENCE_TIMEOUT_SECONDS)
        self.assertEqual(sum(dispatcher._retry_schedule._steps), 0)
        self.assertFalse(dispatcher._refusals._expiries)
        self.assertFalse(dispatcher.overloaded(node.clock.monotonic()))
        self.replicas[0].resume()
        self.assertEqual([(await call).status for call in calls], [200] * 4)

    async def fall_silent(self, node: Node) -> tuple[ReplicaStandin, ReplicaState]:
        """Let three requests run at a replica that pauses, until another one has served them."""
        # However late the six are granted, the dispatcher takes neither replica for silent yet.
        self.hold(mock.patch.object(room, "SILENT_SECONDS", LONGEST_SECONDS))
        silent, other = self.replicas
        states = [self.dispatcher(node).replicas[replica.name] for replica in self.replicas]
        for replica in self.replicas:
            replica.pause()
        calls = [self.start(node, "/again/", number) for number in range(6)]
        await self.until(lambda: [state.in_flight for state in states] == [3, 3])
        other.resume()
        self.assertEqual({(await call).status for call in calls}, {200})
        return silent, states[0]

    async def test_replica_that_went_on_gets_no_calls(self):
        node = await self.serve_two()
        silent, state = await self.fall_silent(node)
        await self.until(lambda: not state.in_flight)
        # Three calls that one silence ended eject the replica once, which doubles the next time.
        self.assertEqual(state.health._ejection_seconds, 2 * INITIAL_EJECTION_SECONDS)
        silent.resume()
        number = 6
        async with asyncio.timeout(LONGEST_SECONDS):
            while state.health.tripped:
                self.assertEqual((await self.start(node, "/again/", number)).status, 200)
                number += 1

    async def test_requests_of_a_silent_replica_are_blamed_for_a_crash(self):
        node = await self.serve_two()
        _, state = await self.fall_silent(node)
        # The end of the silent attempts lets the replica be probed for a crash.
        await self.until(lambda: state.health.tripped)
        await self.until(lambda: not node.crash_observer._checking)
        self.assertEqual(node.quarantine.standings(), [])


class KeptConnectionTests(AfterSilencesTestCase):
    replica_class = KeepingReplica

    async def test_kept_connection_of_a_replica_that_pauses_is_given_up(self):
        node = await self.serve(answering(), keep_connections_seconds="30")
        self.hold_lag(node)
        self.assertEqual((await self.start(node, "/once/", 0)).status, 200)
        (replica,) = self.replicas
        replica.pause()
        call = self.start(node, "/once/", 1)
        await self.until(lambda: len(self.dispatcher(node).flights) == 1)
        # The operating system of the replica acknowledges the probe of the connection.
        await asyncio.sleep(SILENCE_SECONDS)
        replica.resume()
        self.assertEqual((await call).status, 200)
        self.assertEqual((await self.start(node, "/once/", 2)).status, 200)
        self.assertEqual(replica.opened, 1)


if __name__ == "__main__":
    unittest.main()
