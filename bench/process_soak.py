"""Random faults on real processes of the packet front end.

Run it by `python -m bench.process_soak --seeds 50`. Signals kill, pause and restart balancers and
agents, one at a time and overlapping. A proxy delays, drops and cuts the datagrams between them, in
one direction or both, and resets or silences their connections to the store. Clients keep their
flows open. Since upstreams keep running, no flow may be reset and no request may be lost or run
twice.
"""

__all__ = ["main", "run_seed"]

import argparse
import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

from bench.store_drills import StoreDrills
from standins.loopback_proxy import Disturbance, LoopbackProxy
from standins.packet_client import PacketClient
from standins.packet_processes import NODE_PORT, SERVICE, VIP, LoopbackFleet

BALANCER_HOSTS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
AGENT_HOSTS = ("127.0.2.1", "127.0.2.2", "127.0.2.3")
CLIENT_COUNT = 12
# Number of signals; also the time in s within which signals and disturbances begin.
FAULT_COUNT = 8
DISTURBANCE_COUNT = 6
DRILL_COUNT = 4  # with --drills
LOG_FOLDER = Path("build/process-soak")  # gets the log lines of all processes of a failed seed
# Seeds that failed once, and the cause. Runs depend on real time and do not repeat exactly.
REGRESSION_SEEDS = {
    1: "an agent that had just started was taken to hold no flow",
    3: "as seed 1; a silent agent of a live upstream; two upstreams accepted a flow with sequence"
    " numbers close to each other",
    4: "the stand-in of an upstream did not resend answers, or as seed 1",
    39: "flows were opened before balancers were ready, at a load average of 23",
}
READY_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 12.0  # time for recovery after the last fault, as the users' pages state it


class SoakRun:
    """Run of one seed: a fleet with clients and a random series of faults."""

    def __init__(
        self, seed: int, has_drills: bool = False, last_release: Path | None = None
    ) -> None:
        """Creates a run.

        Args:
            seed: Seed of all random choices.
            has_drills: Whether the store comes back from a copy while configurations change.
            last_release: Folder of the last release, from which one balancer and one agent run.
        """
        self._seed = seed
        self._rng = random.Random(seed)
        self._proxy = LoopbackProxy(NODE_PORT, random.Random(seed))
        # Balancers that know each other follow readers of the store.
        self._fleet = LoopbackFleet(self._proxy, BALANCER_HOSTS if has_drills else ())
        self._drills = StoreDrills(self._fleet, self._rng) if has_drills else None
        self._last_release = last_release
        self._clients: list[PacketClient] = []
        self._sent_counts: Counter[int] = Counter()
        self._signalled_hosts: set[str] = set()

    async def run(self) -> list[str]:
        """Runs the seed and returns the problems found."""
        fleet = self._fleet
        await fleet.start()
        try:
            await self._start_fleet()
            load_task = asyncio.ensure_future(self._send_requests())
            faults = [self._inject_signal() for _ in range(FAULT_COUNT)]
            disturbances = [self._inject_disturbance() for _ in range(DISTURBANCE_COUNT)]
            await asyncio.gather(*faults, *disturbances, self._run_drills())
            load_task.cancel()
            await fleet.wait_until(lambda: not self._find_unanswered_flows(), RECOVERY_TIMEOUT_S)
            problems = self._find_problems()
            if self._drills is not None:
                problems += await self._drills.find_problems(self._new_balancers())
            if problems:
                fleet.save_log_lines(LOG_FOLDER / f"{self._seed}.jsonl")
            return problems
        finally:
            await fleet.close()

    async def _start_fleet(self) -> None:
        fleet = self._fleet
        route = {"host": VIP[0], "prefix": f"/{VIP[1]}/", "service": SERVICE}
        fleet.publish("op/config", {"version": 2, "routes": [route]})
        for number, host in enumerate(AGENT_HOSTS):
            fleet.publish(f"servers/i-{number}", _make_entry(host))
        if self._last_release is not None:
            for host in (BALANCER_HOSTS[0], AGENT_HOSTS[0]):
                fleet.release_folders[host] = self._last_release
        await asyncio.gather(*(fleet.start_agent(host) for host in AGENT_HOSTS))
        await asyncio.gather(*(fleet.start_balancer(host) for host in BALANCER_HOSTS))
        # Routers send packets only to ready balancers; a start takes seconds on a busy machine.
        for host in BALANCER_HOSTS:
            if not await fleet.wait_until_balancer_ready(host, READY_TIMEOUT_S):
                raise RuntimeError(
                    f"balancer {host} did not become ready within {READY_TIMEOUT_S} s"
                )
        for number in range(CLIENT_COUNT):
            self._clients.append(fleet.open_flow(40_000 + number, BALANCER_HOSTS[number % 3]))
        await fleet.wait_until(lambda: all(client.opened_at for client in self._clients), 3.0)
        for client in self._clients:
            if client.opened_at is None:
                client.send_opening_packets()

    async def _run_drills(self) -> None:
        """Restores the store some times while configurations change in quick succession."""
        drills = self._drills
        if drills is None:
            return
        burst = asyncio.ensure_future(drills.run_burst())
        times = [self._rng.random() * FAULT_COUNT for _ in range(DRILL_COUNT)]
        tasks = [drills.inject_drill(first_s) for first_s in times]
        if self._last_release is None:
            # A balancer of the last release may go on to use the upstream.
            host = AGENT_HOSTS[-1]
            key = f"servers/i-{len(AGENT_HOSTS) - 1}"
            tasks.append(drills.drain(key, _make_entry(host), host, times[0] + 1.0))
        await asyncio.gather(*tasks)
        burst.cancel()

    def _new_balancers(self) -> list[str]:
        return [host for host in BALANCER_HOSTS if host not in self._fleet.release_folders]

    async def _send_requests(self) -> None:
        """Sends requests on all flows, each through a random balancer that runs."""
        while True:
            await asyncio.sleep(0.1)
            up = [host for host in BALANCER_HOSTS if host not in self._signalled_hosts] or list(
                BALANCER_HOSTS
            )
            for number, client in enumerate(self._clients):
                self._fleet.move_client(40_000 + number, self._rng.choice(up))
                if client.opened_at is not None and not client.has_unanswered_request:
                    self._sent_counts[number] += 1
                    client.request(b"%d/%d" % (number, self._sent_counts[number]))

    async def _inject_disturbance(self) -> None:
        """Disturbs the datagrams or the store connection of a random process for a while."""
        await asyncio.sleep(0.5 + self._rng.random() * FAULT_COUNT)
        host = self._rng.choice(BALANCER_HOSTS + AGENT_HOSTS)
        kind = self._rng.choice(
            ("delay", "loss", "cut in", "cut out", "store silent", "store reset")
        )
        duration = 0.3 + self._rng.random() * 1.5
        if kind == "store reset":
            self._proxy.reset_store_connections(host)
        elif kind == "store silent":
            self._proxy.silenced_store_hosts.add(host)
            await asyncio.sleep(duration)
            self._proxy.silenced_store_hosts.discard(host)
        else:
            await self._disturb_datagrams(host, kind, duration)

    async def _disturb_datagrams(self, host: str, kind: str, duration: float) -> None:
        disturbance = {
            "delay": Disturbance(max_delay_ms=200),
            "loss": Disturbance(loss=0.3),
        }.get(kind, Disturbance(loss=1.0))
        pairs = [(host, other) for other in BALANCER_HOSTS + AGENT_HOSTS if kind != "cut in"]
        pairs += [(other, host) for other in BALANCER_HOSTS + AGENT_HOSTS if kind != "cut out"]
        self._proxy.disturbances |= dict.fromkeys(pairs, disturbance)
        await asyncio.sleep(duration)
        for pair in pairs:
            self._proxy.disturbances.pop(pair, None)

    async def _inject_signal(self) -> None:
        await asyncio.sleep(0.5 + self._rng.random() * FAULT_COUNT)
        host = self._rng.choice(BALANCER_HOSTS + AGENT_HOSTS)
        if host in self._signalled_hosts:
            return
        self._signalled_hosts.add(host)
        kind = self._rng.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))
        if kind == signal.SIGSTOP:
            self._fleet.send_signal(host, signal.SIGSTOP)
            await asyncio.sleep(0.2 + self._rng.random() * 2)
            self._fleet.send_signal(host, signal.SIGCONT)
        else:
            await self._fleet.stop(host, kind)
            await asyncio.sleep(self._rng.random())
            await (
                self._fleet.start_balancer if host in BALANCER_HOSTS else self._fleet.start_agent
            )(host)
            await asyncio.sleep(1.0)
        self._signalled_hosts.discard(host)

    def _find_unanswered_flows(self) -> list[int]:
        return [
            number
            for number, client in enumerate(self._clients)
            if len(client.answers) < self._sent_counts[number]
        ]

    def _find_problems(self) -> list[str]:
        problems = []
        for number, client in enumerate(self._clients):
            if client.opened_at is None:
                problems.append(f"flow {number} did not open")
            if client.reset_at is not None:
                problems.append(f"flow {number} was reset although its upstream is running")
            if client.damaged_packets:
                problems.append(f"flow {number} received {client.damaged_packets} damaged packets")
        for number in self._find_unanswered_flows():
            problems.append(f"flow {number} has an unanswered request")
        run_counts = Counter(
            data
            for upstream in self._fleet.upstreams.values()
            for data in upstream.executed_requests
        )
        problems += [
            f"request {data!r} was run {count} times"
            for data, count in run_counts.items()
            if count > 1
        ]
        problems += [
            f"an upstream received {upstream.damaged_packets} damaged packets"
            for upstream in self._fleet.upstreams.values()
            if upstream.damaged_packets
        ]
        if sum(self._sent_counts.values()) < CLIENT_COUNT:
            problems.append("fewer requests were sent than there are clients")
        return problems


def _make_entry(host: str) -> dict[str, object]:
    """Returns the store's entry of the upstream on a host."""
    return {
        "service": SERVICE,
        "address": f"{host}:8080",
        "zone": "bud-a",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
    }


def run_seed(seed: int, has_drills: bool = False, last_release: Path | None = None) -> list[str]:
    """Runs one seed and returns the problems found."""
    return asyncio.run(SoakRun(seed, has_drills, last_release).run())


def main(arguments: list[str]) -> int:
    """Runs seeds one after the other.

    Args:
        arguments: Command-line arguments without the program name.

    Returns:
        Exit status: 1 when a seed failed, otherwise 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--regression", action="store_true", help="run the seeds that failed once")
    parser.add_argument(
        "--drills", action="store_true", help="let the store lose its newest writes"
    )
    parser.add_argument(
        "--last-release", type=Path, help="folder of the last release, to run beside"
    )
    options = parser.parse_args(arguments)
    failed = 0
    seeds = list(range(options.first, options.first + options.seeds))
    if options.regression:
        seeds = list(REGRESSION_SEEDS)
    for seed in seeds:
        problems = run_seed(seed, options.drills, options.last_release)
        failed += bool(problems)
        print(f"seed {seed}: {'; '.join(problems) or 'ok'}", flush=True)
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
