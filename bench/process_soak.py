"""Random faults on the platform's real programs: `python -m bench.process_soak --seeds 50`.

Balancers and agents are killed, paused and restarted by signals, in series and overlapping, while
a proxy delays, loses and cuts what they send to each other, one way or both, and resets or silences
their connections to the store. Clients keep their flows. Upstreams stay, so that no flow may be
reset and no request may get lost or run twice.
"""

__all__ = ["main", "run_seed"]

import argparse
import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

from standins.loopback_proxy import Disturbance, LoopbackProxy
from standins.packet_client import PacketClient
from standins.packet_processes import NODE_PORT, SERVICE, VIP, LoopbackFleet

BALANCERS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
AGENTS = ("127.0.2.1", "127.0.2.2", "127.0.2.3")
CLIENTS = 12
FAULTS = 8  # signals
DISTURBANCES = 6
LOGS = Path("build/process-soak")  # lines of all processes of a seed that failed
# Seeds that failed once, and why. Runs depend on real time and do not repeat exactly.
REGRESSION_SEEDS = {
    1: "an agent that had just started counted as holding no flow",
    3: "the same; a silent agent beside a live upstream; two acceptances with close numbers",
    4: "an upstream's stand-in that did not send answers again, or the same as seed 1",
    39: "flows were opened before balancers were ready, beside a load average of 23",
}
START_S = 20.0
RECOVERY_S = 12.0  # as the users' pages allow after a final fault


class Soak:
    """One seed: a fleet, its clients and a series of faults."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self._proxy = LoopbackProxy(NODE_PORT, random.Random(seed))
        self._fleet = LoopbackFleet(self._proxy)
        self._clients: list[PacketClient] = []
        self._sent: Counter[int] = Counter()
        self._down: set[str] = set()

    async def run(self) -> list[str]:
        """Returns what went wrong."""
        fleet = self._fleet
        await fleet.start()
        try:
            await self._begin()
            load = asyncio.ensure_future(self._press())
            faults = [self._fault() for _ in range(FAULTS)]
            disturbances = [self._disturb() for _ in range(DISTURBANCES)]
            await asyncio.gather(*faults, *disturbances)
            load.cancel()
            await fleet.until(lambda: not self._unanswered(), RECOVERY_S)
            problems = self._problems()
            if problems:
                fleet.save_lines(LOGS / f"{self._seed}.jsonl")
            return problems
        finally:
            await fleet.close()

    async def _begin(self) -> None:
        fleet = self._fleet
        route = {"host": VIP[0], "prefix": f"/{VIP[1]}/", "service": SERVICE}
        fleet.publish("op/config", {"version": 2, "routes": [route]})
        for number, host in enumerate(AGENTS):
            entry = {
                "service": SERVICE,
                "address": f"{host}:8080",
                "zone": "bud-a",
                "slots": 3,
                "state": "ready",
            }
            fleet.publish(f"servers/i-{number}", entry)
        await asyncio.gather(*(fleet.start_agent(host) for host in AGENTS))
        await asyncio.gather(*(fleet.start_balancer(host) for host in BALANCERS))
        # Routers send packets to balancers that are ready, which takes seconds on a busy machine.
        for host in BALANCERS:
            if not await fleet.until_ready(host, START_S):
                raise RuntimeError(f"balancer {host} did not become ready within {START_S} s")
        for number in range(CLIENTS):
            self._clients.append(fleet.open_flow(40_000 + number, BALANCERS[number % 3]))
        await fleet.until(lambda: all(client.opened_at for client in self._clients), 3.0)
        for client in self._clients:
            if client.opened_at is None:
                client.open()

    async def _press(self) -> None:
        """Sends requests on all flows, through whichever balancer is up."""
        while True:
            await asyncio.sleep(0.1)
            up = [host for host in BALANCERS if host not in self._down] or list(BALANCERS)
            for number, client in enumerate(self._clients):
                self._fleet.move(40_000 + number, self._rng.choice(up))
                if client.opened_at is not None and not client.is_waiting:
                    self._sent[number] += 1
                    client.request(b"%d/%d" % (number, self._sent[number]))

    async def _disturb(self) -> None:
        """Disturbs what one process sends, receives, or says to the store, for a while."""
        await asyncio.sleep(0.5 + self._rng.random() * FAULTS)
        host = self._rng.choice(BALANCERS + AGENTS)
        kind = self._rng.choice(
            ("delay", "loss", "cut in", "cut out", "store silent", "store reset")
        )
        duration = 0.3 + self._rng.random() * 1.5
        if kind == "store reset":
            self._proxy.reset_store(host)
        elif kind == "store silent":
            self._proxy.silent_stores.add(host)
            await asyncio.sleep(duration)
            self._proxy.silent_stores.discard(host)
        else:
            await self._disturb_datagrams(host, kind, duration)

    async def _disturb_datagrams(self, host: str, kind: str, duration: float) -> None:
        disturbance = {
            "delay": Disturbance(delay_ms=200),
            "loss": Disturbance(loss=0.3),
        }.get(kind, Disturbance(loss=1.0))
        pairs = [(host, other) for other in BALANCERS + AGENTS if kind != "cut in"]
        pairs += [(other, host) for other in BALANCERS + AGENTS if kind != "cut out"]
        self._proxy.disturbances |= dict.fromkeys(pairs, disturbance)
        await asyncio.sleep(duration)
        for pair in pairs:
            self._proxy.disturbances.pop(pair, None)

    async def _fault(self) -> None:
        await asyncio.sleep(0.5 + self._rng.random() * FAULTS)
        host = self._rng.choice(BALANCERS + AGENTS)
        if host in self._down:
            return
        self._down.add(host)
        kind = self._rng.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))
        if kind == signal.SIGSTOP:
            self._fleet.send_signal(host, signal.SIGSTOP)
            await asyncio.sleep(0.2 + self._rng.random() * 2)
            self._fleet.send_signal(host, signal.SIGCONT)
        else:
            await self._fleet.stop(host, kind)
            await asyncio.sleep(self._rng.random())
            await (self._fleet.start_balancer if host in BALANCERS else self._fleet.start_agent)(
                host
            )
            await asyncio.sleep(1.0)
        self._down.discard(host)

    def _unanswered(self) -> list[int]:
        return [
            number
            for number, client in enumerate(self._clients)
            if len(client.answers) < self._sent[number]
        ]

    def _problems(self) -> list[str]:
        problems = []
        for number, client in enumerate(self._clients):
            if client.opened_at is None:
                problems.append(f"flow {number} did not open")
            if client.reset_at is not None:
                problems.append(f"flow {number} was reset though its upstream lives")
            if client.damaged:
                problems.append(f"flow {number} got {client.damaged} changed packets")
        for number in self._unanswered():
            problems.append(f"flow {number} has a request without an answer")
        ran = Counter(data for one in self._fleet.upstreams.values() for data in one.ran)
        problems += [
            f"request {data!r} ran {count} times" for data, count in ran.items() if count > 1
        ]
        problems += [
            f"an upstream got {one.damaged} changed packets"
            for one in self._fleet.upstreams.values()
            if one.damaged
        ]
        if sum(self._sent.values()) < CLIENTS:
            problems.append("hardly any request was sent")
        return problems


def run_seed(seed: int) -> list[str]:
    """Plays one seed and returns what went wrong."""
    return asyncio.run(Soak(seed).run())


def main(arguments: list[str]) -> int:
    """Plays seeds one after the other; returns 1 when one of them failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--regression", action="store_true", help="play the seeds that failed once")
    options = parser.parse_args(arguments)
    failed = 0
    seeds = list(range(options.first, options.first + options.seeds))
    if options.regression:
        seeds = list(REGRESSION_SEEDS)
    for seed in seeds:
        problems = run_seed(seed)
        failed += bool(problems)
        print(f"seed {seed}: {'; '.join(problems) or 'ok'}", flush=True)
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
