"""Measures the packet rate of one balancer process against a bare asyncio UDP relay.

Both run as child processes on loopback. Rates are packets per second of the child's own processor
time, so that the sender and other work on the machine do not count.
"""

__all__ = ["run"]

import asyncio
import multiprocessing
import random
import socket
import time
from collections.abc import Callable
from multiprocessing.synchronize import Event
from typing import cast

from bench.decision import FLOW_COUNT
from bench.large_catalog import SMALL_SERVICE_COUNT, service_vip
from shallotshore.application import Application, ApplicationConfig
from shallotshore.balancer import BalancerConfig, BalancerCore
from shallotshore.caller_messages import CallerData, FabricPacket
from shallotshore.catalog import Catalog
from shallotshore.datagrams import encode_datagram
from shallotshore.listed_peers import ListedPeers
from shallotshore.membership import Membership
from shallotshore.messages import Address
from shallotshore.records import Binding, Customer, DataCentre, Record, Service, Upstream
from shallotshore.security import MacKeys

PACKET_COUNT = 100_000
_WINDOW_PACKETS = 256  # in flight at most; the socket buffers hold them, so that none is lost
_PAYLOAD = b"x" * 64
_HOST = "127.0.0.1"
_MAC_KEY = b"k" * 32
_RECEIVE_TIMEOUT_S = 0.2  # after this time without a packet, the rest of a window counts as lost


class _Relay(asyncio.DatagramProtocol):
    """Forwards every datagram unchanged."""

    __slots__ = ("_destination", "_transport")

    def __init__(self, destination: Address) -> None:
        self._destination = destination
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forwards the datagram."""
        assert self._transport is not None
        self._transport.sendto(data, self._destination)


def _build_catalog(sink: Address) -> Catalog:
    records: list[Record] = [DataCentre("dc-0", "region-0")]
    for number in range(SMALL_SERVICE_COUNT):
        records.append(Service(f"service-{number}"))
        records.append(
            Customer(f"customer-{number}", 1, (Binding(f"service-{number}", service_vip(number)),))
        )
        records.append(Upstream(f"upstream-{number}", f"service-{number}", "dc-0", sink))
    return Catalog.from_records(1, records)


async def _serve_relay(address: Address, sink: Address) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: _Relay(sink), local_addr=address)


async def _serve_balancer(address: Address, sink: Address) -> None:
    config = BalancerConfig(address, "dc-0")
    peers = ListedPeers(address, config.data_centre, Membership())
    core = BalancerCore(config, random.Random(1), _build_catalog(sink), peers)
    settings = ApplicationConfig(address, keys=MacKeys((_MAC_KEY,)), control=False)
    await Application(core, settings).start()


def _serve_until_stopped(
    serve: Callable, address: Address, sink: Address, ready: Event, stop: Event, used: object
) -> None:
    """Serves until `stop` is set, then stores the processor time used since `ready` in `used`."""

    async def main() -> None:
        await serve(address, sink)
        start = time.process_time()
        ready.set()
        while not stop.is_set():
            await asyncio.sleep(0.05)
        used.value = time.process_time() - start  # type: ignore[attr-defined]

    asyncio.run(main())


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((_HOST, 0))
        return probe.getsockname()[1]


def _build_frames() -> list[bytes]:
    """Returns encoded packets of random open flows, as the fabric sends them."""
    rng = random.Random(3)
    keys = MacKeys((_MAC_KEY,))
    frames = []
    for _ in range(PACKET_COUNT):
        flow = rng.randrange(FLOW_COUNT)
        caller = (f"10.100.{flow // 256 % 256}.{flow % 256}", 10_000 + flow // 65_536)
        packet = FabricPacket(
            caller, service_vip(flow % SMALL_SERVICE_COUNT), CallerData(flow, _PAYLOAD)
        )
        frames.append(encode_datagram(packet, keys).unwrap())
    return frames


def _send_frames(frames: list[bytes], address: Address, sink: socket.socket) -> int:
    """Sends all frames, one window at a time, and returns how many arrived at the sink."""
    arrived = 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for start in range(0, len(frames), _WINDOW_PACKETS):
            window = frames[start : start + _WINDOW_PACKETS]
            for frame in window:
                sender.sendto(frame, address)
            arrived += _count_received(sink, len(window))
    return arrived


def _count_received(sink: socket.socket, count: int) -> int:
    for received in range(count):
        try:
            sink.recv(65_535)
        except TimeoutError:
            return received
    return count


def _measure_rate(serve: Callable, frames: list[bytes]) -> tuple[float, float]:
    """Returns (packets per second of processor time, share of packets that arrived)."""
    context = multiprocessing.get_context("spawn")
    ready, stop, used = context.Event(), context.Event(), context.Value("d", 0.0)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind((_HOST, 0))
        sink.settimeout(_RECEIVE_TIMEOUT_S)
        address = (_HOST, _free_port())
        arguments = (serve, address, sink.getsockname(), ready, stop, used)
        child = context.Process(target=_serve_until_stopped, args=arguments)
        child.start()
        try:
            ready.wait(timeout=30)
            arrived = _send_frames(frames, address, sink)
        finally:
            stop.set()
            child.join(timeout=10)
            if child.is_alive():
                child.kill()
    return arrived / used.value, arrived / len(frames)


def run() -> dict[str, float]:
    """Measures the relay twice, then the balancer twice, and keeps the higher rate of each.

    Returns:
        Packets per second of processor time, shares of packets that arrived, and the ratio of the
        balancer's rate to the relay's.
    """
    frames = _build_frames()
    relay = max(_measure_rate(_serve_relay, frames) for _ in range(2))
    balancer = max(_measure_rate(_serve_balancer, frames) for _ in range(2))
    return {
        "relay_packets_per_cpu_second": relay[0],
        "balancer_packets_per_cpu_second": balancer[0],
        "relay_share_through": relay[1],
        "balancer_share_through": balancer[1],
        "ratio_to_bare_relay": balancer[0] / relay[0],
    }
