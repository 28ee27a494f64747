"""Which callers are taken for ones that come back."""

import unittest

from railsail.routing.returning import GENERATION_SECONDS, UsualDeadlines


class UsualDeadlinesTests(unittest.TestCase):
    def setUp(self):
        self.deadlines = UsualDeadlines()

    def test_first_callers_have_the_usual_deadline(self):
        for number in range(5):
            self.assertFalse(self.deadlines.seen("a", 15.0 - 0.01 * number, float(number)))

    def test_caller_with_less_time_left_came_back(self):
        self.deadlines.seen("a", 15.0, 0.0)
        self.assertTrue(self.deadlines.seen("a", 13.2, 1.0))

    def test_routes_are_told_apart(self):
        self.deadlines.seen("a", 15.0, 0.0)
        self.assertFalse(self.deadlines.seen("b", 3.0, 0.0))

    def test_request_without_deadline_tells_nothing(self):
        self.deadlines.seen("a", 15.0, 0.0)
        self.assertFalse(self.deadlines.seen("a", 0.0, 0.0))

    def test_shorter_deadline_becomes_the_usual_one(self):
        self.deadlines.seen("a", 15.0, 0.0)
        later = GENERATION_SECONDS + 1.0
        self.assertTrue(self.deadlines.seen("a", 5.0, later))
        self.assertFalse(self.deadlines.seen("a", 5.0, later + GENERATION_SECONDS))

    def test_usual_deadline_outlives_a_generation(self):
        self.deadlines.seen("a", 15.0, GENERATION_SECONDS - 0.1)
        self.assertTrue(self.deadlines.seen("a", 13.0, GENERATION_SECONDS + 0.1))


if __name__ == "__main__":
    unittest.main()
