"""When a dispatcher that was asked for something is probed, and when it is left."""

import unittest

from railsail.dispatch.silence import CHECKS_TO_LEAVE, SilenceWatch, Verdict

NODE = "127.0.0.1:1"


class SilenceTests(unittest.TestCase):
    def setUp(self):
        self.watch = SilenceWatch()

    def checks(self, count: int, heard: float = 9.0) -> list[Verdict]:
        return [self.watch.check(NODE, heard) for _ in range(count)]

    def test_nothing_is_due_about_a_node_that_was_not_asked(self):
        self.assertEqual(self.checks(2), [Verdict.HEARD, Verdict.HEARD])

    def test_node_that_answered_is_not_probed(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.assertEqual(self.checks(1, heard=10.01), [Verdict.HEARD])

    def test_quiet_node_is_probed_once_and_then_left(self):
        self.watch.asked(NODE, 10.0, 9.0)
        waits = [Verdict.WAIT] * (CHECKS_TO_LEAVE - 2)
        self.assertEqual(self.checks(CHECKS_TO_LEAVE), [Verdict.PROBE, *waits, Verdict.SILENT])

    def test_more_that_is_asked_does_not_prolong_the_silence(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.checks(CHECKS_TO_LEAVE - 1)
        self.watch.asked(NODE, 10.4, 9.0)
        self.assertEqual(self.checks(1), [Verdict.SILENT])

    def test_word_since_the_last_question_starts_the_count_anew(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.checks(CHECKS_TO_LEAVE - 1)
        self.watch.asked(NODE, 10.3, 10.2)
        self.assertEqual(self.checks(1, heard=10.2), [Verdict.PROBE])

    def test_process_that_stood_still_itself_probes_before_it_leaves_anyone(self):
        self.watch.asked(NODE, 10.0, 9.0)
        # The next check comes four seconds late; the answer to the probe has yet to be read.
        self.assertEqual(self.checks(1), [Verdict.PROBE])
        self.assertEqual(self.checks(1, heard=14.01), [Verdict.HEARD])


if __name__ == "__main__":
    unittest.main()
