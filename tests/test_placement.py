"""Tests of candidate order, witnesses and quorums."""

import random
import unittest
from itertools import combinations

from shallotshore.placement import Placement, quorum_size


class FakeCatalog:
    """Fake catalog: the upstreams of services, and a revision that rises with each change."""

    data_centre = 1

    def __init__(self, members: dict[int, list[int]]) -> None:
        self.members = members
        self.revision = 1
        self.out: set[int] = set()

    def membership(self, service: int) -> int:
        return self.revision

    def upstreams_of(self, service: int) -> list[int]:
        return sorted(self.members.get(service, []))

    def upstream(self, upstream: int) -> "FakeCatalog | None":
        return None if upstream in self.out else self

    def is_data_centre_in_service(self, data_centre: int) -> bool:
        return True

    def set_out(self, upstreams: list[int]) -> None:
        self.out = set(upstreams)
        self.revision += 1


class PlacementTest(unittest.TestCase):
    """Guards against balancers and agents that differ on candidates and witnesses."""

    def setUp(self) -> None:
        rng = random.Random(1)
        self.ids = [rng.getrandbits(64) for _ in range(9)]
        self.keys = [rng.getrandbits(64) for _ in range(2000)]
        self.catalog = FakeCatalog({1: self.ids[:7], 2: self.ids[:2]})
        self.placement = Placement(self.catalog)

    def test_cached_order_equals_fresh_order_after_many_evictions(self) -> None:
        for key in self.keys:
            self.placement.order(1, key, 3)
            self.placement.order(2, key, 3)
        for key in self.keys:
            for service in (1, 2):
                fresh = Placement(self.catalog).order(service, key, 9)[:5]
                self.assertEqual(self.placement.witnesses(service, key), fresh)
            if key == self.keys[100]:
                break

    def test_change_takes_effect_at_once_and_replaces_at_most_one_witness(self) -> None:
        before = {key: set(self.placement.witnesses(1, key)) for key in self.keys}
        self.catalog.members[1] = self.ids[:8]
        self.catalog.revision = 2
        moved = [key for key in self.keys if before[key] != set(self.placement.witnesses(1, key))]
        self.assertTrue(moved)
        for key in moved:
            self.assertEqual(len(before[key] & set(self.placement.witnesses(1, key))), 4)

    def test_first_candidates_are_spread_evenly(self) -> None:
        counts = dict.fromkeys(self.ids[:7], 0)
        for key in self.keys:
            counts[self.placement.order(1, key, 1)[0]] += 1
        self.assertLess(max(counts.values()), 1.35 * len(self.keys) / 7)

    def test_former_witnesses_stay_known_for_the_life_of_a_claim(self) -> None:
        self.placement.refresh(0)
        before = {key: self.placement.witnesses(1, key) for key in self.keys}
        self.assertFalse(self.placement.knows_former_witnesses(1))
        self.catalog.set_out(self.ids[:3])
        self.placement.refresh(20_000)
        self.assertTrue(self.placement.knows_former_witnesses(1))
        for key in self.keys:
            present = self.placement.witnesses(1, key)
            former = self.placement.former_witnesses(1, key)
            self.assertFalse(set(present) & set(self.ids[:3]))
            self.assertLessEqual(set(before[key]), set(present) | set(former))
            self.assertFalse(set(present) & set(former))
        self.placement.refresh(34_000)
        self.assertEqual(self.placement.former_witnesses(1, self.keys[0]), ())

    def test_former_witnesses_are_unknown_when_a_service_is_first_used(self) -> None:
        self.placement.refresh(0)
        self.catalog.set_out(self.ids[:1])
        self.placement.refresh(20_000)
        self.assertFalse(self.placement.knows_former_witnesses(1))
        self.placement.refresh(26_000)
        self.assertTrue(self.placement.knows_former_witnesses(1, age=1000))
        self.assertFalse(self.placement.knows_former_witnesses(1, age=1001))
        self.placement.refresh(34_000)
        self.assertTrue(self.placement.knows_former_witnesses(1))

    def test_unknown_service_has_no_candidates(self) -> None:
        self.assertEqual(self.placement.order(3, self.keys[0], 3), ())

    def test_quorums_intersect_when_one_witness_is_replaced(self) -> None:
        before_change, after_change = range(5), range(1, 6)
        for left in combinations(before_change, quorum_size(5)):
            for right in combinations(after_change, quorum_size(5)):
                self.assertTrue(set(left) & set(right))
        self.assertEqual([quorum_size(count) for count in range(1, 5)], [1, 2, 2, 3])


if __name__ == "__main__":
    unittest.main()
