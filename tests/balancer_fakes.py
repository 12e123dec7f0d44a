"""Fakes of a balancer's catalog and peers, and a test bench that drives one balancer core."""

import random
from dataclasses import dataclass, field

from shallotshore.agent_messages import Attempt, AttemptAnswer
from shallotshore.balancer import BalancerConfig, BalancerCore
from shallotshore.caller_messages import CallerRequest, FabricPacket
from shallotshore.messages import Address, Load, Message

FABRIC = ("fabric", 1)
CALLER = ("caller", 7)
VIP = ("10.0.0.1", 80)
OTHER_VIP = ("10.0.0.2", 80)
SERVICE, CUSTOMER, OTHER_CUSTOMER = 0x5E41 << 48, 0xACE1 << 40, 0xACE2 << 40
BALANCER = ("balancer", 1)
PEER = ("balancer", 2)
IDLE = Load(0, 0, 3, 0)


@dataclass
class FakeRoute:
    """Route of a VIP."""

    service: int
    customer: int


@dataclass
class FakeUpstream:
    """Record of an upstream."""

    address: Address
    data_centre: int = 1
    service: int = SERVICE
    slots: int = 3
    connections: int = 2000
    customers: tuple[int, ...] = ()
    leaving: bool = False


@dataclass
class FakeCatalog:
    """Configuration records, which tests change directly."""

    upstreams: dict[int, FakeUpstream]
    routes: dict[Address, FakeRoute]
    revision: int = 1
    membership_revision: int = 1
    out: set[int] = field(default_factory=set)
    shares: dict[int, int] = field(default_factory=dict)

    def change_table(self) -> None:
        """Raises the revision after a change of the set of upstreams in service."""
        self.revision += 1
        self.membership_revision = self.revision

    def membership(self, service: int) -> int:
        return self.membership_revision

    def route(self, vip: Address) -> FakeRoute | None:
        return self.routes.get(vip)

    def upstreams_of(self, service: int) -> list[int]:
        return sorted(i for i, view in self.upstreams.items() if view.service == service)

    def upstream(self, upstream: int) -> FakeUpstream | None:
        return self.upstreams.get(upstream)

    def takes_new_work(self, upstream: int) -> bool:
        view = self.upstreams[upstream]
        return not view.leaving and view.data_centre not in self.out

    def is_data_centre_in_service(self, data_centre: int) -> bool:
        return data_centre not in self.out

    def share(self, customer: int) -> int:
        return self.shares.get(customer, 1)


class FakePeers:
    """Peers with one other balancer; this balancer watches every upstream not in `unwatched`."""

    def __init__(self) -> None:
        self.leaving: set[Address] = set()
        self.unwatched: set[int] = set()

    def event_targets(self, is_origin: bool) -> list[Address]:
        return [PEER]

    def is_parent(self, upstream: int, data_centre: int) -> bool:
        return upstream not in self.unwatched

    def hint_targets(self, source: Address) -> list[Address]:
        return [] if source == PEER else [PEER]

    def is_leaving(self, address: Address) -> bool:
        return address in self.leaving


class Bench:
    """One balancer core with seven upstreams, on a clock that the test advances."""

    def __init__(self, upstreams: int = 7, seed: int = 1) -> None:
        rng = random.Random(seed)
        ids = [rng.getrandbits(63) | 1 for _ in range(upstreams)]
        self.catalog = FakeCatalog(
            {upstream: FakeUpstream(("agent", number)) for number, upstream in enumerate(ids)},
            {VIP: FakeRoute(SERVICE, CUSTOMER), OTHER_VIP: FakeRoute(SERVICE, OTHER_CUSTOMER)},
        )
        self.peers = FakePeers()
        config = BalancerConfig(BALANCER, "suva-a")
        self.core = BalancerCore(config, rng, self.catalog, self.peers)
        self.now = 10_000
        self.run()

    @property
    def ids(self) -> list[int]:
        return list(self.catalog.upstreams)

    def run(self, *messages: Message, wait: int = 0) -> list[tuple[Address, Message]]:
        """Delivers messages, ticks every 20 ms for `wait` ms, and returns the messages sent."""
        for message in messages:
            self.core.receive(FABRIC, message)
        self.core.tick(self.now)
        end = self.now + wait
        while self.now < end:
            self.now = min(end, self.now + 20)
            self.core.tick(self.now)
        return self.core.outbox.drain()

    def call(self, message: Message, vip: Address = VIP) -> list[tuple[Address, Message]]:
        """Delivers a caller's message."""
        return self.run(FabricPacket(CALLER, vip, message))

    def request(
        self, number: int = 1, *, repeatable: bool = False, budget: int = 2000, vip: Address = VIP
    ) -> list[Attempt]:
        """Delivers a request and returns the attempts sent for it."""
        message = CallerRequest(number.to_bytes(16), repeatable, 0, budget, b"work")
        return only(self.call(message, vip), Attempt)

    def id_at(self, address: Address) -> int:
        return next(i for i, view in self.catalog.upstreams.items() if view.address == address)


def only(sent: list[tuple[Address, Message]], kind: type) -> list:
    """Returns the messages of a type, unwrapped from fabric packets."""
    payloads = [m.payload if isinstance(m, FabricPacket) else m for _, m in sent]
    return [message for message in payloads if isinstance(message, kind)]


def answer_to(tried: Attempt, part: int = 0, parts: int = 1, **changes: int) -> AttemptAnswer:
    """Returns the answer of an attempt's first candidate, with the given fields replaced."""
    fields = {
        "key": tried.key,
        "attempt": tried.attempt,
        "service": tried.service,
        "customer": tried.customer,
        "upstream": tried.candidates[0],
        "code": 100,
    }
    fields.update(changes)
    payload = b"part %d" % part
    return AttemptAnswer(**fields, part=part, parts=parts, checksum=9, load=IDLE, payload=payload)
