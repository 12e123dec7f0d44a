"""Limits, contents and format of the logs and metrics of the packet front end."""

import json
import unittest
from datetime import datetime, timedelta
from unittest import mock

from shallotshore.packets.event_log import MAX_BURST_LINES, MAX_QUEUED_LINES, EventLog
from shallotshore.packets.exposition import render_metrics
from shallotshore.packets.latencies import MAX_LABELS, Latencies
from shallotshore.packets.log_writer import MAX_BUFFERED_BYTES, LogWriter
from standins.packet_world import PacketWorld


class EventLogTest(unittest.TestCase):
    """Log lines that a core collects."""

    def test_decisions_are_bounded_and_the_rest_is_counted(self) -> None:
        """Guards against logs that grow with the load."""
        log = EventLog()
        admitted = 0
        for _ in range(5_000):
            if log.try_admit_decision(1_000):
                admitted += 1
                log.write(1_000, "flow_offered", flow="x")
        self.assertLessEqual(admitted, MAX_BURST_LINES)
        lines = log.drain()
        self.assertEqual(("lines_left_out", {"count": 5_000 - admitted}), lines[-1][1:])

    def test_waiting_lines_are_bounded(self) -> None:
        """Guards against memory that grows with log lines that are not drained."""
        log = EventLog()
        for number in range(3 * MAX_QUEUED_LINES):
            log.write(number, "feed_changed")
        self.assertEqual(MAX_QUEUED_LINES, len(log))


class LogWriterTest(unittest.TestCase):
    """Log lines on standard output."""

    def test_lines_carry_the_time_of_their_event(self) -> None:
        """Guards against timestamps that show when a line was written."""
        log = EventLog()
        log.write(1_000, "first", flow="a")
        log.write(3_500, "second", flow="b")
        written = bytearray()

        def write(_: int, data: bytes) -> int:
            written.extend(data)
            return len(data)

        with mock.patch("os.write", side_effect=write), mock.patch("os.set_blocking"):
            LogWriter(log, "vm-1", lambda: 4_000).flush()
        first, second = (json.loads(line) for line in written.splitlines())
        self.assertEqual(("first", "a", "vm-1"), (first["event"], first["flow"], first["process"]))
        times = [datetime.fromisoformat(line["timestamp"]) for line in (first, second)]
        self.assertEqual(timedelta(milliseconds=2_500), times[1] - times[0])

    def test_a_reader_that_does_not_read_stops_nothing(self) -> None:
        """Guards against a process that blocks while nobody reads its standard output."""
        log = EventLog()
        writer = LogWriter(log, "vm-1", lambda: 0)
        with mock.patch("os.write", side_effect=BlockingIOError), mock.patch("os.set_blocking"):
            for _ in range(40):
                for _ in range(MAX_QUEUED_LINES):
                    log.write(0, "feed_changed", text="x" * 80)
                writer.flush()
        self.assertLess(len(writer._buffer), MAX_BUFFERED_BYTES + 4_096)


class MetricsTest(unittest.TestCase):
    """The metrics page."""

    def test_page_has_counters_feeds_and_histograms(self) -> None:
        """Guards against a page that a collector cannot read."""
        world = PacketWorld()
        world.configure()
        world.add_agent("10.1.1.1")
        world.publish("10.1.1.1")
        world.add_balancer("10.1.0.1")
        world.run(500)
        world.open_flow(4000).request(b"x")
        world.run(500)
        text = render_metrics(world.balancers["10.1.0.1"]) + render_metrics(
            world.agents["10.1.1.1"]
        )
        for part in (
            'shallotshore_events_total{name="flows.opened"} 1.0',
            'shallotshore_feed_revision{feed="operator"}',
            'shallotshore_latency_seconds_bucket{kind="opening"',
            'shallotshore_latency_seconds_bucket{kind="first_answer"',
        ):
            self.assertIn(part, text)

    def test_labels_are_bounded(self) -> None:
        """Guards against a histogram for each of 8,100 routes."""
        latencies = Latencies()
        for number in range(3 * MAX_LABELS):
            latencies.record("opening", f"r-{number}", 5)
        self.assertLessEqual(len(latencies.buckets()), MAX_LABELS + 1)


if __name__ == "__main__":
    unittest.main()
