"""The UDP sockets of a process, bound before the rest of the program is loaded.

Loading takes half a second on the smallest VMs. Datagrams that arrive meanwhile wait in the
sockets; without them clients would send again only after 200 to 800 ms.
"""

from __future__ import annotations

__all__ = ["NodeSockets"]

import socket

from shallotshore.packets.node_settings import BALANCER, NodeSettings

BUFFER = 1 << 20  # bytes asked of the kernel for bursts while the process does not run


class NodeSockets:
    """Bound sockets.

    Attributes:
        nodes: Takes messages of other processes of the system.
        packets: Takes the packets of clients at a balancer, those of the upstream at an agent.
    """

    __slots__ = ("nodes", "packets")

    def __init__(self, nodes: socket.socket, packets: socket.socket) -> None:
        self.nodes = nodes
        self.packets = packets

    @classmethod
    def from_settings(cls, role: str, settings: NodeSettings) -> NodeSockets:
        """Binds the sockets of a role.

        Raises:
            OSError: An address cannot be bound.
        """
        if role == BALANCER:
            packets = _bound(settings.client_address)
        else:
            packets = _bound(settings.outbound_address)
        return cls(_bound((settings.bind_host, settings.node_port)), packets)


def _bound(address: tuple[str, int]) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
    bound.bind(address)
    return bound
