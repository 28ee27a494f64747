"""Connections to hosts that answer in time, from a process whose event loop is late."""

import asyncio
import socket
import time
import unittest

from railsail.core.sockets import CannotConnect, open_stream

LOOPBACK = "127.0.0.1"
TIMEOUT_SECONDS = 0.05
# Connections that fill the backlog of a listener that accepts none.
MORE_THAN_BACKLOG = 4


class OpenStreamTests(unittest.IsolatedAsyncioTestCase):
    def listen(self, backlog: int = 8) -> socket.socket:
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind((LOOPBACK, 0))
        listener.listen(backlog)
        return listener

    def listen_without_accepting(self) -> tuple[str, int]:
        """Return the address of a listener whose backlog is full."""
        address = self.listen(backlog=0).getsockname()
        for _ in range(MORE_THAN_BACKLOG):
            waiting = socket.socket()
            self.addCleanup(waiting.close)
            waiting.setblocking(False)
            waiting.connect_ex(address)
        return address

    async def test_own_long_turn_does_not_count_as_a_timeout_of_the_host(self):
        port = self.listen().getsockname()[1]
        connecting = asyncio.ensure_future(open_stream(LOOPBACK, port, TIMEOUT_SECONDS))
        await asyncio.sleep(0)
        # The host has accepted by the end of this turn.
        time.sleep(2 * TIMEOUT_SECONDS)
        stream = await connecting
        self.assertFalse(stream.closed())
        stream.close()

    async def test_host_that_does_not_accept_is_given_up_in_time(self):
        address = self.listen_without_accepting()
        with self.assertRaises(CannotConnect) as caught:
            await open_stream(*address, TIMEOUT_SECONDS)
        self.assertFalse(caught.exception.refused)

    async def test_host_that_refuses_is_told_apart(self):
        listener = self.listen()
        port = listener.getsockname()[1]
        listener.close()
        with self.assertRaises(CannotConnect) as caught:
            await open_stream(LOOPBACK, port, TIMEOUT_SECONDS)
        self.assertTrue(caught.exception.refused)

    async def test_cancelled_connection_is_closed(self):
        address = self.listen_without_accepting()
        connecting = asyncio.ensure_future(open_stream(*address, 60.0))
        await asyncio.sleep(TIMEOUT_SECONDS)
        connecting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await connecting


if __name__ == "__main__":
    unittest.main()
