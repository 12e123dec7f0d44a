"""Loopback addresses for a deployment that runs on real sockets."""

__all__ = ["Ports"]

import random
import socket
from collections.abc import Iterator

from shallotshore.messages import Address

HOST = "127.0.0.1"
_FIRST_PORT, _LAST_PORT = 20_000, 32_000  # below Linux's ephemeral ports
_PORTS_PER_BLOCK = 250  # the larger deployment needs about 40


class Ports:
    """Assigns free loopback ports of one block to the addresses of a deployment."""

    __slots__ = ("_assigned", "_free_ports")

    def __init__(self, block: range) -> None:
        """Creates an assignment without addresses.

        Args:
            block: Range of ports; a port is probed only when it is about to be assigned.
        """
        self._free_ports: Iterator[int] = filter(_is_free, block)
        self._assigned: dict[Address, Address] = {}

    @classmethod
    def allocate_blocks(cls, count: int, rng: random.Random) -> list["Ports"]:
        """Returns `Ports` for adjacent blocks, the first of which starts at a random port."""
        first = rng.randrange(_FIRST_PORT, _LAST_PORT - count * _PORTS_PER_BLOCK)
        starts = range(first, first + count * _PORTS_PER_BLOCK, _PORTS_PER_BLOCK)
        return [cls(range(start, start + _PORTS_PER_BLOCK)) for start in starts]

    def loopback_address(self, address: Address) -> Address:
        """Returns the loopback address assigned to an address, the same one each time.

        An address on loopback is returned unchanged.

        Raises:
            StopIteration: The block has no free port left.
        """
        if address[0] == HOST:
            return address
        if address not in self._assigned:
            self._assigned[address] = (HOST, next(self._free_ports))
        return self._assigned[address]


def _is_free(port: int) -> bool:
    """Whether a port can be bound both for UDP and for TCP."""
    for socket_type in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
