"""Tests of the stand-ins, whose own faults would hide faults of the product."""

import random
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from shallotshore.codes import Code
from shallotshore.control_messages import PlatformRead, PlatformReply
from shallotshore.hashing import name_id
from shallotshore.messages import Source
from shallotshore.upstream_messages import UpstreamAnswer, UpstreamOpen, UpstreamRequest
from standins.application import FeedPacket, RequestBody, encode_payload, expected_answer
from standins.configuration_service import MAX_READS_PER_S, ConfigurationService, Mode
from standins.deployments import KOLTSEGTER, build_deployment
from standins.fabric import Fabric
from standins.upstream import Upstream
from standins.upstream_state import UpstreamLog
from standins.vm_list import VmList

ROOT = Path(__file__).resolve().parent.parent
AGENT = ("10.0.0.1", 1)
CUSTOMER = name_id("customer", "alma")


def request_payload(service: str = "spend-stream") -> bytes:
    """Returns the payload of a request with 100 ms of work and an answer of 2,500 bytes."""
    return encode_payload(RequestBody(service, "alma", b"i" * 16, 100, 2500))


SHORT_SCENARIO = f"""
0 deployment {KOLTSEGTER}
0 load spend-stream alma feeds=1
4 end
"""


class TraceTest(unittest.TestCase):
    """The command that plays one scenario."""

    def test_messages_about_a_flow_are_printed(self) -> None:
        """Guards against a trace that observes no message at all."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "short.txt"
            path.write_text(SHORT_SCENARIO)
            command = [sys.executable, "-m", "standins.run", str(path), "--trace=1"]
            command += ["--customer=alma", "--service=spend-stream"]
            result = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=60)
        self.assertEqual((result.returncode, result.stderr), (0, ""))
        self.assertIn("Forward", result.stdout)


class UpstreamTest(unittest.TestCase):
    """Guards the logs by which promises P2, P3 and P7 are checked."""

    def setUp(self) -> None:
        self.settings = build_deployment(KOLTSEGTER).servers["spend-stream-1"].settings
        self.log = UpstreamLog()

    def start(self, cold_since: int) -> Upstream:
        return Upstream(self.settings, self.log, 1, cold_since)

    def test_cold_upstream_records_work_over_its_bound(self) -> None:
        """Guards against an overloaded cold upstream that the checker does not see."""
        upstream = self.start(cold_since=0)
        for attempt in range(2):
            upstream.receive(AGENT, UpstreamRequest(1, attempt, CUSTOMER, 500, request_payload()))
        upstream.tick(10)
        self.assertEqual(self.log.bound_excesses, [(10, 2, 1)])

    def test_warm_upstream_runs_its_slots_and_sheds_past_its_backlog(self) -> None:
        """Guards against an upstream that accepts more requests than its slots and backlog."""
        upstream = self.start(cold_since=-20_000)
        for attempt in range(5):
            upstream.receive(AGENT, UpstreamRequest(1, attempt, CUSTOMER, 500, request_payload()))
        upstream.tick(10)
        self.assertEqual((upstream.running, len(self.log.runs)), (3, 3))
        self.assertEqual([m.code for _, m in upstream.outbox.drain()], [Code.OVERLOADED])

    def test_answer_parts_make_up_the_only_right_answer(self) -> None:
        """Guards against answers that callers would report as damaged."""
        upstream = self.start(cold_since=-20_000)
        upstream.receive(AGENT, UpstreamRequest(1, 1, CUSTOMER, 500, request_payload()))
        upstream.tick(0)
        upstream.tick(100)
        parts = [m for _, m in upstream.outbox.drain() if isinstance(m, UpstreamAnswer)]
        whole = b"".join(part.payload for part in parts)
        body = RequestBody("spend-stream", "alma", b"i" * 16, 100, 2500)
        self.assertEqual(whole, expected_answer(body))

    def test_packets_of_another_service_or_customer_are_recorded(self) -> None:
        """Guards against misdelivered packets that the checker does not see."""
        upstream = self.start(cold_since=-20_000)
        foreign = encode_payload(FeedPacket("report-export", "alma", 1, 0, ""))
        upstream.receive(AGENT, UpstreamOpen(1, CUSTOMER, foreign))
        upstream.receive(AGENT, UpstreamRequest(2, 1, CUSTOMER + 1, 500, request_payload()))
        upstream.tick(0)
        self.assertEqual(len(self.log.misdelivered), 2)


class PlatformTest(unittest.TestCase):
    """Guards the read protocol of the platform's services: rate limit, modes, watches and lag."""

    def read(self, service: ConfigurationService | VmList, after: int, now: int) -> list:
        service.receive(AGENT, PlatformRead(Source.CONFIGURATION, after, 0))
        service.tick(now)
        return [message for _, message in service.outbox.drain()]

    def test_reads_above_the_limit_are_refused(self) -> None:
        """Guards against a rate limit that never applies, or that applies too early."""
        service = ConfigurationService()
        replies: list[PlatformReply] = []
        for _ in range(MAX_READS_PER_S + 1):
            replies += self.read(service, 0, 10)
        self.assertEqual(replies[-2].code, Code.OK)
        self.assertEqual(replies[-1].code, Code.SERVICE_RATE_LIMITED)

    def test_stale_service_shows_its_old_revision_and_down_is_silent(self) -> None:
        """Guards against a stale service that shows new records or a down one that answers."""
        service = ConfigurationService()
        service.publish({"a": b"1"}, 0)
        self.read(service, 0, 1)
        service.set_mode(Mode.STALE)
        service.publish({"a": b"2"}, 2)
        self.assertEqual(self.read(service, 0, 3)[0].revision, 1)
        service.set_mode(Mode.DOWN)
        self.assertEqual(self.read(service, 0, 4), [])

    def test_watch_answers_when_something_is_published(self) -> None:
        """Guards against watches that are answered at once or not answered by a publication."""
        service = ConfigurationService()
        service.receive(AGENT, PlatformRead(Source.CONFIGURATION, 0, 1000))
        service.tick(0)
        self.assertEqual(service.outbox.drain(), [])
        service.publish({"a": b"1"}, 5)
        service.tick(6)
        self.assertEqual(service.outbox.drain()[0][1].entries[0].text, b"1")

    def test_vm_list_shows_a_change_only_after_its_lag(self) -> None:
        """Guards against a VM list that is faster or slower than its lag."""
        service = VmList(lag_ms=1000)
        service.publish({"vm/a": b"{}"}, 0)
        self.assertEqual(self.read(service, 0, 999)[0].revision, 0)
        self.assertEqual(self.read(service, 0, 1000)[0].revision, 1)


class FabricTest(unittest.TestCase):
    """Guards the random distribution, by which any balancer may receive packets of any caller."""

    def test_packets_of_one_caller_reach_every_balancer(self) -> None:
        """Guards against a fabric that sends all packets of a caller to one balancer."""
        balancers = [("b", 1), ("b", 2), ("b", 3)]
        fabric = Fabric(balancers, random.Random(1))
        for _ in range(50):
            fabric.receive_at(("vip", 1), AGENT, PlatformRead(Source.VM_LIST, 0, 0))
        fabric.tick(0)
        self.assertEqual({to for to, _ in fabric.outbox.drain()}, set(balancers))
