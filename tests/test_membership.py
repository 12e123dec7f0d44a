"""Tests of the VM list."""

import unittest

from shallotshore.hashing import name_id
from shallotshore.membership import READERS_PER_DATA_CENTRE, RELAY_FAN_OUT, Membership
from shallotshore.messages import Address, Entry
from standins.vm_list import encode_vm

SUVA = name_id("data_centre", "suva-a")


def address(number: int) -> Address:
    """Returns the address of a balancer."""
    return ("10.0.0.1", 7000 + number)


def vm_entry(number: int, revision: int, state: str = "live", role: str = "balancer") -> Entry:
    """Returns one entry of the VM list."""
    text = encode_vm(f"vm-{number}", role, address(number), "suva-a", state)
    return Entry(f"vm/vm-{number}", revision, text)


class MembershipTest(unittest.TestCase):
    """Guards the roles of balancers: with a gap in the relay tree, balancers miss updates."""

    def setUp(self) -> None:
        self.membership = Membership()
        self.membership.apply_revision(1, [vm_entry(number, 1) for number in range(100)])

    def test_tree_reaches_every_balancer_in_three_hops(self) -> None:
        reached = set(self.membership.readers(SUVA))
        self.assertEqual(len(reached), READERS_PER_DATA_CENTRE)
        for _ in range(3):
            for balancer in list(reached):
                children = self.membership.children(balancer, SUVA)
                self.assertLessEqual(len(children), RELAY_FAN_OUT + READERS_PER_DATA_CENTRE - 1)
                reached.update(children)
        self.assertEqual(reached, set(self.membership.balancers(SUVA)))

    def test_parents_change_only_when_a_parent_leaves(self) -> None:
        before = {upstream: self.membership.parents(upstream, SUVA) for upstream in range(1000)}
        self.membership.apply_revision(2, [vm_entry(7, 2, "leaving"), Entry("vm/vm-8", 2, b"")])
        gone = {address(7), address(8)}
        for upstream, parents in before.items():
            after = self.membership.parents(upstream, SUVA)
            kept = [parent for parent in parents if parent not in gone]
            self.assertEqual(after[: len(kept)], kept)
            self.assertFalse(gone & set(after))

    def test_agents_are_listed_only_while_they_leave(self) -> None:
        self.membership.apply_revision(2, [vm_entry(200, 2, role="agent")])
        self.assertEqual(len(self.membership.store), 100)
        self.membership.apply_revision(3, [vm_entry(200, 3, "leaving", "agent")])
        self.assertTrue(self.membership.is_leaving(address(200)))
        self.assertFalse(self.membership.is_balancer(address(200)))
        self.membership.apply_revision(4, [vm_entry(200, 4, role="agent")])
        self.assertFalse(self.membership.is_leaving(address(200)))

    def test_address_reused_by_a_new_vm_stays_listed(self) -> None:
        text = encode_vm("vm-new", "balancer", address(3), "suva-a")
        self.membership.apply_revision(2, [Entry("vm/vm-new", 2, text)])
        self.membership.apply_revision(3, [Entry("vm/vm-3", 3, b"")])
        self.assertTrue(self.membership.is_balancer(address(3)))
