"""The buffering collectors return the same values as those of the library."""

import unittest

import aioprometheus
from aioprometheus import Registry
from aioprometheus.renderer import render

from railsail.core import collectors

BUCKETS = [0.1, 1.0]


def record_and_scrape(kinds) -> bytes:
    """Record values in collectors of the module ``kinds``, and return the last of three scrapes."""
    registry = Registry()
    counter = kinds.Counter("c", "Counts.", registry=registry)
    gauge = kinds.Gauge("g", "Levels.", registry=registry)
    histogram = kinds.Histogram("h", "Seconds.", registry=registry, buckets=BUCKETS)
    for turn in range(3):
        counter.inc({"kind": "a"})
        counter.add({"kind": "a"}, 3)
        counter.add({"kind": "b", "more": "x"}, 0.5)
        counter.add({"more": "x", "kind": "b"}, 1)
        counter.inc({})
        gauge.set({"cell": "1"}, turn)
        gauge.set({"cell": "2", "more": "x"}, 1)
        gauge.set({"more": "x", "cell": "2"}, 2)
        gauge.set({"cell": "2", "more": "x"}, 3)
        gauge.set({}, 7.5)
        for seconds in (0.05, 0.5, 5):
            histogram.observe({"stage": "queue"}, seconds)
            histogram.observe({"stage": "whole", "route": "r"}, seconds)
            histogram.observe({"route": "r", "stage": "whole"}, seconds)
        scraped, _ = render(registry, [])
    return scraped


class CollectorTests(unittest.TestCase):
    def setUp(self):
        self.registry = Registry()
        self.counter = collectors.Counter("c", "Counts.", registry=self.registry)
        self.gauge = collectors.Gauge("g", "Levels.", registry=self.registry)

    def test_scrape_is_the_same_as_that_of_the_library(self):
        self.assertEqual(
            record_and_scrape(collectors).decode(), record_and_scrape(aioprometheus).decode()
        )

    def test_value_can_be_read_between_scrapes(self):
        for count in (1, 2):
            self.counter.inc({"kind": "a"})
            self.gauge.set({"kind": "a"}, count)
            self.assertEqual(self.counter.get({"kind": "a"}), count)
            self.assertEqual(self.gauge.get({"kind": "a"}), count)

    def test_counter_refuses_negative_values(self):
        with self.assertRaises(ValueError):
            self.counter.add({"kind": "a"}, -1)
        with self.assertRaises(KeyError):
            self.counter.get({"kind": "a"})

    def test_reserved_labels_are_refused(self):
        histogram = collectors.Histogram("h", "Seconds.", registry=self.registry, buckets=BUCKETS)
        for record in (self.counter.add, self.gauge.set, histogram.observe):
            with self.subTest(record=record), self.assertRaises(ValueError):
                record({"__kind": "a"}, 1)


if __name__ == "__main__":
    unittest.main()
