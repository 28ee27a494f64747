"""Events in words, wherever they are shown."""

import contextlib
import io
import types
import unittest

from railsail.core.clock import ManualClock
from railsail.core.events import EventLog, Kind
from railsail.standins.demo import _show_time_line


class WordsTests(unittest.TestCase):
    def setUp(self):
        self.events = EventLog("n", ManualClock(5.0))

    def test_detail_and_facts_are_told(self):
        event = self.events.emit(Kind.RETRIED, "it broke", "r", replica="i-1", attempts=1)
        self.assertEqual(event.description, "it broke replica=i-1 attempts=1")

    def test_event_without_a_detail_is_told_by_its_facts(self):
        event = self.events.emit(Kind.GRANTED, request="r", replica="i-1")
        self.assertEqual(event.description, "replica=i-1")

    def test_demonstration_shows_what_was_decided(self):
        self.events.emit(Kind.GRANTED, request="r", replica="i-1")
        fleet = types.SimpleNamespace(nodes=[types.SimpleNamespace(events=self.events)])
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            _show_time_line(fleet, "r")
        self.assertIn("replica=i-1", printed.getvalue())


if __name__ == "__main__":
    unittest.main()
