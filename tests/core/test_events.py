"""The description of events, which all views of the time line show."""

import contextlib
import io
import types
import unittest

from railsail.core.clock import ManualClock
from railsail.core.events import EventLog, Kind
from railsail.standins.demo import _show_time_line


class DescriptionTests(unittest.TestCase):
    def setUp(self):
        self.events = EventLog("n", ManualClock(5.0))

    def test_description_has_the_detail_and_the_facts(self):
        event = self.events.emit(Kind.RETRIED, "it broke", "r", replica="i-1", attempts=1)
        self.assertEqual(event.description, "it broke replica=i-1 attempts=1")

    def test_description_without_a_detail_has_only_the_facts(self):
        event = self.events.emit(Kind.GRANTED, request="r", replica="i-1")
        self.assertEqual(event.description, "replica=i-1")

    def test_demonstration_shows_the_facts_of_decisions(self):
        self.events.emit(Kind.GRANTED, request="r", replica="i-1")
        fleet = types.SimpleNamespace(nodes=[types.SimpleNamespace(events=self.events)])
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            _show_time_line(fleet, "r")
        self.assertIn("replica=i-1", printed.getvalue())


if __name__ == "__main__":
    unittest.main()
