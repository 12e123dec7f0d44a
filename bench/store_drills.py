"""Drills for the soak of real processes: the store comes back from a copy during many changes."""

__all__ = ["StoreDrills"]

import asyncio
import random

from standins.packet_processes import SERVICE, VIP, LoopbackFleet

CHANGING_VIPS = tuple((VIP[0], 8_000 + number) for number in range(3))
CONFIGURATION_S = 3.0  # from the acknowledgement of a configuration until it is in force
DRAINING_S = 3.0
OPENING_S = 3.0  # for a client on a busy machine; its packets are repeated after 0.2 and 0.6 s
MAX_LOST_REVISIONS = 41
WRITTEN_AGAIN_S = 1.5  # the writers have written again what was lost by then


class StoreDrills:
    """Writes configurations in quick succession, and lets the store lose the newest of them."""

    def __init__(self, fleet: LoopbackFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._version = 10
        self._is_drill_running = False
        self._drained_host = ""
        self._drained_at = 0.0

    async def run_burst(self) -> None:
        """Writes configurations, each with another one of the changing routes, until cancelled."""
        while True:
            await asyncio.sleep(0.05 + self._rng.random() * 0.2)
            if not self._fleet.is_store_down:
                self._write_configuration()

    async def inject_drill(self, first_s: float) -> None:
        """Restores the store once or twice in a row, after which the writers write again."""
        await asyncio.sleep(first_s)
        if self._is_drill_running:
            return
        self._is_drill_running = True
        lost: dict[str, object] = {}
        for _ in range(self._rng.choice((1, 1, 2))):
            revisions = self._rng.randint(1, MAX_LOST_REVISIONS)
            keeps_watches = self._rng.random() < 0.3
            down_s = self._rng.random() * 0.5
            older = await self._fleet.restore_store(revisions, down_s, keeps_watches)
            lost = older | lost  # what the first restore has lost is newer
            await asyncio.sleep(self._rng.random() * 0.1)
        for key, value in lost.items():
            await asyncio.sleep(self._rng.random() * WRITTEN_AGAIN_S / len(lost))
            if key == "op/config":
                self._write_configuration()
            else:
                self._fleet.publish(key, value)
        self._is_drill_running = False

    async def drain(self, key: str, entry: dict[str, object], host: str, after_s: float) -> None:
        """Lets the upstream of a host write that it gets no new flows, just before a drill."""
        await asyncio.sleep(after_s)
        while self._is_drill_running:
            await asyncio.sleep(0.05)
        self._fleet.publish(key, entry | {"state": "draining"})
        self._drained_host = host
        self._drained_at = asyncio.get_running_loop().time()
        await self.inject_drill(self._rng.random())

    async def find_problems(self, balancers: list[str]) -> list[str]:
        """Writes a last configuration and returns what is not in force in time.

        Args:
            balancers: Hosts of the balancers to try.
        """
        self._write_configuration()
        await asyncio.sleep(CONFIGURATION_S)
        problems = []
        for number, host in enumerate(balancers):
            for offset, vip in enumerate(CHANGING_VIPS):
                opened_at = await self._try_route(45_000 + number * 10 + offset, host, vip)
                is_present = vip == CHANGING_VIPS[self._version % len(CHANGING_VIPS)]
                if (opened_at is not None) != is_present:
                    what = "present" if is_present else "removed"
                    problems.append(f"{what} route {vip} at {host}: opened {opened_at}")
        return problems + self._find_late_openings()

    async def _try_route(self, port: int, balancer: str, vip: tuple[str, int]) -> int | None:
        """Returns when a flow to a virtual address opened, or None."""
        client = self._fleet.open_flow(port, balancer, vip)

        def is_decided() -> bool:
            return client.opened_at is not None or client.reset_at is not None

        await self._fleet.wait_until(is_decided, OPENING_S)
        return client.opened_at

    def _find_late_openings(self) -> list[str]:
        if not self._drained_host:
            return []
        bound_ms = (self._drained_at + DRAINING_S) * 1000
        late = [
            at for at in self._fleet.upstreams[self._drained_host].opening_times_ms if at > bound_ms
        ]
        return [f"{len(late)} new flows at the draining {self._drained_host}"] if late else []

    def _write_configuration(self) -> None:
        self._version += 1
        changing = CHANGING_VIPS[self._version % len(CHANGING_VIPS)]
        routes = [
            {"host": vip[0], "prefix": f"/{vip[1]}/", "service": SERVICE} for vip in (VIP, changing)
        ]
        self._fleet.publish("op/config", {"version": self._version, "routes": routes})
