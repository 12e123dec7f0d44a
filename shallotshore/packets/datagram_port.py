"""A UDP socket that is read in batches, one in each turn of the event loop."""

from __future__ import annotations

__all__ = ["DatagramPort"]

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from shallotshore.clock import clock
from shallotshore.unknown_flows import NEVER

if TYPE_CHECKING:
    from shallotshore.messages import Address
    from shallotshore.systems import Counters

MAX_DATAGRAM_BYTES = 65_507  # the largest payload of a UDP datagram over IPv4
MAX_DATAGRAMS_PER_READ = 256  # other work of the event loop then gets its turn


class DatagramPort:
    """Receives and sends datagrams on one bound socket.

    Attributes:
        emptied_at: Time at which no datagram waited in the socket's buffer, in ms. Whatever is read
            next has arrived later. NEVER until this has been the case.
    """

    __slots__ = ("_counters", "_deliver", "_is_drained", "_name", "_socket", "emptied_at")

    def __init__(
        self,
        bound_socket: socket.socket,
        name: str,
        counters: Counters,
        deliver: Callable[[bytes, Address], None],
    ) -> None:
        """Starts to read from the socket.

        Args:
            bound_socket: A bound socket in non-blocking mode.
            name: Name of the port in counters.
            counters: Counts datagrams that are not sent or whose destination is unreachable.
            deliver: Called with each datagram and its source.
        """
        self._counters = counters
        self._deliver = deliver
        self._name = name
        self._socket = bound_socket
        self._is_drained = True
        self.emptied_at = NEVER
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._read)

    def send(self, frame: bytes, destination: Address) -> None:
        """Sends a datagram; it is dropped when the socket's send buffer is full."""
        try:
            self._socket.sendto(frame, destination)
        except OSError as error:
            self._counters.add(f"datagrams.unsent.{self._name}.{type(error).__name__}")

    def read_pending(self) -> None:
        """Reads the datagrams that have arrived, up to a limit."""
        self._read()

    def record_poll(self, polled_after: int) -> None:
        """Records that the event loop has polled the socket, and has let it be read if needed.

        Args:
            polled_after: Time after which that was, in ms.
        """
        if self._is_drained:
            self.emptied_at = max(self.emptied_at, polled_after)

    def close(self) -> None:
        """Closes the socket; datagrams in its buffer are lost."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _read(self) -> None:
        started_at = clock()
        self._is_drained = False
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                frame, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self._is_drained = True
                self.emptied_at = started_at
                return
            except OSError:
                # An ICMP error caused by an earlier datagram: its destination is unreachable.
                self._counters.add(f"datagrams.unreachable.{self._name}")
                continue
            self._deliver(frame, source)
