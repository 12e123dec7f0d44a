"""Converts IPv4 addresses between text and the integers that messages and tables use for VMs."""

__all__ = ["host_number", "host_text"]

import socket
from functools import lru_cache

_CACHED_HOSTS = 4096  # conversions are cached, since every packet needs some


@lru_cache(maxsize=_CACHED_HOSTS)
def host_number(text: str) -> int:
    """Returns the integer of an IPv4 address in dotted notation.

    Raises:
        OSError: The text is not an IPv4 address.
    """
    return int.from_bytes(socket.inet_aton(text), "big")


@lru_cache(maxsize=_CACHED_HOSTS)
def host_text(number: int) -> str:
    """Returns an IPv4 address, given as an integer, in dotted notation."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))
