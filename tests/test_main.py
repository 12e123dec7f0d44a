"""Tests of the command line."""

import contextlib
import io
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from shallotshore import __version__
from shallotshore.main import main

EXAMPLES = Path(__file__).resolve().parent.parent / "docs" / "examples-configuration"


class MainTest(unittest.TestCase):
    """Guards against changed exit statuses, which operators' scripts rely on."""

    def run_main(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            status = main(arguments)
        return status, output.getvalue()

    def test_version(self) -> None:
        self.assertEqual(self.run_main("version"), (0, f"shallotshore {__version__}\n"))

    def test_wrong_usage_shows_the_subcommands(self) -> None:
        for arguments in ((), ("balance",)):
            status, output = self.run_main(*arguments)
            self.assertEqual(status, 2)
            self.assertIn("balancer", output)

    def test_each_subcommand_has_help(self) -> None:
        """Guards against a request for help that is reported as a wrong setting."""
        for command in ("balancer", "agent", "check", "diff", "status", "demo", "version"):
            with self.subTest(command):
                status, output = self.run_main(command, "--help")
                self.assertEqual(status, 0)
                self.assertIn(f"usage: shallotshore {command}", output)
                self.assertIn("Exit status: 0", output)
        self.assertIn("--upstream_address", self.run_main("agent", "--help")[1])
        self.assertNotIn("--upstream_address", self.run_main("balancer", "--help")[1])
        self.assertEqual(self.run_main("--help")[0], 0)

    def test_wrong_settings_are_all_reported(self) -> None:
        status, output = self.run_main("balancer", "--address=x")
        self.assertEqual(status, 2)
        self.assertIn("701 SETTING_TYPE: --address", output)
        self.assertIn("700 SETTING_MISSING: --data_centre", output)

    def test_check_fails_on_problems_and_explains_codes(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(self.run_main("check", folder)[0], 0)
            (Path(folder) / "service").mkdir()
            (Path(folder) / "service" / "a.json").write_text("{")
            status, output = self.run_main("check", folder)
        self.assertEqual(status, 1)
        self.assertIn("500", output)
        self.assertIn("HELD", self.run_main("check", "--explain", "300")[1])
        self.assertEqual(self.run_main("check", "--explain")[0], 2)

    def test_check_of_a_configuration(self) -> None:
        """Guards against a deployment script that goes on after a refused configuration."""
        old, new = (str(EXAMPLES / name) for name in ("in-force.json", "next.json"))
        self.assertEqual(self.run_main("check", "--configuration", new, f"--in-force={old}")[0], 0)
        status, output = self.run_main("check", f"--configuration={old}", "--in-force", new)
        self.assertEqual(status, 1)
        self.assertIn("520 REVISION_NOT_RISING", output)
        for arguments in (
            ("--in-force", old),
            ("--configuration",),
            ("--configuration", "/missing"),
            ("--configuration", "a\0b"),
            ("--configuration", old, "--other"),
        ):
            self.assertEqual(self.run_main("check", *arguments)[0], 2, arguments)

    def test_check_of_a_configuration_without_the_adapter(self) -> None:
        """Guards against a traceback where only the product is installed."""
        with mock.patch.dict(sys.modules, {"adapter.configuration_document": None}):
            status, output = self.run_main("check", "--configuration", __file__)
        self.assertEqual(status, 2)
        self.assertIn("adapter of the platform is not installed", output)

    def test_diff_needs_two_directories(self) -> None:
        self.assertEqual(self.run_main("diff", "/missing", "/missing")[0], 2)
        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(self.run_main("diff", folder, folder)[0], 0)

    def test_status_of_a_silent_process_fails(self) -> None:
        status, output = self.run_main("status", "--address=127.0.0.1:9")
        self.assertEqual(status, 1)
        self.assertIn("800 PEER_UNREACHABLE", output)
