"""Runs all tests but those listed in KNOWN-RED.txt, which it prints, and gives one closing line."""

import sys
import time
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "


def known_red() -> set[str]:
    """Returns the test ids on the lines of KNOWN-RED.txt that start with `test: `."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yields the test cases of nested suites."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from flatten(test)
        else:
            yield test


def main(patterns: list[str]) -> int:
    """Runs the tests whose id contains one of the patterns, or all of them.

    Returns:
        The exit status: 0 only when at least one test ran and none failed.
    """
    found = list(
        flatten(unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT)))
    )
    chosen = [test for test in found if not patterns or any(p in test.id() for p in patterns)]
    red = known_red()
    run = unittest.TestSuite(test for test in chosen if test.id() not in red)
    start = time.monotonic()
    result = unittest.TextTestRunner(verbosity=1).run(run)
    for test in chosen:
        if test.id() in red:
            print(f"known red, not run: {test.id()}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"time: {time.monotonic() - start:.1f} s")
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
