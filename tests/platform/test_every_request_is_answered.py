"""Every request that was read whole gets a final answer, whatever fails while it is served."""

import asyncio
import unittest
from unittest import mock

from tornado.http1connection import HTTP1Connection

from tests.platform.base import PlatformTestCase, read_head, request
from tests.platform.standins import answering


class HeadRequestTests(PlatformTestCase):
    async def test_refused_head_request_is_answered(self):
        """A refusal of ``HEAD`` had a body, at which the connection broke without an answer."""
        node = await self.serve(answering())
        reader, writer = await self.connect(node)
        self.addCleanup(writer.close)
        for path, status in (("/nowhere/", 404), ("/again/", 200), ("/nowhere/", 404)):
            writer.write(request(path, "HEAD", body=b""))
            found, _ = await asyncio.wait_for(read_head(reader), 30.0)
            self.assertEqual(found, status)


class RefusedHeadTests(PlatformTestCase):
    async def test_answer_that_the_codec_refuses_is_replaced_by_a_failure(self):
        """The connection was closed without an answer, as if a part of one had been sent."""
        write_headers = HTTP1Connection.write_headers

        def refuse_success(connection, line, headers, chunk=None):
            if getattr(line, "code", 0) == 200:
                raise ValueError("Illegal characters in header")
            return write_headers(connection, line, headers, chunk)

        node = await self.serve(answering())
        with mock.patch.object(HTTP1Connection, "write_headers", refuse_success):
            answer = await self.call(node, "/again/")
        self.assertEqual((answer.status, answer.whole), (502, True))


if __name__ == "__main__":
    unittest.main()
