"""When a dispatcher that was sent a request is probed, and when it is considered silent."""

import unittest

from railsail.dispatch.silence import CHECKS_TO_LEAVE, SilenceWatch, Verdict

NODE = "127.0.0.1:1"


class SilenceTests(unittest.TestCase):
    def setUp(self):
        self.watch = SilenceWatch()

    def checks(self, count: int, heard: float = 9.0) -> list[Verdict]:
        return [self.watch.check(NODE, heard) for _ in range(count)]

    def test_node_without_a_request_needs_no_checks(self):
        self.assertEqual(self.checks(2), [Verdict.HEARD, Verdict.HEARD])

    def test_node_that_responded_is_not_probed(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.assertEqual(self.checks(1, heard=10.01), [Verdict.HEARD])

    def test_quiet_node_is_probed_once_and_then_silent(self):
        self.watch.asked(NODE, 10.0, 9.0)
        waits = [Verdict.WAIT] * (CHECKS_TO_LEAVE - 2)
        self.assertEqual(self.checks(CHECKS_TO_LEAVE), [Verdict.PROBE, *waits, Verdict.SILENT])

    def test_further_requests_do_not_restart_the_count(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.checks(CHECKS_TO_LEAVE - 1)
        self.watch.asked(NODE, 10.4, 9.0)
        self.assertEqual(self.checks(1), [Verdict.SILENT])

    def test_message_before_the_next_request_restarts_the_count(self):
        self.watch.asked(NODE, 10.0, 9.0)
        self.checks(CHECKS_TO_LEAVE - 1)
        self.watch.asked(NODE, 10.3, 10.2)
        self.assertEqual(self.checks(1, heard=10.2), [Verdict.PROBE])

    def test_process_that_was_suspended_probes_before_it_reports_silence(self):
        self.watch.asked(NODE, 10.0, 9.0)
        # The next check is four seconds late, and the response to the probe is not yet read.
        self.assertEqual(self.checks(1), [Verdict.PROBE])
        self.assertEqual(self.checks(1, heard=14.01), [Verdict.HEARD])


if __name__ == "__main__":
    unittest.main()
