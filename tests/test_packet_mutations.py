"""Lets a known fault into the packet front end, and checks that the test against it fails.

docs/promises.md lists the faults. tests/test_mutations.py does the same for the own interface.
"""

import unittest
from collections.abc import Iterable
from contextlib import ExitStack
from unittest import mock

from shallotshore.packets.balancer_state import BalancerState
from shallotshore.packets.directory import DirectorySystem
from shallotshore.packets.view import Upstream
from shallotshore.systems import Core


def accept_unlisted(self: DirectorySystem, now: int) -> None:
    """Lets upstreams without a record get new flows, whatever the list says."""
    self._state.upstreams.are_unlisted_usable = True


def choose_newest(records: Iterable[Upstream], *_: object) -> Upstream | None:
    """Takes the newest record of a VM for its upstream's, whatever the agent reports."""
    return max(records, key=lambda record: record.revision, default=None)


def is_silent(state: BalancerState, row: int, now: int) -> bool:
    """Takes a VM for gone as soon as its agent is silent, without a look at the VM."""
    return not state.upstreams.has_fresh_report(row, now)


# For each fault: the test against it, and what is replaced to let it in.
CASES: dict[str, tuple[str, dict[str, object]]] = {
    "opening_from_a_reused_port_is_a_copy": (
        "tests.test_reused_ports.ReusedPortTest.test_after_both_ends_have_closed",
        {"shallotshore.packets.agent_tables.FlowTable.is_reopening": lambda *_: False},
    ),
    "stopping_agent_drops_what_it_holds": (
        "tests.test_graceful_stops.AgentStopTest.test_held_openings_go_to_other_agents",
        {"shallotshore.packets.openings.pass_to_next_candidate": lambda *_: None},
    ),
    "removed_upstream_is_used_after_a_restart": (
        "tests.test_restarts.RemovedUpstreamTest.test_restarted_balancer_does_not_use_it",
        {"shallotshore.packets.directory.DirectorySystem._decide_on_unlisted": accept_unlisted},
    ),
    "withdrawn_key_stays_in_use": (
        "tests.test_datagrams.FrameTest.test_a_file_that_could_not_be_read_is_read_again",
        {"shallotshore.security.MacKeys.reload": lambda self: False},
    ),
    "flows_of_a_silent_agent_are_given_up": (
        "tests.test_packet_flows.UpstreamFaultTest"
        ".test_flow_is_kept_when_its_agent_starts_again_late",
        {"shallotshore.packets.search.is_gone": is_silent},
    ),
    "lost_requests_count_for_ever": (
        "tests.test_abandoned_requests.AbandonedRequestTest"
        ".test_restart_of_the_upstream_ends_its_requests",
        {"shallotshore.packets.agent_state.AgentState.forget_requests": lambda self: None},
    ),
    "records_are_not_checked_where_they_enter": (
        "tests.test_odd_entries.OddEntryTest.test_listed_entries",
        {"adapter.entries.check_limits": lambda record: record},
    ),
    "newest_entry_of_a_vm_counts": (
        "tests.test_record_choice.ForeignEntriesTest.test_leaving_upstream_stays_out_of_use",
        {
            "shallotshore.packets.upstream_table.choose_record": choose_newest,
            "shallotshore.packets.own_upstream.choose_record": choose_newest,
        },
    ),
    "one_faulty_system_stops_the_others": (
        "tests.test_hostile_messages.HostileMessageTest"
        ".test_failed_system_does_not_stop_the_others",
        {"shallotshore.packets.packet_core.PacketCore.tick": Core.tick},
    ),
}


def run_test(name: str) -> bool:
    """Runs one test and returns whether it passes."""
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromName(name).run(result)
    return result.testsRun == 1 and result.wasSuccessful()


class PacketMutationTest(unittest.TestCase):
    """Guards against tests that pass whatever the code does."""

    def test_each_fault_is_noticed(self) -> None:
        for name, (test, replacements) in CASES.items():
            with self.subTest(name), ExitStack() as stack:
                for target, replacement in replacements.items():
                    stack.enter_context(mock.patch(target, replacement))
                self.assertFalse(run_test(test), "the test passes although the fault is there")

    def test_each_test_passes_without_its_fault(self) -> None:
        for name, (test, _) in CASES.items():
            with self.subTest(name):
                self.assertTrue(run_test(test))


if __name__ == "__main__":
    unittest.main()
