"""Checks on demand whether copies of the feeds contain all changes up to a time.

All processes ask the same reader, which asks the store once for all who wait, so that the calls do
not grow with the fleet. A process without an answer asks another reader, and then the store itself.
"""

from __future__ import annotations

__all__ = ["CheckAnswerSystem", "CheckRequestSystem"]

from typing import TYPE_CHECKING

from shallotshore.packets.feeds import STORE_ADDRESS
from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import FeedChecked, FeedCheckRequest
from shallotshore.packets.store_messages import CheckFeed
from shallotshore.token_bucket import TokenBucket
from shallotshore.unknown_flows import NEVER

if TYPE_CHECKING:
    from shallotshore.messages import Address
    from shallotshore.packets.balancer_state import BalancerState
    from shallotshore.packets.feed_copies import FeedCopy

# Between two requests of one process for one feed. Flows that come in between are judged together.
STORE_INTERVAL_MS = 80
# All calls are priced. After a power loss hundreds of flows are judged within some seconds.
STORE_CALLS_PER_S = 2
STORE_CALLS_BURST = 12
PEER_INTERVAL_MS = 60
# A reader that was asked has called the store and answered by then. Doubles with each other process
# that is asked.
ANSWER_TIMEOUT_MS = 500
MAX_DOUBLINGS = 2
ASKED_READERS = 2
MAX_CALLS_IN_FLIGHT = 4  # of one feed, while the store is slow
STORE_WAIT_MS = 1  # the answer tells whether there are changes, and does not wait for any
REQUEST_LIFETIME_MS = 2_000  # the sender has asked others by then
MAX_REQUESTERS = 512  # of one feed


class CheckAnswerSystem:
    """Takes in requests for checks and answers to checks.

    It runs after the feeds have been updated and before flows are judged.
    """

    __slots__ = ("_state",)

    def __init__(self, state: BalancerState) -> None:
        self._state = state

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        for source, request in state.inbox.take(FeedCheckRequest):
            check = state.feeds.copy(request.feed).check
            if len(check.requesters) < MAX_REQUESTERS:
                check.requesters.append((source, request.number, now))
                check.request(now)
        for source, answer in state.inbox.take(FeedChecked):
            self._handle_answer(source, answer, now)
        feeds = state.feeds
        if feeds.operator.check.is_pending or feeds.upstreams.check.is_pending:
            for copy in (feeds.operator, feeds.upstreams):
                self._apply_expected(copy)
                self._answer_requesters(copy, now)

    def _handle_answer(self, source: Address, answer: FeedChecked, now: int) -> None:
        """Records a reader's answer, and has its copy fetched if it is newer than the own one."""
        copy = self._state.feeds.copy(answer.feed)
        if answer.era < copy.era or answer.number > now:
            return
        position = (answer.era, answer.revision)
        copy.check.expected = (position, answer.number)
        copy.check.is_pending = True
        is_near = self._state.is_member_near(host_number(source[0]))
        copy.record_offer(source, position, now, is_near)

    def _apply_expected(self, copy: FeedCopy) -> None:
        """Takes over what another process has found, once the own copy is as new as its copy."""
        check = copy.check
        if check.expected is None:
            return
        position, as_of = check.expected
        if copy.position >= position:
            check.expected = None
            if copy.era == position[0]:
                check.record_as_of(as_of)

    def _answer_requesters(self, copy: FeedCopy, now: int) -> None:
        check = copy.check
        waiting = []
        for source, number, received_at in check.requesters:
            if copy.is_complete_as_of(received_at, now):
                answer = FeedChecked(copy.feed, number, copy.revision, copy.era)
                self._state.outbox.send(source, answer)
            elif now - received_at < REQUEST_LIFETIME_MS:
                waiting.append((source, number, received_at))
        check.requesters = waiting


class CheckRequestSystem:
    """Sends the requests for the checks that are wanted.

    It runs after flows have been judged.
    """

    __slots__ = ("_state", "_store_budget")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._store_budget = TokenBucket(STORE_CALLS_PER_S / 1000, STORE_CALLS_BURST)

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        feeds = self._state.feeds
        if feeds.operator.check.is_pending or feeds.upstreams.check.is_pending:
            for copy in (feeds.operator, feeds.upstreams):
                copy.check.update_pending()
                if copy.check.is_wanted and copy.is_check_of_use(now):
                    self._send_requests(copy, now)

    def _send_requests(self, copy: FeedCopy, now: int) -> None:
        """Asks the store or a reader, and one more each time that there is no answer."""
        check = copy.check
        timeout_ms = ANSWER_TIMEOUT_MS << min(check.timeouts, MAX_DOUBLINGS)
        is_overdue = check.unanswered_since != NEVER and now - check.unanswered_since >= timeout_ms
        if check.wanted_as_of <= check.asked_at and not is_overdue:
            return
        timeouts = check.timeouts + is_overdue
        targets = self._find_targets(copy, now)[: timeouts + 1]
        is_store_asked = self._state.host in targets
        interval_ms = STORE_INTERVAL_MS if is_store_asked else PEER_INTERVAL_MS
        if not targets or now - check.asked_at < interval_ms:
            return
        if is_store_asked and not self._store_budget.take(now):
            return
        check.record_request(timeouts, now)
        for target in targets:
            if target == self._state.host:
                self._ask_store(copy, now)
            else:
                self._state.send(target, FeedCheckRequest(copy.feed, now))
                self._state.counters.add("peers.checks")

    def _ask_store(self, copy: FeedCopy, now: int) -> None:
        copy.check.calls_in_flight += 1
        request = CheckFeed(copy.feed, copy.watch_after, STORE_WAIT_MS, now)
        self._state.outbox.send(STORE_ADDRESS, request)
        self._state.counters.add("store.calls")
        self._state.counters.add("store.checks")

    def _find_targets(self, copy: FeedCopy, now: int) -> list[int]:
        """Returns the processes that can make a check, the one to ask first at the front.

        The first reader asks the store for all, and the others ask that reader.
        """
        own, readers = self._state.host, self._state.readers
        targets = [host for host in readers if host != own][:ASKED_READERS]
        if self._can_ask_store(copy, now):
            targets.insert(0 if own in readers[:1] else len(targets), own)
        return targets

    def _can_ask_store(self, copy: FeedCopy, now: int) -> bool:
        """Whether another call to the store is likely to help.

        The read of an incomplete copy is itself such a call.
        """
        check = copy.check
        is_available = copy.is_complete and copy.failing_since == NEVER
        is_allowed = check.calls_in_flight < MAX_CALLS_IN_FLIGHT and now >= check.store_retry_at
        return is_available and is_allowed
