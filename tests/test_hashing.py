"""Tests of keys and rendezvous order."""

import unittest

from shallotshore import hashing


class RankTest(unittest.TestCase):
    """Guards against moving keys of the remaining members when a member is removed.

    Placement relies on this to keep the witnesses of a key.
    """

    def test_removing_a_member_moves_only_its_own_keys(self) -> None:
        members = [hashing.name_id("upstream", f"u{i}") for i in range(10)]
        for key in range(1000):
            before = hashing.rank(key, members, 2)
            after = hashing.rank(key, members[1:], 1)
            expected = before[1] if before[0] == members[0] else before[0]
            self.assertEqual(after[0], expected)

    def test_keys_spread_evenly_for_sequential_keys(self) -> None:
        members = [hashing.name_id("upstream", f"u{i}") for i in range(7)]
        counts = dict.fromkeys(members, 0)
        for key in range(7000):
            counts[hashing.rank(key, members, 1)[0]] += 1
        self.assertLess(max(counts.values()), 1.15 * 1000)

    def test_scores_of_many_members_at_once_equal_those_of_each(self) -> None:
        for count in (0, 1, 5, 18, 256, 300):
            members = [hashing.name_id("upstream", f"u{i}") for i in range(count)]
            key = hashing.name_id("service", f"s{count}")
            ordered = sorted(members, key=lambda member: hashing.score(key, member), reverse=True)
            self.assertEqual(hashing.rank(key, members, 8), ordered[:8])

    def test_resend_from_another_port_has_the_same_request_key(self) -> None:
        vip = ("10.0.0.1", 80)
        self.assertEqual(hashing.request_key(vip, b"a" * 16), hashing.request_key(vip, b"a" * 16))
        self.assertNotEqual(
            hashing.request_key(vip, b"a" * 16), hashing.request_key(("10.0.0.2", 80), b"a" * 16)
        )
