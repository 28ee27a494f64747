"""Every request that was read whole gets a final answer, whatever fails while it is served."""

import asyncio
import unittest

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


if __name__ == "__main__":
    unittest.main()
