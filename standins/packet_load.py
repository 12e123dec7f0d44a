"""Plays the load of many callers against a `PacketWorld`, and records what each of them gets."""

__all__ = ["LoadShape", "PacketLoad", "RequestRecord"]

import itertools
import random
from dataclasses import dataclass, field

from shallotshore.messages import Address
from standins.packet_client import OPENING_TIMEOUT_MS, PacketClient
from standins.packet_world import VIP, PacketWorld

MAX_TRIES = 3
FIRST_PORT = 20_000
NOT_RUN = b"503"  # begins the answer of an upstream that has not run the request


@dataclass(slots=True, frozen=True)
class LoadShape:
    """Load of one kind of request.

    Attributes:
        per_s: New requests a second.
        aim_ms: Time in which an answer is in time.
        deadline_ms: Time after which the caller gives up.
        is_pooled: Whether callers send requests on flows that stay open; otherwise each request
            opens a flow.
        is_repeatable: Whether callers try again after any failure, and not only after one that
            shows that the request has not run.
        vip: Virtual address that the requests are sent to.
    """

    per_s: float
    aim_ms: int
    deadline_ms: int
    is_pooled: bool
    is_repeatable: bool
    vip: Address = VIP


@dataclass(slots=True)
class RequestRecord:
    """What one caller got.

    Attributes:
        started_at: When the caller made the request, in ms.
        answered_at: When the answer arrived, in ms; None when there was none before the deadline.
        ended_at: When the caller had its answer or gave up, in ms; None before.
        shape: Kind of the request.
        customer: Number of the client account.
        payload: The request's data, different for each request.
    """

    started_at: int
    shape: LoadShape
    customer: int
    payload: bytes
    answered_at: int | None = None
    ended_at: int | None = None

    @property
    def is_in_time(self) -> bool:
        """Whether the answer came in time."""
        return (
            self.answered_at is not None and self.answered_at - self.started_at <= self.shape.aim_ms
        )


@dataclass(slots=True)
class PacketLoad:
    """Callers of one virtual address.

    Attributes:
        world: The deployment.
        rng: Source of the arrivals.
        customers: Number of client accounts that the requests are spread over.
        records: One record for each request.
        factor: Factor on the arrival rate, for bursts.
        factors: Further factors on the arrival rates of some kinds of request.
        shapes: Kinds of request that have been started.
        is_stopped: Whether no further requests are made.
    """

    world: PacketWorld
    rng: random.Random
    customers: int = 4
    records: list[RequestRecord] = field(default_factory=list)
    factor: float = 1.0
    factors: dict[LoadShape, float] = field(default_factory=dict)
    shapes: list[LoadShape] = field(default_factory=list)
    is_stopped: bool = False
    _idle_flows: dict[Address, list[PacketClient]] = field(default_factory=dict)
    _ports: itertools.count = field(default_factory=lambda: itertools.count(FIRST_PORT))

    def start(self, shape: LoadShape) -> None:
        """Starts the arrivals of one kind of request."""
        self.shapes.append(shape)
        self._schedule_arrival(shape)

    def _schedule_arrival(self, shape: LoadShape) -> None:
        per_s = shape.per_s * self.factor * self.factors.get(shape, 1.0)
        delay_ms = self.rng.expovariate(per_s) * 1000
        self.world.call_later(round(delay_ms), lambda: self._arrive(shape))

    def share_in_time(self, start: int, end: int) -> float:
        """Returns the share of the requests made in a span (ms) that were answered in time."""
        made = self.made_between(start, end)
        return sum(record.is_in_time for record in made) / len(made)

    def share_answered(self, start: int, end: int) -> float:
        """Returns the share of the requests made in a span (ms) that were answered at all."""
        made = self.made_between(start, end)
        return sum(record.answered_at is not None for record in made) / len(made)

    def made_between(self, start: int, end: int) -> list[RequestRecord]:
        """Returns the requests that were made in a span, in ms."""
        return [record for record in self.records if start <= record.started_at < end]

    def stop(self) -> None:
        """Ends the arrivals; requests that have been made go on."""
        self.is_stopped = True

    def _arrive(self, shape: LoadShape) -> None:
        if self.is_stopped:
            return
        customer = self.rng.randrange(self.customers)
        record = RequestRecord(self.world.now, shape, customer, b"%d" % len(self.records))
        self.records.append(record)
        _Caller(self, record).start()
        self._schedule_arrival(shape)

    def take_flow(self, shape: LoadShape) -> PacketClient:
        """Returns an idle open flow, or a new one."""
        idle = self._idle_flows.get(shape.vip, []) if shape.is_pooled else []
        while idle:
            flow = idle.pop(self.rng.randrange(len(idle)))
            if flow.reset_at is None:
                return flow
        return self.world.open_flow(next(self._ports), shape.vip)

    def give_back(self, flow: PacketClient) -> None:
        """Keeps an open flow for further requests."""
        self._idle_flows.setdefault(flow.vip, []).append(flow)


class _Caller:
    """One request with its tries."""

    __slots__ = ("_flow", "_load", "_record", "_tries")

    def __init__(self, load: PacketLoad, record: RequestRecord) -> None:
        self._load = load
        self._record = record
        self._tries = 0
        self._flow: PacketClient | None = None

    def start(self) -> None:
        world = self._load.world
        world.call_later(self._record.shape.deadline_ms, self._give_up)
        self._try()

    def _try(self) -> None:
        self._tries += 1
        flow = self._flow = self._load.take_flow(self._record.shape)
        flow.on_packet = lambda: self._look(flow)
        flow.request(self._record.payload)
        if flow.opened_at is None:
            self._load.world.call_later(OPENING_TIMEOUT_MS, lambda: self._check_opening(flow))

    def _look(self, flow: PacketClient) -> None:
        """Reacts to a packet that the present flow has received."""
        record = self._record
        if flow is not self._flow or record.ended_at is not None:
            return
        if flow.reset_at is not None:
            self._fail(is_known_not_run=flow.opened_at is None)
        elif not flow.has_unanswered_request:
            if flow.answers[-1].startswith(NOT_RUN):
                self._fail(is_known_not_run=True)
                return
            record.answered_at = record.ended_at = self._load.world.now
            if record.shape.is_pooled:
                self._load.give_back(flow)

    def _check_opening(self, flow: PacketClient) -> None:
        if flow is self._flow and flow.opened_at is None and self._record.ended_at is None:
            flow.reset_at = self._load.world.now  # ends the try; a late acceptance is not used
            self._fail(is_known_not_run=True)

    def _fail(self, is_known_not_run: bool) -> None:
        self._flow = None
        record = self._record
        may_repeat = record.shape.is_repeatable or is_known_not_run
        if may_repeat and self._tries < MAX_TRIES:
            self._try()
        else:
            record.ended_at = self._load.world.now

    def _give_up(self) -> None:
        if self._record.ended_at is None:
            self._record.ended_at = self._load.world.now
            if self._flow is not None:
                self._flow.reset_flow()
                self._flow.reset_at = self._load.world.now
