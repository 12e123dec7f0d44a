"""Agents with scripted upstreams, on a virtual clock and a network with faults."""

__all__ = [
    "ACME",
    "BALANCER",
    "CALLER",
    "GROVE",
    "OTHER_VIP",
    "SERVICE",
    "VIP",
    "WITNESS_WAIT_MS",
    "FakeUpstream",
    "Fleet",
    "attempt",
    "packet",
    "records",
]

import random
from collections.abc import Iterable
from dataclasses import replace

import xxhash

from shallotshore.agent import AgentConfig, AgentCore
from shallotshore.agent_messages import Attempt, Forward
from shallotshore.catalog import Catalog
from shallotshore.codes import Code
from shallotshore.hashing import flow_key, name_id, request_key
from shallotshore.membership import Membership
from shallotshore.messages import Address, Entry, Message, PacketKind
from shallotshore.records import (
    Binding,
    Customer,
    DataCentre,
    Record,
    Service,
    Upstream,
    encode_record,
    key_of_record,
)
from shallotshore.upstream_messages import (
    UpstreamAnswer,
    UpstreamData,
    UpstreamHealth,
    UpstreamOpen,
    UpstreamProbe,
    UpstreamRequest,
)

VIP: Address = ("10.9.0.1", 443)
OTHER_VIP: Address = ("10.9.0.2", 443)
BALANCER: Address = ("10.1.0.1", 4000)
CALLER: Address = ("10.8.0.1", 5000)
SERVICE = name_id("service", "spotdesk")
ACME = name_id("customer", "acme")
GROVE = name_id("customer", "grove")
TICK_MS = 5
WITNESS_WAIT_MS = 2_100  # after the start, until witnesses grant claims of new requests
# After the start, until agents know all former tables of upstreams whose claims may be in force.
FORMER_WITNESSES_WAIT_MS = 14_100


def records(count: int, **fields: object) -> list[Record]:
    """Returns the records of a service with `count` upstreams in three data centres."""
    upstreams = [
        Upstream(f"desk-{i}", "spotdesk", f"dc-{i % 3}", (f"10.2.0.{i}", 4000), **fields)
        for i in range(count)
    ]
    centres = [DataCentre(f"dc-{i}", "suva") for i in range(3)]
    customers = [
        Customer("acme", 1, (Binding("spotdesk", VIP),)),
        Customer("grove", 3, (Binding("spotdesk", OTHER_VIP),)),
    ]
    return [Service("spotdesk"), *upstreams, *centres, *customers]


class FakeUpstream:
    """An upstream that answers after a service time and records the messages that reached it."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.incarnation = 1
        self.service_time = 20
        self.silent = False
        self.code = Code.OK
        self.seen: list[Message] = []
        self._due: list[tuple[int, UpstreamAnswer]] = []

    def started(self) -> list[UpstreamRequest]:
        """Returns the requests that reached the upstream."""
        return [message for message in self.seen if isinstance(message, UpstreamRequest)]

    def handle(self, message: Message, now: int) -> list[Message]:
        """Handles a message and returns the immediate replies."""
        if self.silent:
            return []
        if isinstance(message, UpstreamProbe):
            return [UpstreamHealth(self.incarnation, message.sequence, True, 0, 0)]
        self.seen.append(message)
        if isinstance(message, UpstreamOpen):
            return [UpstreamData(message.key, message.customer, b"opened")]
        if isinstance(message, UpstreamData):
            return [replace(message, payload=b"echo " + message.payload)]
        if isinstance(message, UpstreamRequest):
            self._due.append((now + self.service_time, self._answer(message)))
        return []

    def take_due_answers(self, now: int) -> list[Message]:
        """Returns the answers that are due at `now` (ms)."""
        ready = [answer for due_at, answer in self._due if due_at <= now]
        self._due = [(due_at, answer) for due_at, answer in self._due if due_at > now]
        return list(ready)

    def _answer(self, request: UpstreamRequest) -> UpstreamAnswer:
        payload = b"done " + request.payload
        checksum = xxhash.xxh64_intdigest(payload)
        return UpstreamAnswer(
            request.key,
            request.attempt,
            request.customer,
            self.incarnation,
            self.code,
            0,
            1,
            checksum,
            payload,
        )


class Fleet:
    """Agents of one service.

    `heard` lists the messages that agents sent to balancers, `sent_between_agents` those that they
    sent to each other.
    """

    def __init__(self, count: int, seed: int = 1, **fields: object) -> None:
        self.rng = random.Random(seed)
        self.now = 1_000
        self.delay = (3, 5)
        self.loss = 0.0
        self.duplication = 0.0
        self.heard: list[Message] = []
        self.sent_between_agents: list[tuple[Address, Message]] = []
        self.cut_off: set[Address] = set()
        self.records = records(count, **fields)
        self.agents: dict[Address, AgentCore] = {}
        self.upstreams: dict[Address, FakeUpstream] = {}
        self._in_flight: list[tuple[int, int, Address, Address, Message]] = []
        self._sent = 0
        for record in self.records:
            if isinstance(record, Upstream):
                self.start(record)

    def start(self, record: Upstream, incarnation: int = 1) -> AgentCore:
        """Starts or restarts the agent of an upstream."""
        local_upstream = ("127.0.0.1", int(record.name.split("-")[1]))
        config = AgentConfig(
            record.address,
            record.data_centre,
            record.name,
            record.service,
            local_upstream,
            incarnation,
        )
        catalog = Catalog.from_records(1, self.records)
        core = AgentCore(config, random.Random(self.rng.random()), catalog, Membership())
        self.agents[record.address] = core
        self.upstreams.setdefault(local_upstream, FakeUpstream(local_upstream))
        return core

    def publish(self, revision: int, changed: list[Record]) -> None:
        """Puts changed records in force at all agents."""
        old = {key_of_record(record): encode_record(record) for record in self.records}
        new = {key_of_record(record): encode_record(record) for record in changed}
        entries = [Entry(key, revision, b"") for key in old if key not in new]
        entries += [Entry(k, revision, t) for k, t in new.items() if old.get(k) != t]
        self.records = changed
        for core in self.agents.values():
            core.state.catalog.apply_revision(revision, entries)

    def restart(self, upstream: int, incarnation: int) -> AgentCore:
        """Restarts the agent of an upstream, without the state of the old process."""
        name = self.agent(upstream).state.config.upstream
        record = next(r for r in self.records if isinstance(r, Upstream) and r.name == name)
        return self.start(record, incarnation)

    def agent(self, upstream: int) -> AgentCore:
        """Returns the agent of an upstream, by the upstream's id."""
        return next(core for core in self.agents.values() if core.state.own_id == upstream)

    def upstream(self, upstream: int) -> FakeUpstream:
        """Returns the fake upstream with the given id."""
        return self.upstreams[self.agent(upstream).state.config.local_upstream]

    def order(self, key: int) -> tuple[int, ...]:
        """Returns the candidates of a key."""
        core = next(iter(self.agents.values()))
        return core.state.placement.order(SERVICE, key, 3)

    def wait_until_former_tables_known(self) -> None:
        """Runs until agents know all former tables, so that a quorum can grant their claims."""
        for _ in range(FORMER_WITNESSES_WAIT_MS // 100):
            self.now += 99
            self.run(1)
            for address in list(self.agents):
                self._tick(address)

    def run(self, duration: int) -> None:
        """Runs the agents for a time in ms."""
        end = self.now + duration
        while self.now < end:
            self.now += 1
            self._deliver()
            if self.now % TICK_MS == 0:
                for address in list(self.agents):
                    self._tick(address)

    def send(self, upstream: int, message: Message) -> None:
        """Delivers a message of the balancer to an agent without loss or delay."""
        core = self.agent(upstream)
        core.receive(BALANCER, message)
        self._tick(core.state.config.address)

    def answers(self, kind: type) -> list:
        """Returns the messages of a type that were sent to the balancer."""
        return [message for message in self.heard if isinstance(message, kind)]

    def _tick(self, address: Address) -> None:
        core = self.agents[address]
        core.tick(self.now)
        for destination, message in core.outbox.drain():
            if destination in self.upstreams:
                self._deliver_to_upstream(core, destination, message)
            elif destination in self.agents:
                self._transmit(address, destination, message)
            else:
                self.heard.append(message)

    def _deliver_to_upstream(
        self, core: AgentCore, local_upstream: Address, message: Message
    ) -> None:
        for answer in self.upstreams[local_upstream].handle(message, self.now):
            core.receive(local_upstream, answer)

    def _transmit(self, source: Address, destination: Address, message: Message) -> None:
        if source in self.cut_off or destination in self.cut_off:
            return
        self.sent_between_agents.append((destination, message))
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                self._sent += 1
                due_at = self.now + self.rng.randint(*self.delay)
                self._in_flight.append((due_at, self._sent, source, destination, message))

    def _deliver(self) -> None:
        ready = sorted(entry[:4] + (entry[4],) for entry in self._in_flight if entry[0] <= self.now)
        self._in_flight = [entry for entry in self._in_flight if entry[0] > self.now]
        for _, _, source, destination, message in ready:
            if destination in self.agents:
                self.agents[destination].receive(source, message)
        for address, core in self.agents.items():
            local_upstream = core.state.config.local_upstream
            answers = self.upstreams[local_upstream].take_due_answers(self.now)
            for answer in answers:
                core.receive(local_upstream, answer)
            if answers or any(entry[3] == address for entry in ready):
                self._tick(address)


def packet(
    kind: PacketKind, candidates: Iterable[int], flow: int = 7, payload: bytes = b"hello"
) -> Forward:
    """Returns a packet as a balancer forwards it."""
    key = flow_key(CALLER, VIP, flow)
    return Forward(
        key, kind, SERVICE, ACME, flow, CALLER, VIP, BALANCER, tuple(candidates), 0, 1, payload
    )


def attempt(
    name: bytes, candidates: Iterable[int], number: int = 1, repeatable: bool = False
) -> Attempt:
    """Returns an attempt as a balancer sends it."""
    key = request_key(VIP, name)
    return Attempt(
        key,
        number,
        SERVICE,
        ACME,
        repeatable,
        0,
        2_000,
        CALLER,
        VIP,
        BALANCER,
        tuple(candidates),
        0,
        1,
        name,
    )
