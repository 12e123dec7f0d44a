"""Tests of counters and histograms."""

import socket
import unittest
from unittest import mock

import statsd

from shallotshore.caller_messages import CallerAnswer, CallerClose, CallerRequest, FabricPacket
from shallotshore.catalog import Catalog
from shallotshore.messages import Message
from shallotshore.metrics import OTHER_LABEL, Latencies, Metrics, RequestTimer, make_label_function
from shallotshore.records import Binding, Customer, Service
from shallotshore.systems import Counters

VIP, CALLER = ("10.9.0.1", 443), ("10.8.0.1", 4000)


def packet(payload: Message) -> FabricPacket:
    """Returns a caller's packet."""
    return FabricPacket(CALLER, VIP, payload)


class LatenciesTest(unittest.TestCase):
    """Guards against an unlimited number of labels, and latencies under a wrong label."""

    def test_labels_beyond_the_cap_share_one(self) -> None:
        latencies = Latencies(max_labels=2)
        for number in range(5):
            latencies.record(f"customer{number}", 10)
        summary = latencies.summary()
        self.assertEqual(set(summary), {"customer0", "customer1", OTHER_LABEL})
        self.assertEqual(summary[OTHER_LABEL]["count"], 3)

    def test_labels_are_valid_statsd_names(self) -> None:
        records = [Service("spot.desk"), Customer("a.b", 1, (Binding("spot.desk", VIP),))]
        core = mock.Mock()
        core.state.catalog = Catalog.from_records(1, records)
        self.assertEqual(make_label_function(core)(VIP), "a_b.spot_desk")
        self.assertEqual(make_label_function(core)(CALLER), OTHER_LABEL)
        self.assertEqual(make_label_function(None)(VIP), OTHER_LABEL)

    def test_percentiles_are_within_a_hundredth(self) -> None:
        latencies = Latencies()
        for latency in range(1, 1001):
            latencies.record("a", latency)
        self.assertAlmostEqual(latencies.summary()["a"]["p50"], 500, delta=5)
        self.assertAlmostEqual(latencies.summary()["a"]["p99"], 990, delta=10)

    def test_a_request_is_measured_once_from_its_first_copy(self) -> None:
        latencies = Latencies()
        timer = RequestTimer(latencies, lambda vip: "a")
        request = packet(CallerRequest(b"r" * 16, False, 0, 1000, b""))
        answer = packet(CallerAnswer(b"r" * 16, 1, 100, 0, 2, 0, b""))
        for message, now in ((request, 100), (request, 600), (answer, 700), (answer, 900)):
            timer.observe_message(message, now)
        timer.observe_message(packet(CallerClose(1)), 1000)
        summary = latencies.summary()["a"]
        self.assertEqual(summary["count"], 1)
        self.assertAlmostEqual(summary["p99"], 600, delta=6)


class MetricsTest(unittest.TestCase):
    """Guards against counter increases that are sent twice or not at all."""

    def test_only_increases_are_sent(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
            sink.bind(("127.0.0.1", 0))
            sink.settimeout(5)
            client = statsd.StatsClient("127.0.0.1", sink.getsockname()[1], prefix="test")
            counters = Counters()
            metrics = Metrics(client, counters, Latencies())
            counters.add("some.event", 3)
            metrics.flush()
            self.assertEqual(sink.recv(1000), b"test.some.event:3|c")
            counters.add("some.event", 2)
            metrics.flush()
            metrics.flush()
            counters.add("other.event")
            metrics.flush()
            self.assertEqual(sink.recv(1000), b"test.some.event:2|c")
            self.assertEqual(sink.recv(1000), b"test.other.event:1|c")
