"""Runs all tests except those listed in KNOWN-RED.txt, and prints the counts in the last line.

The ids of the excluded tests are printed before it. Modules that take long run in parallel, each in
a process of its own.
"""

import os
import subprocess
import sys
import time
import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "
LONG_MODULES = (
    "tests.test_scenarios.",
    "tests.test_mutations.",
    "tests.test_soak.",
    "tests.test_loads.",
    "tests.test_old_copies.",
)
# Environment variable that is set in the processes started here.
CHILD_VARIABLE = "SHALLOTSHORE_TESTS_CHILD"


@dataclass(slots=True)
class Tally:
    """Numbers of tests that passed, failed and were skipped in a run."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0

    @classmethod
    def from_result(cls, result: unittest.TestResult) -> "Tally":
        """Counts the tests of a result; several failed sub-tests of a test are one failure."""
        failed_ids = {_test_of(case).id() for case, _ in result.failures + result.errors}
        failed = len(failed_ids) + len(result.unexpectedSuccesses)
        skipped = len(result.skipped)
        return cls(max(0, result.testsRun - failed - skipped), failed, skipped)

    @classmethod
    def from_line(cls, line: str) -> "Tally":
        """Parses the last line of a test process; a line without counts is one failure."""
        words = line.replace(",", "").split()
        if words[1::2] != ["passed", "failed", "skipped"]:
            return cls(failed=1)
        return cls(*(int(word) for word in words[::2]))

    def add(self, other: "Tally") -> None:
        """Adds the counts of another run."""
        self.passed += other.passed
        self.failed += other.failed
        self.skipped += other.skipped

    def __str__(self) -> str:
        return f"{self.passed} passed, {self.failed} failed, {self.skipped} skipped"


def _test_of(case: unittest.TestCase) -> unittest.TestCase:
    return getattr(case, "test_case", case)


def read_known_red() -> set[str]:
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
    """Yields all test cases of a suite and of the suites nested in it."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from flatten(test)
        else:
            yield test


def start_long_modules() -> list[subprocess.Popen[str]]:
    """Starts a process for each module that takes long."""
    environment = os.environ | {CHILD_VARIABLE: "1"}
    return [
        subprocess.Popen(
            [sys.executable, "-m", "tests", module],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for module in LONG_MODULES
    ]


def collect_tally(child: subprocess.Popen[str]) -> Tally:
    """Waits for a test process to end, prints its output and returns its counts."""
    output, _ = child.communicate()
    lines = output.splitlines()
    print("\n".join(lines[:-1]), flush=True)
    tally = Tally.from_line(lines[-1] if lines else "")
    if child.returncode and not tally.failed:
        tally.failed = 1
    return tally


def main(patterns: list[str]) -> int:
    """Runs the tests whose id contains one of the patterns, or all of them.

    Returns:
        The exit status: 0 only when at least one test ran and none failed.
    """
    start = time.monotonic()
    children = [] if patterns else start_long_modules()
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    chosen = [
        test for test in flatten(suite) if not patterns or any(p in test.id() for p in patterns)
    ]
    if children:
        chosen = [test for test in chosen if not test.id().startswith(LONG_MODULES)]
    known_red = read_known_red()
    selected = unittest.TestSuite(test for test in chosen if test.id() not in known_red)
    tally = Tally.from_result(unittest.TextTestRunner(stream=sys.stdout).run(selected))
    for test in chosen:
        if test.id() in known_red:
            print(f"known red, not run: {test.id()}")
    for child in children:
        tally.add(collect_tally(child))
    if not os.environ.get(CHILD_VARIABLE):
        print(f"time: {time.monotonic() - start:.1f} s")
    print(tally)
    return 0 if tally.passed and not tally.failed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
