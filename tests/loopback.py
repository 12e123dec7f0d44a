"""Helpers for tests on real loopback sockets."""

import asyncio
import logging
import socket
from collections.abc import Callable

import structlog

from shallotshore.messages import Address

HOST = "127.0.0.1"
WAIT_TIMEOUT_S = 10.0  # generous, since the machine is shared

# The start and stop lines of dozens of applications would hide the report of the tests.
structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def free_address() -> Address:
    """Returns a loopback address whose UDP and TCP ports were free a moment ago."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind((HOST, 0))
            try:
                datagram.bind(stream.getsockname())
            except OSError:
                continue
            return stream.getsockname()


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: The condition does not hold within `WAIT_TIMEOUT_S`.
    """
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)
