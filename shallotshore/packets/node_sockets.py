"""The UDP sockets of a process, bound before the rest of the program is loaded.

Loading takes half a second on the smallest VMs. Datagrams that arrive in that time are kept in the
socket buffers. If they were lost, clients would send them again only after 200 to 800 ms.
"""

from __future__ import annotations

__all__ = ["NodeSockets"]

import socket

from shallotshore.packets.node_settings import BALANCER, NodeSettings

SOCKET_BUFFER_BYTES = 1 << 20  # for bursts that arrive while the process does not run


class NodeSockets:
    """The bound UDP sockets of a process.

    Attributes:
        node_socket: Receives messages of other processes of the system.
        packet_socket: Receives the packets of clients at a balancer, and those of the upstream at
            an agent.
    """

    __slots__ = ("node_socket", "packet_socket")

    def __init__(self, node_socket: socket.socket, packet_socket: socket.socket) -> None:
        self.node_socket = node_socket
        self.packet_socket = packet_socket

    @classmethod
    def from_settings(cls, role: str, settings: NodeSettings) -> NodeSockets:
        """Binds the sockets of a role.

        Raises:
            OSError: An address cannot be bound.
        """
        if role == BALANCER:
            packet_socket = _bind_udp_socket(settings.client_address)
        else:
            packet_socket = _bind_udp_socket(settings.outbound_address)
        return cls(_bind_udp_socket((settings.bind_host, settings.node_port)), packet_socket)


def _bind_udp_socket(address: tuple[str, int]) -> socket.socket:
    endpoint = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    endpoint.setblocking(False)
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    endpoint.bind(address)
    return endpoint
