"""Failed requests on the platform's formats, explained from log lines alone."""

import asyncio
import json
import unittest
from unittest import mock

from railsail.admin.status import status
from railsail.cli.explain import RequestTrace, trace_request
from railsail.cli.loglines import parse_line
from railsail.core.decisions import DecisionLog, line_fields
from railsail.core.fingerprints import fingerprint_name, part_fingerprint
from railsail.node import Node
from railsail.routing import outcome_recorder
from tests.platform.base import LONGEST_SECONDS, PlatformTestCase, configuration
from tests.platform.crashing import AnswerShape, crashing_on
from tests.platform.standins import answering, closing, hanging, streaming


def parts(*names: str) -> list[int]:
    return [part_fingerprint(name) for name in names]


class ExplainedTests(PlatformTestCase):
    async def serve(self, *scripts, configured: bool = True) -> Node:
        node = await super().serve(*scripts, configured=configured)
        self.lines: list[str] = []
        # No request is told unless it has to be.
        decisions = DecisionLog(node.clock, 0.0, self._write)
        decisions._sampler._ratio = 0.0
        node.events.on_emit(decisions.handle)
        return node

    def _write(self, event, ordinary):
        self.lines.append(json.dumps({"event": event.kind, **line_fields(event)}))

    def story(self, request: str = "r-1") -> RequestTrace:
        return trace_request(request, [parse_line(line) for line in self.lines])

    # A replica that answers nothing is left alone after a while, which is not what this is about.
    @mock.patch("railsail.scheduling.room.SILENT_SECONDS", LONGEST_SECONDS)
    async def test_request_that_found_no_room(self):
        node = await self.serve(hanging())
        first = [
            asyncio.ensure_future(self.call(node, "/once/", Request_Id=f"h-{number}"))
            for number in range(5)
        ]
        await self.until(lambda: len(self.replicas[0].received) == 5)
        answer = await self.call(node, "/once/")
        self.assertEqual(answer.status, 503)
        story = self.story()
        self.assertIn("no replica had room in time", story.cause)
        self.assertIn("1 tickets waited, and 1 of 1 replicas served, with 5 calls", story.cause)
        kinds = [line.event for line in story.lines if line.event in ("received", "ended")]
        self.assertEqual(kinds, ["received", "ended"])
        for call in first:
            call.cancel()

    async def test_request_of_a_tenant_that_cannot_be_used(self):
        node = await self.serve(answering())
        long_name = {"name": "x" * 300, "api_keys": ["a-key"]}
        value = configuration(5)
        self.store.put("config", "main", value | {"tenants": [*value["tenants"], long_name]})
        await self.until(lambda: node.carrier.catalog.version == 5)
        self.store.put("config", "main", value | {"version": 6, "tenants": [long_name]})
        await self.until(lambda: node.carrier.catalog.version == 6)
        with mock.patch("railsail.cli.explain.STATE_LOOKBACK_SECONDS", 0.0):
            await self.call(node, "/once/", Authorization="Bearer a-key")
            story = self.story()
        self.assertIn("cannot be used since version 5", story.cause)
        self.assertIn(".name: Expected 1 to 256 printable characters", story.cause)
        (line,) = [line for line in story.lines if line.facts.get("state") == "unusable"]
        self.assertEqual(line.facts["version"], 5)
        rows = status(node)["unusable"]
        self.assertEqual([row["object"] for row in rows], [line.facts["object"]])

    async def test_lost_answer_of_a_request_that_may_not_be_repeated(self):
        node = await self.serve(closing())
        answer = await self.call(node, "/once/")
        self.assertEqual(answer.status, 502)
        story = self.story()
        self.assertIn("since it may not be repeated", story.cause)
        (sent,) = [line for line in story.lines if line.event == "sent"]
        self.assertEqual(sent.facts["replica"], "i-0")
        self.assertGreater(sent.facts["listed_version"], 0)

    async def test_stream_that_broke_midway(self):
        node = await self.serve(streaming(5, stop_after=3))
        await self.call(node, "/stream/")
        story = self.story()
        (ended,) = [line for line in story.lines if line.event == "ended"]
        self.assertEqual(ended.facts["outcome"], "unknown")
        self.assertEqual(ended.facts["last_event"], "2")
        self.assertNotIn("status", ended.facts)

    async def test_unknown_key_names_the_configuration_that_lacks_it(self):
        node = await self.serve(answering())
        await self.call(node, "/once/", Authorization="Bearer nobody")
        story = self.story()
        self.assertIn("the key is not known", story.cause)
        self.assertEqual(story.lines[0].facts["configuration"], 3)

    async def test_request_that_goes_well_is_not_told_unless_it_is_sampled(self):
        node = await self.serve(answering())
        await self.call(node, "/once/")
        self.assertEqual(self.story().lines, [])

    async def test_parts_of_a_prompt_and_an_answer_that_ends_with_its_connection_are_named(self):
        cut = crashing_on((), AnswerShape(has_length=False), 0.0)
        node = await self.serve(cut)
        headers = {"Token_Count": "9,5", "Prompt_Prefix": "aa:4,bb:4,cc:1"}
        with mock.patch.object(outcome_recorder, "_is_late", lambda context: True):
            await self.call(node, "/again/", **headers)
        received = self.story().lines[0].facts
        self.assertEqual(received["parts"], " ".join(map(fingerprint_name, parts("aa", "bb"))))
        ended = [line.facts for line in self.story().lines if line.event == "ended"]
        self.assertEqual(ended[-1]["ends_with_connection"], 1)

    async def test_keys_are_never_logged(self):
        node = await self.serve(closing())
        await self.call(node, "/once/")
        self.assertNotIn("the-key-of-one", "".join(self.lines))


if __name__ == "__main__":
    unittest.main()
