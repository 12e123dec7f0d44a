"""Plays loads on a virtual clock, without a network, against the policies of waiting work."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from shallotshore.packets.attempts import (
    ATTEMPT_MS,
    COPY_SENT_AFTER_MS,
    HANDOVER_MS,
)
from shallotshore.packets.held_openings import HeldOpening, HeldOpenings
from shallotshore.packets.node_messages import Carry, CarryKind
from shallotshore.packets.packet import OPENS, Packet
from shallotshore.scheduling.admission import Verdict, decide, expected_wait_ms
from shallotshore.scheduling.terms import RequestTerms
from shallotshore.scheduling.waiting import WaitingQueue, WaitingRequest

MAX_TRIES = 3  # attempts of one client
MAX_HELD = 256
GHOST_MS = 40  # for which a slot is kept free for a client that was served elsewhere
SECOND_MS = 1_000


@dataclass(slots=True, frozen=True, eq=False)
class RequestClass:
    """One class of requests, as its customer declares it."""

    name: str
    per_s: float
    work_ms: int
    terms: RequestTerms
    is_repeatable: bool
    value_in_time: float
    value_late: float


@dataclass(slots=True, eq=False)
class PlayedRequest:
    """One request and what its caller got."""

    kind: RequestClass
    account: int
    started_at: int
    work_ms: float
    number: int
    run_at: dict[int, int] = field(default_factory=dict)  # when a run began (ms), by attempt
    tries: int = 0
    answered_at: int | None = None
    refused_at: list[int] = field(default_factory=list)  # ms after the try began

    @property
    def runs(self) -> int:
        """How often the request was run."""
        return len(self.run_at)

    @property
    def is_in_time(self) -> bool:
        """Whether the answer came in time."""
        return self.answered_at is not None and self.kind.terms.is_in_time(
            self.started_at, self.answered_at
        )

    def has_ended(self, now: int) -> bool:
        """Whether the caller has its answer or no longer waits."""
        return self.answered_at is not None or not self.kind.terms.is_within_limit(
            self.started_at, now
        )


@dataclass(slots=True, eq=False)
class Copy:
    """One copy of the opening packet of one attempt."""

    request: PlayedRequest
    attempt: int
    number: int
    asked_at: int


@dataclass(slots=True, eq=False)
class Server:
    """An upstream with its agent; `speed` divides the work of a request."""

    slots: int
    queue: "Held"
    speed: float = 1.0
    fail_share: float = 0.0
    running: int = 0

    @property
    def load(self) -> float:
        """Running and waiting requests per slot."""
        return (self.running + len(self.queue)) / self.slots


class Held:
    """No queue: a copy that finds no free slot is dropped. Base of the other policies."""

    is_round_robin = True

    def __len__(self) -> int:
        return 0

    def hold(self, copy: Copy, now: int) -> None:
        """Keeps a copy until a slot is free."""

    def pop(self, now: int, service_ms: float) -> Copy | None:
        """Returns the copy that goes next."""
        return None

    def drop(self, now: int) -> list[Copy]:
        """Returns the copies that are no longer held."""
        return []


class HeldByCopies(Held):
    """The order of routes without terms: fewest copies, then priority, then newest."""

    is_round_robin = False

    def __init__(self) -> None:
        self._held = HeldOpenings()
        self._copies: dict[int, Copy] = {}

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, copy: Copy, now: int) -> None:
        client = ("100.64.0.1", copy.attempt)
        packet = Packet(client, ("198.18.0.1", 443), OPENS, 1, copy.number, 0, b"")
        priority = copy.request.kind.terms.priority
        carry = Carry(CarryKind.OPEN, 1, 1, (), 0.0, priority, 0, 1, b"")
        if self._held.try_hold(HeldOpening(carry, packet, now)):
            self._copies[packet.key] = copy

    def pop(self, now: int, service_ms: float) -> Copy | None:
        opening = self._held.pop_best(now, service_ms)
        return self._copies[opening.packet.key] if opening is not None else None

    def drop(self, now: int) -> list[Copy]:
        return [self._copies[opening.packet.key] for opening in self._held.pop_overdue(now)]


class HeldByTerms(Held):
    """The order of `WaitingQueue`, with an account for each client account."""

    is_round_robin = False

    def __init__(self) -> None:
        self._queue = WaitingQueue(MAX_HELD)

    def __len__(self) -> int:
        return len(self._queue)

    def hold(self, copy: Copy, now: int) -> None:
        ends_ms = (*COPY_SENT_AFTER_MS[1:], ATTEMPT_MS)[copy.number] - HANDOVER_MS
        request = copy.request
        terms, ends_at = request.kind.terms, copy.asked_at + ends_ms
        self._queue.push(
            WaitingRequest(copy.attempt, terms, request.account, copy.asked_at, copy, ends_at), now
        )

    def pop(self, now: int, service_ms: float) -> Copy | None:
        request = self._queue.pop_next(now, service_ms)
        return request.item if request is not None else None

    def drop(self, now: int) -> list[Copy]:
        return [request.item for request in self._queue.take_expired(now)]


class LoadPlayer:
    """Plays requests against servers under one policy.

    Args of the constructor: the servers' slots and speeds, the policy, and a seed of the choices.
    """

    def __init__(self, servers: list[tuple[int, float]], policy: type[Held], seed: int = 1) -> None:
        self.now = 0
        self.requests: list[PlayedRequest] = []
        self.servers = [Server(slots, policy(), speed) for slots, speed in servers]
        self._policy = policy
        self._rng = random.Random(seed)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._attempts = itertools.count(1)
        self._turn = itertools.cycle(self.servers)
        self.service_ms = 40.0

    def call_at(self, at: int, action: Callable[[], None]) -> None:
        """Schedules an action at a time in ms."""
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def play(self, requests: list[PlayedRequest], until: int) -> "LoadPlayer":
        """Plays requests until a time in ms."""
        self.requests = requests
        for request in requests:
            self.call_at(request.started_at, lambda one=request: self._try(one))
        for at in range(0, until, 10):
            self.call_at(at, self._drop_overdue)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self

    def _try(self, request: PlayedRequest) -> None:
        """Starts an attempt of a client."""
        if request.tries >= MAX_TRIES or request.has_ended(self.now):
            return
        if request.runs and not request.kind.is_repeatable:
            return
        request.tries += 1
        attempt, tries, asked_at = next(self._attempts), request.tries, self.now
        for number, after_ms in enumerate(COPY_SENT_AFTER_MS):
            copy = Copy(request, attempt, number, asked_at)
            self.call_at(asked_at + after_ms, lambda one=copy, n=tries: self._send(one, n))
        self.call_at(asked_at + ATTEMPT_MS, lambda: self._end_attempt(request, attempt, tries))

    def _end_attempt(self, request: PlayedRequest, attempt: int, tries: int) -> None:
        if request.tries == tries and attempt not in request.run_at:
            self._try(request)

    def _send(self, copy: Copy, tries: int) -> None:
        request = copy.request
        if request.tries != tries or copy.attempt in request.run_at or request.has_ended(self.now):
            return
        if self._policy.is_round_robin:
            server = next(self._turn)
        else:
            least = min(server.load for server in self.servers)
            server = self._rng.choice([one for one in self.servers if one.load == least])
        if server.running < server.slots:
            self._start(server, copy)
        else:
            server.queue.hold(copy, self.now)

    def _start(self, server: Server, copy: Copy) -> None:
        request = copy.request
        server.running += 1
        is_ghost = copy.attempt in request.run_at or request.has_ended(self.now)
        if is_ghost or self.now - copy.asked_at >= ATTEMPT_MS:
            self.call_at(self.now + GHOST_MS, lambda: self._free(server))
            return
        request.run_at[copy.attempt] = self.now
        duration_ms = round(request.work_ms / server.speed)
        if self._rng.random() < server.fail_share:
            self.call_at(self.now + duration_ms // 2, lambda: self._fail(server, request))
        else:
            self.call_at(self.now + duration_ms, lambda: self._finish(server, request))

    def _finish(self, server: Server, request: PlayedRequest) -> None:
        if not request.has_ended(self.now):
            request.answered_at = self.now
        self._free(server)

    def _fail(self, server: Server, request: PlayedRequest) -> None:
        self._try(request)
        self._free(server)

    def _free(self, server: Server) -> None:
        server.running -= 1
        while server.running < server.slots:
            copy = server.queue.pop(self.now, self.service_ms / server.speed)
            if copy is None:
                return
            self._start(server, copy)

    def _drop_overdue(self) -> None:
        for server in self.servers:
            for copy in server.queue.drop(self.now):
                if self._policy is HeldByTerms:
                    self._decide(server, copy)

    def _decide(self, server: Server, copy: Copy) -> None:
        """Refuses a dropped request that no server can serve within its limit."""
        request = copy.request
        if copy.attempt in request.run_at or request.has_ended(self.now):
            return
        ahead = len(server.queue)
        service_ms = self.service_ms / server.speed
        wait_ms = expected_wait_ms(ahead, server.running, server.slots, service_ms)
        is_free = any(one.running < one.slots for one in self.servers)
        terms = request.kind.terms
        if decide(terms, copy.asked_at, wait_ms, 0.0, is_free, self.now) == Verdict.REFUSE:
            request.refused_at.append(self.now - copy.asked_at)
            self._try(request)

    # What callers got.

    def made(
        self, kind: RequestClass | None = None, start: int = 0, end: int = 1 << 40
    ) -> list[PlayedRequest]:
        """Returns the requests of a class that were made in a span, in ms."""
        return [
            one
            for one in self.requests
            if (kind is None or one.kind is kind) and start <= one.started_at < end
        ]

    def share_in_time(
        self, kind: RequestClass | None = None, start: int = 0, end: int = 1 << 40
    ) -> float:
        """Returns the share of these requests that were answered in time."""
        made = self.made(kind, start, end)
        return sum(one.is_in_time for one in made) / max(1, len(made))

    def shares_by_account(self) -> dict[int, float]:
        """Returns the share of each client account's requests that were answered in time."""
        made, in_time = Counter(), Counter()
        for one in self.requests:
            made[one.account] += 1
            in_time[one.account] += one.is_in_time
        return {account: in_time[account] / made[account] for account in sorted(made)}

    def value(self) -> float:
        """Returns what the answers were worth, as a share of the best."""
        earned = sum(
            one.kind.value_in_time if one.is_in_time else one.kind.value_late
            for one in self.requests
            if one.answered_at is not None
        )
        return earned / sum(one.kind.value_in_time for one in self.requests)


class OmniscientPlayer(LoadPlayer):
    """One queue for all servers, which knows each request's work and each client's first attempt.

    Requests that can be in time go first, by value per time, then those that end within the limit.
    """

    def __init__(self, servers: list[tuple[int, float]], seed: int = 1) -> None:
        super().__init__(servers, Held, seed)
        self._waiting: list[PlayedRequest] = []

    def _try(self, request: PlayedRequest) -> None:
        if request.runs and (not request.kind.is_repeatable or request.tries >= MAX_TRIES):
            return
        request.tries += 1
        self._waiting.append(request)
        self._start_waiting()

    def _free(self, server: Server) -> None:
        server.running -= 1
        self._start_waiting()

    def _start_waiting(self) -> None:
        for server in sorted(self.servers, key=lambda one: -one.speed):
            while server.running < server.slots and self._waiting:
                best = max(self._waiting, key=lambda one: self._rank(one, server))
                self._waiting.remove(best)
                if not best.has_ended(self.now):
                    self._start(server, Copy(best, next(self._attempts), 0, self.now))

    def _rank(self, request: PlayedRequest, server: Server) -> tuple[bool, float, int]:
        duration_ms = request.work_ms / server.speed
        terms, kind = request.kind.terms, request.kind
        is_in_time = terms.is_in_time(request.started_at, self.now + duration_ms)
        value = kind.value_in_time if is_in_time else kind.value_late
        return is_in_time, value / duration_ms, -request.started_at


def make_requests(
    classes: dict[RequestClass, Callable[[int], float]],
    duration_ms: int,
    accounts: tuple[int, ...] = (6, 1, 1, 1, 1),
    tail: tuple[float, float] = (0.0, 1.0),
    seed: int = 1,
) -> list[PlayedRequest]:
    """Returns random requests.

    Args:
        classes: Classes with the factor on their rate, by time in ms.
        duration_ms: Time in which they are made.
        accounts: Weights of the client accounts.
        tail: Share of the requests that take longer, and the factor on their work.
        seed: Seed of the arrivals.
    """
    rng = random.Random(seed)
    requests: list[PlayedRequest] = []
    for kind, factor_at in classes.items():
        for now in range(duration_ms):
            if rng.random() >= kind.per_s * factor_at(now) / SECOND_MS:
                continue
            work_ms = kind.work_ms * (tail[1] if rng.random() < tail[0] else 1.0)
            account = rng.choices(range(len(accounts)), accounts)[0]
            requests.append(PlayedRequest(kind, account, now, work_ms, len(requests)))
    return requests
