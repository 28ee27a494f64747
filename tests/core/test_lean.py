"""A daemon's process does not hold what it never uses."""

import subprocess
import sys
import unittest

_PROGRAM = """
import sys
from railsail.core.lean import skip_command_line_parts
skip_command_line_parts()
import railsail.process
from railsail.policy.programs import check_program
heavy = [name for name in ("rich.console", "typer", "prompt_toolkit") if name in sys.modules]
print(heavy, check_program("rank", "1 + 1", "p"))
"""


class LeanTests(unittest.TestCase):
    def test_command_line_parts_stay_out_and_policies_work(self):
        command = [sys.executable, "-c", _PROGRAM]
        done = subprocess.run(command, check=False, capture_output=True, text=True)
        self.assertEqual((done.stdout.strip(), done.returncode), ("[] []", 0), done.stderr)


if __name__ == "__main__":
    unittest.main()
