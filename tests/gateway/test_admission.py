"""Which workspaces overload a node."""

import unittest

from railsail.gateway.admission import MIN_OVERLOAD_REQUESTS, Admission


class OverloadTests(unittest.TestCase):
    def setUp(self):
        self.admission = Admission(1000, 10_000)

    def admit(self, workspace: str, requests: int) -> None:
        for _ in range(requests):
            self.assertIsNone(self.admission.admit(workspace))

    def test_few_requests_cause_no_overload(self):
        self.admit("one", MIN_OVERLOAD_REQUESTS - 1)
        self.assertFalse(self.admission.is_loaded or self.admission.causes_overload("one"))

    def test_only_the_workspace_with_most_requests_causes_the_overload(self):
        self.admit("flood", 5 * MIN_OVERLOAD_REQUESTS)
        self.admit("light", MIN_OVERLOAD_REQUESTS)
        self.assertTrue(self.admission.is_loaded)
        self.assertTrue(self.admission.causes_overload("flood"))
        self.assertFalse(
            self.admission.causes_overload("light") or self.admission.causes_overload("new")
        )

    def test_workspaces_with_equal_shares_all_cause_the_overload(self):
        self.admit("one", MIN_OVERLOAD_REQUESTS)
        self.admit("two", MIN_OVERLOAD_REQUESTS)
        self.assertTrue(
            self.admission.causes_overload("one") and self.admission.causes_overload("two")
        )


if __name__ == "__main__":
    unittest.main()
