"""Tests that the commands in the documentation work as written."""

import contextlib
import io
import re
import shlex
import unittest
from pathlib import Path

from result import Ok

from shallotshore.main import main
from shallotshore.settings import read_settings

ROOT = Path(__file__).resolve().parent.parent
PROCESSES = ("balancer", "agent", "status")
OFFLINE = ("check", "diff", "version")
BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)


def commands() -> list[tuple[str, list[str]]]:
    """Returns (page, arguments) of every shallotshore command in the pages."""
    found = []
    for page in sorted((ROOT / "docs").glob("*.md")):
        for block in BLOCK.findall(page.read_text(encoding="utf-8")):
            for line in re.sub(r"\\\n\s*", "", re.sub(r"(?m)^ +", "", block)).splitlines():
                words = shlex.split(line)
                if words and words[0] == "shallotshore":
                    found.append((page.name, words[1:]))
    return found


class DocsTest(unittest.TestCase):
    """Guards against commands in the documentation that no longer work."""

    def test_offline_commands_succeed(self) -> None:
        ran = 0
        for page, words in commands():
            if words[0] not in OFFLINE:
                continue
            ran += 1
            with self.subTest(page=page, words=words), contextlib.chdir(ROOT):
                output = io.StringIO()
                with contextlib.redirect_stdout(output):
                    status = main(words)
                self.assertEqual(status, 0, output.getvalue())
                self.assertTrue(output.getvalue().strip())
        self.assertGreaterEqual(ran, 5)

    def test_settings_of_process_commands_are_accepted(self) -> None:
        seen = set()
        for page, words in commands():
            if words[0] not in PROCESSES:
                continue
            seen.add(words[0])
            with self.subTest(page=page, words=words):
                self.assertIsInstance(read_settings(words[0], words[1:], {}), Ok)
        self.assertEqual(seen, set(PROCESSES))
