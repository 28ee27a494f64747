"""The operators' page shows log lines as daemons write them, and the output of ``explain``."""

import re
import unittest
from pathlib import Path

from railsail.cli.explain import trace_request
from railsail.cli.loglines import parse_line
from railsail.core.events import Kind

PAGE = (Path(__file__).parents[1] / "docs" / "OPERATIONS.md").read_text()
# A command, the log lines that it reads, and its output.
EXAMPLE = re.compile(r"```\n\$ railsail explain (\S+) .*?\n(.*?)```\n\n```\n(.*?)```", re.DOTALL)
PROCESS_EVENTS = {"start", "stop", "settings reloaded", "drain asked for"}


class OperationsTests(unittest.TestCase):
    def test_three_kinds_of_failed_requests_are_explained(self):
        self.assertEqual(len(EXAMPLE.findall(PAGE)), 3)

    def test_each_example_is_explained_as_the_page_says(self):
        for request, text, explanation in EXAMPLE.findall(PAGE):
            with self.subTest(request=request):
                lines = [parse_line(line) for line in text.splitlines()]
                self.assertNotIn(None, lines)
                self.assertEqual(trace_request(request, lines).cause, " ".join(explanation.split()))

    def test_events_and_facts_of_the_examples_are_listed(self):
        for _, text, _ in EXAMPLE.findall(PAGE):
            for line in map(parse_line, text.splitlines()):
                rows = [row for row in PAGE.splitlines() if row.startswith(f"| `{line.event}`")]
                names = set(line.facts) - {"detail", "workspace"}
                missing = [name for name in names if not any(f"`{name}`" in row for row in rows)]
                self.assertEqual(missing, [], line.event)

    def test_every_event_in_the_list_exists(self):
        events = set(re.findall(r"^\| `([a-z-]+)`[,| ]", PAGE, re.MULTILINE))
        columns = {"replicas_serving", "free_slots"}
        self.assertEqual(events - {str(kind) for kind in Kind} - PROCESS_EVENTS - columns, set())


if __name__ == "__main__":
    unittest.main()
