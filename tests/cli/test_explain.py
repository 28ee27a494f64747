"""The trace of a request from the logs, and the explanation of its outcome."""

import json
import unittest

from railsail.cli.explain import trace_request
from railsail.cli.loglines import parse_line

STAMP = 1_700_000_000_000 << 16


def text(event: str, node: str, at_ms: int, **facts: object) -> str:
    """Return a log line as a log collector may deliver it."""
    return f"12.345 {node}: " + json.dumps(
        {"event": event, "node": node, "stamp": STAMP + (at_ms << 16), **facts}
    )


class ExplainTests(unittest.TestCase):
    def trace(self, *lines: str):
        parsed = [parse_line(line) for line in lines]
        return trace_request("r-1", [line for line in parsed if line is not None])

    def test_quarantined_request_names_the_replicas_that_ended(self):
        trace = self.trace(
            text("received", "a", 0, request="r-1", fingerprint="0f"),
            text("quarantined", "a", 1, request="r-1", replicas="i-1 i-2 i-3", held_ms=119000),
            text(
                "ended",
                "a",
                2,
                request="r-1",
                outcome="notrun",
                reason="quarantined",
                total_ms=2,
                detail="3 replicas ended while they ran this request",
            ),
        )
        self.assertEqual(
            trace.cause,
            "notrun after 2 ms: 3 replicas ended while they ran this request. Replicas that ended "
            "while they ran the same request: i-1 i-2 i-3; it is held back for 119000 ms more.",
        )

    def test_refused_request_is_explained_by_its_dispatcher(self):
        trace = self.trace(
            text("received", "a", 0, request="r-1", route="drafts"),
            text("expired", "b", 81, ticket="a#7", waiting=12, replicas=3, replicas_serving=2),
            text("expired", "a", 80, request="r-1", ticket="a#7", dispatcher="b"),
            text("expired", "b", 82, ticket="a#8", waiting=11),
            text("member", "b", 50, member="c", state="dead"),
            text("member", "z", 50, member="c", state="dead"),
            text(
                "ended",
                "a",
                82,
                request="r-1",
                outcome="notrun",
                reason="wait-expired",
                total_ms=82,
                detail="no replica had room in time",
            ),
        )
        events = [(line.event, line.node) for line in trace.lines]
        self.assertEqual(
            events,
            [
                ("received", "a"),
                ("member", "b"),
                ("expired", "a"),
                ("expired", "b"),
                ("ended", "a"),
            ],
        )
        self.assertIn("12 tickets waited, and 2 of 3 replicas served", trace.cause)

    def test_stream_that_was_resumed_shows_all_attempts_and_their_versions(self):
        trace = self.trace(
            text("received", "a", 0, request="r-0"),
            text("sent", "a", 1, request="r-0", replica="i-1", software_version="v1"),
            text("sent", "a", 2, request="r-0", replica="i-2", software_version="v2"),
            text("ended", "a", 3, request="r-0", outcome="unknown", total_ms=3, detail="cut"),
            text("received", "b", 4, request="r-1", resumes="r-0", last_event="7"),
            text("sent", "b", 5, request="r-1", replica="i-3", software_version="v1"),
            text("received", "b", 5, request="r-2", resumes="r-9", last_event="7"),
        )
        self.assertEqual([line.request for line in trace.lines], ["r-0"] * 4 + ["r-1"] * 2)
        self.assertIn("It was sent to i-1 (version v1), then i-2 (version v2).", trace.cause)

    def test_lost_answer_is_explained_with_the_reason_for_no_retry(self):
        trace = self.trace(
            text("received", "a", 0, request="r-1"),
            text("sent", "a", 1, request="r-1", replica="i-1"),
            text(
                "ended",
                "a",
                90,
                request="r-1",
                outcome="unknown",
                total_ms=90,
                detail="the connection broke",
                given_up="it may not be repeated",
            ),
        )
        self.assertIn("the connection broke", trace.cause)
        self.assertIn("since it may not be repeated", trace.cause)

    def test_request_without_an_end_is_explained_as_such(self):
        trace = self.trace(text("received", "a", 0, request="r-1"))
        self.assertIn("no end here", trace.cause)

    def test_lines_that_are_not_events_are_skipped(self):
        for line in ("", "Traceback", "{", "[1]", '{"event": "x"}', '{"a": {}}'):
            with self.subTest(line=line):
                self.assertIsNone(parse_line(line))

    def test_dropped_lines_are_reported_with_their_count(self):
        trace = self.trace(text("member", "a", 0, lines_left_out=7))
        self.assertEqual(trace.lines, [])
        self.assertIn("7 lines were left out", trace.missing_lines)


if __name__ == "__main__":
    unittest.main()
