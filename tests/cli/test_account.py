"""The counts of served, late, refused and lost requests, from log lines."""

import tempfile
import unittest
from pathlib import Path

from railsail.cli.account import COLUMNS, Grouping, make_account, plot_account
from railsail.cli.loglines import parse_line
from tests.cli.test_explain import text


def request(number: int, at_ms: int, route: str, outcome: str, **facts: object) -> list[str]:
    """Return the log lines of a request received at ``at_ms`` with an objective of 300 ms."""
    name = f"r-{number}"
    received = {"route": route, "workspace": "one", "objective_ms": 300}
    received["returned"] = facts.pop("returned", 0)
    lines = [text("received", "a", at_ms, request=name, **received)]
    if outcome == "completed":
        lines.append(text("granted", "a", at_ms + 5, request=name, waited_ms=5))
    lines.append(text("ended", "a", at_ms + 400, request=name, outcome=outcome, **facts))
    return lines


LINES = [
    *request(1, 0, "drafts", "completed", first_ms=100),
    *request(2, 10, "drafts", "completed", first_ms=301),
    *request(3, 1500, "drafts", "notrun", reason="wait-expired"),
    *request(4, 1600, "drafts", "notrun", reason="wait-expired", returned=1),
    *request(5, 1700, "tags", "unknown", detail="no whole answer in time"),
    text("received", "a", 1800, request="r-6", route="tags", workspace="two"),
    text("ended", "a", 1900, request="r-6", detail="the caller left"),
    text("member", "a", 50, member="c", state="dead"),
    "not a line of a log",
]


class AccountTests(unittest.TestCase):
    def rows(self, grouping: Grouping) -> dict[str, dict[str, object]]:
        parsed = [parse_line(line) for line in LINES]
        rows = make_account([line for line in parsed if line is not None], grouping)
        return {row.name: row.columns() for row in rows}

    def test_outcomes_are_counted_by_route(self):
        rows = self.rows(Grouping.ROUTE)
        self.assertEqual(list(rows), ["drafts", "tags"])
        drafts = rows["drafts"]
        values = [drafts[name] for name in ("received", "granted", "served", "late", "refused")]
        self.assertEqual(values, [4, 2, 2, 1, 2])
        self.assertEqual((drafts["came back"], drafts["refused again"]), (1, 1))
        self.assertEqual(drafts["reasons"], "wait-expired=2")
        tags = rows["tags"]
        self.assertEqual((tags["unknown"], tags["left"]), (1, 1))

    def test_seconds_are_sorted_by_time(self):
        rows = list(self.rows(Grouping.SECOND).values())
        self.assertEqual([row["received"] for row in rows], [2, 4])

    def test_rows_can_be_workspaces_or_nodes(self):
        self.assertEqual(list(self.rows(Grouping.WORKSPACE)), ["one", "two"])
        self.assertEqual(list(self.rows(Grouping.NODE)), ["a"])

    def test_same_id_at_two_nodes_counts_as_two_requests(self):
        lines = [text("received", node, 0, request="r-1", route="x") for node in "ab"]
        rows = make_account([parse_line(line) for line in lines], Grouping.ROUTE)
        self.assertEqual(len(rows[0].requests), 2)

    def test_row_has_quantiles_of_times(self):
        drafts = self.rows(Grouping.ROUTE)["drafts"]
        self.assertEqual((drafts["first p50"], drafts["wait p90"]), (100, 5))
        self.assertEqual(set(drafts), set(COLUMNS))

    def test_plot_is_written(self):
        parsed = [line for line in map(parse_line, LINES) if line is not None]
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "account.png"
            plot_account(make_account(parsed, Grouping.SECOND), file)
            self.assertGreater(file.stat().st_size, 1000)


if __name__ == "__main__":
    unittest.main()
