"""Stand-in of a customer's programs: they hold feeds, send requests and check what comes back."""

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
from standins.application import FeedPacket, Order, answer_of, checksum_of, decode_feed, encode
from standins.caller_state import (
    CallerLoad,
    CallerLog,
    FeedEnd,
    FeedTable,
    RequestEnd,
    RequestTable,
)
from standins.timers import Timers

REFUSED_PAUSE = 1000  # ms at most that a caller waits after a refused opening
FEED_SILENCE = 10_000  # ms without a packet after which a caller counts its feed as broken
OPEN_RESEND = 400  # ms before the opening is sent again, growing with each try
OPEN_TRIES = 12
REQUEST_RESEND = 500  # ms before a request is sent again, doubling with each try
ANSWER_GRACE = 500  # ms after its budget that a caller still waits for the word on a request
TABLE_LIMIT = 200_000


class Caller(Core):
    """One customer's programs at one address, all using one service.

    Attributes:
        customer: Name of the customer.
        service: Name of the service.
        vip: Where the service is reached.
        load: What it does; may be changed while it runs.
        log: What it saw.
    """

    __slots__ = (
        "_next_arrival",
        "_next_flow",
        "_next_request",
        "_now",
        "_open_after",
        "_rng",
        "customer",
        "feeds",
        "feeds_due",
        "idents",
        "load",
        "log",
        "requests",
        "requests_due",
        "service",
        "told",
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
        self.feeds = FeedTable(TABLE_LIMIT)
        self.requests = RequestTable(TABLE_LIMIT)
        self.feeds_due = Timers()
        self.requests_due = Timers()
        self.idents: dict[bytes, int] = {}
        self.told: dict[bytes, int] = {}
        self._rng = rng
        self._next_arrival = -1.0
        self._open_after = 0
        self._next_flow = 1
        self._next_request = 1
        self._now = 0
        self._systems = [
            _FeedReplies(self),
            _Answers(self),
            _NewFeeds(self),
            _FeedTimes(self),
            _NewRequests(self),
            _RequestTimes(self),
        ]

    @property
    def rng(self) -> random.Random:
        """The caller's own random numbers."""
        return self._rng

    def tick(self, now: int) -> None:
        """Runs every system; remembers the time for `next_due`."""
        self._now = now
        super().tick(now)

    def next_due(self) -> int | None:
        """Returns when a tick is needed without an arrival."""
        due = [t for t in (self.feeds_due.next_due, self.requests_due.next_due) if t is not None]
        if self.load.rate > 0:
            due.append(int(max(self._next_arrival, self._now)))
        if len(self.feeds) < self.load.feeds:
            due.append(max(self._now + 20, self._open_after))
        return min(due) if due else None

    def arrivals(self, now: int) -> int:
        """Returns how many requests are born up to now."""
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

    def may_open(self, now: int) -> bool:
        """Whether no opening was refused a moment ago."""
        return now >= self._open_after

    def open_feed(self, now: int) -> None:
        """Starts a feed."""
        flow = self._next_flow
        self._next_flow += 1
        row = self.feeds.add(flow)
        self.feeds.opened[row] = now
        self.feeds.due[row] = now
        self.feeds_due.set(now, flow)

    def feed_payload(self, row: int) -> bytes:
        """Returns the payload of a feed's next packet."""
        feeds = self.feeds
        flow = feeds.key[row]
        packet = FeedPacket(self.service, self.customer, flow, feeds.sequence[row], "")
        feeds.sequence[row] += 1
        return encode(packet)

    def end_feed(self, row: int, now: int, code: int) -> None:
        """Notes a feed that ended without the caller's wish and forgets it."""
        feeds = self.feeds
        flow = feeds.key[row]
        if feeds.session[row]:
            self.log.broken.append(
                FeedEnd(
                    self.customer,
                    flow,
                    feeds.session[row],
                    feeds.opened[row],
                    feeds.heard[row],
                    now,
                    code,
                )
            )
        else:
            self.log.refused.append((now, code))
            self._open_after = now + self._rng.randint(100, REFUSED_PAUSE)
        self.forget_feed(flow)

    def forget_feed(self, flow: int) -> None:
        """Removes a feed."""
        self.log.sessions.pop(flow, None)
        self.feeds.remove(flow)

    def send_request(self, now: int) -> None:
        """Creates a request; its first sending is due at once."""
        load, rng = self.load, self._rng
        number = self._next_request
        self._next_request += 1
        row = self.requests.add(number)
        requests = self.requests
        ident = rng.randbytes(16)
        order = Order(
            self.service, self.customer, ident, rng.randint(*load.work), rng.randint(*load.size)
        )
        requests.ident[row], requests.order[row], requests.parts[row] = ident, order, {}
        requests.born[row] = now
        requests.repeatable[row] = rng.random() >= load.non_repeatable
        cancels = rng.random() < load.cancelled
        requests.cancel_at[row] = now + rng.randint(1, 200) if cancels else 0
        self.idents[ident] = number
        self.requests_due.set(now, number)
        requests.due[row] = now
        if cancels:
            self.requests_due.set(requests.cancel_at[row], number)

    def end_request(self, row: int, now: int, outcome: int, code: int) -> None:
        """Notes what the caller was told about a request and forgets it."""
        requests = self.requests
        ident = requests.ident[row]
        self.log.requests.append(
            RequestEnd(
                self.customer,
                ident,
                bool(requests.repeatable[row]),
                requests.cancel_at[row] != 0,
                requests.born[row],
                now,
                outcome,
                code,
            )
        )
        self.told[ident] = outcome
        self.idents.pop(ident)
        requests.remove(requests.key[row])


class _FeedReplies:
    """Takes feed packets and resets."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        for _, data in core.inbox.take(CallerData):
            self._data(data, now)
        for _, reset in core.inbox.take(CallerReset):
            row = core.feeds.row(reset.flow)
            if row != MISSING:
                core.end_feed(row, now, reset.code)

    def _data(self, data: CallerData, now: int) -> None:
        core = self._core
        feeds, log = core.feeds, core.log
        try:
            packet = decode_feed(data.payload)
        except msgspec.MsgspecError:
            log.wrong.append(f"{core.customer} received an unreadable feed packet")
            return
        if (packet.service, packet.customer, packet.feed) != (
            core.service,
            core.customer,
            data.flow,
        ):
            log.wrong.append(f"{core.customer} received a feed packet of {packet.customer}")
            return
        row = feeds.row(data.flow)
        if row == MISSING:
            return
        if feeds.session[row] and feeds.session[row] != packet.session:
            core.end_feed(row, now, Code.FLOW_LOST)
            return
        if feeds.session[row]:
            log.longest_gap = max(log.longest_gap, now - feeds.heard[row])
        feeds.session[row] = log.sessions[data.flow] = packet.session
        feeds.heard[row] = now
        log.heard += 1


class _NewFeeds:
    """Keeps the wanted number of feeds open, a few new ones in each tick."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        missing = core.load.feeds - len(core.feeds) if core.may_open(now) else 0
        for _ in range(min(missing, 1 + core.load.feeds // 100)):
            core.open_feed(now)


class _FeedTimes:
    """Sends openings and keepalives, closes old feeds and notices silent ones."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        feeds = core.feeds
        for flow in core.feeds_due.due(now):
            row = feeds.row(flow)
            if row == MISSING or feeds.due[row] > now:
                continue
            if feeds.session[row]:
                self._keep(row, flow, now)
            else:
                self._open(row, flow, now)
            if feeds.row(flow) != MISSING:
                core.feeds_due.set(feeds.due[row], flow)

    def _open(self, row: int, flow: int, now: int) -> None:
        core = self._core
        feeds = core.feeds
        if feeds.tries[row] >= OPEN_TRIES:
            core.end_feed(row, now, 0)
            return
        feeds.tries[row] += 1
        feeds.due[row] = now + OPEN_RESEND * min(feeds.tries[row], 4) + core.rng.randint(0, 100)
        core.outbox.send(core.vip, CallerOpen(flow, core.feed_payload(row)))

    def _keep(self, row: int, flow: int, now: int) -> None:
        core = self._core
        feeds, load = core.feeds, core.load
        if now - feeds.heard[row] > FEED_SILENCE:
            core.end_feed(row, now, 0)
        elif (load.feed_life and now - feeds.opened[row] >= load.feed_life) or len(
            feeds
        ) > load.feeds:
            core.outbox.send(core.vip, CallerClose(flow))
            core.forget_feed(flow)
        else:
            feeds.due[row] = now + load.keepalive
            core.outbox.send(core.vip, CallerData(flow, core.feed_payload(row)))


class _NewRequests:
    """Creates requests at the wanted rate."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        for _ in range(self._core.arrivals(now)):
            self._core.send_request(now)


class _RequestTimes:
    """Sends requests again, cancels some and gives up those past their budget."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        requests = core.requests
        for number in core.requests_due.due(now):
            row = requests.row(number)
            if row == MISSING or not self._is_due(row, now):
                continue
            if now - requests.born[row] > core.load.budget + ANSWER_GRACE:
                core.end_request(row, now, 0, 0)
            elif 0 < requests.cancel_at[row] <= now:
                self._cancel(row, number, now)
            else:
                self._send(row, number, now)

    def _is_due(self, row: int, now: int) -> bool:
        requests = self._core.requests
        return requests.due[row] <= now or requests.cancel_at[row] == now

    def _cancel(self, row: int, number: int, now: int) -> None:
        core = self._core
        core.requests.due[row] = now + REQUEST_RESEND
        core.requests_due.set(core.requests.due[row], number)
        core.outbox.send(core.vip, CallerCancel(core.requests.ident[row]))

    def _send(self, row: int, number: int, now: int) -> None:
        core = self._core
        requests = core.requests
        age = now - requests.born[row]
        budget = core.load.budget - age
        requests.due[row] = now + min(REQUEST_RESEND << requests.tries[row], max(budget, 0) + 1)
        if budget <= 0:
            requests.due[row] = now + budget + ANSWER_GRACE + 1
        core.requests_due.set(requests.due[row], number)
        if budget <= 0:
            return
        requests.tries[row] += 1
        core.outbox.send(
            core.vip,
            CallerRequest(
                requests.ident[row],
                bool(requests.repeatable[row]),
                age,
                budget,
                encode(requests.order[row]),
            ),
        )


class _Answers:
    """Puts answers together and checks that each is whole and the caller's own."""

    __slots__ = ("_core",)

    def __init__(self, core: Caller) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        for _, answer in core.inbox.take(CallerAnswer):
            number = core.idents.get(answer.request)
            if number is None:
                self._late(answer)
                continue
            row = core.requests.row(number)
            if answer.outcome != Outcome.DONE:
                core.end_request(row, now, answer.outcome, answer.code)
                continue
            parts = core.requests.parts[row]
            parts[answer.part] = answer.payload
            if len(parts) == answer.parts:
                self._whole(row, answer, now)

    def _late(self, answer: CallerAnswer) -> None:
        core = self._core
        told = core.told.get(answer.request)
        if told is None:
            core.log.wrong.append(f"{core.customer} received an answer to a foreign request")
        elif {told, int(answer.outcome)} == {int(Outcome.DONE), int(Outcome.NOT_RUN)}:
            core.log.contradicted.append(answer.request)

    def _whole(self, row: int, answer: CallerAnswer, now: int) -> None:
        core = self._core
        parts = core.requests.parts[row]
        whole = b"".join(parts.get(part, b"") for part in range(answer.parts))
        if whole != answer_of(core.requests.order[row]):
            core.log.wrong.append(f"{core.customer} received a wrong or damaged answer")
        if answer.checksum != checksum_of(whole):
            core.log.wrong.append(f"{core.customer} received an answer with a wrong checksum")
        core.end_request(row, now, answer.outcome, answer.code)
