"""Which workspaces overload a node."""

import unittest

from railsail.gateway.admission import MIN_OVERLOAD_REQUESTS, Admission


class CrowdTests(unittest.TestCase):
    def setUp(self):
        self.admission = Admission(1000, 10_000)

    def hold(self, workspace: str, requests: int) -> None:
        for _ in range(requests):
            self.assertIsNone(self.admission.admit(workspace))

    def test_few_requests_crowd_nothing(self):
        self.hold("one", MIN_OVERLOAD_REQUESTS - 1)
        self.assertFalse(self.admission.is_loaded or self.admission.causes_overload("one"))

    def test_workspace_with_most_requests_crowds_and_a_light_one_does_not(self):
        self.hold("flood", 5 * MIN_OVERLOAD_REQUESTS)
        self.hold("light", MIN_OVERLOAD_REQUESTS)
        self.assertTrue(self.admission.is_loaded)
        self.assertTrue(self.admission.causes_overload("flood"))
        self.assertFalse(
            self.admission.causes_overload("light") or self.admission.causes_overload("new")
        )

    def test_workspaces_with_equal_shares_all_crowd(self):
        self.hold("one", MIN_OVERLOAD_REQUESTS)
        self.hold("two", MIN_OVERLOAD_REQUESTS)
        self.assertTrue(
            self.admission.causes_overload("one") and self.admission.causes_overload("two")
        )


if __name__ == "__main__":
    unittest.main()
