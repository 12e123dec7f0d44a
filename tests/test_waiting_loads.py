"""What callers get from four policies of waiting work, played in one run each."""

import math
import unittest
from collections.abc import Callable

from shallotshore.scheduling.terms import RequestTerms
from tests.waiting_loads import (
    SECOND_MS,
    Held,
    HeldByCopies,
    HeldByTerms,
    LoadPlayer,
    OmniscientPlayer,
    PlayedRequest,
    RequestClass,
    make_requests,
)

# Half of the first customer's load and servers, a third of the second one's.
REFRESH = RequestClass("refresh", 285, 40, RequestTerms(2, 353, 2_940), True, 1.0, 0.1)
CLAIM = RequestClass("claim", 82, 52, RequestTerms(1, 352, 3_516), False, 2.0, 0.2)
STREAM = RequestClass("stream", 167, 26, RequestTerms(2, 303, 3_634), True, 1.0, 0.3)
LOOK_UP = RequestClass("look-up", 48, 33, RequestTerms(1, 352, 3_516), False, 2.0, 0.6)
LEAGUE = [(2, 1.0)] * 19
SEARCH = [(1, 0.55)] * 4 + [(1, 1.2)] * 11
BURST = (2 * SECOND_MS, 6 * SECOND_MS)
LOAD_MS, END_MS = 8 * SECOND_MS, 13 * SECOND_MS
MIN_IN_TIME = 0.99  # of an urgent class, in each second in which its own demand fits
MIN_SHARE_OF_TURNS = 0.1  # of a lower priority while it waits
MIN_OF_EARLIER_VALUE = 0.97  # of the policy before; its random choices differ

Change = Callable[[LoadPlayer], None]


def steady(_now: int) -> float:
    """The usual rate."""
    return 1.0


def burst(factor: float) -> Callable[[int], float]:
    """Returns a rate that is higher during `BURST`."""
    return lambda now: factor if BURST[0] <= now < BURST[1] else 1.0


class WaitingLoadTest(unittest.TestCase):
    """Base: plays one load against the four policies and prints what callers got."""

    def play(
        self,
        servers: list[tuple[int, float]],
        make: Callable[[], list[PlayedRequest]],
        change: Change = lambda player: None,
    ) -> dict[str, LoadPlayer]:
        """Returns the players by the name of their policy."""
        players = {
            "no queue": LoadPlayer(servers, Held),
            "by copies": LoadPlayer(servers, HeldByCopies),
            "by terms": LoadPlayer(servers, HeldByTerms),
            "omniscient": OmniscientPlayer(servers),
        }
        print(f"\n{self.id().rpartition('.')[2]}")
        for name, player in players.items():
            change(player)
            player.play(make(), END_MS)
            kinds = {one.kind: None for one in player.requests}
            shares = {kind.name: round(player.share_in_time(kind), 3) for kind in kinds}
            accounts = [round(share, 3) for share in player.shares_by_account().values()]
            refused = [at for one in player.requests for at in one.refused_at]
            print(
                f"  {name:10} value {player.value():.3f} in time {shares} accounts {accounts} "
                f"refused {len(refused)}, after at most {max(refused, default=0)} ms"
            )
        self.check_promises(players["by terms"])
        floor = MIN_OF_EARLIER_VALUE * players["by copies"].value()
        self.assertGreaterEqual(players["by terms"].value(), floor)
        return players

    def check_promises(self, player: LoadPlayer) -> None:
        """Checks that nothing ran twice, and that refusals came before the limit."""
        for one in player.requests:
            if not one.kind.is_repeatable:
                self.assertLessEqual(one.runs, 1)
            for refused_at in one.refused_at:
                self.assertLess(refused_at, one.kind.terms.limit_ms)

    def check_urgent(self, player: LoadPlayer, kind: RequestClass, first: int, last: int) -> None:
        """Checks the share in time of a class in each second of a span."""
        for second in range(first, last):
            start = second * SECOND_MS
            share = player.share_in_time(kind, start, start + SECOND_MS)
            self.assertGreaterEqual(share, MIN_IN_TIME, f"second {second}")

    def test_burst_of_refreshes(self) -> None:
        """Guards against claims that are late in a burst of another class."""
        players = self.play(
            LEAGUE[:12], lambda: make_requests({REFRESH: burst(2.6), CLAIM: steady}, LOAD_MS)
        )
        self.check_urgent(players["by terms"], CLAIM, 0, 8)

    def test_accounts_in_a_burst(self) -> None:
        """Guards against an account with many requests that takes the turns of the others."""
        players = self.play(
            LEAGUE[:12], lambda: make_requests({REFRESH: burst(2.6), CLAIM: steady}, LOAD_MS)
        )
        small = list(players["by terms"].shares_by_account().values())[1:]
        before = list(players["by copies"].shares_by_account().values())[1:]
        self.assertGreater(min(small), max(before))

    def test_burst_of_claims_leaves_a_floor(self) -> None:
        """Guards against refreshes that get no turn while claims exceed the servers."""
        players = self.play(
            LEAGUE[:6], lambda: make_requests({REFRESH: steady, CLAIM: burst(4.0)}, LOAD_MS)
        )
        turns = [
            one.kind
            for one in players["by terms"].requests
            for run_at in one.run_at.values()
            if BURST[0] <= run_at < BURST[1]
        ]
        self.assertGreaterEqual(turns.count(REFRESH), MIN_SHARE_OF_TURNS * len(turns))
        in_time = {name: one.share_in_time(REFRESH, *BURST) for name, one in players.items()}
        self.assertGreater(in_time["by terms"], in_time["by copies"])

    def test_waves_on_uneven_servers_with_a_tail(self) -> None:
        """Guards against look-ups that wait behind streams on slow servers."""

        def wave(now: int) -> float:
            return 1 + 0.55 * math.sin(2 * math.pi * now / (15 * SECOND_MS))

        def make() -> list[PlayedRequest]:
            return make_requests({STREAM: wave, LOOK_UP: wave}, LOAD_MS, tail=(0.03, 7.0))

        players = self.play(SEARCH, make)
        self.assertGreaterEqual(players["by terms"].share_in_time(LOOK_UP), 0.97)

    def test_power_loss_with_its_backlog(self) -> None:
        """Guards against a backlog of old requests that makes the new ones late too."""

        def make() -> list[PlayedRequest]:
            requests = make_requests({REFRESH: steady, CLAIM: steady}, LOAD_MS)
            for one in requests:
                one.started_at = max(one.started_at, 2 * SECOND_MS)
            return requests

        def cool_down(player: LoadPlayer) -> None:
            for server in player.servers:
                server.speed = 1 / 1.6
                player.call_at(4 * SECOND_MS, lambda one=server: setattr(one, "speed", 1.0))

        players = self.play(LEAGUE, make, cool_down)
        self.check_urgent(players["by terms"], CLAIM, 3, 8)

    def test_slow_and_failing_upstreams(self) -> None:
        """Guards against claims that are late since a few upstreams are slow or fail."""

        def harm(player: LoadPlayer) -> None:
            for server in player.servers[:3]:
                server.speed = 0.2
            player.servers[3].fail_share = 0.3

        players = self.play(
            LEAGUE, lambda: make_requests({REFRESH: burst(2.6), CLAIM: steady}, LOAD_MS), harm
        )
        self.assertGreaterEqual(players["by terms"].share_in_time(CLAIM), 0.9)


if __name__ == "__main__":
    unittest.main()
