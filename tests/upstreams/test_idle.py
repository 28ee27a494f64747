"""Which idle connections are kept, and for how long replicas allow it."""

import unittest

from tornado.httputil import HTTPHeaders, ResponseStartLine

from railsail.upstreams.idle import IdleConnections, Place
from railsail.upstreams.keepalive import MARGIN_SECONDS, idle_seconds, may_be_kept

ONE = Place("one", "10.0.0.1:80")
TWO = Place("two", "10.0.0.2:80")
MAX_SECONDS = 20.0


class IdleConnectionsTests(unittest.TestCase):
    def setUp(self):
        self.idle: IdleConnections[str] = IdleConnections(2, 3)

    def test_last_used_connection_is_taken_first(self):
        self.idle.put(ONE, "a")
        self.idle.put(ONE, "b")
        taken = [self.idle.take(ONE) for _ in range(3)]
        self.assertEqual(taken, ["b", "a", None])

    def test_oldest_connection_of_a_replica_is_removed_at_its_limit(self):
        self.idle.put(ONE, "a")
        self.idle.put(ONE, "b")
        self.assertEqual(self.idle.put(ONE, "c"), ["a"])
        self.assertEqual(len(self.idle), 2)

    def test_oldest_connection_of_all_is_removed_at_the_total_limit(self):
        for target, item in ((ONE, "a"), (TWO, "b"), (TWO, "c")):
            self.idle.put(target, item)
        self.assertEqual(self.idle.put(ONE, "d"), ["a"])
        self.assertEqual(self.idle.take(ONE), "d")

    def test_connection_is_not_taken_for_another_replica_or_endpoint(self):
        self.idle.put(ONE, "a")
        self.assertIsNone(self.idle.take(Place("two", ONE.endpoint)))
        self.assertIsNone(self.idle.take(Place("one", TWO.endpoint)))

    def test_dropped_replica_has_no_connections(self):
        self.idle.put(ONE, "a")
        self.idle.put(TWO, "b")
        self.assertEqual((self.idle.drop(ONE), self.idle.drop(ONE)), (["a"], []))
        self.assertEqual((self.idle.targets(), len(self.idle)), ([TWO], 1))

    def test_connection_is_only_removed_once(self):
        self.idle.put(ONE, "a")
        self.assertEqual([self.idle.remove("a"), self.idle.remove("a")], [True, False])


class KeepAliveTests(unittest.TestCase):
    def test_idle_seconds_follow_the_keep_alive_header(self):
        expected = {
            "": MAX_SECONDS,
            "timeout=5": 5 - MARGIN_SECONDS,
            "timeout=5, max=100": 5 - MARGIN_SECONDS,
            "max=100, Timeout = 5": 5 - MARGIN_SECONDS,
            "5": 5 - MARGIN_SECONDS,
            "timeout=600": MAX_SECONDS,
            "timeout=0": 0.0,
            "max=100": MAX_SECONDS,
        }
        for text, seconds in expected.items():
            with self.subTest(text):
                headers = HTTPHeaders({"Keep-Alive": text} if text else {})
                self.assertEqual(idle_seconds(headers, MAX_SECONDS), seconds)

    def test_connection_header_close_forbids_keeping(self):
        for text, kept in {"close": False, "x, Close": False, "keep-alive": True}.items():
            with self.subTest(text):
                headers = HTTPHeaders({"Connection": text})
                start = ResponseStartLine("HTTP/1.1", 200, "OK")
                self.assertEqual(may_be_kept(start, headers), kept)

    def test_connection_is_kept_only_after_a_success(self):
        allowed = {100: False, 200: True, 304: True, 404: False, 421: False, 503: False}
        for code, kept in allowed.items():
            with self.subTest(code):
                start = ResponseStartLine("HTTP/1.1", code, "")
                self.assertEqual(may_be_kept(start, HTTPHeaders()), kept)


if __name__ == "__main__":
    unittest.main()
