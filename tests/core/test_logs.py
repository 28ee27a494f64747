"""Log lines: their budget, their writer, and the choice of the requests that are logged."""

import json
import os
import unittest

import structlog

from railsail.core.clock import ManualClock
from railsail.core.decisions import MAX_BUFFERED_REQUESTS, DecisionLog, RequestSampler
from railsail.core.events import EventLog, Kind
from railsail.core.logs import (
    MAX_LINE_BYTES,
    BudgetProcessor,
    DroppedLines,
    LineBudget,
    LineWriter,
)


class BudgetTests(unittest.TestCase):
    def test_ordinary_lines_get_half_of_the_budget(self):
        budget = LineBudget(100, 0.0)
        ordinary = sum(budget.allow(0.0, True) for _ in range(100))
        trouble = sum(budget.allow(0.0, False) for _ in range(100))
        self.assertEqual((ordinary, trouble), (50, 50))

    def test_budget_is_refilled_each_second_and_does_not_accumulate(self):
        budget = LineBudget(10, 0.0)
        self.assertEqual(sum(budget.allow(0.0, False) for _ in range(20)), 10)
        self.assertEqual(sum(budget.allow(60.0, False) for _ in range(20)), 10)

    def test_next_line_reports_the_number_of_dropped_lines(self):
        now = [0.0]
        dropped = DroppedLines()
        step = BudgetProcessor(1, dropped, lambda: now[0])
        step(None, "info", {"event": "a"})
        for _ in range(3):
            with self.assertRaises(structlog.DropEvent):
                step(None, "info", {"event": "b"})
        now[0] = 1.0
        self.assertEqual(step(None, "info", {"event": "c"})["lines_left_out"], 3)
        now[0] = 2.0
        self.assertNotIn("lines_left_out", step(None, "info", {"event": "d"}))
        self.assertEqual(dropped.over_budget, 3)


class WriterTests(unittest.TestCase):
    def setUp(self):
        self.read, self.write = os.pipe()
        self.addCleanup(os.close, self.read)
        self.file = os.fdopen(self.write, "w")
        self.dropped = DroppedLines()
        self.writer = LineWriter(self.file, self.dropped)

    def tearDown(self):
        self.file.close()

    def test_full_pipe_drops_lines_without_blocking(self):
        line = "x" * 1000 + "\n"
        for _ in range(1000):
            self.writer.write(line)
        self.assertGreater(self.dropped.pipe_full, 0)
        written = 1000 - self.dropped.pipe_full
        os.set_blocking(self.read, False)
        got = b""
        while chunk := self._read_available():
            got += chunk
        self.assertEqual(got, (line * written).encode())

    def _read_available(self) -> bytes:
        try:
            return os.read(self.read, 1 << 16)
        except BlockingIOError:
            return b""

    def test_closed_pipe_drops_lines_without_an_error(self):
        read, write = os.pipe()
        os.close(read)
        with os.fdopen(write, "w") as file:
            LineWriter(file, self.dropped).write("x\n")
        self.assertEqual(self.dropped.pipe_full, 1)

    def test_line_that_is_too_long_for_a_pipe_is_replaced_by_a_json_line(self):
        self.writer.write(json.dumps({"event": "x" * (MAX_LINE_BYTES * 4)}) + "\n")
        got = os.read(self.read, 1 << 16)
        self.assertLess(len(got), MAX_LINE_BYTES)
        self.assertEqual(json.loads(got)["event"], "line too long")


class DecisionTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(100.0)
        self.lines: list[tuple[str, str, bool]] = []
        self.events = EventLog("n", self.clock)

    def start(self, per_second: float) -> None:
        log = DecisionLog(self.clock, per_second, self._write)
        if not per_second:
            # The sampling ratio is set after the first second.
            log._sampler.count_request(self.clock.monotonic())
            self.clock.advance(1.0)
            log._sampler.count_request(self.clock.monotonic())
        self.events.on_emit(log.handle)

    def _write(self, event, ordinary):
        self.lines.append((event.request, str(event.kind), ordinary))

    def run_request(self, name: str, **end: object) -> None:
        self.events.emit(Kind.RECEIVED, request=name)
        self.events.emit(Kind.SENT, request=name)
        self.events.emit(Kind.ENDED, request=name, **end)

    def test_all_events_of_a_sampled_request_are_written_as_ordinary(self):
        self.start(10.0)
        self.run_request("a")
        kinds = [("a", "received", True), ("a", "sent", True), ("a", "ended", True)]
        self.assertEqual(self.lines, kinds)

    def test_request_that_goes_well_and_is_not_sampled_is_not_written(self):
        self.start(0.0)
        self.run_request("a")
        self.assertEqual(self.lines, [])

    def test_all_events_of_a_failed_request_are_written_in_order(self):
        self.start(0.0)
        self.run_request("a", notable=True)
        kinds = [("a", "received", False), ("a", "sent", False), ("a", "ended", False)]
        self.assertEqual(self.lines, kinds)

    def test_all_events_after_a_retry_are_written_even_if_the_request_goes_well(self):
        self.start(0.0)
        self.events.emit(Kind.RECEIVED, request="a")
        self.events.emit(Kind.RETRIED, request="a")
        self.events.emit(Kind.SENT, request="a")
        self.events.emit(Kind.ENDED, request="a")
        self.assertEqual(
            [kind for _, kind, _ in self.lines], ["received", "retried", "sent", "ended"]
        )

    def test_events_without_a_request_are_always_written(self):
        self.start(0.0)
        self.events.emit(Kind.MEMBER, member="x", state="dead")
        self.assertEqual(self.lines, [("", "member", False)])

    def test_number_of_buffered_requests_is_bounded(self):
        self.start(0.0)
        log = DecisionLog(self.clock, 0.0, self._write)
        log._sampler._ratio = 0.0
        for number in range(MAX_BUFFERED_REQUESTS + 10):
            log.handle(EventLog("n", self.clock).emit(Kind.RECEIVED, request=f"r{number}"))
        self.assertEqual(len(log._buffered), MAX_BUFFERED_REQUESTS)

    def test_all_daemons_choose_the_same_requests(self):
        samplers = [RequestSampler(5.0, 0.0), RequestSampler(5.0, 0.0)]
        for sampler in samplers:
            for _ in range(100):
                sampler.count_request(0.0)
            sampler.count_request(1.0)
        names = [f"r{number}" for number in range(1000)]
        samples = [{name for name in names if sampler.includes(name)} for sampler in samplers]
        self.assertEqual(samples[0], samples[1])
        self.assertGreater(len(samples[0]), 0)
        self.assertLess(len(samples[0]), 150)


if __name__ == "__main__":
    unittest.main()
