"""Lets a few balancers read the store, and all others follow them."""

from __future__ import annotations

__all__ = ["FollowSystem"]

from typing import TYPE_CHECKING

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.feed_copies import NEVER, FeedCopy
from shallotshore.packets.hosts import host_number, host_text
from shallotshore.packets.node_messages import FeedStatus, Follow
from shallotshore.packets.readers import choose_readers
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.messages import Address

FOLLOW_INTERVAL_MS = 400
FOLLOWER_EXPIRY_MS = 1_500  # tolerates two lost requests
MAX_STATUS_AGE_MS = 900  # of a reader that answers; tolerates one lost answer
# Followers without a good reader for this time read the store themselves. The tightest limit on the
# time until a change takes effect is 3 s.
MAX_UNFOLLOWED_MS = 300
START_GRACE_MS = 1_000  # until gossip has named a reader
FOLLOWED_READERS = 2
# The store confirms a reader's copy every 4.3 s if nothing changes.
MAX_CONFIRMATION_AGE_MS = 5_000
UNUSABLE_MS = 4_000  # how long a reader that did not answer, or cannot read, is passed over
# When this many readers fail, the store itself is down, and other readers would fail as well.
MAX_FAILED_READERS = 3
READERS_CHECK_INTERVAL_MS = 100


class _Reader:
    """What a balancer knows of a reader that it follows.

    Attributes:
        asked_since: When it was first asked since its last answer, in ms; 0 when it has answered.
        answered_at: When its last status arrived, in ms.
        is_confirmed: Whether its calls to the store succeed, according to that status.
    """

    __slots__ = ("answered_at", "asked_since", "is_confirmed")

    def __init__(self) -> None:
        self.asked_since = 0
        self.answered_at = NEVER
        self.is_confirmed = False

    def is_good(self, now: int) -> bool:
        """Whether the reader passes on what the store holds."""
        return self.is_confirmed and now - self.answered_at <= MAX_STATUS_AGE_MS


class FollowSystem:
    """Decides whether this balancer watches the store, and follows readers if it does not.

    A balancer watches the store if it is among the first members in the readers' order, if others
    follow it, or if no reader that it follows passes on what the store holds. Every decision rests
    on the balancer's own view. Views that differ only lead to more readers.
    """

    __slots__ = (
        "_answers",
        "_followed_at",
        "_followers",
        "_last_good_at",
        "_next_check_at",
        "_readers",
        "_state",
        "_unusable",
    )

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._readers: list[int] = []
        self._answers: dict[int, _Reader] = {}
        self._followers: dict[int, int] = {}
        self._unusable: dict[int, int] = {}
        self._followed_at = NEVER
        self._last_good_at = MISSING
        self._next_check_at = 0

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        if self._last_good_at == MISSING:
            self._last_good_at = now + START_GRACE_MS
        for source, _ in state.inbox.take(Follow):
            self._followers[host_number(source[0])] = now
            self._send_status(source, now)
        for source, status in state.inbox.take(FeedStatus):
            self._handle_status(source, status, now)
        if state.feeds.take_news():
            self._tell_followers(now)
        if now >= self._next_check_at:
            self._next_check_at = now + READERS_CHECK_INTERVAL_MS
            self._choose_readers(now)
            self._decide(now)
        if now - self._followed_at >= FOLLOW_INTERVAL_MS and self._must_follow():
            self._follow(now)

    def _must_follow(self) -> bool:
        """Whether other readers are asked for their status.

        A reader that has not been able to read the store yet asks too, since their answers tell an
        outage of the store from a lost path to it.
        """
        feeds = self._state.feeds
        has_read = feeds.operator.is_complete and feeds.upstreams.is_complete
        return not feeds.is_reading or feeds.is_backup or not has_read

    def _choose_readers(self, now: int) -> None:
        state = self._state
        self._followers = {
            host: at for host, at in self._followers.items() if now - at <= FOLLOWER_EXPIRY_MS
        }
        self._unusable = {
            host: at for host, at in self._unusable.items() if now - at <= UNUSABLE_MS
        }
        failed = 0
        for host, answers in self._answers.items():
            is_silent = answers.asked_since and now - answers.asked_since > MAX_STATUS_AGE_MS
            has_failed = answers.answered_at != NEVER and not answers.is_confirmed
            failed += has_failed
            if is_silent or (has_failed and failed + len(self._unusable) <= MAX_FAILED_READERS):
                self._unusable[host] = now
        members = state.members
        data_centres = {members.key[row]: members.data_centre[row] for row in members.rows()}
        data_centres[state.host] = state.data_centre
        self._readers = choose_readers(data_centres, self._unusable.keys() - {state.host})
        self._answers = {h: a for h, a in self._answers.items() if h in self._readers}
        state.readers = self._readers
        state.feeds.is_first_reader = self._readers[:1] == [state.host]

    def _decide(self, now: int) -> None:
        feeds = self._state.feeds
        is_followed = bool(self._followers)
        is_reader = self._state.host in self._readers
        feeds.is_following = any(answers.is_good(now) for answers in self._answers.values())
        if feeds.is_following:
            self._last_good_at = now
        is_unfollowed = now - self._last_good_at > MAX_UNFOLLOWED_MS
        is_alone = not len(self._state.members)
        was_reading = feeds.is_reading
        feeds.is_reading = (is_reader and not is_alone) or is_followed or is_unfollowed
        feeds.is_backup = is_unfollowed and not is_reader and not is_followed
        if feeds.is_reading != was_reading:
            self._state.log.write(
                now,
                "reader_started" if feeds.is_reading else "reader_ended",
                is_reader=is_reader,
                followers=len(self._followers),
                unfollowed_ms=now - self._last_good_at,
            )

    def _follow(self, now: int) -> None:
        self._followed_at = now
        for host in self._followed():
            answers = self._answers.setdefault(host, _Reader())
            answers.asked_since = answers.asked_since or now
            self._state.send(host, Follow())

    def _followed(self) -> list[int]:
        """Returns the readers to follow, those of the own data centre first."""
        state = self._state
        readers = [host for host in self._readers if host != state.host]
        readers.sort(key=lambda host: not state.is_member_near(host))
        return readers[:FOLLOWED_READERS]

    def _tell_followers(self, now: int) -> None:
        for host in self._followers:
            self._send_status((host_text(host), self._state.node_port), now)

    def _send_status(self, destination: Address, now: int) -> None:
        feeds = self._state.feeds
        operator, upstreams = feeds.operator, feeds.upstreams
        status = FeedStatus(
            operator.revision,
            upstreams.revision,
            _age_ms(operator, now),
            _age_ms(upstreams, now),
            *feeds.eras(),
        )
        self._state.outbox.send(destination, status)

    def _handle_status(self, source: Address, status: FeedStatus, now: int) -> None:
        host = host_number(source[0])
        feeds = self._state.feeds
        eras = (status.operator_era, status.upstreams_era)
        answers = self._answers.get(host)
        if answers is not None:
            ages = (status.operator_age_ms, status.upstreams_age_ms)
            answers.asked_since = 0
            answers.answered_at = now
            answers.is_confirmed = all(
                age is not None and age <= MAX_CONFIRMATION_AGE_MS for age in ages
            ) and all(era >= own for era, own in zip(eras, feeds.eras(), strict=True))
        feeds.record_offer(
            source,
            status.operator_revision,
            status.upstreams_revision,
            now,
            self._state.is_member_near(host),
            eras,
        )
        for copy, era, revision, age_ms in (
            (feeds.operator, eras[0], status.operator_revision, status.operator_age_ms),
            (feeds.upstreams, eras[1], status.upstreams_revision, status.upstreams_age_ms),
        ):
            lost_since = copy.failing_since
            if copy.record_confirmation(era, revision, age_ms, now) and lost_since != NEVER:
                self._state.log.write(
                    now,
                    "store_regained",
                    feed=copy.feed.name,
                    after_ms=now - lost_since,
                    source=source[0],
                )


def _age_ms(copy: FeedCopy, now: int) -> int | None:
    """Returns how long ago the store confirmed a copy, in ms, or None when calls to it fail."""
    if copy.failing_since != NEVER or copy.confirmed_at == NEVER or not copy.is_complete:
        return None
    return now - copy.confirmed_at
