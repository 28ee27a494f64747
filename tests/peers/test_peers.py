"""Frames, decoders under fuzzing, links, and which peers are accepted."""

import asyncio
import random
import unittest

import cbor2

from railsail.core.clock import Clock, ManualClock
from railsail.core.events import EventLog
from railsail.core.exceptions import ProtocolError
from railsail.core.metrics import Metrics
from railsail.gateway.requests import BadRequest, read_request
from railsail.peers.codec import decode_frame, decode_handshake, encode_message, join_frame
from railsail.peers.hub import PeerHub
from railsail.peers.link import Identity
from railsail.peers.messages import CellHint, Granted, Heartbeat, Place
from railsail.standins.fleet import free_ports
from railsail.upstreams.sse import BadStream, EventSplitter

MESSAGES = [
    Heartbeat(3, 1, 2),
    Place(1, 2, 0, "model", "w", -500, 10, 0),
    Granted(1, 2, "model-0", -7),
    CellHint("model", 1, 2, 3, 4),
]


class CodecTests(unittest.TestCase):
    def frame(self) -> bytes:
        return join_frame(70_000, [encode_message(message) for message in MESSAGES])

    def test_frame_is_decoded_to_its_time_and_messages(self):
        self.assertEqual(decode_frame(self.frame()), (70_000 % 65_536, MESSAGES))

    def test_frame_of_many_messages_is_decoded(self):
        frame = join_frame(1, [encode_message(MESSAGES[0])] * 1000)
        self.assertEqual(len(decode_frame(frame)[1]), 1000)

    def test_wrong_types_field_counts_and_depths_are_refused(self):
        bad = [
            [1, [1, "x", 1, 2, False]],
            [1, [1, 1, 2]],
            [1, [999, 1]],
            [1, [1, 3, 1, 2, False, 9, 9]],
            [1, [11, 1, 1, "x" * 1000, 1]],
            [1, [1, 1 << 64, 1, 1, False]],
            ["x"],
            {},
            7,
        ]
        for value in bad:
            with self.subTest(value=value), self.assertRaises(ProtocolError):
                decode_frame(cbor2.dumps(value))
        with self.assertRaises(ProtocolError):
            decode_frame(b"\x81" * 100_000 + b"\x00")

    def test_fuzzed_frames_are_read_or_refused(self):
        rng = random.Random(11)
        frame = self.frame()
        refused = 0
        for _ in range(4000):
            data = mutate(rng, frame)
            for decode in (decode_frame, decode_handshake):
                try:
                    decode(data)
                except ProtocolError:
                    refused += 1
        self.assertGreater(refused, 1000)

    def test_fuzzed_requests_are_read_or_refused(self):
        rng = random.Random(12)
        body = b'{"model":"m","stream":true,"max_tokens":5,"messages":[{"content":"hi"}]}'
        refused = 0
        for _ in range(3000):
            try:
                read_request("POST", "/v1/completions", "", {}, mutate(rng, body))
            except BadRequest:
                refused += 1
        self.assertGreater(refused, 100)
        with self.assertRaises(BadRequest):
            read_request("POST", "/v1/completions", "", {}, b"[" * 100_000)

    def test_fuzzed_streams_are_read_or_refused(self):
        rng = random.Random(13)
        stream = b'id: 0\ndata: {"id":"a"}\n\nid: 1\ndata: [DONE]\n\n'
        for _ in range(3000):
            try:
                for event in EventSplitter().feed(mutate(rng, stream)):
                    event.done or event.body()
            except BadStream:
                pass


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Return ``data`` with a few bytes changed, dropped or repeated."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        place = rng.randrange(len(changed))
        action = rng.randrange(3)
        if action == 0:
            changed[place] = rng.randrange(256)
        elif action == 1 and len(changed) > 1:
            del changed[place:]
            changed = changed or bytearray(b"\x00")
        else:
            changed[place:place] = changed[place : place + 8]
    return bytes(changed)


class HubTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.hubs = []

    async def asyncTearDown(self):
        for hub in self.hubs:
            await hub.stop()

    async def hub(self, secret: str) -> PeerHub:
        port = free_ports(1)[0]
        own = Identity(f"127.0.0.1:{port}", 5)
        clock = Clock()
        hub = PeerHub(own, ("127.0.0.1", port), secret, clock, EventLog(own.node, clock), Metrics())
        self.hubs.append(hub)
        await hub.start()
        return hub

    async def link(self, first: PeerHub, second: PeerHub) -> str:
        """Dial ``second``, and return ``up`` or ``down``."""
        done = asyncio.get_running_loop().create_future()
        first.on_up(lambda peer: done.done() or done.set_result("up"))
        first.on_down(lambda node: done.done() or done.set_result("down"))
        first.dial(second.own.node)
        return await done

    async def test_peer_with_the_secret_is_accepted_and_its_start_id_is_known(self):
        first, second = await self.hub("s" * 20), await self.hub("s" * 20)
        self.assertEqual(await self.link(first, second), "up")
        self.assertEqual(first.start_id(second.own.node), 5)

    async def test_peer_without_the_secret_is_refused(self):
        first, second = await self.hub("s" * 20), await self.hub("t" * 20)
        self.assertEqual(await self.link(first, second), "down")
        self.assertFalse(second.connected(first.own.node))

    async def test_messages_arrive_in_order(self):
        first, second = await self.hub("s" * 20), await self.hub("s" * 20)
        await self.link(first, second)
        received = []
        done = asyncio.get_running_loop().create_future()

        def receive(node: str, message: Granted) -> None:
            received.append(message.number)
            if message.number == 499:
                done.set_result(None)

        second.handle(Granted, receive)
        for number in range(500):
            self.assertTrue(first.send(second.own.node, Granted(number, 1, "r", 0)))
        await done
        self.assertEqual(received, list(range(500)))

    async def test_unused_links_are_closed_except_those_to_kept_nodes(self):
        first, second = await self.hub("s" * 20), await self.hub("s" * 20)
        third = await self.hub("s" * 20)
        await self.link(first, second)
        await self.link(first, third)
        first.send(second.own.node, Granted(1, 1, "r", 0))
        first.send(third.own.node, Granted(1, 1, "r", 0))
        down = asyncio.get_running_loop().create_future()
        first.on_down(down.set_result)
        first.close_unused(kept=())
        first._clock = ManualClock(first._clock.monotonic() + 61.0)
        first.close_unused(kept=(third.own.node,))
        self.assertEqual(await down, second.own.node)
        self.assertEqual(first.peers(), [third.own.node])


class EventTests(unittest.TestCase):
    def test_event_log_is_bounded_and_its_stamps_rise(self):
        log = EventLog("n", ManualClock(5.0), capacity=10)
        stamps = [log.emit("state").stamp for _ in range(30)]
        self.assertEqual(len(list(log)), 10)
        self.assertEqual(stamps, sorted(set(stamps)))


if __name__ == "__main__":
    unittest.main()
