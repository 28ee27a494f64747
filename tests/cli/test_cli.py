"""The command-line tool with a small fleet: the methods of its commands, and the exit codes."""

import asyncio
import contextlib
import io
import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from railsail.cli.main import Railsail, commands_help
from railsail.standins.fleet import ADMIN_SECRET
from tests.fleet.base import FleetTestCase

EXAMPLES = Path(__file__).parents[2] / "examples"


class CheckTests(unittest.TestCase):
    def run_check(self, *files: str) -> tuple[int, str]:
        out, err = io.StringIO(), io.StringIO()
        code = 0
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                Railsail().check(*files)
            except SystemExit as stop:
                code = stop.code
        return code, out.getvalue() + err.getvalue()

    def test_examples_have_no_findings(self):
        for name in ("association", "cedarline"):
            code, text = self.run_check(str(EXAMPLES / name))
            self.assertEqual(code, 0, text)

    def test_findings_of_all_files_are_reported_together(self):
        with tempfile.TemporaryDirectory() as folder:
            first, second = Path(folder) / "a.json", Path(folder) / "b.json"
            first.write_text('[{"kind": "policy", "name": "p", "rank": "1 +"}]')
            second.write_text("not json")
            code, text = self.run_check(str(first), str(second), "missing.json")
        self.assertEqual(code, 3)
        for finding in ("E016", "E017", "E031"):
            self.assertIn(finding, text)


class HelpTests(unittest.TestCase):
    def test_help_names_every_command_of_the_reference_page(self):
        page = (EXAMPLES.parent / "docs" / "ref" / "cli.md").read_text()
        text = commands_help()
        for line in page.splitlines():
            if line.startswith("| `railsail "):
                words = line.split("`")[1].split()
                name = " ".join(words[:3] if words[1] == "config" else words[:2])
                self.assertIn(name, text)


class FleetCommandTests(FleetTestCase):
    async def run_tool(self, *arguments: str, output: str = "json") -> tuple[int, str]:
        """Run a command such as ``config.status`` in a thread; return its exit code and output.

        Like a process of its own, it doesn't run in the event loop of the fleet.
        """
        admin = f"127.0.0.1:{self.fleet.nodes[0].settings.admin_port}"

        def run() -> tuple[int, str]:
            out = io.StringIO()
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
                try:
                    command = Railsail(admin=admin, output=output)
                    for name in arguments[0].split("."):
                        command = getattr(command, name)
                    command(*arguments[1:])
                except SystemExit as stop:
                    return stop.code, out.getvalue()
            return 0, out.getvalue()

        with mock.patch.dict(os.environ, {"RAILSAIL_ADMIN_SECRET": ADMIN_SECRET}):
            return await asyncio.to_thread(run)

    async def test_apply_diff_get_and_status(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gold.json"
            path.write_text(json.dumps({"kind": "priorityclass", "name": "gold", "weight": 9.0}))
            _, difference = await self.run_tool("diff", str(path))
            code, text = await self.run_tool("apply", str(path))
        self.assertIn("1.0 -> 9.0", difference)
        self.assertEqual((code, text), (0, "accepted as version 2\n"))
        await self.until(lambda: {node.carrier.catalog.version for node in self.fleet.nodes} == {2})
        code, text = await self.run_tool("config.status")
        self.assertEqual(code, 0)
        self.assertIn("version 2 is in force everywhere", text)
        _, text = await self.run_tool("get", "priorityclass", "gold")
        self.assertEqual(json.loads(text)[0]["weight"], 9.0)

    async def test_deleting_an_object_in_use_gives_findings(self):
        code, text = await self.run_tool("delete", "policy", "plain")
        self.assertEqual(code, 3)
        self.assertIn("E020", text)

    async def test_time_line_has_events_of_all_daemons(self):
        await self.complete(self.fleet.nodes[1])
        _, text = await self.run_tool("timeline")
        nodes = {event["node"] for event in json.loads(text)}
        self.assertEqual(len(nodes), 3)

    async def test_wrong_secret_gives_an_exit_code(self):
        with mock.patch.object(Railsail, "__init__", _with_wrong_secret):
            code, _ = await self.run_tool("get")
        self.assertEqual(code, 5)

    async def test_drain_of_one_daemon_under_load_cuts_no_requests(self):
        calls = [asyncio.ensure_future(self.complete(n, 400)) for n in self.fleet.nodes]
        await self.until(lambda: all(node.admission.total for node in self.fleet.nodes))
        drained = asyncio.ensure_future(self.fleet.nodes[0].run_until_drained())
        code, text = await self.run_tool("drain")
        self.assertEqual(code, 0, text)
        responses = await asyncio.gather(*calls)
        self.assertEqual({response.code for response in responses}, {200})
        await drained


def _with_wrong_secret(self, admin: str = "", output: str = "table") -> None:
    self._admin, self._output, self._secret = admin, output, "wrong"


if __name__ == "__main__":
    unittest.main()
