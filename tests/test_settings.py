"""Tests of the settings of balancers, agents and the status command."""

import unittest

from result import Ok

from shallotshore.codes import Code
from shallotshore.settings import parse_address, read_settings

BALANCER = ["--address=127.0.0.1:7000", "--data_centre=suva-a"]


class SettingsTest(unittest.TestCase):
    """Guards against a process that starts with other settings than its operator intended."""

    def problems(self, command: str, arguments: list[str]) -> list[tuple[Code, str]]:
        found = read_settings(command, arguments, {}).unwrap_err()
        return [(problem.code, problem.setting) for problem in found]

    def test_every_problem_is_reported_at_once(self) -> None:
        arguments = ["--address=nowhere", "--log_level=loud", "--typo=1", "--tls_key=/missing"]
        self.assertEqual(
            self.problems("agent", arguments),
            [
                (Code.SETTING_VALUE, "typo"),
                (Code.SETTING_TYPE, "address"),
                (Code.SETTING_MISSING, "name"),
                (Code.SETTING_MISSING, "data_centre"),
                (Code.SETTING_MISSING, "service"),
                (Code.SETTING_MISSING, "upstream_address"),
                (Code.SETTING_TYPE, "tls_key"),
                (Code.SETTING_TYPE, "log_level"),
                (Code.SETTING_CONFLICT, "tls_key"),
            ],
        )

    def test_command_line_takes_precedence_over_environment(self) -> None:
        environment = {"SHALLOTSHORE_ADDRESS": "127.0.0.1:1", "SHALLOTSHORE_DATA_CENTRE": "suva-b"}
        settings = read_settings("balancer", BALANCER[:1], environment).unwrap()
        self.assertEqual(settings.address, ("127.0.0.1", 7000))
        self.assertEqual(settings.data_centre, "suva-b")

    def test_plain_text_off_loopback_needs_the_flag(self) -> None:
        arguments = ["--address=10.0.0.1:7000", "--data_centre=suva-a"]
        missing = [(Code.SETTING_MISSING, "mac_keys"), (Code.SETTING_MISSING, "tls_certificate")]
        self.assertEqual(self.problems("balancer", arguments), missing)
        self.assertTrue(read_settings("balancer", [*arguments, "--plain_text=true"], {}).is_ok())

    def test_json_needs_no_value(self) -> None:
        settings = read_settings("status", ["--json", "--address=127.0.0.1:7000"], {}).unwrap()
        self.assertTrue(settings.json)

    def test_addresses_of_both_families(self) -> None:
        self.assertEqual(parse_address("[::1]:80"), Ok(("::1", 80)))
        for wrong in ("localhost:80", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", ":1"):
            self.assertTrue(parse_address(wrong).is_err(), wrong)
