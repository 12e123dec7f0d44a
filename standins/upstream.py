"""Stand-in of a user's server: slots, service time, cold start, load shedding, feeds, health."""

__all__ = ["Upstream"]

from collections import deque

import msgspec

from shallotshore.codes import Code
from shallotshore.hashing import name_id
from shallotshore.messages import Address
from shallotshore.systems import Core
from shallotshore.tables import MISSING
from shallotshore.upstream_messages import (
    UpstreamAnswer,
    UpstreamCancel,
    UpstreamClose,
    UpstreamData,
    UpstreamHealth,
    UpstreamOpen,
    UpstreamProbe,
    UpstreamRequest,
)
from standins.application import (
    FeedPacket,
    RequestBody,
    answer_checksum,
    decode_feed_packet,
    decode_request_body,
    encode_payload,
    expected_answer,
    split_answer,
)
from standins.timers import Timers
from standins.upstream_state import (
    FeedTable,
    Health,
    RequestRun,
    RequestTable,
    UpstreamLog,
    UpstreamSettings,
    WorkState,
)

FEED_IDLE_LIMIT_MS = 60_000  # without a keepalive for longer, the server removes a feed
COLD_SLOWDOWN_FACTOR = 2
# Applied in addition, while a cold server has more open requests than its bound.
OVERLOAD_SLOWDOWN_FACTOR = 5
MAX_REQUEST_ROWS = 10_000
_MASK = (1 << 64) - 1


def _row_key(request: int, attempt: int) -> int:
    return (request ^ (attempt * 0x9E3779B97F4A7C15)) & _MASK


class Upstream(Core):
    """One process of a user's server.

    Attributes:
        settings: Name, service, capacity and other settings.
        log: Observations for the checker.
        incarnation: Number that rises with each start.
        health: How truthfully the health endpoint answers.
        health_lag_ms: Age in ms of the state that a lagging health endpoint reports.
        slowdown_factor: Factor on the service time.
        draining: Whether the health endpoint reports the server as not ready.
        cold_since: Time in ms at which the server last turned cold.
        requests: Open requests, running and waiting.
        waiting: Row keys of waiting requests in order of arrival.
        health_history: (time, ready, running requests, feeds) at each of the last probes.
    """

    __slots__ = (
        "_answer_timers",
        "_feed_timers",
        "_now",
        "_recent_opens",
        "cold_since",
        "draining",
        "feeds",
        "health",
        "health_history",
        "health_lag_ms",
        "incarnation",
        "log",
        "requests",
        "settings",
        "slowdown_factor",
        "waiting",
    )

    def __init__(
        self, settings: UpstreamSettings, log: UpstreamLog, incarnation: int, cold_since: int
    ) -> None:
        super().__init__()
        self.settings = settings
        self.log = log
        self.incarnation = incarnation
        self.cold_since = cold_since
        self.health = Health.HONEST
        self.health_lag_ms = 2000
        self.slowdown_factor = 1.0
        self.draining = False
        self.feeds = FeedTable(settings.connections)
        self.requests = RequestTable(MAX_REQUEST_ROWS)
        self.waiting: deque[int] = deque()
        self.health_history: deque[tuple[int, bool, int, int]] = deque(maxlen=200)
        self._now = 0
        self._recent_opens: deque[int] = deque()
        self._answer_timers = Timers()
        self._feed_timers = Timers()
        self._systems = [
            _ProbeSystem(self),
            _FeedPacketSystem(self),
            _CancelSystem(self),
            _CompletionSystem(self, self._answer_timers),
            _ArrivalSystem(self),
            _StartSystem(self, self._answer_timers),
            _FeedSendSystem(self, self._feed_timers),
        ]

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self.requests) - len(self.waiting)

    def tick(self, now: int) -> None:
        """Runs every system and stores the time for `next_due`."""
        self._now = now
        super().tick(now)

    def next_due(self) -> int | None:
        """Returns when the next tick is due (ms) if nothing arrives before, or None."""
        due_times = [
            t for t in (self._answer_timers.next_due, self._feed_timers.next_due) if t is not None
        ]
        return min(due_times) if due_times else None

    def is_cold(self, now: int) -> bool:
        """Whether the server can handle fewer requests at once than it has slots."""
        settings = self.settings
        steps = max(1, settings.slots - settings.cold_limit)
        return now - self.cold_since < settings.warmup * steps

    def request_bound(self, now: int) -> int:
        """Returns the number of open requests that the server can handle at present."""
        settings = self.settings
        gained = (now - self.cold_since) // settings.warmup
        return min(settings.slots, settings.cold_limit + gained)

    def turn_cold(self, now: int) -> None:
        """Makes the server cold, as when its caches are lost without a restart."""
        self.cold_since = now

    def announce_start(self, agent: Address) -> None:
        """Sends the new incarnation to the agent, in place of a reset of the connection."""
        self.outbox.send(agent, UpstreamHealth(self.incarnation, 0, True, 0, 0))

    def record_interrupted_requests(self) -> None:
        """Records the running requests, which a planned stop ends."""
        for row in self.requests.rows():
            if self.requests.state[row] == WorkState.RUNNING:
                self.log.interrupted.append(self.requests.body[row].request_id)

    def record_open(self, customer: str, now: int) -> None:
        """Records a feed opening, and an excess if a cold server had too many within a second."""
        self.log.new_work.append((now, customer))
        self._recent_opens.append(now)
        while self._recent_opens[0] <= now - 1000:
            self._recent_opens.popleft()
        allowed = self.settings.cold_opens_per_s * self.request_bound(now)
        if self.is_cold(now) and len(self._recent_opens) > allowed:
            self.log.bound_excesses.append((now, len(self._recent_opens), allowed))

    def record_request(self, customer: str, now: int) -> None:
        """Records a request's arrival, and an excess if a cold server has too much open work."""
        self.log.new_work.append((now, customer))
        open_work = len(self.requests) + 1
        if self.is_cold(now) and open_work > self.request_bound(now):
            self.log.bound_excesses.append((now, open_work, self.request_bound(now)))

    def record_misdelivery(self, service: str, customer: str, customer_id: int) -> bool:
        """Records a payload that belongs to another service or customer.

        Args:
            service: Service that the payload names.
            customer: Customer that the payload names.
            customer_id: Id of the customer that the message names.

        Returns:
            Whether the payload was delivered to the wrong place.
        """
        settings = self.settings
        is_misdelivered = (
            service != settings.service or name_id("customer", customer) != customer_id
        )
        if settings.customers and customer not in settings.customers:
            is_misdelivered = True
        if is_misdelivered:
            self.log.misdelivered.append(f"{settings.name} received {service} of {customer}")
        return is_misdelivered

    def service_time_ms(self, body: RequestBody, now: int) -> int:
        """Returns the service time in ms of a request that starts now."""
        factor = self.slowdown_factor
        if self.is_cold(now):
            factor *= COLD_SLOWDOWN_FACTOR
            if len(self.requests) > self.request_bound(now):
                factor *= OVERLOAD_SLOWDOWN_FACTOR
        return max(1, int(body.work_ms * factor))

    def send_answer(
        self, agent: Address, request: UpstreamRequest, code: Code, content: bytes = b""
    ) -> None:
        """Splits an answer into parts and sends them to the agent."""
        parts = split_answer(content) or [b""]
        checksum = answer_checksum(content)
        for part, payload in enumerate(parts):
            self.outbox.send(
                agent,
                UpstreamAnswer(
                    request.key,
                    request.attempt,
                    request.customer,
                    self.incarnation,
                    code,
                    part,
                    len(parts),
                    checksum,
                    payload,
                ),
            )


class _ProbeSystem:
    """Answers the agent's health probes, truthfully or not."""

    __slots__ = ("_core",)

    def __init__(self, core: Upstream) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        for agent, probe in core.inbox.take(UpstreamProbe):
            ready = not core.draining
            core.health_history.append((now, ready, core.running, len(core.feeds)))
            if core.health is Health.SILENT:
                continue
            ready, running, connections = self._reported_health(now)
            health = UpstreamHealth(core.incarnation, probe.sequence, ready, running, connections)
            core.outbox.send(agent, health)

    def _reported_health(self, now: int) -> tuple[bool, int, int]:
        core = self._core
        if core.health is Health.LYING:
            return True, 0, 0
        reported = core.health_history[-1]
        if core.health is Health.LAGGING:
            old = [past for past in core.health_history if past[0] <= now - core.health_lag_ms]
            reported = old[-1] if old else core.health_history[0]
        return reported[1], reported[2], reported[3]


class _FeedPacketSystem:
    """Opens and closes feeds and counts the packets that each receives."""

    __slots__ = ("_core",)

    def __init__(self, core: Upstream) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        for agent, message in core.inbox.take(UpstreamOpen):
            self._handle_open(agent, message, now)
        for agent, data in core.inbox.take(UpstreamData):
            self._handle_data(agent, data, now)
        for _agent, close in core.inbox.take(UpstreamClose):
            core.feeds.remove(close.key)

    def _handle_open(self, agent: Address, message: UpstreamOpen, now: int) -> None:
        core = self._core
        try:
            opening = decode_feed_packet(message.payload)
        except msgspec.MsgspecError:
            core.log.misdelivered.append(f"{core.settings.name} received an unreadable opening")
            return
        if core.record_misdelivery(opening.service, opening.customer, message.customer):
            return
        if message.key in core.feeds:
            return
        core.record_open(opening.customer, now)
        row = core.feeds.add(message.key)
        if row == MISSING:
            core.outbox.send(agent, UpstreamClose(message.key, Code.OVERLOADED))
            return
        core.log.opened_feeds += 1
        feeds = core.feeds
        feeds.agent[row], feeds.customer[row] = agent, message.customer
        feeds.opening[row], feeds.received_at[row] = opening, now
        feeds.session[row] = f"{core.settings.name}/{core.incarnation}/{core.log.opened_feeds}"
        core._feed_timers.schedule(now, message.key)

    def _handle_data(self, agent: Address, message: UpstreamData, now: int) -> None:
        core = self._core
        feeds = core.feeds
        row = feeds.row(message.key)
        if row == MISSING:
            core.outbox.send(agent, UpstreamClose(message.key, Code.FLOW_LOST))
            return
        try:
            packet = decode_feed_packet(message.payload)
        except msgspec.MsgspecError:
            core.log.misdelivered.append(f"{core.settings.name} received an unreadable packet")
            return
        core.record_misdelivery(packet.service, packet.customer, message.customer)
        opening = feeds.opening[row]
        if (packet.customer, packet.feed) != (opening.customer, opening.feed):
            core.log.misdelivered.append(
                f"feed of {opening.customer} received a packet of {packet.customer}"
            )
            return
        feeds.agent[row], feeds.received_at[row] = agent, now
        feeds.received_packets[row] += 1


class _FeedSendSystem:
    """Sends each feed's next numbered packet when due; removes feeds without keepalives."""

    __slots__ = ("_core", "_timers")

    def __init__(self, core: Upstream, timers: Timers) -> None:
        self._core = core
        self._timers = timers

    def run(self, now: int) -> None:
        core = self._core
        feeds = core.feeds
        for key in self._timers.pop_due(now):
            row = feeds.row(key)
            if row == MISSING or feeds.due_at[row] > now:
                continue
            if now - feeds.received_at[row] > FEED_IDLE_LIMIT_MS:
                feeds.remove(key)
                continue
            opening = feeds.opening[row]
            packet = FeedPacket(
                opening.service,
                opening.customer,
                opening.feed,
                feeds.sent_packets[row],
                feeds.session[row],
            )
            feeds.sent_packets[row] += 1
            core.outbox.send(
                feeds.agent[row], UpstreamData(key, feeds.customer[row], encode_payload(packet))
            )
            feeds.due_at[row] = now + core.settings.feed_interval_ms
            self._timers.schedule(feeds.due_at[row], key)


class _ArrivalSystem:
    """Accepts requests, and sheds those beyond the request bound plus the backlog."""

    __slots__ = ("_core",)

    def __init__(self, core: Upstream) -> None:
        self._core = core

    def run(self, now: int) -> None:
        for agent, request in self._core.inbox.take(UpstreamRequest):
            self._handle_request(agent, request, now)

    def _handle_request(self, agent: Address, request: UpstreamRequest, now: int) -> None:
        core = self._core
        try:
            body = decode_request_body(request.payload)
        except msgspec.MsgspecError:
            core.log.misdelivered.append(f"{core.settings.name} received an unreadable request")
            return
        if core.record_misdelivery(body.service, body.customer, request.customer):
            return
        core.record_request(body.customer, now)
        if _row_key(request.key, request.attempt) in core.requests:
            # A repeated attempt is logged as a second run, which the checker reports under P7.
            core.log.runs.append(
                RequestRun(body.request_id, body.customer, core.incarnation, now, now)
            )
            return
        if len(core.requests) >= core.request_bound(now) + core.settings.backlog:
            core.counters.add("upstream.shed")
            core.send_answer(agent, request, Code.OVERLOADED)
            return
        table = core.requests
        key = _row_key(request.key, request.attempt)
        row = table.add(key)
        table.request[row], table.attempt[row] = request.key, request.attempt
        table.deadline[row], table.state[row] = now + request.budget, WorkState.WAITING
        table.source[row], table.body[row] = (agent, request), body
        core.waiting.append(key)


class _StartSystem:
    """Starts waiting requests while slots are free, and refuses those past their deadline."""

    __slots__ = ("_core", "_timers")

    def __init__(self, core: Upstream, timers: Timers) -> None:
        self._core = core
        self._timers = timers

    def run(self, now: int) -> None:
        core = self._core
        while core.waiting and core.running < core.settings.slots:
            key = core.waiting.popleft()
            row = core.requests.row(key)
            agent, request = core.requests.source[row]
            if core.requests.deadline[row] <= now:
                core.requests.remove(key)
                core.send_answer(agent, request, Code.DEADLINE_EXPIRED)
                continue
            self._start(key, row, now)

    def _start(self, key: int, row: int, now: int) -> None:
        core = self._core
        body = core.requests.body[row]
        run = RequestRun(body.request_id, body.customer, core.incarnation, now)
        core.log.runs.append(run)
        core.requests.run[row] = run
        core.requests.state[row] = WorkState.RUNNING
        core.requests.ends_at[row] = now + core.service_time_ms(body, now)
        self._timers.schedule(core.requests.ends_at[row], key)


class _CompletionSystem:
    """Answers requests when their service time is over."""

    __slots__ = ("_core", "_timers")

    def __init__(self, core: Upstream, timers: Timers) -> None:
        self._core = core
        self._timers = timers

    def run(self, now: int) -> None:
        core = self._core
        table = core.requests
        for key in self._timers.pop_due(now):
            row = table.row(key)
            if row == MISSING or table.ends_at[row] > now:
                continue
            agent, request = table.source[row]
            table.run[row].ended = now
            content = expected_answer(table.body[row])
            table.remove(key)
            core.send_answer(agent, request, Code.OK, content)


class _CancelSystem:
    """Cancels waiting requests and ends running ones."""

    __slots__ = ("_core",)

    def __init__(self, core: Upstream) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        for _, cancel in core.inbox.take(UpstreamCancel):
            key = _row_key(cancel.key, cancel.attempt)
            row = core.requests.row(key)
            if row == MISSING:
                continue
            agent, request = core.requests.source[row]
            if core.requests.state[row] == WorkState.WAITING:
                core.waiting.remove(key)
                code = Code.CANCELLED
            else:
                core.requests.run[row].ended = now
                code = Code.UPSTREAM_FAILED
            core.requests.remove(key)
            core.send_answer(agent, request, code)
