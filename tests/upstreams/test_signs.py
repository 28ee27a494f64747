"""The signals in answers of replicas: for how long to back off, and whether they are leaving."""

import unittest
from datetime import UTC, datetime
from email.utils import format_datetime

from tornado.httputil import HTTPHeaders

from railsail.platform.http import PlatformProtocol
from railsail.upstreams.signs import MAX_BACKOFF_SECONDS, read_signs

WALL = 1_800_000_000.0


def backoff(value: str, status: int = 503) -> float:
    return read_signs(status, HTTPHeaders({"Retry-After": value}), WALL).backoff_seconds


class RetryAfterTests(unittest.TestCase):
    def test_seconds_and_fractions(self):
        self.assertEqual([backoff("3"), backoff(" 0.25 "), backoff("0")], [3.0, 0.25, 0.0])

    def test_more_than_an_hour_is_bounded(self):
        self.assertEqual(backoff("3600"), 3600.0)
        self.assertEqual(backoff("1e300"), MAX_BACKOFF_SECONDS)

    def test_date_in_the_future(self):
        date = format_datetime(datetime.fromtimestamp(WALL + 90, UTC), usegmt=True)
        self.assertEqual(backoff(date), 90.0)

    def test_date_in_the_past_is_zero(self):
        self.assertEqual(backoff("Sun, 06 Nov 1994 08:49:37 GMT"), 0.0)

    def test_invalid_value_is_zero(self):
        values = ("", "soon", "-5", "nan", "inf", "-inf", "3 s", "Sun, 99 Foo", "\u0663" * 400)
        self.assertEqual([backoff(value) for value in values], [0.0] * len(values))

    def test_header_is_ignored_in_answers_that_are_no_refusals(self):
        self.assertEqual([backoff("3", status) for status in (200, 301, 404, 500)], [0.0] * 4)
        self.assertEqual([backoff("3", status) for status in (429, 503)], [3.0, 3.0])


class LeavingTests(unittest.TestCase):
    def test_x_leaving_header(self):
        expected = {"true": True, "True": True, "false": False, "": False, "0": False}
        for value, leaving in expected.items():
            headers = HTTPHeaders({"X-Leaving": value})
            self.assertEqual(read_signs(200, headers, WALL).leaving, leaving, value)

    def test_leaving_header_of_the_platform(self):
        protocol = PlatformProtocol()
        for value, leaving in {"1": True, "0": False, "": False}.items():
            headers = HTTPHeaders({"Server-Leaving": value})
            self.assertEqual(protocol.read_signs(200, headers, WALL).leaving, leaving, value)

    def test_retry_after_of_the_platform(self):
        headers = HTTPHeaders({"Retry-After": "3"})
        self.assertEqual(PlatformProtocol().read_signs(503, headers, WALL).backoff_seconds, 3.0)


if __name__ == "__main__":
    unittest.main()
