"""Builds of different protocol levels work together as one fleet.

A build rejects messages with more fields than it knows. When a heartbeat and the record of an
in-flight call got one more field, six nodes of two builds closed their links 233 times in eighteen
seconds: "Expected `array` of at most length 4, got 5". The arrays below are what builds of each
level send.
"""

import asyncio
import contextlib
import unittest
from unittest import mock

import cbor2

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.metrics import Metrics
from railsail.core.outcomes import Reason
from railsail.peers import hub as hub_module
from railsail.peers.codec import decode_frame, encode_message, join_frame
from railsail.peers.hub import PeerHub
from railsail.peers.levels import (
    NEWEST,
    OLDEST,
    PIECES,
    PROOFS,
    QUARANTINE,
    ROLLOUTS,
    STREAMS,
    inferred_level,
    negotiated_level,
)
from railsail.peers.link import Identity
from railsail.peers.messages import (
    Heartbeat,
    Passed,
    Place,
    QuarantineNews,
    Refused,
    Release,
    Resync,
)
from railsail.peers.records import FlightRecord
from railsail.scheduling.health import CallResult
from railsail.standins.fleet import free_ports

PLACE = Place(1, 2, 0, "lm", "w", -500, 10, 3, fingerprint=9, excluded=["i-1"])
# The same ticket as an array for peers that do not know the field ``excluded``.
SHORT_PLACE = [10, 1, 2, 0, "lm", "w", -500, 10, 3, 0, 0, "", 0, 0, 0, 0, 0, [], 9]
FLIGHT = FlightRecord(4, 1, "w", "i-2", 10, 50, 7, 9)


@contextlib.contextmanager
def older_build():
    """Let hubs start and dial as builds below level 2, which do not negotiate a subprotocol."""
    with (
        mock.patch.object(hub_module, "SUBPROTOCOLS", None),
        mock.patch.object(hub_module, "select_subprotocol", None),
    ):
        yield


def sent(message, level: int) -> list:
    return cbor2.loads(encode_message(message, level))


class ArrayTests(unittest.TestCase):
    def test_heartbeat_has_the_fields_of_the_level(self):
        heartbeat = Heartbeat(3, 1, 2, True, 77)
        self.assertEqual(sent(heartbeat, OLDEST), [1, 3, 1, 2, True])
        self.assertEqual(sent(heartbeat, QUARANTINE), [1, 3, 1, 2, True, 77])
        self.assertEqual(sent(heartbeat, NEWEST), [1, 3, 1, 2, True, 77])

    def test_ticket_has_the_fields_of_the_level(self):
        for level in (OLDEST, QUARANTINE):
            self.assertEqual(sent(PLACE, level), SHORT_PLACE)
        self.assertEqual(sent(PLACE, PROOFS), [*SHORT_PLACE, ["i-1"]])
        self.assertEqual(sent(PLACE, ROLLOUTS), [*SHORT_PLACE, ["i-1"], 0])
        self.assertEqual(sent(PLACE, STREAMS), [*SHORT_PLACE, ["i-1"], 0, ""])
        self.assertEqual(sent(PLACE, NEWEST), [*SHORT_PLACE, ["i-1"], 0, "", []])

    def test_contained_messages_and_records_have_the_fields_of_the_level(self):
        resync = Resync("lm", 0, [PLACE], [FLIGHT], [])
        old = [16, "lm", 0, [SHORT_PLACE], [[4, 1, "w", "i-2", 10, 50, 7]], []]
        self.assertEqual(sent(resync, OLDEST), old)
        former = [16, "lm", 0, [SHORT_PLACE], [[4, 1, "w", "i-2", 10, 50, 7, 9]], []]
        self.assertEqual(sent(resync, QUARANTINE), former)
        self.assertEqual(sent(Passed("n", 1, PLACE), QUARANTINE), [23, "n", 1, SHORT_PLACE])

    def test_values_that_the_oldest_level_does_not_know_are_replaced(self):
        refused = Refused(1, 1, Reason.QUARANTINED, 900)
        self.assertEqual(sent(refused, OLDEST), [12, 1, 1, "wait-expired", 900])
        self.assertEqual(sent(refused, QUARANTINE), [12, 1, 1, "quarantined", 900])
        results = {CallResult.BROKE_OFF: 2, CallResult.CALLER_LEFT: 0, CallResult.GOOD: 1}
        for result, known in results.items():
            self.assertEqual(sent(Release(1, 1, 0, result), OLDEST)[-1], known)
            self.assertEqual(sent(Release(1, 1, 0, result), QUARANTINE)[-1], result)
        silent = Release(1, 1, 0, CallResult.SILENT)
        self.assertEqual(
            [sent(silent, level)[-1] for level in (OLDEST, QUARANTINE, PIECES, NEWEST)],
            [2, 4, 4, 7],
        )
        rejected = Release(1, 1, 0, CallResult.REJECTED)
        self.assertEqual(
            [sent(rejected, level)[-1] for level in (OLDEST, STREAMS, NEWEST)], [1, 1, 6]
        )

    def test_messages_of_each_level_are_read(self):
        resync = Resync("lm", 0, [PLACE], [FLIGHT], [])
        for level in (OLDEST, QUARANTINE, NEWEST):
            for message in (Heartbeat(3, 1, 2, True, 77), PLACE, resync):
                with self.subTest(level=level, message=message):
                    frame = join_frame(1, [encode_message(message, level)])
                    self.assertIs(type(decode_frame(frame)[1][0]), type(message))


class LevelTests(unittest.TestCase):
    def test_subprotocol_names_the_level(self):
        self.assertEqual(negotiated_level(None), OLDEST)
        self.assertEqual(negotiated_level(f"railsail.{NEWEST}"), NEWEST)

    def test_level_of_a_peer_without_subprotocol_follows_from_what_it_sends(self):
        self.assertEqual(inferred_level([5, [1, 3, 1, 2, False]]), OLDEST)
        self.assertEqual(inferred_level([5, [1, 3, 1, 2, False, 0]]), QUARANTINE)
        self.assertEqual(inferred_level([5, [19], [6, []]]), QUARANTINE)
        self.assertEqual(inferred_level([5, [], 7, ["x"]]), OLDEST)


class LinkTests(unittest.IsolatedAsyncioTestCase):
    """Links between two hubs, of which one may be of a build below level 2."""

    async def asyncSetUp(self) -> None:
        self.hubs: list[PeerHub] = []

    async def asyncTearDown(self) -> None:
        for hub in self.hubs:
            await hub.stop()

    async def hub(self) -> PeerHub:
        port = free_ports(1)[0]
        node = f"127.0.0.1:{port}"
        clock = Clock()
        hub = PeerHub(
            Identity(node, 1), ("127.0.0.1", port), "s", clock, EventLog(node, clock), Metrics()
        )
        await hub.start()
        self.hubs.append(hub)
        return hub

    async def linked(self, dialling_is_old: bool, accepting_is_old: bool) -> tuple[PeerHub, ...]:
        with older_build() if accepting_is_old else contextlib.nullcontext():
            accepting = await self.hub()
        dialling = await self.hub()
        with older_build() if dialling_is_old else contextlib.nullcontext():
            dialling.dial(accepting.own.node)
            async with asyncio.timeout(30.0):
                while not (dialling.peers() and accepting.peers()):
                    await asyncio.sleep(0.01)
        return dialling, accepting

    def levels(self) -> list[int]:
        return [link.level for hub in self.hubs for links in hub._links.values() for link in links]

    async def test_two_new_builds_speak_the_newest_level(self):
        await self.linked(False, False)
        self.assertEqual(self.levels(), [NEWEST, NEWEST])

    async def test_link_with_an_older_build_has_the_oldest_level_whichever_side_dials(self):
        for old in ((True, False), (False, True)):
            with self.subTest(old=old):
                self.hubs.clear()
                await self.linked(*old)
                self.assertEqual(self.levels(), [OLDEST, OLDEST])

    async def test_level_of_an_older_peer_rises_with_what_it_sends(self):
        dialling, accepting = await self.linked(True, False)
        received = []
        dialling.handle(QuarantineNews, lambda node, message: received.append(message))
        dialling.handle(Heartbeat, lambda node, message: received.append(message))
        accepting.send(dialling.own.node, QuarantineNews([]))
        accepting.send(dialling.own.node, Heartbeat(1, 2, 3))
        link = accepting._links[dialling.own.node][0]
        dialling._links[accepting.own.node][0].level = QUARANTINE
        dialling.send(accepting.own.node, Heartbeat(1, 2, 3))
        async with asyncio.timeout(30.0):
            while link.level < QUARANTINE or not received:
                await asyncio.sleep(0.01)
            self.assertEqual(received, [Heartbeat(1, 2, 3)])
            accepting.send(dialling.own.node, QuarantineNews([]))
            while len(received) < 2:
                await asyncio.sleep(0.01)
        self.assertEqual(received[1], QuarantineNews([]))


if __name__ == "__main__":
    unittest.main()
