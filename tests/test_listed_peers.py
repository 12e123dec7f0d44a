"""Tests of the balancers that receive health events and hints, by the VM list."""

import unittest

from shallotshore.hashing import name_id
from shallotshore.listed_peers import ListedPeers
from shallotshore.membership import Membership
from shallotshore.messages import Address, Entry
from standins.vm_list import encode_vm

CENTRES = ("suva-a", "suva-b", "suva-c")
AGENT = ("10.9.9.9", 1)


def address(number: int) -> Address:
    """Returns the address of a balancer."""
    return ("10.0.0.1", 7000 + number)


def membership_of(count: int) -> Membership:
    """Returns a list of balancers spread over the data centres."""
    membership = Membership()
    entries = []
    for number in range(count):
        text = encode_vm(f"vm-{number}", "balancer", address(number), CENTRES[number % 3], "live")
        entries.append(Entry(f"vm/vm-{number}", 1, text))
    membership.apply_revision(1, entries)
    return membership


class ListedPeersTest(unittest.TestCase):
    """Guards against events that miss a balancer, and events that circulate."""

    def relay_event(self, count: int) -> tuple[set[Address], int]:
        """Relays an event from balancer 5; returns the balancers reached and the events sent."""
        membership = membership_of(count)
        peers = {
            address(number): ListedPeers(address(number), CENTRES[number % 3], membership)
            for number in range(count)
        }
        reached, sent = {address(5)}, 0
        queue = [(address(5), True)]
        while queue:
            sender, is_origin = queue.pop()
            for target in peers[sender].event_targets(is_origin):
                sent += 1
                if target not in reached:
                    reached.add(target)
                    queue.append((target, False))
        return reached, sent

    def test_event_reaches_all_of_few_balancers_directly(self) -> None:
        reached, sent = self.relay_event(9)
        self.assertEqual((len(reached), sent), (9, 8))

    def test_event_reaches_all_of_many_balancers_through_the_trees(self) -> None:
        reached, sent = self.relay_event(300)
        self.assertEqual(len(reached), 300)
        self.assertLess(sent, 400)

    def test_hint_goes_to_all_of_few_balancers_and_is_not_relayed_again(self) -> None:
        peers = ListedPeers(address(0), CENTRES[0], membership_of(4))
        self.assertEqual(set(peers.hint_targets(AGENT)), {address(1), address(2), address(3)})
        self.assertEqual(peers.hint_targets(address(1)), ())
        many = ListedPeers(address(0), CENTRES[0], membership_of(300))
        self.assertEqual(many.hint_targets(AGENT), ())

    def test_change_of_the_vm_list_takes_effect(self) -> None:
        membership = membership_of(4)
        peers = ListedPeers(address(0), CENTRES[0], membership)
        data_centre = name_id("data_centre", CENTRES[0])
        upstreams = range(200)
        before = [upstream for upstream in upstreams if peers.is_parent(upstream, data_centre)]
        self.assertEqual(len(before), 200)
        text = encode_vm("vm-1", "balancer", address(1), CENTRES[1], "leaving")
        membership.apply_revision(2, [Entry("vm/vm-1", 2, text)])
        self.assertNotIn(address(1), peers.event_targets(True))
        self.assertTrue(peers.is_leaving(address(1)))


if __name__ == "__main__":
    unittest.main()
