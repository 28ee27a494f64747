"""A daemon's process doesn't load the modules of its libraries that it never uses."""

import subprocess
import sys
import unittest

_CHECK_LOADED = """
import gc
import sys
from railsail.core.imports import without_unused_modules
with without_unused_modules():
    import railsail.process
import railsail.platform
from railsail.policy.programs import check_program
unused = (
    "rich",
    "typer",
    "prompt_toolkit",
    "zipfile",
    "importlib.metadata",
    "multiprocessing",
    "curses",
    "typing_extensions",
)
loaded = [name for name in sys.modules if name in unused or name.startswith("rich.")]
print(loaded, check_program("rank", "1 + 1", "p"), gc.isenabled(), gc.get_freeze_count() > 0)
"""
_IMPORT_LATER = """
from railsail.core.imports import without_unused_modules
with without_unused_modules():
    import railsail.process
import importlib.metadata
import multiprocessing
print(importlib.metadata.version("websockets") > "", multiprocessing.cpu_count() > 0)
"""


def run(program: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-c", program]
    return subprocess.run(command, check=False, capture_output=True, text=True)


class UnusedModulesTests(unittest.TestCase):
    def test_unused_modules_are_not_loaded_and_policies_work(self):
        result = run(_CHECK_LOADED)
        expected = ("[] [] True True", 0)
        self.assertEqual((result.stdout.strip(), result.returncode), expected, result.stderr)

    def test_skipped_modules_can_be_imported_later(self):
        result = run(_IMPORT_LATER)
        self.assertEqual(
            (result.stdout.strip(), result.returncode), ("True True", 0), result.stderr
        )


if __name__ == "__main__":
    unittest.main()
