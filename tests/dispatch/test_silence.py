"""When a dispatcher that was sent a request is probed, and when it is considered silent."""

import unittest

from railsail.dispatch.silence import CHECKS_UNTIL_SILENT, CheckResult, SilenceDetector

NODE = "127.0.0.1:1"


class SilenceTests(unittest.TestCase):
    def setUp(self):
        self.detector = SilenceDetector()

    def check_results(self, count: int, last_received: float = 9.0) -> list[CheckResult]:
        return [self.detector.check(NODE, last_received) for _ in range(count)]

    def test_node_without_a_request_needs_no_checks(self):
        self.assertEqual(self.check_results(2), [CheckResult.RESPONDED, CheckResult.RESPONDED])

    def test_node_that_responded_is_not_probed(self):
        self.detector.request_sent(NODE, 10.0, 9.0)
        self.assertEqual(self.check_results(1, last_received=10.01), [CheckResult.RESPONDED])

    def test_quiet_node_is_probed_once_and_then_silent(self):
        self.detector.request_sent(NODE, 10.0, 9.0)
        waits = [CheckResult.WAIT] * (CHECKS_UNTIL_SILENT - 2)
        self.assertEqual(
            self.check_results(CHECKS_UNTIL_SILENT), [CheckResult.PROBE, *waits, CheckResult.SILENT]
        )

    def test_further_requests_do_not_restart_the_count(self):
        self.detector.request_sent(NODE, 10.0, 9.0)
        self.check_results(CHECKS_UNTIL_SILENT - 1)
        self.detector.request_sent(NODE, 10.4, 9.0)
        self.assertEqual(self.check_results(1), [CheckResult.SILENT])

    def test_message_before_the_next_request_restarts_the_count(self):
        self.detector.request_sent(NODE, 10.0, 9.0)
        self.check_results(CHECKS_UNTIL_SILENT - 1)
        self.detector.request_sent(NODE, 10.3, 10.2)
        self.assertEqual(self.check_results(1, last_received=10.2), [CheckResult.PROBE])

    def test_process_that_was_suspended_probes_before_it_reports_silence(self):
        self.detector.request_sent(NODE, 10.0, 9.0)
        # The next check is four seconds late, and the response to the probe is not yet read.
        self.assertEqual(self.check_results(1), [CheckResult.PROBE])
        self.assertEqual(self.check_results(1, last_received=14.01), [CheckResult.RESPONDED])


if __name__ == "__main__":
    unittest.main()
