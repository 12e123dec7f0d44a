"""Runs both users' deployments on loopback and prints what their customers observe.

Each balancer and agent is a process of its own; callers, upstreams, fabric, configuration service
and VM list are stand-ins in this process. All communicate through real sockets.
"""

__all__ = ["main"]

import asyncio
import random
import signal
import sys
import tempfile
from functools import partial
from pathlib import Path
from string import Template

import structlog
from absl import flags

from shallotshore.clock import clock
from standins.checker import ENFORCEMENT_LIMIT_MS, check_promises
from standins.demo_table import build_rows, format_table
from standins.demo_verdict import Fault, Verdict, judge
from standins.deployments import KOLTSEGTER, VATULELE
from standins.events import VERBS
from standins.live_world import LiveWorld
from standins.ports import Ports
from standins.scenario import Scenario, ScenarioLine

# An agent takes its upstream for cold at first, so the script's full load starts only at 8 s. The
# drained upstream is active again before a data centre is taken out: with both out of service, the
# remaining upstreams would run at 98% of their slots.
SCRIPT = f"""
0    deployment {KOLTSEGTER} {VATULELE}
0    load $main * feeds=20 rate=3
0    load $bulk * feeds=5 rate=0.5
8    load * * half
14   kill_balancer balancer-2
15   add_balancer $dc1
17   drain $main-1
20   add_upstream $main $dc1
22   undrain $main-1
24   data_centre $dc2 out
31   data_centre $dc2 in
36   load * * rate=0
40   end
"""
STEADY_PERIOD_MS = (10_000, 14_000)  # the script's full load, before the first change
# During this time the removed data centre must receive no packets.
OUT_FROM_MS, OUT_UNTIL_MS = 24_000 + ENFORCEMENT_LIMIT_MS, 31_000
TIMED_PROMISES = ("P4", "P8", "P10")  # what must be in force within ENFORCEMENT_LIMIT_MS
READY_TIMEOUT_MS = 18_000  # for all programs to start and receive a revision
PROGRESS_INTERVAL_S = 5.0
LAG_INTERVAL_MS = 50
_SUMMARIES = {
    Verdict.KEPT: "all promises were kept",
    Verdict.BROKEN: "{count} broken promises",
    Verdict.TOO_SLOW: "this machine is too slow for the demo at this rate: {count} limits missed",
}
_WORK_COUNTERS = ("datagrams.received.forward", "datagrams.received.attempt")


class LoopLag:
    """Measures the delay of this process's event loop; a starved stand-in looks like packet loss.

    Attributes:
        max_lag_ms: Longest delay of a timer in ms.
    """

    __slots__ = ("max_lag_ms",)

    def __init__(self) -> None:
        self.max_lag_ms = 0

    async def measure(self) -> None:
        """Measures until the task is cancelled."""
        while True:
            before = clock()
            await asyncio.sleep(LAG_INTERVAL_MS / 1000)
            self.max_lag_ms = max(self.max_lag_ms, clock() - before - LAG_INTERVAL_MS)


class NotReadyError(Exception):
    """A program was not ready in time."""


class Demo:
    """One user's deployment, its script and the results.

    Attributes:
        user: Name of the user.
        world: The deployment.
        late_packets: Packets, by service, that reached the removed data centre after the time limit
            for its removal.
    """

    __slots__ = ("_scenario", "_started", "late_packets", "user", "world")

    def __init__(self, user: str, seed: int, ports: Ports, logs: Path) -> None:
        """Starts all processes of a user's deployment."""
        self.user = user
        self.world = LiveWorld.on_loopback(user, seed, ports, logs)
        self.late_packets: dict[str, int] = {}
        self._scenario = Scenario.from_text(SCRIPT)
        self._started = 0

    async def run(self) -> None:
        """Waits until the programs are ready and runs the script."""
        await self.world.runtime.wait_for_jobs()
        await self._wait_until_ready()
        self._started = clock()
        for line in self._scenario.lines:
            self.world.runtime.call_at(self._started + line.at, partial(self._run_event, line))
        late_packets_task = asyncio.create_task(self._count_late_packets())
        while clock() < self._started + self._scenario.end:
            await asyncio.sleep(PROGRESS_INTERVAL_S / 5)
            self.world.runtime.record_unexpected_exits()
            if (clock() - self._started) % (PROGRESS_INTERVAL_S * 1000) < PROGRESS_INTERVAL_S * 200:
                self._print_progress(self._describe_progress())
        await late_packets_task

    def print_results(self) -> list[Fault]:
        """Prints the table and returns every breach of a promise."""
        steady = (self._started + STEADY_PERIOD_MS[0], self._started + STEADY_PERIOD_MS[1])
        rows = build_rows(self.world, steady, self.late_packets)
        print(f"\n{self.user}\n{format_table(rows)}")
        faults = [
            Fault(f"{v.promise}: {v.text}", v.promise in TIMED_PROMISES)
            for v in check_promises(self.world)
        ]
        faults += [Fault(text, False) for text in self.world.runtime.faults]
        for row in rows:
            requests = f"requests of {row.customer} to {row.service}"
            if row.lost:
                faults.append(Fault(f"P5: {row.lost} {requests} were never answered", False))
            if row.late:
                faults.append(Fault(f"P5: {row.late} {requests} were answered too late", True))
        faults += [
            Fault(f"P4: {count} packets for {service} reached the removed data centre", True)
            for service, count in self.late_packets.items()
            if count
        ]
        return [Fault(f"{self.user}: {fault.text}", fault.is_late) for fault in faults]

    async def close(self) -> None:
        """Ends all processes of the deployment."""
        await self.world.runtime.close()

    def _run_event(self, line: ScenarioLine) -> None:
        names = self.world.plan.scenario_names()
        arguments = [Template(word).substitute(names) for word in line.arguments]
        self._print_progress(" ".join([line.verb, *arguments]))
        VERBS[line.verb](self.world, arguments)

    def _print_progress(self, text: str) -> None:
        print(f"{(clock() - self._started) / 1000:5.1f} s  {self.user:<11} {text}", flush=True)

    def _describe_progress(self) -> str:
        logs = self.world.caller_logs
        return ", ".join(
            [
                f"{sum(len(log.sessions) for log in logs)} feeds open",
                f"{sum(len(log.broken_feeds) for log in logs)} ended",
                f"{sum(len(log.requests) for log in logs)} requests answered",
            ]
        )

    async def _wait_until_ready(self) -> None:
        """Waits until every program answers and has received a revision.

        Raises:
            NotReadyError: A program is not ready in time.
        """
        limit = clock() + READY_TIMEOUT_MS
        for name in self.world.running_programs():
            while not await self.world.runtime.is_ready(name):
                if clock() > limit:
                    raise NotReadyError(f"{self.user}: {name} was not ready in time")
                await asyncio.sleep(0.1)

    async def _count_late_packets(self) -> None:
        """Counts packets that reach the removed data centre after the time limit of its removal."""
        removed = self.world.plan.data_centres[1]
        servers = [s for s in self.world.plan.servers.values() if s.settings.data_centre == removed]
        await self._sleep_until(OUT_FROM_MS)
        before = {s.settings.name: await self._count_work_packets(s.settings.name) for s in servers}
        await self._sleep_until(OUT_UNTIL_MS - 500)
        for server in servers:
            service, name = server.settings.service, server.settings.name
            received = await self._count_work_packets(name) - before[name]
            self.late_packets[service] = self.late_packets.get(service, 0) + received

    async def _sleep_until(self, at: int) -> None:
        await asyncio.sleep(max(0, self._started + at - clock()) / 1000)

    async def _count_work_packets(self, upstream: str) -> int:
        report = await self.world.runtime.query_status(f"{upstream}.agent")
        counters = report.get("counters", {})
        return sum(counters.get(name, 0) for name in _WORK_COUNTERS)


def main(arguments: list[str]) -> int:
    """Runs the demo.

    Args:
        arguments: `--users=a,b` and `--seed=N`.

    Returns:
        The exit status: 0 when every promise was kept, 1 when one was broken, 2 on wrong usage, 3
        when the machine is too slow to tell.
    """
    flag_values = flags.FlagValues()
    users = [KOLTSEGTER, VATULELE]
    flags.DEFINE_list("users", users, "Users to run.", flag_values=flag_values)
    flags.DEFINE_integer("seed", 1, "Seed of the stand-ins.", flag_values=flag_values)
    try:
        flag_values(["demo", *arguments])
    except flags.Error as error:
        print(error, file=sys.stderr)
        return 2
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    return asyncio.run(_run_demos(flag_values.users, flag_values.seed))


async def _run_demos(users: list[str], seed: int) -> int:
    """Runs the users' deployments concurrently; ends all processes also after an error."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    ports = Ports.allocate_blocks(len(users), random.Random())
    demos: list[Demo] = []
    lag = LoopLag()
    lag_task = loop.create_task(lag.measure())
    with tempfile.TemporaryDirectory(prefix="shallotshore-demo-") as folder:
        try:
            for number, user in enumerate(users):
                logs = Path(folder) / user
                logs.mkdir()
                demos.append(Demo(user, seed + number, ports[number], logs))
            await asyncio.gather(*(demo.run() for demo in demos))
            faults = [fault for demo in demos for fault in demo.print_results()]
        except NotReadyError as error:
            exits = [text for demo in demos for text in demo.world.runtime.faults]
            faults = [Fault(str(error), True), *(Fault(text, False) for text in exits)]
        finally:
            lag_task.cancel()
            for demo in demos:
                await demo.close()
        if faults:
            _print_error_lines(Path(folder))
    print(f"\ngreatest delay of the stand-ins' own loop: {lag.max_lag_ms} ms")
    for fault in faults:
        print(fault.text)
    verdict = judge(faults, lag.max_lag_ms)
    print(_SUMMARIES[verdict].format(count=len(faults)))
    return verdict


def _print_error_lines(folder: Path) -> None:
    """Prints the first error lines of each program's log."""
    for path in sorted(folder.glob("*/*.log")):
        lines = [line for line in path.read_text().splitlines() if '"level": "error"' in line]
        for line in lines[:3]:
            print(f"{path.parent.name}/{path.stem}: {line}")
