"""Which idle connections are held, and for how long replicas allow it."""

import unittest

from tornado.httputil import HTTPHeaders, ResponseStartLine

from railsail.upstreams.idle import IdleConnections, Place
from railsail.upstreams.keepalive import MARGIN_SECONDS, idle_seconds, may_be_kept

ONE = Place("one", "10.0.0.1:80")
TWO = Place("two", "10.0.0.2:80")
MOST = 20.0


class IdleConnectionsTests(unittest.TestCase):
    def setUp(self):
        self.idle: IdleConnections[str] = IdleConnections(2, 3)

    def test_the_one_used_last_is_used_next(self):
        self.idle.put(ONE, "a")
        self.idle.put(ONE, "b")
        taken = [self.idle.take(ONE) for _ in range(3)]
        self.assertEqual(taken, ["b", "a", None])

    def test_oldest_of_a_place_gives_way(self):
        self.idle.put(ONE, "a")
        self.idle.put(ONE, "b")
        self.assertEqual(self.idle.put(ONE, "c"), ["a"])
        self.assertEqual(len(self.idle), 2)

    def test_oldest_of_all_gives_way(self):
        for place, item in ((ONE, "a"), (TWO, "b"), (TWO, "c")):
            self.idle.put(place, item)
        self.assertEqual(self.idle.put(ONE, "d"), ["a"])
        self.assertEqual(self.idle.take(ONE), "d")

    def test_other_replica_at_the_address_has_a_place_of_its_own(self):
        self.idle.put(ONE, "a")
        self.assertIsNone(self.idle.take(Place("two", ONE.endpoint)))
        self.assertIsNone(self.idle.take(Place("one", TWO.endpoint)))

    def test_place_that_is_dropped_holds_nothing(self):
        self.idle.put(ONE, "a")
        self.idle.put(TWO, "b")
        self.assertEqual((self.idle.drop(ONE), self.idle.drop(ONE)), (["a"], []))
        self.assertEqual((self.idle.places(), len(self.idle)), ([TWO], 1))

    def test_connection_is_removed_once(self):
        self.idle.put(ONE, "a")
        self.assertEqual([self.idle.remove("a"), self.idle.remove("a")], [True, False])


class KeepAliveTests(unittest.TestCase):
    def test_replica_tells_its_seconds(self):
        told = {
            "": MOST,
            "timeout=5": 5 - MARGIN_SECONDS,
            "timeout=5, max=100": 5 - MARGIN_SECONDS,
            "max=100, Timeout = 5": 5 - MARGIN_SECONDS,
            "5": 5 - MARGIN_SECONDS,
            "timeout=600": MOST,
            "timeout=0": 0.0,
            "max=100": MOST,
        }
        for text, seconds in told.items():
            with self.subTest(text):
                headers = HTTPHeaders({"Keep-Alive": text} if text else {})
                self.assertEqual(idle_seconds(headers, MOST), seconds)

    def test_connection_that_is_to_be_closed_is_not_kept(self):
        for text, kept in {"close": False, "x, Close": False, "keep-alive": True}.items():
            with self.subTest(text):
                headers = HTTPHeaders({"Connection": text})
                start = ResponseStartLine("HTTP/1.1", 200, "OK")
                self.assertEqual(may_be_kept(start, headers), kept)

    def test_only_success_is_kept(self):
        allowed = {100: False, 200: True, 304: True, 404: False, 421: False, 503: False}
        for code, kept in allowed.items():
            with self.subTest(code):
                start = ResponseStartLine("HTTP/1.1", code, "")
                self.assertEqual(may_be_kept(start, HTTPHeaders()), kept)


if __name__ == "__main__":
    unittest.main()
