"""Tests of the parts that the demo runs: stand-ins and real programs on loopback."""

import asyncio
import os
import random
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from shallotshore.caller_messages import CallerAnswer, CallerRequest, FabricPacket
from shallotshore.codes import Code, Outcome
from shallotshore.control import CallFailedError, ControlClient
from shallotshore.control_messages import StatusReply, StatusRequest
from shallotshore.status import render_text
from shallotshore.systems import Core, Counters
from standins.caller import Caller
from standins.caller_state import CallerLoad
from standins.fabric import Fabric
from standins.live import LiveRuntime, Program
from standins.network import Network
from standins.ports import Ports
from tests.loopback import wait_until

VIP, FABRIC, BALANCER, CALLER = (("192.0.1.1", port) for port in range(1, 5))


class RefusingBalancer(Core):
    """A balancer that refuses every request."""

    def receive(self, source: tuple[str, int], message: object) -> None:
        assert isinstance(message, FabricPacket)
        assert isinstance(message.payload, CallerRequest)
        answer = CallerAnswer(
            message.payload.request, Outcome.NOT_RUN, Code.OVERLOADED, 0, 1, 0, b""
        )
        self.outbox.send(source, FabricPacket(message.caller, message.vip, answer))


def is_alive(pid: int) -> bool:
    """Returns whether a process with this id exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class LiveRuntimeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a demo whose parts get no messages, or that leaves processes running."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.answered: list[str] = []
        self.ports = Ports.allocate_blocks(1, random.Random())[0]
        self.runtime = LiveRuntime(Network(random.Random(1)), self.ports, Path(folder.name))
        self.addAsyncCleanup(self.runtime.close)

    async def test_stand_ins_exchange_messages_through_real_sockets(self) -> None:
        loopback_address = self.ports.loopback_address
        self.runtime.start("balancer", "here", [BALANCER], RefusingBalancer())
        fabric = Fabric([loopback_address(BALANCER)], random.Random(1))
        self.runtime.start("fabric", "here", [FABRIC, VIP], fabric)
        caller = Caller(
            "ba", "spotdesk", loopback_address(VIP), CallerLoad(rate=50), random.Random(1)
        )
        self.runtime.start("caller", "here", [CALLER], caller)
        await wait_until(lambda: len(caller.log.requests) >= 10)
        self.assertEqual({end.code for end in caller.log.requests}, {Code.OVERLOADED})
        self.assertEqual((caller.log.invalid_messages, self.runtime.faults), ([], []))

    async def test_programs_start_stop_and_leave_nothing_behind(self) -> None:
        program, other = self.start("first"), self.start("second")
        assert program.child is not None
        assert other.child is not None
        self.assertTrue(is_alive(program.child.pid))
        self.runtime.kill("first")
        await wait_until(lambda: program.stopped)
        await self.runtime.close()
        self.assertFalse(is_alive(other.child.pid))

    async def test_a_program_that_is_not_ready_yet_gets_no_packets(self) -> None:
        """Guards against a fabric that loses packets to a balancer which is still starting.

        In the demo such a request was never answered when all its copies went there.
        """
        ready: list[str] = []
        self.start("starting")
        self.enterContext(patch.object(LiveRuntime, "is_ready", lambda _, name: self.answers(name)))
        self.runtime.call_when_ready("starting", lambda: ready.append("starting"))
        self.runtime.call_when_ready("never", lambda: ready.append("never"))
        self.assertEqual(ready, [])
        async with asyncio.timeout(20):
            while not ready:
                self.assertEqual(self.answered, [])
                await asyncio.sleep(0.01)
        self.assertEqual((ready, self.answered), (["starting"], ["starting"]))

    async def answers(self, name: str) -> bool:
        """Whether a program answers; there is no configuration in these tests."""
        if not await self.runtime.query_status(name):
            return False
        self.answered.append(name)
        return True

    async def test_sigterm_ends_an_idle_agent_gracefully(self) -> None:
        program = self.start("stopping")
        client = ControlClient(("127.0.0.1", 9), None, Counters())
        self.addAsyncCleanup(client.close)
        async with asyncio.timeout(20):
            while (report := await self.report(client, "stopping")) is None:
                await asyncio.sleep(0.1)
        self.assertIn("core.upstream: stopping", render_text(report))
        program.stop(0)
        await wait_until(lambda: program.stopped)
        assert program.child is not None
        self.assertEqual(program.child.returncode, 0)

    async def report(self, client: ControlClient, name: str) -> StatusReply | None:
        try:
            return await client.status(self.ports.loopback_address((name, 1)), StatusRequest(0))
        except CallFailedError:
            return None

    async def test_a_program_that_ends_by_itself_is_a_fault(self) -> None:
        program = self.start("wrong", "--no_such_setting=1")
        await wait_until(lambda: program.stopped)
        self.runtime.record_unexpected_exits()
        self.assertEqual(self.runtime.faults, ["wrong ended by itself with status 2"])

    def start(self, name: str, *more: str) -> Program:
        address = self.ports.loopback_address((name, 1))
        arguments = [
            f"--address={address[0]}:{address[1]}",
            "--data_centre=suva-a",
            f"--name={name}",
            "--service=spotdesk",
            "--upstream_address=127.0.0.1:9",
        ]
        program = Program(["agent", *arguments, *more])
        self.runtime.start(name, "here", [address], program)
        return program
