"""A daemon's process doesn't load the modules of its libraries that it never uses."""

import subprocess
import sys
import unittest

_PROGRAM = """
import gc
import sys
from railsail.core.imports import lean_imports
with lean_imports():
    import railsail.process
import railsail.platform
from railsail.policy.programs import check_program
kept_out = (
    "rich",
    "typer",
    "prompt_toolkit",
    "zipfile",
    "importlib.metadata",
    "multiprocessing",
    "curses",
    "typing_extensions",
)
held = [name for name in sys.modules if name in kept_out or name.startswith("rich.")]
print(held, check_program("rank", "1 + 1", "p"), gc.isenabled(), gc.get_freeze_count() > 0)
"""
_LATER = """
from railsail.core.imports import lean_imports
with lean_imports():
    import railsail.process
import importlib.metadata
import multiprocessing
print(importlib.metadata.version("websockets") > "", multiprocessing.cpu_count() > 0)
"""


def run(program: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-c", program]
    return subprocess.run(command, check=False, capture_output=True, text=True)


class LeanTests(unittest.TestCase):
    def test_unused_modules_are_not_loaded_and_policies_work(self):
        done = run(_PROGRAM)
        expected = ("[] [] True True", 0)
        self.assertEqual((done.stdout.strip(), done.returncode), expected, done.stderr)

    def test_skipped_modules_can_be_imported_later(self):
        done = run(_LATER)
        self.assertEqual((done.stdout.strip(), done.returncode), ("True True", 0), done.stderr)


if __name__ == "__main__":
    unittest.main()
