"""Objects and policies: each finding names the object, the field and the column."""

import unittest

from railsail.objects.catalog import Catalog, Operation, hash_key
from railsail.objects.checks import check_catalog
from railsail.objects.kinds import Policy
from railsail.objects.parse import parse_resource, to_plain
from railsail.policy.programs import CompiledPolicy, Inputs, RequestInput

KEY = hash_key("k")

# Each invalid object with the place and the id of its finding.
INVALID_OBJECTS = [
    ("text", "file", "E010"),
    ({"name": "x"}, "file", "E011"),
    ({"kind": "router", "name": "x"}, "file", "E011"),
    ({"kind": "priorityclass"}, "priorityclass/?.name", "E012"),
    ({"kind": "priorityclass", "name": "UPPER"}, "priorityclass/UPPER.name", "E014"),
    ({"kind": "priorityclass", "name": "x", "weight": 0}, "priorityclass/x.weight", "E014"),
    ({"kind": "priorityclass", "name": "x", "weight": "4"}, "priorityclass/x.weight", "E014"),
    ({"kind": "priorityclass", "name": "x", "wieght": 1}, "priorityclass/x.wieght", "E013"),
    ({"kind": "pool", "name": "x", "upstream_kind": "engine"}, "pool/x.cost_unit", "E012"),
    (
        {"kind": "pool", "name": "x", "upstream_kind": "engine", "cost_unit": "euros"},
        "pool/x.cost_unit",
        "E014",
    ),
    ({"kind": "policy", "name": "x", "rank": ""}, "policy/x.rank", "E014"),
    ({"kind": "policy", "name": "x", "rank": "1" * 2000}, "policy/x.rank", "E014"),
    (
        {
            "kind": "workspace",
            "name": "x",
            "priority_class": "a",
            "policy": "b",
            "key_hashes": ["plain"],
        },
        "workspace/x.key_hashes",
        "E014",
    ),
]

# Each invalid program with its field, and the place and the id of its finding.
INVALID_PROGRAMS = [
    ("rank", "1 +* 2", "policy/p.rank line 1 column 4", "E031"),
    ("rank", "request.", "policy/p.rank line 1 column 9", "E031"),
    ("rank", "nobody", "policy/p.rank", "E033"),
    ("rank", "request.colour", "policy/p.rank", "E032"),
    ("rank", "'high'", "policy/p.rank", "E034"),
    ("rank", "1 / 0", "policy/p.rank", "E033"),
    ("may_wait", "true", "policy/p.may_wait", "E034"),
    ("never_repeat", "1", "policy/p.never_repeat", "E034"),
    ("rank", "[1, 2].map(x, x).size()", "policy/p.rank column 8", "E030"),
]


class ParseTests(unittest.TestCase):
    def test_each_invalid_object_has_its_finding_and_place(self):
        for raw, place, finding_id in INVALID_OBJECTS:
            with self.subTest(raw=raw):
                findings = []
                self.assertIsNone(parse_resource(raw, "file", findings))
                found = [(finding.place, finding.id) for finding in findings]
                self.assertEqual(found, [(place, f"railsail.{finding_id}")])

    def test_all_errors_of_an_object_are_reported_together(self):
        raw = {"kind": "priorityclass", "weight": -1, "engine_priority": "x", "other": 1}
        findings = []
        parse_resource(raw, "file", findings)
        self.assertEqual(len(findings), 4)

    def test_plain_form_is_parsed_back_to_an_equal_object(self):
        findings = []
        raw = {"kind": "workspace", "name": "w", "priority_class": "a", "policy": "b"}
        resource = parse_resource({**raw, "key_hashes": [KEY]}, "file", findings)
        self.assertEqual(parse_resource(to_plain(resource), "file", findings), resource)


class CatalogTests(unittest.TestCase):
    def check(self, *raws: dict) -> list:
        findings = []
        resources = [parse_resource(raw, "file", findings) for raw in raws]
        self.assertEqual(findings, [])
        operations = [Operation(resource.key, resource) for resource in resources]
        return check_catalog(Catalog().changed(1, operations))

    def workspace(self, name: str) -> dict:
        names = {"priority_class": "c", "policy": "p"}
        return {"kind": "workspace", "name": name, "key_hashes": [KEY], **names}

    def test_missing_references_and_shared_keys_are_reported(self):
        findings = self.check(self.workspace("a"), self.workspace("b"))
        ids = sorted(finding.id for finding in findings)
        self.assertEqual(ids, ["railsail.E020"] * 4 + ["railsail.E021"])

    def test_unknown_upstream_kind_is_reported_with_the_known_ones(self):
        pool = {"kind": "pool", "name": "x", "upstream_kind": "fax", "cost_unit": "calls"}
        findings = self.check(pool)
        self.assertEqual([finding.id for finding in findings], ["railsail.E022"])
        self.assertIn("engine, service", findings[0].hint)

    def test_each_invalid_program_has_its_finding_and_place(self):
        for field, source, place, finding_id in INVALID_PROGRAMS:
            with self.subTest(source=source):
                findings = self.check({"kind": "policy", "name": "p", field: source})
                found = [(finding.place, finding.id) for finding in findings]
                self.assertEqual(found, [(place, f"railsail.{finding_id}")])


class PolicyTests(unittest.TestCase):
    def judge(self, **programs: str):
        policy = CompiledPolicy(Policy(name="p", **programs))
        return policy.judge(Inputs(request=RequestInput(pool="desk", max_tokens=10)))

    def test_decision_holds_the_results_of_the_programs(self):
        decision = self.judge(
            rank="request.max_tokens < 20 ? 2 : 1",
            may_wait="request.pool == 'desk' ? 0 : 60",
            never_repeat="true",
        )
        self.assertEqual(
            (decision.rank, decision.may_wait, decision.never_repeat), (2.0, 0.0, True)
        )

    def test_program_that_fails_at_run_time_is_replaced_by_its_safe_default(self):
        decision = self.judge(rank="1 / (request.max_tokens - 10)", never_repeat="1 / 0 == 1")
        self.assertEqual((decision.rank, decision.never_repeat), (0.0, True))
        self.assertEqual(decision.failed, ("rank", "never_repeat"))

    def test_wait_is_bounded(self):
        self.assertEqual(self.judge(may_wait="-5").may_wait, 0.0)
        self.assertEqual(self.judge(may_wait="1000000").may_wait, 86_400.0)


if __name__ == "__main__":
    unittest.main()
