"""Runs balancers, agents, upstreams, clients and the store on a virtual clock, without sockets."""

__all__ = ["PacketWorld"]

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from adapter.packets import decode_packet, encode_reset

from shallotshore.codes import Code
from shallotshore.messages import Address
from shallotshore.packets import node_messages
from shallotshore.packets.agent import PacketAgent
from shallotshore.packets.agent_state import AgentSettings
from shallotshore.packets.balancer import PacketBalancer
from shallotshore.packets.balancer_state import BalancerSettings
from shallotshore.packets.feed_content import (
    ConfigurationChange,
    DataCentreChange,
    UpstreamChange,
)
from shallotshore.packets.feeds import STORE_ADDRESS
from shallotshore.packets.hosts import host_number
from shallotshore.packets.packet import Packet, PacketToClient, PacketToUpstream, ResetPacket
from shallotshore.packets.record_decoding import decode_state
from shallotshore.packets.store_messages import (
    CheckFeed,
    FetchedFeed,
    FetchFailed,
    FetchFeed,
    ReadFeed,
    StoreFailed,
    WatchFeed,
)
from shallotshore.packets.view import (
    Configuration,
    Feed,
    Route,
    ServiceLimits,
    Upstream,
)
from shallotshore.packets.vm_checks import CHECK_TIMEOUT_MS, CheckVm, VmChecked
from shallotshore.packets.vm_state import VmState
from shallotshore.scheduling.terms import RequestTerms
from shallotshore.unknown_flows import NEVER
from standins.packet_client import PacketClient
from standins.packet_store import StoreStandin
from standins.packet_upstream import PacketUpstream

NODE_PORT = 7720
START_MS = 100_000
TICK_MS = 20
NETWORK_DELAY_MS = 3
STORE_SILENCE_MS = 2_100  # after which keep-alive probes end a connection to the store
VIP = ("198.18.0.1", 443)
PROBE_INTERVAL_MS = 500  # of the routers, which use a balancer until MAX_PROBE_MISSES
MAX_PROBE_MISSES = 2
ERA_FIELDS = ("era", "operator_era", "upstreams_era")


class PacketWorld:
    """A simulated deployment, in one data centre by default.

    Attributes:
        now: Virtual time in ms.
        store: Stand-in of the platform's store.
        balancers, agents: Cores of the running processes by host.
        upstreams: Stand-ins of upstreams by host.
        clients: Stand-ins of clients by address.
        disconnected_hosts: Hosts that neither send nor receive.
        cut_links: Pairs of hosts of which the first one's messages do not reach the second one.
        hosts_without_store: Hosts that are cut off from the store.
        hosts_refused_by_store: Hosts that the store turns away.
        paused_hosts: Hosts whose processes do not run; what arrives there is queued.
        hosts_of_last_release: Hosts whose processes neither send nor read eras of the store.
        agent_settings: Settings of agents by host.
        data_centre_by_host: Data centres of balancers and agents.
        data_centres: Names of all data centres.
        version: Version of the newest configuration.
        sent_by_balancers: Number of messages of balancers, by the name of their type.
    """

    def __init__(self, seed: int = 1, data_centres: tuple[str, ...] = ("bud-a",)) -> None:
        self.now = START_MS
        self.store = StoreStandin()
        self.balancers: dict[str, PacketBalancer] = {}
        self.agents: dict[str, PacketAgent] = {}
        self.upstreams: dict[str, PacketUpstream] = {}
        self.clients: dict[Address, PacketClient] = {}
        self.disconnected_hosts: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.hosts_without_store: set[str] = set()
        self.hosts_refused_by_store: set[str] = set()
        self.paused_hosts: set[str] = set()
        self._rotation: list[str] | None = None
        self._probe_misses: dict[str, int] = {}
        self.hosts_of_last_release: set[str] = set()
        self.agent_settings: dict[str, AgentSettings] = {}
        self.data_centre_by_host: dict[str, str] = {}
        self.data_centres = data_centres
        self.version = 0
        self.sent_by_balancers: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._ticked_at: dict[str, int] = {}  # since the start of a host's process
        self._events: list[tuple[int, int, Callable[[], object]]] = []
        self._event_numbers = itertools.count()

    # Set-up of the deployment.

    def configure(
        self,
        services: dict[Address, str] | None = None,
        cold_per_s: float = 0.0,
        version: int | None = None,
        terms: dict[Address, RequestTerms] | None = None,
    ) -> None:
        """Publishes a configuration with one service for each virtual address.

        Args:
            services: Names of services by virtual address.
            cold_per_s: Flows a second that a cold upstream of these services accepts; 0: no limit.
            version: Version of the configuration; by default 3 above the one before.
            terms: Priority, target and limit by virtual address; none by default.
        """
        self.version = version if version is not None else self.version + 3
        routes = tuple(
            self._make_route(vip, service, (terms or {}).get(vip, RequestTerms()))
            for vip, service in (services or {VIP: "spend"}).items()
        )
        names = sorted({share[0] for route in routes for share in route.shares})
        limits = tuple(ServiceLimits(name, cold_per_s) for name in names)
        configuration = Configuration(self.version, routes, limits)
        self.store.append_change(
            Feed.OPERATOR,
            lambda revision: ConfigurationChange("op/config", revision, configuration),
        )

    @staticmethod
    def _make_route(vip: Address, service: str, terms: RequestTerms) -> Route:
        shares = ((service, 1),)
        numbers = (terms.priority, terms.target_ms, terms.limit_ms)
        return Route(f"r-{vip[1]}", vip[0], vip[1], shares, *numbers)

    def add_balancer(self, host: str, place: str = "bud-a", seeds: tuple[str, ...] = ()) -> None:
        """Starts the balancer of a host, or restarts it without its state."""
        self.data_centre_by_host[host] = place
        seed_numbers = tuple(host_number(seed) for seed in seeds)
        settings = BalancerSettings(host_number(host), place, NODE_PORT, seed_numbers)
        rng = random.Random(self._rng.random())
        self.balancers[host] = PacketBalancer(settings, rng, decode_packet)
        self._ticked_at.pop(host, None)

    def add_agent(
        self,
        host: str,
        service: str = "spend",
        place: str = "bud-a",
        is_first_start: bool = True,
        slots: int = 3,
    ) -> None:
        """Starts or restarts the agent of a host, and its upstream unless that already runs."""
        self.data_centre_by_host[host] = place
        settings = AgentSettings(
            host_number(host),
            place,
            service,
            (host, 8080),
            NODE_PORT,
            is_first_start=is_first_start,
            cold_over=1.5,
            cold_slack=5,
        )
        self.agent_settings[host] = settings
        rng = random.Random(self._rng.random())
        self.agents[host] = PacketAgent(settings, rng, decode_packet)
        if host not in self.upstreams:
            send = self._make_upstream_sender(host)
            self.upstreams[host] = PacketUpstream(send, self.call_later, slots, host)

    def end_agent(self, host: str) -> None:
        """Lets a stopping agent handle what has arrived, and ends its process."""
        self._tick_node(host)
        del self.agents[host]

    def publish(self, host: str, is_leaving: bool = False, cold_ms: int = 0) -> None:
        """Publishes the record of the upstream on a host."""
        settings, place = self.agent_settings[host], self.data_centre_by_host[host]
        slots = self.upstreams[host].slots

        def make_change(revision: int) -> UpstreamChange:
            record = Upstream(
                f"i-{host}",
                settings.service,
                host,
                8080,
                place,
                slots,
                is_leaving,
                cold_ms,
                revision,
            )
            return UpstreamChange(record.id, revision, record)

        self.store.append_change(Feed.UPSTREAMS, make_change)

    def remove_upstream_record(self, host: str) -> None:
        """Removes the record of the upstream on a host."""
        self.store.append_change(
            Feed.UPSTREAMS, lambda revision: UpstreamChange(f"i-{host}", revision, None)
        )

    def set_data_centre(self, name: str, is_out: bool) -> None:
        """Publishes that a data centre is taken out of service or put back."""
        self.store.append_change(
            Feed.OPERATOR, lambda revision: DataCentreChange(name, revision, not is_out)
        )

    def open_flow(self, port: int, vip: Address = VIP, first_sequence: int = 5_000) -> PacketClient:
        """Starts a client that opens a flow from a port to a virtual address."""
        address = ("100.64.0.7", port)
        send = self._make_client_sender(address)
        client = PacketClient(address, vip, send, self.call_later, first_sequence)
        self.clients[address] = client
        client.send_opening_packets()
        return client

    # Simulation.

    def call_later(self, delay: int, action: Callable[[], object]) -> None:
        """Schedules an action after a delay in ms."""
        heapq.heappush(self._events, (self.now + delay, next(self._event_numbers), action))

    def start_probes(self) -> None:
        """Lets the routers probe the balancers, and use only those that have answered lately.

        Until this is called they use every balancer that runs.
        """
        for host in self._probe_misses.keys() | self.balancers.keys():
            core = self.balancers.get(host)
            is_reached = host not in self.paused_hosts | self.disconnected_hosts
            is_ready = core is not None and is_reached and core.is_ready
            misses = self._probe_misses.get(host, MAX_PROBE_MISSES) + 1
            self._probe_misses[host] = 0 if is_ready else misses
        self._rotation = [
            h for h, misses in self._probe_misses.items() if misses < MAX_PROBE_MISSES
        ]
        self.call_later(PROBE_INTERVAL_MS, self.start_probes)

    def run(self, duration: int) -> None:
        """Advances the virtual clock by a duration in ms and ticks all nodes on the way."""
        end = self.now + duration
        for tick_at in range(self.now - self.now % TICK_MS + TICK_MS, end + 1, TICK_MS):
            heapq.heappush(self._events, (tick_at, next(self._event_numbers), self._tick_nodes))
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _tick_nodes(self) -> None:
        self.store.answer_expired_watches(self.now)
        for host in [*self.balancers, *self.agents]:
            self._tick_node(host)

    def _tick_node(self, host: str) -> None:
        core = self.balancers.get(host) or self.agents.get(host)
        if core is None or host in self.paused_hosts:
            return
        core.tick(self.now)
        self._ticked_at[host] = self.now
        for destination, message in core.outbox.drain():
            self._dispatch_message(host, core, destination, message)

    def _dispatch_message(self, host: str, core: Any, destination: Address, message: Any) -> None:
        if isinstance(message, ReadFeed | WatchFeed):
            reply = self._make_store_reply(host, core)
            if host in self.hosts_without_store:
                lost = StoreFailed(message.feed, Code.SERVICE_UNREACHABLE, "cut off")
                lost.is_check = isinstance(message, CheckFeed)
                reply(STORE_SILENCE_MS, lost)
            elif host in self.hosts_refused_by_store:
                refused = StoreFailed(message.feed, Code.SERVICE_UNREACHABLE, "status 503")
                self.store.fail_request(message, refused, reply)
            else:
                self.store.handle_request(message, self.now, reply)
        elif isinstance(message, FetchFeed):
            self._answer_fetch(host, core, destination, message)
        elif isinstance(message, CheckVm):
            self._answer_vm_check(host, core, destination, message)
        elif isinstance(message, PacketToUpstream):
            upstream = self.upstreams[host]
            self.call_later(0, lambda: upstream.receive_packet(message.frame, self.now))
        elif isinstance(message, PacketToClient):
            self._send_to_client(destination, message.frame)
        elif isinstance(message, ResetPacket):
            self._send_to_client(destination, encode_reset(message))
        else:
            self._send_to_node(host, destination[0], node_messages.encode(message))

    def _make_store_reply(self, host: str, core: Any) -> Callable[[int, object], None]:
        def reply(delay: int, answer: object) -> None:
            if host in self.hosts_of_last_release:
                _remove_eras(answer)
            self.call_later(delay, lambda: self._deliver_to_node(host, core, STORE_ADDRESS, answer))

        return reply

    def _answer_fetch(self, host: str, core: Any, source: Address, request: FetchFeed) -> None:
        peer = self.balancers.get(source[0]) or self.agents.get(source[0])
        answer: FetchedFeed | FetchFailed = FetchFailed(request.feed, "connection refused")
        if peer is not None and not {host, source[0]} & self.disconnected_hosts:
            state = peer.feeds.copy(request.feed).state(self.now)
            if {host, source[0]} & self.hosts_of_last_release:
                _remove_eras(state)
                state.held, state.held_ms = [], 0
            answer = FetchedFeed(*decode_state(msgspec.msgpack.encode(state)))
        self.call_later(
            2 * NETWORK_DELAY_MS, lambda: self._deliver_to_node(host, core, source, answer)
        )

    def _answer_vm_check(
        self, host: str, core: Any, destination: Address, request: CheckVm
    ) -> None:
        is_alive = (
            destination[0] in self.upstreams
            and not {host, destination[0]} & self.disconnected_hosts
        )
        delay = 2 * NETWORK_DELAY_MS if is_alive else CHECK_TIMEOUT_MS
        state = VmState.SILENT
        if is_alive:
            state = VmState.ANSWERS if destination[0] in self.agents else VmState.REFUSES
        answer = VmChecked(request.host, state)
        self.call_later(delay, lambda: self._deliver_to_node(host, core, destination, answer))

    def _send_to_node(self, source: str, destination: str, frame: bytes) -> None:
        message = node_messages.decode(frame).unwrap()
        if {source, destination} & self.hosts_of_last_release:
            _remove_eras(message)
        if source in self.balancers:
            self.sent_by_balancers[type(message).__name__] += 1
        is_cut = (source, destination) in self.cut_links
        if is_cut or {source, destination} & self.disconnected_hosts:
            return
        core = self.balancers.get(destination) or self.agents.get(destination)
        self.call_later(
            NETWORK_DELAY_MS,
            lambda: self._deliver_to_node(destination, core, (source, NODE_PORT), message),
        )

    def _deliver_to_node(self, host: str, core: Any, source: Address, message: object) -> None:
        """Delivers a message; it is lost when the process that it was sent to has ended."""
        running = self.balancers.get(host) or self.agents.get(host)
        if running is not None and running is core:
            if isinstance(message, Packet):
                message.arrived_after = self._ticked_at.get(host, NEVER)
            running.receive(source, message)
            self._tick_node(host)

    def _send_to_client(self, address: Address, frame: bytes) -> None:
        client = self.clients.get(address)
        if client is not None:
            self.call_later(NETWORK_DELAY_MS, lambda: client.receive_packet(frame, self.now))

    def _make_client_sender(self, address: Address) -> Callable[[bytes], None]:
        def send(frame: bytes) -> None:
            ready = self._rotation
            if ready is None:
                ready = [host for host in self.balancers if host not in self.disconnected_hosts]
            if not ready:
                return
            packet = decode_packet(frame).unwrap()
            host = sorted(ready)[packet.key % len(ready)]
            core = self.balancers.get(host)
            if host in self.disconnected_hosts:
                return
            self.call_later(
                NETWORK_DELAY_MS, lambda: self._deliver_to_node(host, core, address, packet)
            )

        return send

    def _make_upstream_sender(self, host: str) -> Callable[[bytes], None]:
        def send(frame: bytes) -> None:
            agent = self.agents.get(host)
            packet = decode_packet(frame, is_from_upstream=True).unwrap()
            self.call_later(0, lambda: self._deliver_to_node(host, agent, (host, 8080), packet))

        return send


def _remove_eras(message: Any) -> None:
    """Sets the eras in a message to what a process of the last release sends and reads."""
    for field in ERA_FIELDS:
        if hasattr(message, field):
            setattr(message, field, 0)
