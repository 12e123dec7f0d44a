"""Measures the packet front end: processor time per packet, memory per flow, message sizes."""

__all__ = ["run"]

import random
import time
import tracemalloc
from collections.abc import Callable

from shallotshore.hashing import name_id
from shallotshore.packets.agent_tables import FlowTable
from shallotshore.packets.balancer import PacketBalancer
from shallotshore.packets.balancer_state import BalancerSettings
from shallotshore.packets.feed_content import ConfigurationChange, UpstreamChange
from shallotshore.packets.feeds import STORE_ADDRESS
from shallotshore.packets.flow_cache import FlowCache
from shallotshore.packets.hosts import host_number, host_text
from shallotshore.packets.node_messages import (
    Hello,
    LoadReport,
    Report,
    Subscribe,
    UpstreamHealth,
    encode,
)
from shallotshore.packets.store_messages import StoreSnapshot
from shallotshore.packets.view import Configuration, Feed, Route, Upstream
from standins.packet_wire import ACK, SYN, write_packet
from standins.packet_world import NODE_PORT, VIP, decode_packet

_UDP_IP_HEADER_BYTES = 28
_PACKET_COUNT = 5_000
_FLOW_COUNT = 20_000
_FIRST_HOST = host_number("10.1.0.1")
_NOW_MS = 1_000_000


def _build_balancer(upstreams: int, services: int) -> PacketBalancer:
    """Returns a balancer that knows the upstreams and has fresh reports of all of them."""
    settings = BalancerSettings(host_number("10.9.0.1"), "a", NODE_PORT)
    core = PacketBalancer(settings, random.Random(1), decode_packet)
    core.tick(_NOW_MS)
    routes = tuple(
        Route(f"r{number}", VIP[0], VIP[1] + number, ((f"s{number}", 1),))
        for number in range(services)
    )
    change = ConfigurationChange("c", 1, Configuration(1, routes))
    core.receive(STORE_ADDRESS, StoreSnapshot(Feed.OPERATOR, 1, [change]))
    records: list = []
    for number in range(upstreams):
        host = host_text(_FIRST_HOST + number)
        record = Upstream(f"i{number}", f"s{number % services}", host, 80, "a", 3, False, 0, 1)
        records.append(UpstreamChange(record.id, 1, record))
    core.receive(STORE_ADDRESS, StoreSnapshot(Feed.UPSTREAMS, 1, records))
    core.tick(_NOW_MS)
    for number in range(upstreams):
        service = name_id("service", f"s{number % services}")
        health = UpstreamHealth.ANSWERS
        data_centre = core.state.data_centre
        report = Report(1, service, data_centre, 80, health, 0, 0, 0, 1, 1, b"", b"", True)
        core.receive((host_text(_FIRST_HOST + number), NODE_PORT), report)
    core.tick(_NOW_MS + 1)
    core.outbox.drain()
    return core


def _measure_packet_us(core: PacketBalancer, frames: list[bytes]) -> float:
    """Returns the processor time per packet in microseconds, with one tick for each packet."""
    start = time.process_time()
    for frame in frames:
        packet = decode_packet(frame).unwrap()
        core.receive(packet.client, packet)
        core.tick(_NOW_MS + 2)
        core.outbox.drain()
    return (time.process_time() - start) / len(frames) * 1e6


def _client_address(number: int) -> tuple[str, int]:
    return (f"100.64.{number // 50_000}.{number % 200 + 1}", 1024 + number % 50_000)


def _measure_data_us(upstreams: int, services: int) -> float:
    core = _build_balancer(upstreams, services)
    frames = []
    for number in range(_PACKET_COUNT):
        frame = write_packet(_client_address(number), VIP, ACK, 1, 1, b"x" * 100)
        key = decode_packet(frame).unwrap().key
        core.state.flows.set_owner(key, _FIRST_HOST, name_id("service", "s0"), _NOW_MS)
        frames.append(frame)
    return _measure_packet_us(core, frames)


def _measure_opening_us(upstreams: int, services: int) -> float:
    core = _build_balancer(upstreams, services)
    frames = [write_packet(_client_address(number), VIP, SYN, 1) for number in range(_PACKET_COUNT)]
    return _measure_packet_us(core, frames)


def _measure_bytes_per_row(fill_table: Callable[[], object]) -> float:
    tracemalloc.start()
    table = fill_table()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert table is not None
    return size_bytes / _FLOW_COUNT


def _fill_flow_cache() -> FlowCache:
    cache = FlowCache()
    for number in range(_FLOW_COUNT):
        cache.set_owner(number << 32, _FIRST_HOST, 1, _NOW_MS)
    return cache


def _fill_flow_table() -> FlowTable:
    table = FlowTable()
    for number in range(_FLOW_COUNT):
        table.add(number << 32)
    return table


def run() -> dict[str, float]:
    """Returns figures by name: microseconds per packet, bytes per flow and bytes per message."""
    large = 1 << 62
    report = Report(
        large, large, large, 8080, UpstreamHealth.ANSWERS, 0, 2, 300, 1 << 30, 1 << 30, b"", b""
    )
    return {
        "data_us_10_upstreams": _measure_data_us(10, 2),
        "data_us_2000_upstreams": _measure_data_us(2_000, 100),
        "opening_us_10_upstreams": _measure_opening_us(10, 2),
        "opening_us_2000_upstreams": _measure_opening_us(2_000, 100),
        "balancer_bytes_a_flow": _measure_bytes_per_row(_fill_flow_cache),
        "agent_bytes_a_flow": _measure_bytes_per_row(_fill_flow_table),
        "report_bytes": len(encode(report)) + _UDP_IP_HEADER_BYTES,
        "load_report_bytes": len(encode(LoadReport(2, 300, b"", b""))) + _UDP_IP_HEADER_BYTES,
        "subscribe_bytes": len(encode(Subscribe(large, large, 1 << 30, 1 << 30, 1 << 30)))
        + _UDP_IP_HEADER_BYTES,
        "hello_bytes": len(encode(Hello(large, True, False, 1 << 30, 1 << 30, (1 << 31,) * 24)))
        + _UDP_IP_HEADER_BYTES,
    }
