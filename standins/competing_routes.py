"""Two routes of different priority on one service, on the virtual clock."""

__all__ = [
    "BURST_FACTOR",
    "BURST_MS",
    "CLAIM",
    "PRIORITIES",
    "REFRESH",
    "SECOND_MS",
    "TERMS",
    "UPSTREAMS",
    "CompetingRoutes",
]

import random
from collections import Counter

from shallotshore.scheduling.terms import RequestTerms
from standins.packet_load import LoadShape, PacketLoad, RequestRecord
from standins.packet_world import PacketWorld

SECOND_MS = 1_000
CALM_MS = 2_000  # of load before a burst
BURST_MS = 4_000
BURST_FACTOR = 2.6
DOWN_MS = 1_400
REQUEST_MS = 43
SLOTS = 2
UPSTREAMS = tuple(f"10.1.0.{number}" for number in range(1, 8))
BALANCERS = ("10.1.9.1", "10.1.9.2")
CLAIM_VIP, REFRESH_VIP = ("198.18.0.1", 443), ("198.18.0.2", 443)
TERMS = {CLAIM_VIP: RequestTerms(1, 352, 3_516), REFRESH_VIP: RequestTerms(2, 353, 2_940)}
PRIORITIES = {vip: RequestTerms(terms.priority) for vip, terms in TERMS.items()}  # no terms
CLAIM = LoadShape(43, 352, 3_516, False, False, CLAIM_VIP)
REFRESH = LoadShape(150, 353, 2_940, False, True, REFRESH_VIP)
CLAIM_VALUES, REFRESH_VALUES = (2.0, 0.2), (1.0, 0.1)  # in time, late


class CompetingRoutes:
    """A fifth of the first customer's load, on servers that a burst of refreshes overloads."""

    __slots__ = ("load", "started_at", "world")

    def __init__(self, terms: dict[tuple[str, int], RequestTerms], seed: int = 1) -> None:
        self.world = PacketWorld(seed)
        self.world.configure({CLAIM_VIP: "spend", REFRESH_VIP: "spend"}, terms=terms)
        for host in UPSTREAMS:
            self.start_agent(host, is_first_start=True)
            self.world.publish(host)
            self.world.upstreams[host].request_duration_ms = REQUEST_MS
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)
        self.world.run(3 * SECOND_MS)
        self.load = PacketLoad(self.world, random.Random(seed))
        self.load.start(CLAIM)
        self.load.start(REFRESH)
        self.world.run(CALM_MS)
        self.started_at = self.world.now

    def start_agent(self, host: str, is_first_start: bool = False) -> None:
        """Starts the agent of a host."""
        self.world.add_agent(host, slots=SLOTS, is_first_start=is_first_start)

    def lose_power(self) -> None:
        """Ends all processes and flows at once; they are back after `DOWN_MS`."""
        world = self.world
        world.balancers.clear()
        world.agents.clear()
        for upstream in world.upstreams.values():
            upstream.restart()
            upstream.is_silent = True
        world.call_later(DOWN_MS, self._return)

    def _return(self) -> None:
        for host in UPSTREAMS:
            self.world.upstreams[host].is_silent = False
            self.start_agent(host)
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)

    def play_burst(self) -> None:
        """Plays a burst of refreshes, and the time until all its requests have ended."""
        self.load.factors[REFRESH] = BURST_FACTOR
        self.world.run(BURST_MS)
        self.load.factors[REFRESH] = 1.0
        self.world.run(REFRESH.deadline_ms + SECOND_MS)

    @property
    def refused_at(self) -> list[int]:
        """Times (ms) at which clients were reset before their flows had opened."""
        clients = self.world.clients.values()
        return [one.reset_at for one in clients if one.reset_at and one.was_reset_opening]

    def made(self, shape: LoadShape, first: int, last: int) -> list[RequestRecord]:
        """Returns the requests of a kind that were made from one second of the burst to another."""
        start, end = (self.started_at + second * SECOND_MS for second in (first, last))
        return [one for one in self.load.made_between(start, end) if one.shape is shape]

    def share_in_time(self, shape: LoadShape, first: int, last: int) -> float:
        """Returns the share of these requests that were answered in time."""
        made = self.made(shape, first, last)
        return sum(record.is_in_time for record in made) / len(made)

    def value(self, first: int, last: int) -> float:
        """Returns what the answers were worth to callers, as a share of the best."""
        earned = best = 0.0
        for shape, values in ((CLAIM, CLAIM_VALUES), (REFRESH, REFRESH_VALUES)):
            for record in self.made(shape, first, last):
                best += values[0]
                if record.answered_at is not None:
                    earned += values[0] if record.is_in_time else values[1]
        return earned / best

    def max_runs(self) -> int:
        """Returns how often a request was run that must not be repeated, at most."""
        runs: Counter[bytes] = Counter()
        for upstream in self.world.upstreams.values():
            runs.update(upstream.executed_requests)
        claims = (one for one in self.load.records if not one.shape.is_repeatable)
        return max(runs[record.payload] for record in claims)
