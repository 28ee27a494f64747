"""Settings: all findings are reported together with their places, and secrets are never shown."""

import unittest

from railsail.conf.settings import OPTIONS, parse
from railsail.core.exceptions import ImproperlyConfigured

GOOD = {
    "RAILSAIL_FAILURE_DOMAIN": "ulemiste",
    "RAILSAIL_STORE": "10.0.0.1:7000,10.0.0.2:7000",
    "RAILSAIL_PEER_SECRET": "a-peer-secret-of-some-length",
    "RAILSAIL_ADMIN_SECRET": "an-admin-secret-of-some-length",
}

# Settings with an invalid value, and the id of the finding that it gives.
BAD = [
    ("NODE_IP", "localhost", "E003"),
    ("NODE_IP", "10.0.0.300", "E003"),
    ("CALLER_PORT", "0", "E003"),
    ("CALLER_PORT", "eighty", "E003"),
    ("ADMIN_PORT", "70000", "E003"),
    ("ADMIN_PORT", "8080", "E004"),
    ("FORWARD_PORT", "8080", "E004"),
    ("FAILURE_DOMAIN", "Ülemiste", "E003"),
    ("REGION", "", "E003"),
    ("STORE", "", "E003"),
    ("STORE", "store.example:7000", "E003"),
    ("STORE", "10.0.0.1", "E003"),
    ("SEEDS", "10.0.0.1:x", "E003"),
    ("PEER_SECRET", "short", "E003"),
    ("ADMIN_SECRET", "a-peer-secret-of-some-length", "E005"),
    ("MAX_BODY_BYTES", "-1", "E003"),
    ("QUEUE_TOTAL", "1e3", "E003"),
    ("DRAIN_SECONDS", "forever", "E003"),
    ("SCHEDULING", "fair", "E003"),
    ("LOG_LEVEL", "loud", "E003"),
]


class SettingsTests(unittest.TestCase):
    def findings(self, arguments: list[str], environment: dict[str, str]) -> list:
        with self.assertRaises(ImproperlyConfigured) as caught:
            parse(arguments, environment)
        return caught.exception.findings

    def test_valid_settings_are_parsed(self):
        settings = parse([], GOOD).settings
        self.assertEqual(settings.node_id, "127.0.0.1:8082")
        self.assertEqual([str(e) for e in settings.store], ["10.0.0.1:7000", "10.0.0.2:7000"])

    def test_flag_takes_precedence_over_variable(self):
        settings = parse(["--failure-domain=mustamae"], GOOD).settings
        self.assertEqual(settings.failure_domain, "mustamae")

    def test_limits_and_times_may_have_fractions(self):
        # A deployment's part of a limit may have a fraction.
        for name in ("RETRY_SLACK", "DRAIN_SECONDS", "LEAVE_SECONDS", "WATCH_SECONDS"):
            with self.subTest(name=name):
                settings = parse([], {**GOOD, f"RAILSAIL_{name}": "37.5"}).settings
                self.assertEqual(getattr(settings, name.lower()), 37.5)

    def test_each_invalid_value_gives_its_finding_and_place(self):
        for name, value, finding_id in BAD:
            with self.subTest(name=name, value=value):
                findings = self.findings([], {**GOOD, f"RAILSAIL_{name}": value})
                self.assertEqual([f.id for f in findings], [f"railsail.{finding_id}"])
                if finding_id == "E003":
                    self.assertIn(f"RAILSAIL_{name}", findings[0].place)
                    self.assertTrue(findings[0].hint)

    def test_all_findings_are_reported_together(self):
        findings = self.findings(["--prot=1"], {"RAILSAIL_CALLER_PORT": "x"})
        places = " ".join(finding.place for finding in findings)
        for word in ("--prot", "--caller-port", "--store", "--peer-secret", "--failure-domain"):
            self.assertIn(word, places)

    def test_secrets_are_never_shown(self):
        with self.assertRaises(ImproperlyConfigured) as caught:
            parse(["--peer-secrte=hidden-word"], {**GOOD, "RAILSAIL_ADMIN_SECRET": "tiny"})
        self.assertNotIn("hidden-word", str(caught.exception))
        self.assertNotIn("tiny", str(caught.exception))
        self.assertNotIn("secret-of", repr(parse([], GOOD).settings))

    def test_every_option_has_a_help_sentence(self):
        for option in OPTIONS:
            self.assertTrue(option.help.endswith("."), option.name)


if __name__ == "__main__":
    unittest.main()
