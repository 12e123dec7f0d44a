"""Processor time of a balancer's decision for one packet, in a small and in the planned fleet."""

__all__ = ["run"]

import random
import time

from bench.large_catalog import (
    FLEET_SERVICES,
    FLEET_UPSTREAMS,
    SMALL_SERVICES,
    build_catalog,
    vip_of,
)
from shallotshore.balancer import BalancerConfig, BalancerCore
from shallotshore.caller_messages import CallerData, FabricPacket
from shallotshore.listed_peers import ListedPeers
from shallotshore.membership import Membership
from shallotshore.messages import Address

FLOWS = 300_000
BATCH = 64  # packets a tick: what one wake-up of the socket brings under load
ROUNDS = 30
PACKETS_PER_ROUND = 4_096
_FABRIC = ("10.255.0.1", 9000)
_START_MS = 10_000


class _Load:
    """One balancer and the packets of its open flows."""

    __slots__ = ("_core", "_now", "_rng", "_services")

    def __init__(self, services: int, upstreams: int) -> None:
        config = BalancerConfig(("10.255.1.1", 7000), "dc-0")
        peers = ListedPeers(config.address, config.data_centre, Membership())
        catalog = build_catalog(services, upstreams)
        self._core = BalancerCore(config, random.Random(1), catalog, peers)
        self._rng = random.Random(2)
        self._services = services
        self._now = _START_MS
        self._core.tick(self._now)

    def seconds_per_packet(self) -> float:
        """Runs one round and returns the processor time of a packet in seconds."""
        batches = [
            [self._packet() for _ in range(BATCH)] for _ in range(PACKETS_PER_ROUND // BATCH)
        ]
        core = self._core
        start = time.process_time()
        for batch in batches:
            self._now += 1
            for packet in batch:
                core.receive(_FABRIC, packet)
            core.tick(self._now)
            core.outbox.drain()
        return (time.process_time() - start) / PACKETS_PER_ROUND

    def _packet(self) -> FabricPacket:
        flow = self._rng.randrange(FLOWS)
        caller: Address = (f"10.100.{flow // 256 % 256}.{flow % 256}", 10_000 + flow // 65_536)
        return FabricPacket(caller, vip_of(flow % self._services), CallerData(flow, b"x" * 64))


def run() -> dict[str, float]:
    """Measures both sizes in alternating rounds, so that both see the same machine."""
    small = _Load(SMALL_SERVICES, SMALL_SERVICES * FLEET_UPSTREAMS // FLEET_SERVICES)
    large = _Load(FLEET_SERVICES, FLEET_UPSTREAMS)
    times: dict[str, list[float]] = {"small": [], "large": []}
    for _ in range(ROUNDS):
        times["small"].append(small.seconds_per_packet())
        times["large"].append(large.seconds_per_packet())
    # The least disturbed rounds count: other work on the machine only adds time.
    best = {size: sorted(values)[ROUNDS // 10] for size, values in times.items()}
    return {
        "microseconds_small": best["small"] * 1e6,
        "microseconds_large": best["large"] * 1e6,
        "cost_ratio_large_to_small": best["large"] / best["small"],
    }
