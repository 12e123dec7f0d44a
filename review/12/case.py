"""A route comes back in a series of changes while balancers are stopped and started in turn."""

import asyncio
import random
import signal
import sys
from datetime import UTC, datetime
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

import standins.packet_processes as processes  # noqa: E402
from review.fleet_3 import (  # noqa: E402
    CaseFleet,
    ListedServer,
    Record,
    exit_status,
    is_troubled,
    sleep_until,
)
from shallotshore.hashing import flow_key  # noqa: E402
from standins.packet_client import PacketClient  # noqa: E402

SERVICE = processes.SERVICE
# Addresses of routes; they stand in packets only. The second route is dropped and comes back.
FEED, EDIT = ("127.0.18.1", 443), ("127.0.18.2", 443)
EDITORS = 60
TRY_INTERVAL_S, EDIT_INTERVAL_S = 0.2, 0.15
ROUNDS = 10
DROPPED_S = 3.5
STORM_GAP_S = 0.2  # between two configurations
# A balancer gets SIGTERM this long before a probe, and the series of changes begins after it. The
# second probe that it misses takes it out of rotation.
STOP_BEFORE_PROBE_S = 0.03
SERIES_AFTER_STOP_S = 0.11
RESTART_DELAY_S = 0.6
KEPT_S = 5.0


class Operator:
    """Writes configurations, with or without the second route."""

    def __init__(self, fleet: CaseFleet, record: Record) -> None:
        self._fleet, self._record = fleet, record
        self._version = 1

    def write(self, has_edit: bool, feed_timeout_ms: int = 2_000) -> None:
        """Writes a new version."""
        self._version += 3
        vips = {"feed": FEED} | ({"edit": EDIT} if has_edit else {})
        routes = [
            {
                "name": f"r-{name}",
                "host": vip[0],
                "prefix": f"/{vip[1]}/",
                "type": "unsafe" if name == "edit" else "safe",
                "timeoutMs": 2_500 if name == "edit" else feed_timeout_ms,
                "targetLatencyMs": 300,
                "priority": 1,
                "service": SERVICE,
            }
            for name, vip in vips.items()
        ]
        config = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": SERVICE, "coldStartS": 2.0, "coldPerS": 0.0}],
            "limits": {"idleTimeoutMs": 15_000},
        }
        self._fleet.publish("op/config", config)
        self._record.write(f"version {self._version}: routes {', '.join(vips)}")


class Editors:
    """Clients that send edits on long flows, and open a new flow when they have none."""

    def __init__(self, fleet: CaseFleet, record: Record) -> None:
        self._fleet, self._record = fleet, record
        self._rng = random.Random(14)
        self._next_port = 20_000
        self.allowed_since = 0.0  # when the newest version with the route was acknowledged
        self.is_allowed = True
        self.wrongly_reset: set[int] = set()
        self.opened = self.sent = self.answered = self.wrong_resets = self.lost_edits = 0

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _find_holders(self, flow: PacketClient) -> list[str]:
        key = flow_key(flow.address, EDIT, 0)
        return [host for host, one in self._fleet.upstreams.items() if one.holds(key)]

    def find_resets_in_touch(self) -> int:
        """Returns the number of wrong resets by balancers that had run for long, from their logs.

        A balancer leaves out log lines beyond a rate, so that there may be more.
        """
        now, wall = self._now(), datetime.now(UTC)
        count = 0
        for line in self._fleet.log_lines:
            if line["event"] != "flow_reset":
                continue
            host = line["process"].removeprefix("balancer-")
            port = int(line["flow"].partition("-")[0].rpartition(":")[2])
            logged_at = now - (wall - datetime.fromisoformat(line["timestamp"])).total_seconds()
            count += port in self.wrongly_reset and self._fleet.is_calm(host, logged_at)
        return count

    async def run(self) -> None:
        """Runs one client."""
        while True:
            port = self._next_port
            self._next_port += 1
            started_at = self._now()
            flow = self._fleet.open_flow(port, "", EDIT)
            flow.on_packet = lambda flow=flow, at=started_at: self._look(flow, at)
            await self._fleet.wait_until(
                lambda flow=flow: flow.opened_at is not None or flow.reset_at is not None, 1.4
            )
            if flow.opened_at is None or flow.reset_at is not None:
                flow.reset_at = flow.reset_at or 1
                await asyncio.sleep(TRY_INTERVAL_S * (0.5 + self._rng.random()))
                continue
            self.opened += 1
            answered = 0
            while flow.reset_at is None:
                if not flow.has_unanswered_request:
                    self.answered += len(flow.answers) - answered
                    answered = len(flow.answers)
                    self.sent += 1
                    flow.request(b"edit %d.%d" % (port, self.sent))
                await asyncio.sleep(EDIT_INTERVAL_S * (0.5 + self._rng.random()))

    def _look(self, flow: PacketClient, started_at: float) -> None:
        """Notes a reset of a flow that was opened under the version in force."""
        if flow.reset_at is None or flow.opened_at is None or getattr(flow, "is_noted", False):
            return
        flow.is_noted = True
        holders = self._find_holders(flow)
        if self.is_allowed and started_at >= self.allowed_since and holders:
            self.wrong_resets += 1
            self.wrongly_reset.add(flow.address[1])
            self.lost_edits += flow.has_unanswered_request
            self._record.write(
                f"port {flow.address[1]}: reset {self._now() - started_at:.3f} s after the first "
                f"packet, held by {holders}, unanswered edit: {flow.has_unanswered_request}"
            )


async def restart(fleet: CaseFleet, host: str, record: Record) -> None:
    """Stops a balancer by SIGTERM and starts it again."""
    record.write(f"balancer {host} gets SIGTERM")
    await fleet.stop(host, signal.SIGTERM)
    await asyncio.sleep(RESTART_DELAY_S)
    await fleet.start_balancer(host)
    record.write(f"balancer {host} is started")


async def play(record: Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    fleet = CaseFleet(seeds=("1.1", "1.2", "1.3"))
    balancers = [fleet.address(f"1.{n}") for n in range(1, 5)]
    hosts = [fleet.address(f"2.{n}") for n in range(1, 5)]
    await fleet.start()
    tasks = []
    try:
        operator = Operator(fleet, record)
        operator.write(has_edit=True)
        for number, host in enumerate(hosts):
            await fleet.start_agent(host)
            server = ListedServer(fleet, host, f"i-{number}", record)
            tasks.append(asyncio.ensure_future(server.beat(0.0)))
        for host in balancers:
            await fleet.start_balancer(host)
        for host in balancers:
            if not await fleet.wait_until_balancer_ready(host):
                raise TimeoutError(f"{host} is not ready")
        tasks.append(asyncio.ensure_future(fleet.route_by_probes(balancers)))
        await asyncio.sleep(4.0)
        editors = Editors(fleet, record)
        tasks += [asyncio.ensure_future(editors.run()) for _ in range(EDITORS)]
        await asyncio.sleep(2.0)
        for number in range(ROUNDS):
            start = asyncio.get_running_loop().time()
            editors.is_allowed = False
            operator.write(has_edit=False)
            await sleep_until(start + DROPPED_S)
            await sleep_until(fleet.next_probe_at - STOP_BEFORE_PROBE_S)
            if is_troubled():
                host = balancers[number % len(balancers)]
                tasks.append(asyncio.ensure_future(restart(fleet, host, record)))
            await asyncio.sleep(SERIES_AFTER_STOP_S)
            operator.write(has_edit=False, feed_timeout_ms=2_000 + 10 * number)
            await asyncio.sleep(STORM_GAP_S)
            operator.write(has_edit=True, feed_timeout_ms=2_000 + 10 * number)
            editors.is_allowed, editors.allowed_since = True, asyncio.get_running_loop().time()
            await asyncio.sleep(KEPT_S)
        record.write(
            f"{editors.opened} flows opened; {editors.sent} edits sent, "
            f"{editors.answered} answered"
        )
        if not editors.answered:
            raise RuntimeError("no edit was answered")
        record.write(
            f"{editors.wrong_resets} flows of the version in force were reset while their upstream "
            f"held them; {editors.lost_edits} with an unanswered edit"
        )
        in_touch = editors.find_resets_in_touch()
        record.write(f"of these, {in_touch} by a balancer in touch")
        for line in [
            one for one in fleet.log_lines if one["event"] == "flow_reset" and one["is_withdrawn"]
        ][:3]:
            record.write(f"log: {line}")
        return editors.wrong_resets > 0
    finally:
        for task in tasks:
            task.cancel()
        await fleet.close()


if __name__ == "__main__":
    sys.exit(exit_status(Path(__file__).resolve().parent, play))
