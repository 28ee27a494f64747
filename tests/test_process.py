"""The daemon's process: reloading the settings by SIGHUP, and the log from start to stop."""

import asyncio
import json
import signal
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from railsail.conf.settings import parse
from railsail.process import reload
from railsail.standins.fleet import free_ports

LINES = {
    "failure-domain": "a",
    "store": "127.0.0.1:1",
    "network": "closed",
    "seeds": "127.0.0.1:7001",
}


# Each runs the daemon, which gets SIGHUP at another moment of its start.
DURING_IMPORTS = """
import os, signal
from railsail import daemon

skip = daemon.without_unused_modules

def interrupted():
    os.kill(os.getpid(), signal.SIGHUP)
    return skip()

daemon.without_unused_modules = interrupted
daemon.main()
"""
AFTER_THE_SETTINGS_ARE_READ = """
import os, signal
from railsail import daemon, process

read = process.parse

def interrupted(arguments, environment):
    parsed = read(arguments, environment)
    process.parse = read
    os.kill(os.getpid(), signal.SIGHUP)
    return parsed

process.parse = interrupted
daemon.main()
"""


class RecordingNode:
    def __init__(self) -> None:
        self.reloaded = []

    def reload(self, settings) -> None:
        self.reloaded.append(settings)


class ReloadTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "railsaild.conf"
        self.node = RecordingNode()

    def reload(self, **changes: str) -> None:
        lines = LINES | {name.replace("_", "-"): value for name, value in changes.items()}
        self.path.write_text("".join(f"{name} = {value}\n" for name, value in lines.items()))
        reload(self.node, ["--settings-file", str(self.path)], {})

    def test_new_settings_are_passed_to_the_node(self):
        self.reload(seeds="127.0.0.1:7002,127.0.0.1:7003")
        (settings,) = self.node.reloaded
        self.assertEqual([seed.port for seed in settings.seeds], [7002, 7003])

    def test_invalid_settings_change_nothing(self):
        self.reload(seeds="nowhere")
        self.path.unlink()
        reload(self.node, ["--settings-file", str(self.path)], {})
        self.assertEqual(self.node.reloaded, [])

    def test_flags_and_variables_take_precedence_over_the_file(self):
        self.path.write_text("region = file\nfailure-domain = file\nstore = 127.0.0.1:1\n")
        arguments = ["--settings-file", str(self.path), "--network=closed", "--region=flag"]
        settings = parse(arguments, {"RAILSAIL_FAILURE_DOMAIN": "variable"}).settings
        self.assertEqual((settings.region, settings.failure_domain), ("flag", "variable"))
        self.assertNotEqual(settings, replace(settings, region="other"))

    def test_unknown_line_is_a_finding(self):
        self.reload(colour="red")
        self.assertEqual(self.node.reloaded, [])


class LogTests(unittest.IsolatedAsyncioTestCase):
    async def run_daemon(self, *command: str, hang_up: bool) -> tuple[list[int], list[dict]]:
        """Run a daemon until it has reloaded its settings, and return its ports and its log.

        ``hang_up`` asks it to reload once it is ready.
        """
        ports = free_ports(4)
        names = ("caller-port", "admin-port", "peer-port")
        flags = [f"--{name}={port}" for name, port in zip(names, ports, strict=False)]
        flags += [f"--store=127.0.0.1:{ports[3]}", "--failure-domain=a", "--network=closed"]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            *flags,
            "--leave-seconds=0",
            stdout=asyncio.subprocess.PIPE,
        )
        lines = []
        try:
            async with asyncio.timeout(60):
                async for text in process.stdout:
                    lines.append(json.loads(text))
                    if hang_up and lines[-1].get("state") == "ready":
                        process.send_signal(signal.SIGHUP)
                    if lines[-1]["event"] == "settings reloaded":
                        process.send_signal(signal.SIGTERM)
                self.assertEqual(await process.wait(), 0)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        return ports, lines

    async def test_each_line_is_json_and_start_reload_and_stop_are_logged(self):
        ports, lines = await self.run_daemon("-m", "railsail.daemon", hang_up=True)
        events = [line["event"] for line in lines]
        for event in ("start", "store", "state", "settings reloaded", "drain asked for", "stop"):
            self.assertIn(event, events)
        self.assertEqual({line["node"] for line in lines}, {f"127.0.0.1:{ports[2]}"})

    async def test_signal_to_reload_does_not_end_a_process_that_starts(self):
        """SIGHUP ended a daemon that had not started to handle it."""
        await self.run_daemon("-c", DURING_IMPORTS, hang_up=True)

    async def test_settings_that_change_while_a_process_starts_are_read_again(self):
        await self.run_daemon("-c", AFTER_THE_SETTINGS_ARE_READ, hang_up=False)


if __name__ == "__main__":
    unittest.main()
