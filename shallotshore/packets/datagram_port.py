"""A UDP socket whose waiting datagrams are all read in one turn of the loop."""

from __future__ import annotations

__all__ = ["DatagramPort"]

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shallotshore.messages import Address
    from shallotshore.systems import Counters

MAX_DATAGRAM_BYTES = 65_507  # bytes: the most that UDP over IPv4 carries
MAX_DATAGRAMS_PER_READ = 256  # datagrams read before other work of the loop gets its turn


class DatagramPort:
    """Reads and writes one bound socket."""

    __slots__ = ("_counters", "_deliver", "_name", "_socket")

    def __init__(
        self,
        bound: socket.socket,
        name: str,
        counters: Counters,
        deliver: Callable[[bytes, Address], None],
    ) -> None:
        """Starts to read.

        Args:
            bound: A socket that does not block.
            name: Name in counters.
            counters: Counts what cannot be sent.
            deliver: Called with each datagram and its source.
        """
        self._counters = counters
        self._deliver = deliver
        self._name = name
        self._socket = bound
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._read)

    def send(self, frame: bytes, destination: Address) -> None:
        """Sends a datagram; when the kernel has no room it is lost like any other."""
        try:
            self._socket.sendto(frame, destination)
        except OSError as error:
            self._counters.add(f"datagrams.unsent.{self._name}.{type(error).__name__}")

    def close(self) -> None:
        """Closes the socket; datagrams that wait are lost."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                frame, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error of an earlier datagram: its destination is gone.
                self._counters.add(f"datagrams.unreachable.{self._name}")
                continue
            self._deliver(frame, source)
