"""Checks over TCP whether a VM is alive, and whether its agent runs."""

from __future__ import annotations

__all__ = ["probe_vm"]

import asyncio
import socket
from typing import TYPE_CHECKING

from shallotshore.packets.vm_checks import CHECK_TIMEOUT_MS
from shallotshore.packets.vm_state import VmState

if TYPE_CHECKING:
    from shallotshore.messages import Address


async def probe_vm(address: Address) -> VmState:
    """Connects to a VM, and returns whether it accepts, refuses or ignores the connection.

    A live VM refuses connections to a port on which no process listens. A VM that is suspended, cut
    off or without power neither accepts nor refuses them.

    Args:
        address: IP address of the VM, and a port on which its agent listens.
    """
    loop = asyncio.get_running_loop()
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
            connection.setblocking(False)
            async with asyncio.timeout(CHECK_TIMEOUT_MS / 1000):
                await loop.sock_connect(connection, address)
    except ConnectionRefusedError:
        return VmState.REFUSES
    except OSError:
        # A timeout or an unreachable network; the caller logs the result.
        return VmState.SILENT
    return VmState.ANSWERS
