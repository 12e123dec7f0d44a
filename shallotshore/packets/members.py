"""Membership of balancers by gossip from the seeds, and subscriptions to agents."""

from __future__ import annotations

__all__ = ["MemberSystem", "SubscriptionSystem"]

from array import array

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.hosts import host_number, host_text
from shallotshore.packets.node_messages import Hello, Subscribe
from shallotshore.tables import MISSING, Table

GOSSIP_MS = 500
EAGER_GOSSIP_MS = 100  # until a first member has answered
GOSSIP_FANOUT = 2  # balancers greeted each time; constant whatever the fleet's size
MEMBERS_NAMED = 24  # hosts in one greeting
MEMBER_LIMIT = 20_000
MEMBER_KEPT_MS = 20_000
SUBSCRIBE_MS = 800  # a subscription lasts 3 s at the agent
SUBSCRIBE_LOOK_MS = 50  # between two looks at who is due
SILENT_SUBSCRIBE_MS = 200  # to an agent that is not heard: it may just have started


class MemberTable(Table):
    """Balancers by host; `heard_at` is when one was last heard, in ms, or named by another."""

    __slots__ = ("heard_at",)

    COLUMNS = {"heard_at": "q"}

    heard_at: array[int]


class MemberSystem:
    """Greets a few balancers at a time; each greeting names others and the revisions held."""

    __slots__ = ("_members", "_next_at", "_state")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._members = MemberTable(MEMBER_LIMIT)
        self._next_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        for source, hello in self._state.inbox.take(Hello):
            self._take(host_number(source[0]), hello, now)
        if now >= self._next_at:
            self._next_at = now + (GOSSIP_MS if len(self._members) else EAGER_GOSSIP_MS)
            self._forget(now)
            for host in self._chosen():
                self._greet(host, True)

    def say_goodbye(self) -> None:
        """Tells known balancers that this one is about to end."""
        for host in list(self._members.keys())[:MEMBERS_NAMED]:
            self._greet(host, False, is_leaving=True)

    def _take(self, host: int, hello: Hello, now: int) -> None:
        state = self._state
        if hello.is_leaving:
            self._members.remove(host)
            return
        if host not in self._members:
            state.log.write(now, "balancer_heard", balancer=host_text(host))
        self._note(host, now)
        for named in hello.members:
            if named not in self._members:
                self._note(named, now - MEMBER_KEPT_MS // 2)
        source = (host_text(host), state.node_port)
        is_near = hello.data_centre == state.data_centre
        state.feeds.offer(source, hello.operator_revision, hello.upstreams_revision, now, is_near)
        if hello.wants_reply:
            self._greet(host, False)

    def _note(self, host: int, heard_at: int) -> None:
        if host == self._state.host:
            return
        row = self._members.add(host)
        if row != MISSING:
            self._members.heard_at[row] = max(self._members.heard_at[row], heard_at)

    def _forget(self, now: int) -> None:
        for host in self._members.keys():
            row = self._members.row(host)
            if now - self._members.heard_at[row] > MEMBER_KEPT_MS:
                self._members.remove(host)
                self._state.log.write(now, "balancer_silent", balancer=host_text(host))

    def _chosen(self) -> list[int]:
        rng = self._state.rng
        own = self._state.host
        seeds = [host for host in self._state.seeds if host != own]
        known = list(self._members.keys())
        if not known:
            return seeds
        chosen = rng.sample(known, min(GOSSIP_FANOUT, len(known)))
        if seeds and rng.random() < 0.1:
            # Two halves of a fleet that forgot each other meet again at the seeds.
            chosen.append(rng.choice(seeds))
        return chosen

    def _greet(self, host: int, wants_reply: bool, is_leaving: bool = False) -> None:
        state = self._state
        known = list(self._members.keys())
        named = state.rng.sample(known, min(MEMBERS_NAMED, len(known)))
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
    """Asks the agents of all known upstreams for reports, and tells them the revisions held."""

    __slots__ = ("_next_at", "_state", "_told")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._told = (0, 0)
        self._next_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        feeds = self._state.feeds
        held = (feeds.operator.revision, feeds.upstreams.revision)
        if now < self._next_at and held == self._told:
            return
        is_told = held == self._told
        self._told = held
        self._next_at = now + SUBSCRIBE_LOOK_MS
        upstreams = self._state.upstreams
        for host in upstreams.keys():
            row = upstreams.row(host)
            patience = SUBSCRIBE_MS if upstreams.is_reported(row, now) else SILENT_SUBSCRIBE_MS
            if not is_told or now - upstreams.asked_at[row] >= patience:
                upstreams.asked_at[row] = now
                self._ask(row, held)

    def _ask(self, row: int, held: tuple[int, int]) -> None:
        state = self._state
        upstreams = state.upstreams
        known = (upstreams.incarnation[row], *held, upstreams.record_revision[row])
        state.send(upstreams.key[row], Subscribe(state.data_centre, *known))
