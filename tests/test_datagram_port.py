"""When the datagrams of a port may have arrived."""

import asyncio
import socket
import unittest

from shallotshore.clock import clock
from shallotshore.packets.datagram_port import MAX_DATAGRAMS_PER_READ, DatagramPort
from shallotshore.systems import Counters
from shallotshore.unknown_flows import NEVER


class ArrivalTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams that waited in the socket's buffer."""

    async def asyncSetUp(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.socket.bind(("127.0.0.1", 0))
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.arrived_after: list[int] = []

    async def asyncTearDown(self) -> None:
        self.port.close()
        self.sender.close()

    def send(self, count: int) -> None:
        """Sends datagrams to the socket."""
        for _ in range(count):
            self.sender.sendto(b"x", self.socket.getsockname())

    def open_port(self) -> None:
        """Starts to read from the socket."""

        def deliver(frame: bytes, source: tuple[str, int]) -> None:
            self.arrived_after.append(self.port.emptied_at)

        self.port = DatagramPort(self.socket, "test", Counters(), deliver)

    async def test_datagrams_from_before_the_start_may_be_of_any_age(self) -> None:
        """Guards against packets that waited while a process started and seem to be new."""
        self.send(MAX_DATAGRAMS_PER_READ + 1)
        self.open_port()
        self.port.read_pending()
        self.port.record_poll(clock())  # more datagrams wait than one call reads
        self.port.read_pending()
        self.assertEqual({NEVER}, set(self.arrived_after))
        self.assertEqual(MAX_DATAGRAMS_PER_READ + 1, len(self.arrived_after))

    async def test_datagrams_after_a_pause_may_be_as_old_as_the_pause(self) -> None:
        """Guards against packets that waited during a pause and seem to be new."""
        self.open_port()
        self.port.read_pending()
        paused_at = clock()
        self.port.record_poll(paused_at)
        await asyncio.sleep(0)
        self.send(2)
        await asyncio.sleep(0.05)
        self.assertEqual(2, len(self.arrived_after))
        self.assertLessEqual(max(self.arrived_after), clock() - 40)

    async def test_poll_without_datagrams_shows_that_none_waited(self) -> None:
        """Guards against new packets that count as old after a quiet time."""
        self.open_port()
        polled_at = clock()
        self.port.record_poll(polled_at)
        self.send(1)
        await asyncio.sleep(0.02)
        self.assertEqual([polled_at], self.arrived_after)


if __name__ == "__main__":
    unittest.main()
