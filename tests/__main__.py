"""Run all tests, and print their counts at the end.

The exit status is 1 if a test fails that isn't listed in ``KNOWN-RED.txt``.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Return the ids of tests that are known to fail: the first word of each line of the list."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0].rstrip(":,") for line in lines if line.strip()}


def test_id(test: unittest.TestCase) -> str:
    """Return the id of a test; that of a subtest is the one of its test."""
    return getattr(test, "test_case", test).id()


def main() -> int:
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    bad = sorted({test_id(test) for test, _ in result.failures + result.errors})
    listed = known_red()
    for name in sorted(set(bad) & listed):
        print(f"known red: {name}")
    unexpected = [name for name in bad if name not in listed]
    print(f"{result.testsRun - len(bad)} passed, {len(bad)} failed, {len(result.skipped)} skipped")
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
