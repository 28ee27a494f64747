"""A message that is out of bounds is left out, and does not end the link.

Symptom: each message that was too long for its receiver ended the link with all that was queued on
it, and was sent again on the next link: 597 links ended on one day.
"""

import asyncio
import typing
import unittest
from unittest import mock

from railsail.core.clock import Clock
from railsail.core.events import EventLog
from railsail.core.metrics import Metrics
from railsail.peers import hub as hub_module
from railsail.peers.codec import MAX_FRAME_BYTES
from railsail.peers.hub import PeerHub
from railsail.peers.levels import NEWEST, PARTS
from railsail.peers.link import MAX_QUEUED_MESSAGES, Identity, Link
from railsail.peers.messages import (
    AnswerReply,
    AnyMessage,
    ConfigurationNews,
    ConfigurationPiece,
    Granted,
    MemberNews,
    Served,
    StreamReply,
    UpstreamNews,
)
from railsail.peers.records import (
    DomainRecord,
    MemberRecord,
    OriginRecord,
    SumRecord,
    UpstreamRecord,
)
from railsail.standins.fleet import free_ports

LONG_NAME = "x" * 300
RECORDS = 12_000
UPSTREAMS = [
    UpstreamRecord(f"i-{number}", "lm", "10.0.0.1:80", "a", 1, 1, 0, 0, False)
    for number in range(RECORDS)
]
DOMAINS = [DomainRecord(f"d-{number}", 1, False) for number in range(1500)]
MEMBERS = [
    MemberRecord(f"10.0.0.1:{number}", 1, 1, 0, 80, "a", "here") for number in range(RECORDS)
]
SUMS = [SumRecord(number, 1) for number in range(RECORDS)]
OUT_OF_BOUNDS = [
    Granted(1, 1, LONG_NAME, 0),
    StreamReply(1, [], 0, [OriginRecord("lm", "1")] * 101, True),
    ConfigurationNews(0, 8, bytes(900_001)),
    AnswerReply(1, 200, "text/plain", "r-1", bytes(MAX_FRAME_BYTES)),
]
LAST = Granted(99, 1, "i-1", 0)


class BoundsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.hubs: list[PeerHub] = []
        self.sender, self.receiver = await self.hub(), await self.hub()
        self.received: list[object] = []
        self.downs: list[str] = []
        for kind in typing.get_args(AnyMessage):
            self.receiver.handle(kind, lambda node, message: self.received.append(message))
        for hub in self.hubs:
            hub.on_down(self.downs.append)

    async def asyncTearDown(self) -> None:
        for hub in self.hubs:
            await hub.stop()

    async def hub(self) -> PeerHub:
        port = free_ports(1)[0]
        own = Identity(f"127.0.0.1:{port}", 1)
        clock = Clock()
        events = EventLog(own.node, clock)
        hub = PeerHub(own, ("127.0.0.1", port), "s", clock, events, Metrics())
        await hub.start()
        self.hubs.append(hub)
        return hub

    async def until(self, condition) -> None:
        async with asyncio.timeout(30.0):
            while not condition():
                await asyncio.sleep(0.01)

    async def link(self) -> None:
        self.sender.dial(self.receiver.own.node)
        await self.until(lambda: self.sender.peers() and self.receiver.peers())

    async def send(self, *messages: object) -> None:
        for message in messages:
            self.sender.send(self.receiver.own.node, message)
        await self.until(lambda: LAST in self.received)

    def refused(self, hub: PeerHub, kind: str, side: str) -> float:
        labels = {"kind": kind, "side": side}
        return hub._metrics.peer_messages_refused.get_value(labels)

    async def test_message_out_of_bounds_does_not_end_the_link(self):
        await self.link()
        await self.send(*OUT_OF_BOUNDS, LAST)
        self.assertEqual((self.received, self.downs), ([LAST], []))
        for kind in ("Granted", "StreamReply", "ConfigurationNews"):
            self.assertEqual(self.refused(self.receiver, kind, "received"), 1)
        self.assertEqual(self.refused(self.sender, "AnswerReply", "sent"), 1)

    async def test_older_peer_whose_build_would_end_the_link_is_not_sent_the_message(self):
        subprotocols = [f"railsail.{PARTS}"]
        with mock.patch.object(hub_module, "SUBPROTOCOLS", subprotocols):
            await self.link()
        await self.send(*OUT_OF_BOUNDS, LAST)
        self.assertEqual((self.received, self.downs), ([LAST], []))
        for kind in ("Granted", "StreamReply", "ConfigurationNews", "AnswerReply"):
            self.assertEqual(self.refused(self.sender, kind, "sent"), 1)

    async def test_messages_that_are_sent_together_may_exceed_a_frame(self):
        await self.link()
        pieces = [ConfigurationPiece(3, 8, 9, number, bytes(400_000)) for number in range(9)]
        await self.send(*pieces, LAST)
        self.assertEqual((self.received, self.downs), ([*pieces, LAST], []))

    async def test_lists_of_any_length_arrive_in_parts(self):
        for subprotocols in (hub_module.SUBPROTOCOLS, [f"railsail.{PARTS}"]):
            with self.subTest(subprotocols=subprotocols):
                await self.asyncTearDown()
                await self.asyncSetUp()
                with mock.patch.object(hub_module, "SUBPROTOCOLS", subprotocols):
                    await self.link()
                await self.send(
                    UpstreamNews(UPSTREAMS, DOMAINS),
                    MemberNews(MEMBERS),
                    Served("lm", 1, SUMS),
                    LAST,
                )
                self.assertEqual(self.downs, [])
                found = {"upstreams": [], "domains": [], "members": [], "totals": []}
                for message in self.received[:-1]:
                    for name in found:
                        found[name] += getattr(message, name, [])
                expected = {"upstreams": UPSTREAMS, "domains": DOMAINS, "members": MEMBERS}
                self.assertEqual(found, expected | {"totals": SUMS})


class SlowSocket:
    """A connection whose peer reads nothing until ``reading`` is set."""

    subprotocol = f"railsail.{NEWEST}"

    def __init__(self) -> None:
        self.sending = asyncio.Event()
        self.reading = asyncio.Event()
        self.closed = asyncio.Event()
        self.frames = 0

    async def send(self, data: bytes) -> None:
        self.sending.set()
        await self.reading.wait()
        self.frames += 1

    async def recv(self) -> bytes:
        await self.closed.wait()
        raise OSError("closed")

    async def close(self) -> None:
        self.closed.set()


class OverflowTests(unittest.IsolatedAsyncioTestCase):
    async def test_link_whose_queue_overflowed_is_closed_without_sending_the_queue(self):
        socket = SlowSocket()
        link = Link(socket, Identity("a", 1), EventLog("n", Clock()), Metrics())
        running = asyncio.ensure_future(link.run(lambda message: None))
        link.send(LAST)
        await socket.sending.wait()
        for _ in range(MAX_QUEUED_MESSAGES + 1):
            link.send(LAST)
        socket.reading.set()
        async with asyncio.timeout(30.0):
            await running
        self.assertEqual(socket.frames, 1)


if __name__ == "__main__":
    unittest.main()
