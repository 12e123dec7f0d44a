"""Tests of the gRPC client and server on loopback."""

import unittest

from grpc import aio

from shallotshore import codec
from shallotshore.codes import Code
from shallotshore.control import EXCHANGE_METHOD, CallFailedError, ControlClient, ControlServer
from shallotshore.control_messages import (
    HealthEvent,
    PlatformRead,
    PlatformReply,
    StatusReply,
    StatusRequest,
)
from shallotshore.messages import Address, Entry, HealthState, Message, Source
from shallotshore.systems import Counters
from tests.loopback import free_address, wait_until

ENTRY = Entry("service/spotdesk", 3, b"{}")
READ = PlatformRead(Source.CONFIGURATION, 2, 0)


class ControlTest(unittest.IsolatedAsyncioTestCase):
    """Guards against control messages that are lost, reordered or accepted though invalid."""

    async def asyncSetUp(self) -> None:
        self.received: list[tuple[Address, Message]] = []
        self.counters = Counters()
        self.address = free_address()
        self.server = ControlServer(
            self.address, None, self.counters, self.deliver, lambda _: StatusReply(b"{}")
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.client = ControlClient(("127.0.0.1", 9), None, self.counters)
        self.addAsyncCleanup(self.client.close)

    def deliver(self, source: Address, message: Message) -> None:
        self.received.append((source, message))
        if isinstance(message, PlatformRead):
            reply = PlatformReply(message.source, Code.OK, 2, 3, (ENTRY,))
            self.assertTrue(self.server.answer_read(source, reply))

    async def test_messages_arrive_in_order_with_the_senders_address(self) -> None:
        events = [HealthEvent(1, 1, number, HealthState.UP) for number in range(100)]
        for event in events:
            self.client.send(self.address, event)
        await wait_until(lambda: len(self.received) == 100)
        self.assertEqual(self.received, [(("127.0.0.1", 9), event) for event in events])

    async def test_read_returns_the_reply_of_the_core(self) -> None:
        reply = await self.client.read(self.address, READ)
        self.assertEqual(reply, PlatformReply(Source.CONFIGURATION, Code.OK, 2, 3, (ENTRY,)))
        self.assertFalse(self.server.answer_read(self.received[0][0], reply))

    async def test_unreachable_service_is_reported_with_a_code(self) -> None:
        with self.assertRaises(CallFailedError) as caught:
            await self.client.read(free_address(), READ)
        self.assertEqual(caught.exception.code, Code.PEER_UNREACHABLE)

    async def test_status_is_answered(self) -> None:
        reply = await self.client.status(self.address, StatusRequest(1))
        self.assertEqual(reply, StatusReply(b"{}"))

    async def test_damaged_batches_are_counted_and_the_server_continues(self) -> None:
        async with aio.insecure_channel(f"127.0.0.1:{self.address[1]}") as channel:
            call = channel.unary_unary(EXCHANGE_METHOD)
            with self.assertRaises(aio.AioRpcError):
                await call(b"\x92\x01")
        self.assertEqual(self.counters["control.refused.message_malformed"], 1)
        await self.test_status_is_answered()

    async def test_messages_of_other_transports_are_refused(self) -> None:
        self.client._get_peer(self.address).queue.append(codec.encode(READ))
        self.client.send(self.address, HealthEvent(1, 1, 1, HealthState.UP))
        await wait_until(lambda: self.received)
        self.assertEqual(len(self.received), 1)
        self.assertEqual(self.counters["control.refused.message_kind_unknown"], 1)
