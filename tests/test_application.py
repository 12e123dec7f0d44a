"""Tests of the application object with a small core on real sockets."""

import asyncio
import os
import signal
import unittest

from shallotshore.application import TICK_INTERVAL_MS, Application, ApplicationConfig
from shallotshore.clock import clock
from shallotshore.codes import Code
from shallotshore.control_messages import (
    HealthEvent,
    PlatformRead,
    PlatformReply,
    RevisionNotice,
    StatusReply,
    StatusRequest,
)
from shallotshore.messages import Address, HealthState, Message, Source
from shallotshore.status import render_text
from shallotshore.systems import Core
from tests.loopback import free_address, wait_until


class RecordingCore(Core):
    """A core that records the messages it receives and stops two ticks after `stop` is called."""

    __slots__ = ("faults", "received", "stopped", "stopping", "ticks")

    def __init__(self) -> None:
        super().__init__()
        self.received: list[tuple[Address, Message]] = []
        self.ticks: list[int] = []
        self.stopping = 0
        self.stopped = False
        self.faults = 0

    def receive(self, source: Address, message: Message) -> None:
        self.received.append((source, message))
        if isinstance(message, PlatformRead):
            reply = PlatformReply(message.source, Code.OK, message.after, 9, ())
            self.outbox.send(source, reply)

    def tick(self, now: int) -> None:
        self.ticks.append(now)
        if self.faults:
            self.faults -= 1
            raise ValueError("a fault of the core")
        self.stopping += self.stopping > 0
        self.stopped = self.stopping > 2

    def stop(self, now: int) -> None:
        self.stopping = 1

    def status(self, now: int) -> StatusReply:
        return StatusReply(b'{"revision":9}')


class ApplicationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against messages lost between two cores, and against a broken life cycle."""

    async def start(self) -> tuple[Application, RecordingCore, Address]:
        core, address = RecordingCore(), free_address()
        application = Application(core, ApplicationConfig(address))
        await application.start()
        self.addAsyncCleanup(application.close)
        return application, core, address

    async def test_each_message_takes_its_transport(self) -> None:
        first, core, address = await self.start()
        _, other, other_address = await self.start()
        event = HealthEvent(1, 1, 1, HealthState.UP)
        core.outbox.send(other_address, RevisionNotice(5))
        core.outbox.send(other_address, event)
        core.outbox.send(other_address, PlatformRead(Source.VM_LIST, 4, 0))
        first.schedule_tick()
        await wait_until(lambda: len(other.received) == 3 and core.received)
        self.assertIn((address, RevisionNotice(5)), other.received)
        self.assertIn((address, event), other.received)
        reply = PlatformReply(Source.VM_LIST, Code.OK, 4, 9, ())
        self.assertEqual(core.received, [(other_address, reply)])

    async def test_failed_read_is_delivered_with_a_code(self) -> None:
        first, core, _ = await self.start()
        service = free_address()
        core.outbox.send(service, PlatformRead(Source.VM_LIST, 4, 0))
        first.schedule_tick()
        await wait_until(lambda: core.received)
        reply = PlatformReply(Source.VM_LIST, Code.SERVICE_UNREACHABLE, 4, 4, ())
        self.assertEqual(core.received, [(service, reply)])

    async def test_ticks_run_without_arrivals(self) -> None:
        started = clock()
        _, core, _ = await self.start()
        await wait_until(lambda: len(core.ticks) >= 10)
        for number, tick in enumerate(core.ticks):
            # A late tick delays all later ones, but none may be early; rounding may take 1 ms.
            self.assertGreaterEqual(tick - started, number * TICK_INTERVAL_MS - 1)

    async def test_a_fault_in_one_tick_does_not_end_the_process(self) -> None:
        first, core, _ = await self.start()
        core.faults = 2
        await wait_until(lambda: not core.faults)
        seen = len(core.ticks)
        await wait_until(lambda: len(core.ticks) > seen)
        self.assertEqual(core.counters["application.failed_ticks"], 2)

    async def test_a_core_that_always_fails_ends_the_process_with_a_failure(self) -> None:
        first, core, _ = await self.start()
        core.faults = 1_000_000
        self.assertEqual(await first.wait_until_stopped(), 1)

    async def test_sigterm_waits_for_the_core(self) -> None:
        core = RecordingCore()
        application = Application(core, ApplicationConfig(free_address()))
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
        self.assertEqual(await application.run(), 0)
        self.assertTrue(core.stopped)

    async def test_status_report_holds_the_cores_part_and_counters(self) -> None:
        application, core, _ = await self.start()
        core.counters.add("some.event", 3)
        text = render_text(application.build_status_report(StatusRequest(1)))
        self.assertIn("core.revision: 9", text)
        self.assertIn("counters.some.event: 3", text)
        self.assertNotIn(
            "some.event", render_text(application.build_status_report(StatusRequest(0)))
        )
