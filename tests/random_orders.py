"""Random orders of changes, restarts, pauses and faults of the store, under flows that go on."""

import random
from collections.abc import Callable

from shallotshore.hashing import flow_key
from shallotshore.messages import Address
from shallotshore.packets.feed_content import UpstreamChange
from shallotshore.packets.view import Feed, Upstream
from standins.packet_client import PacketClient
from standins.packet_store import ANSWER_DELAY_MS
from standins.packet_world import PacketWorld

PLACES = ("bud-a", "bud-b")
BALANCERS = tuple(f"10.{number % 2 + 1}.9.{number // 2 + 1}" for number in range(5))
AGENTS = tuple(f"10.{number % 2 + 1}.0.{number // 2 + 1}" for number in range(6))
SERVICES = ("tagging", "billing", "reports")
VIPS: tuple[Address, ...] = tuple((f"198.18.0.{number}", 443) for number in range(1, 5))
FLOW_INTERVAL_MS = 30
REQUEST_INTERVAL_MS = 110
FLOW_LIFE_MS = 6_000
EVENT_INTERVAL_MS = (60, 700)
SLOW_ANSWER_MS = (50, 600)


class RandomOrders:
    """One run: a fleet, its clients and the events that a seed draws.

    Attributes:
        world: The processes, upstreams and clients.
        wrong_resets: What is known of each open flow that was reset while an upstream held it and
            the newest configuration had its route all the while.
        opened: Number of flows that opened.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.world = PacketWorld(seed, PLACES)
        self.wrong_resets: list[str] = []
        self.opened = 0
        self._events: list[str] = []
        self._port = 10_000
        self._dropped_at: dict[Address, int] = {}
        self._routes = {VIPS[0]: SERVICES[0], VIPS[1]: SERVICES[1]}
        self._away: set[str] = set()
        self._ends_at = 0
        self._is_restored = False
        self.world.configure(self._routes)
        for number, host in enumerate(AGENTS):
            self.world.add_agent(host, SERVICES[number % 3], PLACES[number % 2])
            self.world.publish(host)
        for host in BALANCERS:
            self._start_balancer(host)
        self.world.start_probes()
        self.world.run(3_000)

    def play(self, duration: int) -> None:
        """Plays events for a duration in ms, and lets the flows go on for some seconds."""
        self._ends_at = self.world.now + duration
        self._open_flow()
        self.world.run(500)
        self._play_event()
        self.world.run(duration + 3_000)

    def _start_balancer(self, host: str) -> None:
        seeds = self._rng.choice((BALANCERS[:3], BALANCERS[:1], ("10.8.0.1",)))
        place = PLACES[BALANCERS.index(host) % 2]
        self.world.add_balancer(host, place, seeds)

    # Clients.

    def _open_flow(self) -> None:
        if self.world.now >= self._ends_at:
            return
        self.world.call_later(FLOW_INTERVAL_MS, self._open_flow)
        vip = self._rng.choice(list(self._routes) if self._rng.random() < 0.9 else VIPS)
        self._port += 1
        started_at = self.world.now
        client = self.world.open_flow(self._port, vip)
        if vip in self._routes:
            client.on_packet = lambda: self._watch(client, started_at)
        self.world.call_later(FLOW_LIFE_MS, lambda: self._end(client))
        self._request(client)

    def _request(self, client: PacketClient) -> None:
        if client.reset_at is None and client.address in self.world.clients:
            client.request(b"x")
            delay = round(REQUEST_INTERVAL_MS * (0.5 + self._rng.random()))
            self.world.call_later(delay, lambda: self._request(client))

    def _watch(self, client: PacketClient, started_at: int) -> None:
        if client.reset_at is None:
            return
        client.on_packet = lambda: None
        key = flow_key(client.address, client.vip, 0)
        holders = [host for host, one in self.world.upstreams.items() if one.holds(key)]
        was_dropped = self._dropped_at.get(client.vip, 0) >= started_at
        if client.opened_at is not None and holders and not was_dropped:
            self.wrong_resets.append(
                f"{client.address[1]}-{client.vip[0]}: first packet {started_at}, opened "
                f"{client.opened_at}, reset {client.reset_at}, at {holders}; {self._events[-12:]}"
            )

    def _end(self, client: PacketClient) -> None:
        self.opened += client.opened_at is not None
        self.world.clients.pop(client.address, None)
        if client.opened_at is not None and client.reset_at is None:
            client.end_flow()

    # Events.

    def _play_event(self) -> None:
        if self.world.now >= self._ends_at:
            return
        events: list[Callable[[], str | None]] = [
            *(self._change_routes, self._change_routes, self._change_twice, self._change_twice),
            *(self._restart_balancer, self._stop_balancer, self._restart_agent, self._pause),
            *(self._slow_store, self._refuse, self._cut_off, self._add_foreign_entry),
            *(self._restore_store, self._lose_history),
        ]
        note = self._rng.choice(events)()
        if note is not None:
            self._events.append(f"{self.world.now} {note}")
        self.world.call_later(self._rng.randint(*EVENT_INTERVAL_MS), self._play_event)

    def _draw_routes(self) -> None:
        vip = self._rng.choice(VIPS)
        if vip in self._routes and len(self._routes) > 1 and self._rng.random() < 0.5:
            del self._routes[vip]
            self._dropped_at[vip] = self.world.now
        else:
            self._routes[vip] = self._rng.choice(SERVICES[:2])

    def _change_routes(self) -> str:
        self._draw_routes()
        self.world.configure(self._routes)
        return f"routes {[vip[0] for vip in self._routes]}"

    def _change_twice(self) -> str:
        first = self._change_routes()
        delay = self._rng.choice((1, 20, 200))
        self.world.call_later(delay, self._change_routes)
        return f"{first}, and again after {delay} ms"

    def _choose(self, hosts: tuple[str, ...], most_away: int = 1) -> str | None:
        if len(self._away & set(hosts)) >= most_away:
            return None
        host = self._rng.choice(hosts)
        return None if host in self._away else host

    def _restart_balancer(self) -> str | None:
        """Kills a balancer; packets lie in the socket of its next process while that loads."""
        host = self._choose(BALANCERS)
        if host is None:
            return None
        self._away.add(host)
        self.world.balancers.pop(host)
        self.world.call_later(self._rng.randint(300, 900), lambda: self._load(host))
        return f"kill {host}"

    def _stop_balancer(self) -> str | None:
        host = self._choose(BALANCERS)
        if host is None:
            return None
        self._away.add(host)
        self.world.balancers[host].stop(self.world.now)
        self.world.call_later(1_700, lambda: self.world.balancers.pop(host))
        self.world.call_later(self._rng.randint(2_000, 2_500), lambda: self._load(host))
        return f"stop {host}"

    def _load(self, host: str) -> None:
        self._start_balancer(host)
        self.world.paused_hosts.add(host)
        self.world.call_later(self._rng.randint(1, 600), lambda: self._resume(host))

    def _resume(self, host: str) -> None:
        self.world.paused_hosts.discard(host)
        self._away.discard(host)

    def _restart_agent(self) -> str | None:
        host = self._choose(AGENTS)
        if host is None:
            return None
        self._away.add(host)
        self.world.agents[host].stop(self.world.now)
        self.world.end_agent(host)
        self.world.call_later(self._rng.randint(400, 1_200), lambda: self._start_agent(host))
        return f"restart {host}"

    def _start_agent(self, host: str) -> None:
        self._away.discard(host)
        service = self.world.agent_settings[host].service
        place = self.world.data_centre_by_host[host]
        self.world.add_agent(host, service, place, is_first_start=False)

    def _pause(self) -> str | None:
        host = self._choose(BALANCERS + AGENTS, most_away=2)
        if host is None:
            return None
        self._away.add(host)
        self.world.paused_hosts.add(host)
        self.world.call_later(self._rng.randint(100, 2_500), lambda: self._resume(host))
        return f"pause {host}"

    def _slow_store(self) -> str:
        delay = self._rng.randint(*SLOW_ANSWER_MS)
        self.world.store.answer_delay_ms = delay

        def restore() -> None:
            self.world.store.answer_delay_ms = ANSWER_DELAY_MS

        self.world.call_later(self._rng.randint(500, 2_500), restore)
        return f"store takes {delay} ms"

    def _refuse(self) -> str:
        host = self._rng.choice(BALANCERS)
        self.world.hosts_refused_by_store.add(host)
        self.world.call_later(
            self._rng.randint(500, 4_000), lambda: self.world.hosts_refused_by_store.discard(host)
        )
        return f"store refuses {host}"

    def _cut_off(self) -> str:
        host = self._rng.choice(BALANCERS)
        self.world.hosts_without_store.add(host)
        self.world.call_later(
            self._rng.randint(500, 4_000), lambda: self.world.hosts_without_store.discard(host)
        )
        return f"store cut from {host}"

    def _add_foreign_entry(self) -> str:
        entry = Upstream("x", "object-cache", "10.1.7.7", 6379, PLACES[0], 1, False, 0, 1)
        self.world.store.append_change(
            Feed.UPSTREAMS, lambda revision: UpstreamChange("x", revision, entry)
        )
        return "entry of another writer"

    def _restore_store(self) -> str | None:
        if self._is_restored:
            return None
        self._is_restored = True
        count = self._rng.randint(1, 3)
        lost = self.world.store.restore(count)
        delay = self._rng.randint(100, 1_800)
        self.world.call_later(delay, lambda: self.world.store.write_again(lost))
        return f"store loses {count} changes, for {delay} ms"

    def _lose_history(self) -> str:
        self.world.store.remove_history()
        return "store forgets its history"
