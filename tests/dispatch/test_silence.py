"""When a dispatcher that was asked for something is probed, and when it is left."""

import unittest

from railsail.dispatch.silence import PROBE_SECONDS, SILENT_SECONDS, SilenceWatch, Verdict

NODE = "127.0.0.1:1"


class SilenceTests(unittest.TestCase):
    def setUp(self):
        self.watch = SilenceWatch()

    def test_nothing_is_due_about_a_node_that_was_not_asked(self):
        self.assertIs(self.watch.check(NODE, 100.0, 1.0), Verdict.HEARD)

    def test_node_that_answered_is_not_probed(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.assertIs(self.watch.check(NODE, 10.0 + PROBE_SECONDS, 10.01), Verdict.HEARD)

    def test_quiet_node_is_probed_once(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.assertIs(self.watch.check(NODE, 10.0 + PROBE_SECONDS / 2, 9.0), Verdict.WAIT)
        self.assertIs(self.watch.check(NODE, 10.01 + PROBE_SECONDS, 9.0), Verdict.PROBE)
        self.assertIs(self.watch.check(NODE, 10.01 + PROBE_SECONDS * 2, 9.0), Verdict.WAIT)

    def test_node_that_stays_quiet_is_silent(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.watch.check(NODE, 10.0 + PROBE_SECONDS, 9.0)
        self.assertIs(self.watch.check(NODE, 10.0 + SILENT_SECONDS, 9.0), Verdict.SILENT)

    def test_more_that_is_asked_does_not_prolong_the_silence(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.watch.asked(NODE, 10.0 + SILENT_SECONDS - 0.01, 9.0)
        self.assertIs(self.watch.check(NODE, 10.0 + SILENT_SECONDS, 9.0), Verdict.SILENT)

    def test_word_since_the_last_question_starts_the_count_anew(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.watch.asked(NODE, 10.3, 10.2)
        self.assertIs(self.watch.check(NODE, 10.0 + SILENT_SECONDS, 10.2), Verdict.PROBE)
