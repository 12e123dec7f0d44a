"""Loopback addresses for a deployment that runs on real sockets."""

__all__ = ["Ports"]

import random
import socket
from collections.abc import Iterator

from shallotshore.messages import Address

HOST = "127.0.0.1"
_FIRST, _LAST = 20_000, 32_000  # below the ports that Linux gives to clients
_BLOCK = 250  # ports; the larger deployment needs about 40


class Ports:
    """Gives out free ports of one block, and remembers the address that each stands for."""

    __slots__ = ("_free", "_taken")

    def __init__(self, block: range) -> None:
        """Creates a block whose ports are tested when they are given out."""
        self._free: Iterator[int] = filter(_is_free, block)
        self._taken: dict[Address, Address] = {}

    @classmethod
    def blocks(cls, count: int, rng: random.Random) -> list["Ports"]:
        """Returns neighbouring blocks that start at a random place."""
        first = rng.randrange(_FIRST, _LAST - count * _BLOCK)
        starts = range(first, first + count * _BLOCK, _BLOCK)
        return [cls(range(start, start + _BLOCK)) for start in starts]

    def of(self, address: Address) -> Address:
        """Returns the loopback address that stands for an address, the same one each time.

        Raises:
            StopIteration: The block has no free port left.
        """
        if address[0] == HOST:
            return address
        if address not in self._taken:
            self._taken[address] = (HOST, next(self._free))
        return self._taken[address]


def _is_free(port: int) -> bool:
    """Whether nothing listens on a port, neither by UDP nor by TCP."""
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
