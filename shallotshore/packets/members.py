"""Membership of balancers by gossip that starts from the seeds, and subscriptions to agents."""

from __future__ import annotations

__all__ = ["MemberSystem", "SubscriptionSystem"]

from array import array

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.hosts import host_number, host_text
from shallotshore.packets.node_messages import Hello, Subscribe
from shallotshore.tables import MISSING, Table

GOSSIP_INTERVAL_MS = 500
STARTUP_GOSSIP_INTERVAL_MS = 100  # interval until a first member is known
# Number of balancers chosen in each round, so that the traffic does not grow with the fleet.
GOSSIP_FANOUT = 2
MAX_HELLO_MEMBERS = 24
MAX_MEMBER_ROWS = 20_000
MEMBER_EXPIRY_MS = 20_000
SUBSCRIBE_INTERVAL_MS = 800  # an agent keeps a subscription for 3 s
SUBSCRIBE_CHECK_INTERVAL_MS = 50
# Interval of subscriptions to an agent without recent reports, which may just have started.
SILENT_SUBSCRIBE_INTERVAL_MS = 200


class MemberTable(Table):
    """Balancers by host.

    Columns:
        last_seen_at: Time of the last message from the balancer, in ms. For a balancer that is
            known only because others have named it, the time when it was first named less half
            the expiry time.
    """

    __slots__ = ("last_seen_at",)

    COLUMNS = {"last_seen_at": "q"}

    last_seen_at: array[int]


class MemberSystem:
    """Sends Hello messages to a few balancers at a time.

    Each message names other balancers, and the revisions that the sender holds of the feeds.
    """

    __slots__ = ("_members", "_next_run_at", "_state")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._members = MemberTable(MAX_MEMBER_ROWS)
        self._next_run_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        for source, hello in self._state.inbox.take(Hello):
            self._handle_hello(host_number(source[0]), hello, now)
        if now >= self._next_run_at:
            self._next_run_at = now + (
                GOSSIP_INTERVAL_MS if len(self._members) else STARTUP_GOSSIP_INTERVAL_MS
            )
            self._expire_members(now)
            for host in self._choose_gossip_targets():
                self._send_hello(host, True)

    def send_leaving(self) -> None:
        """Tells known balancers that this one is about to stop."""
        for host in list(self._members.keys())[:MAX_HELLO_MEMBERS]:
            self._send_hello(host, False, is_leaving=True)

    def _handle_hello(self, host: int, hello: Hello, now: int) -> None:
        state = self._state
        if hello.is_leaving:
            self._members.remove(host)
            return
        if host not in self._members:
            state.log.write(now, "balancer_heard", balancer=host_text(host))
        self._record_member(host, now)
        for named in hello.members:
            if named not in self._members:
                self._record_member(named, now - MEMBER_EXPIRY_MS // 2)
        source = (host_text(host), state.node_port)
        is_same_data_centre = hello.data_centre == state.data_centre
        state.feeds.record_offer(
            source, hello.operator_revision, hello.upstreams_revision, now, is_same_data_centre
        )
        if hello.wants_reply:
            self._send_hello(host, False)

    def _record_member(self, host: int, last_seen_at: int) -> None:
        if host == self._state.host:
            return
        row = self._members.add(host)
        if row != MISSING:
            self._members.last_seen_at[row] = max(self._members.last_seen_at[row], last_seen_at)

    def _expire_members(self, now: int) -> None:
        for host in self._members.keys():
            row = self._members.row(host)
            if now - self._members.last_seen_at[row] > MEMBER_EXPIRY_MS:
                self._members.remove(host)
                self._state.log.write(now, "balancer_silent", balancer=host_text(host))

    def _choose_gossip_targets(self) -> list[int]:
        rng = self._state.rng
        own = self._state.host
        seeds = [host for host in self._state.seeds if host != own]
        known = list(self._members.keys())
        if not known:
            return seeds
        targets = rng.sample(known, min(GOSSIP_FANOUT, len(known)))
        if seeds and rng.random() < 0.1:
            # Two halves of a fleet that have removed each other, as after a network partition,
            # find each other again through the seeds.
            targets.append(rng.choice(seeds))
        return targets

    def _send_hello(self, host: int, wants_reply: bool, is_leaving: bool = False) -> None:
        state = self._state
        known = list(self._members.keys())
        named = state.rng.sample(known, min(MAX_HELLO_MEMBERS, len(known)))
        feeds = state.feeds
        hello = Hello(
            state.data_centre,
            wants_reply,
            is_leaving,
            feeds.operator.revision,
            feeds.upstreams.revision,
            tuple(named),
        )
        state.send(host, hello)


class SubscriptionSystem:
    """Subscribes to reports of the agents of all known upstreams.

    Each Subscribe message names the revisions that the balancer holds of the feeds. When these
    revisions change, a Subscribe message is sent to all agents at once.
    """

    __slots__ = ("_next_run_at", "_sent_revisions", "_state")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._sent_revisions = (0, 0)
        self._next_run_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        feeds = self._state.feeds
        revisions = (feeds.operator.revision, feeds.upstreams.revision)
        if now < self._next_run_at and revisions == self._sent_revisions:
            return
        is_unchanged = revisions == self._sent_revisions
        self._sent_revisions = revisions
        self._next_run_at = now + SUBSCRIBE_CHECK_INTERVAL_MS
        upstreams = self._state.upstreams
        for host in upstreams.keys():
            row = upstreams.row(host)
            interval_ms = (
                SUBSCRIBE_INTERVAL_MS
                if upstreams.has_fresh_report(row, now)
                else SILENT_SUBSCRIBE_INTERVAL_MS
            )
            if not is_unchanged or now - upstreams.subscribed_at[row] >= interval_ms:
                upstreams.subscribed_at[row] = now
                self._send_subscribe(row, revisions)

    def _send_subscribe(self, row: int, revisions: tuple[int, int]) -> None:
        state = self._state
        upstreams = state.upstreams
        known = (upstreams.incarnation[row], *revisions, upstreams.record_revision[row])
        state.send(upstreams.key[row], Subscribe(state.data_centre, *known))
