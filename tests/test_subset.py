"""Choice of the agents that a balancer subscribes to."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from shallotshore.packets.subset import arc_length, arc_start, choose_arc, ring_order

BALANCERS = st.sets(st.integers(1, 1 << 32), min_size=1, max_size=60)
HOSTS = st.sets(st.integers(1, 1 << 32), min_size=1, max_size=140)


def choose(own: int, balancers: set[int], hosts: set[int], minimum: int, coverage: int) -> set[int]:
    """Returns the arc of a balancer when every host is usable."""
    length = arc_length(minimum, len(hosts), len(balancers), coverage)
    start = arc_start(own, ring_order(balancers), len(hosts))
    return set(choose_arc(ring_order(hosts), start, length, lambda _: True))


class SubsetTest(unittest.TestCase):
    """Arcs of all balancers of a fleet."""

    @given(BALANCERS, HOSTS, st.integers(1, 8))
    def test_each_host_has_its_fair_share_of_subscribers(
        self, balancers: set[int], hosts: set[int], coverage: int
    ) -> None:
        """Guards against agents without a subscriber, and agents with far too many."""
        counts: Counter[int] = Counter()
        for own in balancers:
            counts.update(choose(own, balancers, hosts, 7, coverage))
        fair_share = sum(counts.values()) / len(hosts)
        self.assertGreaterEqual(min(counts[host] for host in hosts), min(coverage, len(balancers)))
        self.assertLessEqual(max(counts.values()), -(-1.25 * fair_share // 1))

    @given(BALANCERS, HOSTS, st.sets(st.integers(1 << 33, 1 << 34), max_size=4))
    def test_views_that_differ_by_few_members_choose_nearly_the_same(
        self, balancers: set[int], hosts: set[int], added: set[int]
    ) -> None:
        """Guards against a fleet that subscribes anew whenever one balancer joins or leaves."""
        own = min(balancers)
        before = choose(own, balancers, hosts, 7, 0)
        after = choose(own, balancers | added, hosts, 7, 0)
        shift = len(added) * (len(hosts) // len(balancers) + 1) + 1
        self.assertLessEqual(len(before ^ after), 2 * shift)
        with_new_hosts = choose(own, balancers, hosts | added, 7, 0)
        self.assertLessEqual(len(before ^ with_new_hosts), 4 * len(added) + 2)

    def test_arc_grows_past_hosts_that_take_no_flows(self) -> None:
        """Guards against a balancer whose whole subset is leaving, cold or gone."""
        hosts = ring_order(range(1, 41))
        unusable = set(hosts[10:20])
        chosen = choose_arc(hosts, 10, 5, lambda host: host not in unusable)
        self.assertEqual(hosts[10:25], chosen)
        self.assertEqual(40, len(choose_arc(hosts, 10, 5, lambda _: False)))


if __name__ == "__main__":
    unittest.main()
