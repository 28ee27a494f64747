"""Where streams may have begun recently, and whether that is certain."""

import unittest

from railsail.streams.history import OriginHistory
from railsail.streams.origins import StreamOrigin
from railsail.streams.stored import PoolVersion

HOST = "a.example"
WINDOW = 30.0


class HistoryTests(unittest.TestCase):
    def setUp(self):
        self.history = self.observed(first_start=True)

    def observed(self, first_start: bool) -> OriginHistory:
        history = OriginHistory(first_start, 0.0)
        history.window = WINDOW
        history.observe_pools({HOST: {"model"}}, 0.0)
        history.observe_versions({"model": {"v1"}, "desk": {"v7"}}, 0.0)
        return history

    def origins(self, now: float, host: str = HOST) -> set[tuple[str, str]]:
        return {(o.pool, o.software_version) for o in self.history.origins(host, now)}

    def test_origins_are_those_of_the_host(self):
        self.assertEqual(self.history.origins(HOST, 1.0), {StreamOrigin("model", "v1")})
        self.assertEqual(self.origins(1.0, "b.example"), set())

    def test_version_that_is_gone_counts_until_its_callers_have_returned(self):
        self.history.observe_versions({"model": {"v1", "v2"}}, 1.0)
        self.history.observe_versions({"model": {"v2"}}, 5.0)
        self.assertEqual(self.origins(5.0 + WINDOW), {("model", "v1"), ("model", "v2")})
        self.assertEqual(self.origins(6.0 + WINDOW), {("model", "v2")})

    def test_last_version_of_a_service_counts_after_it_is_gone(self):
        self.history.observe_versions({}, 5.0)
        self.assertEqual(self.origins(6.0), {("model", "v1")})

    def test_service_that_a_route_led_to_before_counts(self):
        self.history.observe_pools({HOST: {"desk"}}, 5.0)
        self.assertEqual(self.origins(6.0), {("model", "v1"), ("desk", "v7")})
        self.assertEqual(self.origins(6.0 + WINDOW), {("desk", "v7")})

    def test_history_of_a_new_process_is_complete_after_the_window(self):
        history = self.observed(first_start=False)
        self.assertFalse(history.is_complete(HOST, WINDOW - 1))
        self.assertTrue(history.is_complete(HOST, WINDOW))

    def test_history_from_the_first_start_of_the_fleet_is_complete(self):
        self.assertTrue(self.history.is_complete(HOST, 0.0))

    def test_history_of_a_process_without_a_configuration_is_not_complete(self):
        self.assertFalse(OriginHistory(False, 0.0).is_complete(HOST, 1000.0))

    def test_interruption_makes_it_incomplete(self):
        self.history.interrupt(10.0)
        self.assertFalse(self.history.is_complete(HOST, 10.0 + WINDOW - 1))
        self.assertTrue(self.history.is_complete(HOST, 10.0 + WINDOW))

    def test_former_version_that_is_read_again_counts_until_its_callers_have_returned(self):
        self.history.observe_versions({"model": {"v2"}}, 1.0)
        self.history.add_versions({PoolVersion("model", "v1")}, WINDOW)
        self.assertEqual(self.origins(2.0 + WINDOW), {("model", "v1"), ("model", "v2")})


if __name__ == "__main__":
    unittest.main()
