"""Tests of the adapter of the users' platform: packets, store entries, settings and start."""

import base64
import json
import os
import subprocess
import sys
import unittest
from pathlib import Path

from adapter.entries import decode_item, decode_removal
from adapter.packets import decode_packet, encode_reset

from shallotshore.codes import Code
from shallotshore.packets.feed_content import (
    ConfigurationChange,
    DataCentreChange,
    UnreadableEntry,
    UpstreamChange,
)
from shallotshore.packets.node_settings import AGENT, BALANCER, read_node_settings
from shallotshore.packets.packet import OPENS, RESETS, ResetPacket
from standins.packet_wire import ACK, RETURNED, SYN, is_intact, write_packet
from standins.packet_world import PacketWorld

ROOT = Path(__file__).resolve().parent.parent
CLIENT, VIP = ("100.64.0.7", 40001), ("198.18.0.1", 443)
EXAMPLE = bytes.fromhex(
    "00 00 08 d5 c3 b2 a1 44 33 22 11 00 00 00 00 00 00 00 00 01 00 12 c6 07 00 40 64 41 9c bb 01"
)
EXAMPLE_RESET = bytes.fromhex(
    "00 00 80 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 07 00 40 64 01 00 12 c6 bb 01 41 9c"
)
ENTRY = {
    "service": "spend",
    "address": "10.1.0.9:8080",
    "zone": "bud-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 40,
    "seq": 4,
}
SETTINGS = {
    "name": "front-bud-a-1",
    "data_centre": "bud-a",
    "host": "10.1.0.10",
    "client_address": "10.1.0.10:8172",
    "upstream_address": "10.1.0.10:8165",
    "outbound_address": "10.1.0.10:8162",
    "service": "spend",
    "node_port": 7720,
    "store_address": "10.200.1.7:8169",
}


def item(key: str, value: bytes, revision: int = 7) -> dict[str, object]:
    """Returns an item as the store sends it."""
    return {"key": key, "value": base64.b64encode(value).decode(), "rev": revision}


class PacketTest(unittest.TestCase):
    """Tests the encoding of packets."""

    def test_reads_the_platform_s_example(self) -> None:
        """Guards against decoding addresses in network byte order; the platform's differs."""
        packet = decode_packet(EXAMPLE).unwrap()
        self.assertEqual((CLIENT, VIP), (packet.client, packet.vip))
        self.assertEqual((OPENS, 0x11223344), (packet.flags, packet.sequence))
        self.assertTrue(packet.is_opening)

    def test_writes_the_platform_s_example_of_a_reset(self) -> None:
        """Guards against resets that clients ignore because a field is encoded wrongly."""
        self.assertEqual(EXAMPLE_RESET, encode_reset(ResetPacket(CLIENT, VIP, 0)))
        reset = decode_packet(EXAMPLE_RESET, is_from_upstream=True).unwrap()
        self.assertEqual((CLIENT, VIP, RESETS), (reset.client, reset.vip, reset.flags))

    def test_both_directions_have_one_key(self) -> None:
        """Guards against answers assigned to another flow when the ends swap places."""
        request = decode_packet(write_packet(CLIENT, VIP, SYN)).unwrap()
        answer = decode_packet(write_packet(VIP, CLIENT, SYN | ACK), True).unwrap()
        self.assertEqual(request.key, answer.key)

    def test_returned_packet_is_restored(self) -> None:
        """Guards against passing on a returned packet with the fields that an upstream has set.

        The next upstream would receive a packet other than the one that the client sent.
        """
        frame = write_packet(CLIENT, VIP, ACK, 5, 6, b"data")
        returned = bytearray(frame)
        returned[2] |= RETURNED
        returned[15:19] = b"\1\2\3\4"
        packet = decode_packet(bytes(returned), is_from_upstream=True).unwrap()
        self.assertEqual(frame, packet.frame)
        self.assertTrue(is_intact(packet.frame))

    def test_refuses_malformed_packets(self) -> None:
        """Guards against forwarding datagrams that are not packets."""
        good = write_packet(CLIENT, VIP, ACK, 1, 1, b"data")
        cases = {
            b"": Code.MESSAGE_TRUNCATED,
            good[:30]: Code.MESSAGE_TRUNCATED,
            good[:-1]: Code.MESSAGE_MALFORMED,
            good + b"x": Code.MESSAGE_MALFORMED,
            good[:2] + b"\x01" + good[3:]: Code.MESSAGE_MALFORMED,
        }
        for frame, code in cases.items():
            self.assertEqual(code, decode_packet(frame).unwrap_err())


class EntryTest(unittest.TestCase):
    """Tests the decoding of store entries."""

    def test_reads_an_upstream(self) -> None:
        """Guards against fields that are decoded into the wrong attribute."""
        change = decode_item(item("servers/i-1", json.dumps(ENTRY).encode()))
        assert isinstance(change, UpstreamChange) and change.upstream is not None
        upstream = change.upstream
        named = (upstream.id, upstream.service, upstream.host, upstream.port)
        self.assertEqual(("i-1", "spend", "10.1.0.9", 8080), named)
        self.assertEqual((False, 40, 7), (upstream.is_leaving, upstream.cold_ms, upstream.revision))

    def test_invalid_entry_is_unreadable(self) -> None:
        """Guards against invalid entries of other writers that stop the process or its updates."""
        bad = (
            b"\xff\xfe",
            b"[]",
            json.dumps({**ENTRY, "state": "asleep"}).encode(),
            json.dumps({**ENTRY, "slots": "many"}).encode(),
            json.dumps({**ENTRY, "address": "nowhere"}).encode(),
            json.dumps({name: ENTRY[name] for name in ENTRY if name != "zone"}).encode(),
        )
        for value in bad:
            self.assertIsInstance(decode_item(item("servers/i-1", value)), UnreadableEntry)
        broken = {"key": "servers/i-1", "value": "%%", "rev": 3}
        self.assertIsInstance(decode_item(broken), UnreadableEntry)

    def test_reads_routes_with_one_or_several_services(self) -> None:
        """Guards against a split route whose flows all go to one service."""
        config = {
            "version": 9,
            "routes": [
                {"host": "198.18.0.1", "prefix": "/8080/", "service": "a"},
                {
                    "host": "198.18.0.1",
                    "prefix": "/8443/",
                    "timeoutMs": 2500.6,
                    "targetLatencyMs": 302,
                    "trafficSplit": [
                        {"service": "a", "weight": 90},
                        {"service": "b", "weight": 10},
                        {"service": "c", "weight": 0},
                    ],
                },
            ],
            "services": [{"name": "a", "coldStartS": 2.0, "coldPerS": 1.5}],
            "limits": {"idleTimeoutMs": 15000},
        }
        change = decode_item(item("op/config", json.dumps(config).encode()))
        assert isinstance(change, ConfigurationChange)
        first, second = change.configuration.routes
        self.assertEqual((8080, (("a", 1),)), (first.port, first.shares))
        self.assertEqual((8443, (("a", 90), ("b", 10))), (second.port, second.shares))
        self.assertEqual((0, 0), (first.target_ms, first.limit_ms))
        self.assertEqual((302, 2501), (second.target_ms, second.limit_ms))

    def test_odd_durations_of_a_route_read_as_undeclared(self) -> None:
        """Guards against a configuration that is refused as a whole for one odd duration."""
        for value in (-1, "1", None, True, [5], 1 << 40, 1e300):
            route = {"host": "198.18.0.1", "prefix": "/80/", "service": "a"}
            route |= {"timeoutMs": value, "targetLatencyMs": value}
            config = {"version": 3, "routes": [route]}
            change = decode_item(item("op/config", json.dumps(config).encode()))
            assert isinstance(change, ConfigurationChange), value
            (decoded,) = change.configuration.routes
            self.assertEqual((0, 0), (decoded.target_ms, decoded.limit_ms), value)

    def test_reads_target_and_limit_of_a_route(self) -> None:
        """Guards against terms that are not taken over, and routes that must name them."""
        route = {"host": "198.18.0.1", "prefix": "/443/", "service": "spend"}
        for fields, expected in (
            ({"targetLatencyMs": 350, "timeoutMs": 2_940}, (350, 2_940)),
            ({"timeoutMs": 2_500.0}, (0, 2_500)),
            ({"targetLatencyMs": None}, (0, 0)),
            ({}, (0, 0)),
        ):
            config = {"version": 1, "routes": [{**route, **fields}]}
            change = decode_item(item("op/config", json.dumps(config).encode()))
            self.assertIsInstance(change, ConfigurationChange)
            (read,) = change.configuration.routes
            self.assertEqual(expected, (read.target_ms, read.limit_ms))

    def test_reads_declared_times_of_routes(self) -> None:
        """Guards against a target latency that is lost, or assumed where none is declared."""
        route = {"host": "198.18.0.1", "prefix": "/8080/", "service": "a"}
        times = {"targetLatencyMs": 303.4, "timeoutMs": 3634}
        config = {"version": 9, "routes": [{**route, **times}, route]}
        change = decode_item(item("op/config", json.dumps(config).encode()))
        assert isinstance(change, ConfigurationChange)
        first, second = change.configuration.routes
        self.assertEqual((303, 3634), (first.target_ms, first.limit_ms))
        self.assertEqual((0, 0), (second.target_ms, second.limit_ms))

    def test_reads_data_centres_that_are_out_and_in(self) -> None:
        """Guards against a data centre that stays out of service after its entry was removed."""
        evacuation = decode_item(item("op/evacuate/bud-a", b"{}"))
        removal = decode_removal("op/evacuate/bud-a", 8)
        assert isinstance(evacuation, DataCentreChange) and isinstance(removal, DataCentreChange)
        self.assertEqual(("bud-a", False), (evacuation.key, evacuation.is_gone))
        self.assertEqual(("bud-a", True), (removal.key, removal.is_gone))


class SettingsTest(unittest.TestCase):
    """Tests the settings of both roles and their template."""

    def test_reads_settings_of_both_roles(self) -> None:
        """Guards against a role that refuses the settings that the platform gives it."""
        text = json.dumps(SETTINGS).encode()
        for role in (BALANCER, AGENT):
            settings = read_node_settings(role, text).unwrap()
            self.assertEqual(("10.1.0.10", 8172), settings.client_address)

    def test_lists_every_problem_at_once(self) -> None:
        """Guards against reporting only the first problem, so that each start shows one more."""
        wrong = {**SETTINGS, "host": "bud", "node_port": 0, "service": ""}
        problems = read_node_settings(AGENT, json.dumps(wrong).encode()).unwrap_err()
        names = sorted(problem.split(": ")[1] for problem in problems)
        self.assertEqual(["host", "node_port", "service"], names)

    def test_bandwidth_may_be_text_or_missing(self) -> None:
        """Guards against a process that does not start where the platform names no bandwidth."""
        for given, expected in (("", 1_000.0), ("2.5", 2.5), (10, 10.0)):
            text = json.dumps({**SETTINGS, "link_mbps": given}).encode()
            settings = read_node_settings(BALANCER, text).unwrap()
            self.assertEqual(expected, settings.link_mbps)
        text = json.dumps({**SETTINGS, "link_mbps": "0"}).encode()
        self.assertTrue(read_node_settings(BALANCER, text).is_err())

    def test_a_switch_is_no_port(self) -> None:
        """Guards against `true` being taken for port 1."""
        text = json.dumps({**SETTINGS, "node_port": True}).encode()
        (problem,) = read_node_settings(AGENT, text).unwrap_err()
        self.assertIn("node_port", problem)

    def test_refuses_settings_that_are_not_an_object(self) -> None:
        """Guards against a traceback instead of a message for a settings file that is not JSON."""
        for text in (b"", b"[]", b"{", b"\xff"):
            self.assertTrue(read_node_settings(AGENT, text).is_err())

    def test_template_names_each_setting_that_a_role_needs(self) -> None:
        """Guards against a required setting that was added to a role but not to the template."""
        template = (ROOT / "platform" / "settings.json.tmpl").read_text()
        problems = read_node_settings(AGENT, b"{}").unwrap_err()
        problems += read_node_settings(BALANCER, b"{}").unwrap_err()
        for problem in problems:
            self.assertIn(f'"{problem.split(": ")[1]}"', template)


class StartTest(unittest.TestCase):
    """Tests how `platform/run.py` starts and which modules it imports."""

    def test_standard_module_platform_is_not_hidden(self) -> None:
        """Guards against libraries that import `platform` and get the folder of that name."""
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())
        code = "import platform; print(platform.python_version())"
        out = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
        )
        self.assertEqual(".".join(map(str, sys.version_info[:3])), out.stdout.strip())

    def test_wrong_usage_and_settings_end_with_a_message(self) -> None:
        """Guards against a traceback for a missing or unknown role or a missing settings file."""
        environment = {**os.environ, "SHALLOTSHORE_NODE_FILE": "/nowhere"}
        for arguments in ([], ["emperor"], ["balancer"]):
            run = subprocess.run(
                [sys.executable, "platform/run.py", *arguments],
                cwd=ROOT,
                env=environment,
                capture_output=True,
                text=True,
                check=False,
            )
            self.assertEqual(2, run.returncode)
            self.assertNotIn("Traceback", run.stderr)

    def test_packet_process_loads_no_module_of_the_other_front_end(self) -> None:
        """Guards against imports that lengthen the start by half a second of CPU time."""
        code = (
            "import sys; sys.path[:0] = ['platform', '.']\n"
            "import adapter.platform_adapter, shallotshore.packets.balancer\n"
            "import shallotshore.packets.application, shallotshore.packets.agent\n"
            "heavy = ('grpc', 'structlog', 'absl', 'statsd', 'prometheus_client', 'hdrh')\n"
            "print([m for m in heavy if m in sys.modules], 'shallotshore.messages' in sys.modules)"
        )
        out = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
        )
        self.assertEqual("[] False", out.stdout.strip())

    def test_names_of_the_platform_stay_in_its_folder(self) -> None:
        """Guards against names of the platform's protocol in the sources of the product."""
        names = ("trafficSplit", "coldRemainingMs", "datagramAddr", "kv-watch", "evacuate")
        names += ("timeoutMs", "targetLatencyMs", "coldStartS", "coldPerS", "healthPath")
        names += ("maxConnections", "maxHeaderBytes", "maxBodyBytes", "idleTimeoutMs")
        names += ("headerTimeoutMs", "op/config")
        for path in (ROOT / "shallotshore").rglob("*.py"):
            text = path.read_text()
            self.assertEqual([], [name for name in names if name in text], path)


class WorldTest(unittest.TestCase):
    """Tests the stand-in of the platform."""

    def test_checksum_detects_changed_data(self) -> None:
        """Guards against a stand-in that accepts a packet whose bytes were changed on the way."""
        frame = bytearray(write_packet(CLIENT, VIP, ACK, 1, 2, b"data"))
        frame[-1] ^= 1
        self.assertFalse(is_intact(bytes(frame)))
        self.assertEqual({}, PacketWorld().balancers)


if __name__ == "__main__":
    unittest.main()
