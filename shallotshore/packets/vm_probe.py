"""Checks over TCP whether a VM answers."""

from __future__ import annotations

__all__ = ["is_vm_answering"]

import asyncio
import socket
from typing import TYPE_CHECKING

from shallotshore.packets.vm_checks import CHECK_TIMEOUT_MS

if TYPE_CHECKING:
    from shallotshore.messages import Address


async def is_vm_answering(address: Address) -> bool:
    """Returns whether a VM accepts or refuses a connection in time.

    A live VM refuses connections to a port on which no process listens, so a refusal shows that it
    is alive. A VM that is suspended, cut off or without power does neither.

    Args:
        address: IP address of the VM, and any port.
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
        # A timeout or an unreachable network; the caller logs the result.
        return False
    return True
