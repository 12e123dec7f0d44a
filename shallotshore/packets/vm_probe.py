"""Finds out over TCP whether a VM answers."""

from __future__ import annotations

__all__ = ["is_vm_answering"]

import asyncio
import socket
from typing import TYPE_CHECKING

from shallotshore.packets.vm_checks import CHECK_TIMEOUT_MS

if TYPE_CHECKING:
    from shallotshore.messages import Address


async def is_vm_answering(address: Address) -> bool:
    """Returns whether a VM takes or refuses a connection in time.

    A VM refuses connections to a port that no process listens to, so that a refusal shows that it
    lives. Without power, suspended or cut off it does neither.
    """
    loop = asyncio.get_running_loop()
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
            connection.setblocking(False)
            async with asyncio.timeout(CHECK_TIMEOUT_MS / 1000):
                await loop.sock_connect(connection, address)
    except ConnectionRefusedError:
        return True
    except OSError:
        # Timeouts and unreachable networks alike; the caller logs the result.
        return False
    return True
