"""Stand-in of a customer's programs: opens feeds, sends requests and checks every answer."""

__all__ = ["Caller"]

import random

import msgspec

from shallotshore.caller_messages import (
    CallerAnswer,
    CallerCancel,
    CallerClose,
    CallerData,
    CallerOpen,
    CallerRequest,
    CallerReset,
)
from shallotshore.codes import Code, Outcome
from shallotshore.messages import Address
from shallotshore.systems import Core
from shallotshore.tables import MISSING
from standins.application import (
    FeedPacket,
    RequestBody,
    answer_checksum,
    decode_feed_packet,
    encode_payload,
    expected_answer,
)
from standins.caller_state import (
    CallerLoad,
    CallerLog,
    FeedEnd,
    FeedTable,
    RequestEnd,
    RequestTable,
)
from standins.timers import Timers

MAX_REOPEN_PAUSE_MS = 1000  # after a refused opening
FEED_SILENCE_LIMIT_MS = 10_000  # without a packet for longer, the feed counts as broken
OPEN_RESEND_MS = 400  # multiplied by the number of tries, up to 4
MAX_OPEN_TRIES = 12
REQUEST_RESEND_MS = 500  # doubles with each try
ANSWER_GRACE_MS = 500  # a caller waits for a request's outcome this long after its budget
MAX_TABLE_ROWS = 200_000


class Caller(Core):
    """One customer's programs at one address, all using one service.

    Attributes:
        customer: Name of the customer.
        service: Name of the service.
        vip: Address at which the service is reached.
        load: Feeds to keep open and requests to send; may be changed while the caller runs.
        log: Observations for the checker.
    """

    __slots__ = (
        "_next_arrival",
        "_next_flow",
        "_next_request",
        "_now",
        "_reopen_at",
        "_rng",
        "customer",
        "feed_timers",
        "feeds",
        "load",
        "log",
        "numbers_by_request_id",
        "reported_outcomes",
        "request_timers",
        "requests",
        "service",
        "vip",
    )

    def __init__(
        self, customer: str, service: str, vip: Address, load: CallerLoad, rng: random.Random
    ) -> None:
        super().__init__()
        self.customer = customer
        self.service = service
        self.vip = vip
        self.load = load
        self.log = CallerLog()
        self.feeds = FeedTable(MAX_TABLE_ROWS)
        self.requests = RequestTable(MAX_TABLE_ROWS)
        self.feed_timers = Timers()
        self.request_timers = Timers()
        self.numbers_by_request_id: dict[bytes, int] = {}
        self.reported_outcomes: dict[bytes, int] = {}
        self._rng = rng
        self._next_arrival = -1.0
        self._reopen_at = 0
        self._next_flow = 1
        self._next_request = 1
        self._now = 0
        self._systems = [
            _FeedReplySystem(self),
            _AnswerSystem(self),
            _NewFeedSystem(self),
            _FeedTimerSystem(self),
            _NewRequestSystem(self),
            _RequestTimerSystem(self),
        ]

    @property
    def rng(self) -> random.Random:
        """The caller's own random number generator."""
        return self._rng

    def tick(self, now: int) -> None:
        """Runs every system and stores the time for `next_due`."""
        self._now = now
        super().tick(now)

    def next_due(self) -> int | None:
        """Returns the time in ms of the next tick that no arrival triggers, or None."""
        due_times = [
            t for t in (self.feed_timers.next_due, self.request_timers.next_due) if t is not None
        ]
        if self.load.rate > 0:
            due_times.append(int(max(self._next_arrival, self._now)))
        if len(self.feeds) < self.load.feeds:
            due_times.append(max(self._now + 20, self._reopen_at))
        return min(due_times) if due_times else None

    def count_new_requests(self, now: int) -> int:
        """Returns the number of requests to create up to now, drawn at the load's rate."""
        if self.load.rate <= 0:
            self._next_arrival = -1.0
            return 0
        if self._next_arrival < 0:
            self._next_arrival = now + self._rng.expovariate(self.load.rate) * 1000
        count = 0
        while self._next_arrival <= now:
            count += 1
            self._next_arrival += self._rng.expovariate(self.load.rate) * 1000
        return count

    def may_open_feed(self, now: int) -> bool:
        """Whether the pause after a refused opening is over."""
        return now >= self._reopen_at

    def open_feed(self, now: int) -> None:
        """Adds a feed whose opening is due at once."""
        flow = self._next_flow
        self._next_flow += 1
        row = self.feeds.add(flow)
        self.feeds.opened_at[row] = now
        self.feeds.due_at[row] = now
        self.feed_timers.schedule(now, flow)

    def next_feed_payload(self, row: int) -> bytes:
        """Returns the payload of a feed's next packet."""
        feeds = self.feeds
        flow = feeds.key[row]
        packet = FeedPacket(self.service, self.customer, flow, feeds.next_sequence[row], "")
        feeds.next_sequence[row] += 1
        return encode_payload(packet)

    def record_feed_end(self, row: int, now: int, code: int) -> None:
        """Removes a feed that broke or did not open, and records its end or the failed opening."""
        feeds = self.feeds
        flow = feeds.key[row]
        if feeds.session[row]:
            self.log.broken_feeds.append(
                FeedEnd(
                    self.customer,
                    flow,
                    feeds.session[row],
                    feeds.opened_at[row],
                    feeds.received_at[row],
                    now,
                    code,
                )
            )
        else:
            self.log.refused_opens.append((now, code))
            self._reopen_at = now + self._rng.randint(100, MAX_REOPEN_PAUSE_MS)
        self.remove_feed(flow)

    def remove_feed(self, flow: int) -> None:
        """Removes a feed."""
        self.log.sessions.pop(flow, None)
        self.feeds.remove(flow)

    def create_request(self, now: int) -> None:
        """Creates a request that is due to be sent at once."""
        load, rng = self.load, self._rng
        number = self._next_request
        self._next_request += 1
        row = self.requests.add(number)
        requests = self.requests
        request_id = rng.randbytes(16)
        body = RequestBody(
            self.service,
            self.customer,
            request_id,
            rng.randint(*load.work),
            rng.randint(*load.size),
        )
        requests.request_id[row], requests.body[row], requests.parts[row] = request_id, body, {}
        requests.created_at[row] = now
        requests.repeatable[row] = rng.random() >= load.non_repeatable
        will_cancel = rng.random() < load.cancelled
        requests.cancel_at[row] = now + rng.randint(1, 200) if will_cancel else 0
        self.numbers_by_request_id[request_id] = number
        self.request_timers.schedule(now, number)
        requests.due_at[row] = now
        if will_cancel:
            self.request_timers.schedule(requests.cancel_at[row], number)

    def record_request_end(self, row: int, now: int, outcome: int, code: int) -> None:
        """Records the outcome that the caller was told for a request, and removes the request."""
        requests = self.requests
        request_id = requests.request_id[row]
        self.log.requests.append(
            RequestEnd(
                self.customer,
                request_id,
                bool(requests.repeatable[row]),
                requests.cancel_at[row] != 0,
                requests.created_at[row],
                now,
                outcome,
                code,
            )
        )
        self.reported_outcomes[request_id] = outcome
        self.numbers_by_request_id.pop(request_id)
        requests.remove(requests.key[row])


class _FeedReplySystem:
    """Handles feed packets and resets from servers."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        for _, data in core.inbox.take(CallerData):
            self._handle_data(data, now)
        for _, reset in core.inbox.take(CallerReset):
            row = core.feeds.row(reset.flow)
            if row != MISSING:
                core.record_feed_end(row, now, reset.code)

    def _handle_data(self, data: CallerData, now: int) -> None:
        core = self._core
        feeds, log = core.feeds, core.log
        try:
            packet = decode_feed_packet(data.payload)
        except msgspec.MsgspecError:
            log.invalid_messages.append(f"{core.customer} received an unreadable feed packet")
            return
        if (packet.service, packet.customer, packet.feed) != (
            core.service,
            core.customer,
            data.flow,
        ):
            log.invalid_messages.append(
                f"{core.customer} received a feed packet of {packet.customer}"
            )
            return
        row = feeds.row(data.flow)
        if row == MISSING:
            return
        if feeds.session[row] and feeds.session[row] != packet.session:
            core.record_feed_end(row, now, Code.FLOW_LOST)
            return
        if feeds.session[row]:
            log.longest_gap_ms = max(log.longest_gap_ms, now - feeds.received_at[row])
        feeds.session[row] = log.sessions[data.flow] = packet.session
        feeds.received_at[row] = now
        log.received_packets += 1


class _NewFeedSystem:
    """Opens a few feeds in each tick until the load's number of feeds is open."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        missing = core.load.feeds - len(core.feeds) if core.may_open_feed(now) else 0
        for _ in range(min(missing, 1 + core.load.feeds // 100)):
            core.open_feed(now)


class _FeedTimerSystem:
    """Sends openings and keepalives, closes old feeds and ends silent ones."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        feeds = core.feeds
        for flow in core.feed_timers.pop_due(now):
            row = feeds.row(flow)
            if row == MISSING or feeds.due_at[row] > now:
                continue
            if feeds.session[row]:
                self._maintain_feed(row, flow, now)
            else:
                self._send_open(row, flow, now)
            if feeds.row(flow) != MISSING:
                core.feed_timers.schedule(feeds.due_at[row], flow)

    def _send_open(self, row: int, flow: int, now: int) -> None:
        core = self._core
        feeds = core.feeds
        if feeds.tries[row] >= MAX_OPEN_TRIES:
            core.record_feed_end(row, now, 0)
            return
        feeds.tries[row] += 1
        feeds.due_at[row] = (
            now + OPEN_RESEND_MS * min(feeds.tries[row], 4) + core.rng.randint(0, 100)
        )
        core.outbox.send(core.vip, CallerOpen(flow, core.next_feed_payload(row)))

    def _maintain_feed(self, row: int, flow: int, now: int) -> None:
        core = self._core
        feeds, load = core.feeds, core.load
        if now - feeds.received_at[row] > FEED_SILENCE_LIMIT_MS:
            core.record_feed_end(row, now, 0)
        elif (load.feed_life and now - feeds.opened_at[row] >= load.feed_life) or len(
            feeds
        ) > load.feeds:
            core.outbox.send(core.vip, CallerClose(flow))
            core.remove_feed(flow)
        else:
            feeds.due_at[row] = now + load.keepalive
            core.outbox.send(core.vip, CallerData(flow, core.next_feed_payload(row)))


class _NewRequestSystem:
    """Creates requests at the load's rate."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        for _ in range(self._core.count_new_requests(now)):
            self._core.create_request(now)


class _RequestTimerSystem:
    """Sends requests and resends them, cancels some and abandons those past their budget."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        requests = core.requests
        for number in core.request_timers.pop_due(now):
            row = requests.row(number)
            if row == MISSING or not self._is_due(row, now):
                continue
            if now - requests.created_at[row] > core.load.budget + ANSWER_GRACE_MS:
                core.record_request_end(row, now, 0, 0)
            elif 0 < requests.cancel_at[row] <= now:
                self._send_cancel(row, number, now)
            else:
                self._send_request(row, number, now)

    def _is_due(self, row: int, now: int) -> bool:
        requests = self._core.requests
        return requests.due_at[row] <= now or requests.cancel_at[row] == now

    def _send_cancel(self, row: int, number: int, now: int) -> None:
        core = self._core
        core.requests.due_at[row] = now + REQUEST_RESEND_MS
        core.request_timers.schedule(core.requests.due_at[row], number)
        core.outbox.send(core.vip, CallerCancel(core.requests.request_id[row]))

    def _send_request(self, row: int, number: int, now: int) -> None:
        core = self._core
        requests = core.requests
        age = now - requests.created_at[row]
        budget = core.load.budget - age
        requests.due_at[row] = now + min(
            REQUEST_RESEND_MS << requests.tries[row], max(budget, 0) + 1
        )
        if budget <= 0:
            requests.due_at[row] = now + budget + ANSWER_GRACE_MS + 1
        core.request_timers.schedule(requests.due_at[row], number)
        if budget <= 0:
            return
        requests.tries[row] += 1
        core.outbox.send(
            core.vip,
            CallerRequest(
                requests.request_id[row],
                bool(requests.repeatable[row]),
                age,
                budget,
                encode_payload(requests.body[row]),
            ),
        )


class _AnswerSystem:
    """Reassembles answers and checks that each is complete and belongs to this caller."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        for _, answer in core.inbox.take(CallerAnswer):
            number = core.numbers_by_request_id.get(answer.request)
            if number is None:
                self._check_late_answer(answer)
                continue
            row = core.requests.row(number)
            if answer.outcome != Outcome.DONE:
                core.record_request_end(row, now, answer.outcome, answer.code)
                continue
            parts = core.requests.parts[row]
            parts[answer.part] = answer.payload
            if len(parts) == answer.parts:
                self._check_complete_answer(row, answer, now)

    def _check_late_answer(self, answer: CallerAnswer) -> None:
        core = self._core
        reported_outcome = core.reported_outcomes.get(answer.request)
        if reported_outcome is None:
            core.log.invalid_messages.append(
                f"{core.customer} received an answer to a foreign request"
            )
        elif {reported_outcome, int(answer.outcome)} == {int(Outcome.DONE), int(Outcome.NOT_RUN)}:
            core.log.contradicted_requests.append(answer.request)
        elif not reported_outcome:
            core.log.answered_late.add(answer.request)

    def _check_complete_answer(self, row: int, answer: CallerAnswer, now: int) -> None:
        core = self._core
        parts = core.requests.parts[row]
        content = b"".join(parts.get(part, b"") for part in range(answer.parts))
        if content != expected_answer(core.requests.body[row]):
            core.log.invalid_messages.append(f"{core.customer} received a wrong or damaged answer")
        if answer.checksum != answer_checksum(content):
            core.log.invalid_messages.append(
                f"{core.customer} received an answer with a wrong checksum"
            )
        core.record_request_end(row, now, answer.outcome, answer.code)
