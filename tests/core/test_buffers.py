"""The bodies that a node holds are bounded together, and the largest one ends."""

import unittest

from railsail.core.buffers import BufferFull, Buffers


class BuffersTests(unittest.TestCase):
    def setUp(self):
        self.buffers = Buffers(100)
        self.evicted: list[str] = []

    def open(self, name: str, size: int):
        share = self.buffers.open(lambda: self.evicted.append(name))
        share.resize(size)
        return share

    def test_body_that_does_not_fit_ends(self):
        share = self.open("a", 100)
        with self.assertRaises(BufferFull):
            share.resize(101)
        self.assertEqual((self.buffers.used, self.evicted), (100, []))

    def test_largest_body_ends_for_a_smaller_one(self):
        large, small = self.open("large", 60), self.open("small", 30)
        self.open("new", 20)
        self.assertEqual((self.buffers.used, self.evicted), (50, ["large"]))
        self.assertEqual((large.is_evicted, small.is_evicted), (True, False))

    def test_largest_body_ends_if_it_grows(self):
        large = self.open("large", 60)
        self.open("small", 30)
        with self.assertRaises(BufferFull):
            large.resize(80)
        self.assertEqual(self.evicted, [])

    def test_body_that_is_kept_is_not_dropped(self):
        large = self.open("large", 90)
        large.keep()
        with self.assertRaises(BufferFull):
            self.open("new", 20)
        large.release()
        self.open("newer", 20)
        self.assertEqual((self.buffers.used, self.evicted), (20, []))

    def test_body_may_shrink_and_be_released_twice(self):
        share = self.open("a", 100)
        share.resize(10)
        self.assertEqual(self.buffers.used, 10)
        share.release()
        share.release()
        self.assertEqual(self.buffers.used, 0)


if __name__ == "__main__":
    unittest.main()
