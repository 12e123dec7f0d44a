"""Balancers and agents are stopped and started in turn after a route has moved to a new service."""

import asyncio
import random
import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

import standins.packet_processes as processes  # noqa: E402
from review.fleet_3 import CaseFleet, Record, exit_status, is_troubled  # noqa: E402
from shallotshore.hashing import flow_key  # noqa: E402
from standins.packet_client import PacketClient  # noqa: E402

OLD, NEW = "tagging", "tagging-next"
VIP = ("127.0.18.1", 443)  # the route's address; it stands in packets only
FLOWS = 40
EDIT_INTERVAL_S = 0.5
# The platform starts a process this long after its end.
RESTART_DELAY_S = 0.8
ROLL_GAP_S = 1.2  # between the start of a process and the stop of the next one of a roll
ROLL_SHIFT_S = 0.7  # the agents' roll begins later by this time in each further roll
SETTLE_S = 4.0
ROLLS = 3  # within the time for which a flow may live


def make_config(version: int, service: str) -> dict[str, object]:
    """Returns a configuration whose only route leads to a service."""
    route = {
        "name": "r-edit",
        "host": VIP[0],
        "prefix": f"/{VIP[1]}/",
        "type": "unsafe",
        "timeoutMs": 2_500,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": service, "coldStartS": 2.0, "coldPerS": 0.0}],
        "limits": {"idleTimeoutMs": 15_000},
    }


def make_entry(host: str, service: str) -> dict[str, object]:
    """Returns the entry that an upstream writes."""
    return {
        "service": service,
        "address": f"{host}:{processes.UPSTREAM_PORT}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
    }


class Editor:
    """A client that sends edits on one flow, which it keeps open."""

    def __init__(self, fleet: CaseFleet, port: int) -> None:
        self._fleet = fleet
        self.port = port
        self.sent = 0
        self.opened_at = asyncio.get_running_loop().time()
        self.flow: PacketClient = fleet.open_flow(port, "", VIP)
        self.holders_at_reset: list[str] | None = None
        self.flow.on_packet = self._look

    def _look(self) -> None:
        if self.flow.reset_at is not None and self.holders_at_reset is None:
            self.holders_at_reset = self.find_holders()

    def find_holders(self) -> list[str]:
        """Returns the hosts whose upstreams hold the flow."""
        key = flow_key(self.flow.address, VIP, 0)
        return [host for host, one in self._fleet.upstreams.items() if one.holds(key)]

    async def run(self) -> None:
        """Sends an edit, and the next one some time after its answer."""
        while self.flow.reset_at is None:
            if not self.flow.has_unanswered_request:
                self.sent += 1
                self.flow.request(b"edit %d.%d" % (self.port, self.sent))
            await asyncio.sleep(EDIT_INTERVAL_S * (0.5 + random.random()))


async def roll(
    fleet: CaseFleet, hosts: list[str], role: str, record: Record, delay_s: float = 0.0
) -> None:
    """Stops the processes of hosts by SIGTERM and starts them again, one after the other."""
    start = fleet.start_balancer if role == "balancer" else fleet.start_agent

    await asyncio.sleep(delay_s)
    for host in hosts:
        record.write(f"{role} {host} gets SIGTERM")
        await fleet.stop(host, signal.SIGTERM)
        await asyncio.sleep(RESTART_DELAY_S)
        await start(host)
        record.write(f"{role} {host} is started")
        await asyncio.sleep(ROLL_GAP_S)


async def play(record: Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    fleet = CaseFleet(seeds=("1.1", "1.2"))
    balancers = [fleet.address(f"1.{n}") for n in range(1, 3)]
    old_hosts = [fleet.address(f"2.{n}") for n in range(1, 6)]
    new_hosts = [fleet.address(f"2.{n}") for n in range(11, 14)]
    fleet.service_by_host = dict.fromkeys(old_hosts, OLD) | dict.fromkeys(new_hosts, NEW)
    await fleet.start()
    tasks = []
    try:
        fleet.publish("op/config", make_config(3, OLD))
        for host, service in fleet.service_by_host.items():
            fleet.publish(f"servers/i-{host}", make_entry(host, service))
            await fleet.start_agent(host)
        for host in balancers:
            await fleet.start_balancer(host)
        for host in balancers:
            if not await fleet.wait_until_balancer_ready(host):
                raise TimeoutError(f"{host} is not ready")
        tasks.append(asyncio.ensure_future(fleet.route_by_probes(balancers)))
        await asyncio.sleep(SETTLE_S)
        editors = [Editor(fleet, 20_000 + number) for number in range(FLOWS)]
        tasks += [asyncio.ensure_future(editor.run()) for editor in editors]
        await asyncio.sleep(2.0)
        record.write(f"{sum(e.flow.opened_at is not None for e in editors)} flows are open")
        fleet.publish("op/config", make_config(8, NEW))
        record.write(f"the route leads to {NEW}, and {OLD} is no longer named")
        await asyncio.sleep(SETTLE_S)
        for number in range(ROLLS):
            if is_troubled():
                await asyncio.gather(
                    roll(fleet, balancers, "balancer", record),
                    roll(fleet, old_hosts, "agent", record, number * ROLL_SHIFT_S),
                )
            await asyncio.sleep(SETTLE_S)
        return judge(fleet, editors, record)
    finally:
        for task in tasks:
            task.cancel()
        await fleet.close()


def judge(fleet: CaseFleet, editors: list[Editor], record: Record) -> bool:
    """Returns whether a client got a reset of a flow that its upstream held."""
    executed = {
        payload for upstream in fleet.upstreams.values() for payload in upstream.executed_requests
    }
    wrong = 0
    for editor in editors:
        flow = editor.flow
        text = f"port {editor.port}: {editor.sent} edits sent, {len(flow.answers)} answered"
        if flow.reset_at is not None:
            wrong += bool(editor.holders_at_reset)
            lost = flow.has_unanswered_request
            text += f", reset, held by {editor.holders_at_reset}"
            text += ", an edit has no answer" if lost else ""
        record.write(text)
    record.write(f"{len(executed)} edits run")
    record.write(f"{wrong} of {len(editors)} flows were reset while their upstream held them")
    ends = [line for line in fleet.log_lines if line["event"] == "flow_reset"]
    for line in ends[:5]:
        record.write(f"log: {line}")
    return wrong > 0


if __name__ == "__main__":
    sys.exit(exit_status(Path(__file__).resolve().parent, play))
