"""Membership of balancers by gossip that starts from the seeds."""

from __future__ import annotations

__all__ = ["MemberSystem"]

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.hosts import host_number, host_text
from shallotshore.packets.node_messages import Hello
from shallotshore.tables import MISSING

GOSSIP_INTERVAL_MS = 500
STARTUP_GOSSIP_INTERVAL_MS = 100  # interval until a first member is known
# Number of balancers chosen in each round, so that the traffic does not grow with the fleet.
GOSSIP_FANOUT = 2
MAX_HELLO_MEMBERS = 8
MAX_LEAVING_NOTICES = 24
MAX_HELLO_NEIGHBOURS = 4  # members of the sender's data centre, by which others learn of them
MEMBER_EXPIRY_MS = 20_000


class MemberSystem:
    """Sends Hello messages to a few balancers at a time.

    Each message names other balancers, and the revisions that the sender holds of the feeds.
    """

    __slots__ = ("_members", "_next_run_at", "_state")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._members = state.members
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
        for host in list(self._members.keys())[:MAX_LEAVING_NOTICES]:
            self._send_hello(host, False, is_leaving=True)

    def _handle_hello(self, host: int, hello: Hello, now: int) -> None:
        state = self._state
        if hello.is_leaving:
            self._members.remove(host)
            return
        if host not in self._members:
            state.log.write(now, "balancer_heard", balancer=host_text(host))
        self._record_member(host, now)
        for named in hello.members + hello.neighbours:
            if named not in self._members:
                self._record_member(named, now - MEMBER_EXPIRY_MS // 2)
        for neighbour in (host, *hello.neighbours):
            row = self._members.row(neighbour)
            if row != MISSING:
                self._members.data_centre[row] = hello.data_centre
        source = (host_text(host), state.node_port)
        is_same_data_centre = hello.data_centre == state.data_centre
        state.feeds.record_offer(
            source,
            hello.operator_revision,
            hello.upstreams_revision,
            now,
            is_same_data_centre,
            (hello.operator_era, hello.upstreams_era),
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
        feeds = state.feeds
        hello = Hello(
            state.data_centre,
            wants_reply,
            is_leaving,
            feeds.operator.revision,
            feeds.upstreams.revision,
            self._sample(list(self._members.keys()), MAX_HELLO_MEMBERS),
            self._sample(self._members.hosts_in(state.data_centre), MAX_HELLO_NEIGHBOURS),
            *feeds.eras(),
        )
        state.send(host, hello)

    def _sample(self, hosts: list[int], limit: int) -> tuple[int, ...]:
        return tuple(self._state.rng.sample(hosts, min(limit, len(hosts))))
