"""Tests of the demo's table of results."""

import unittest
from types import SimpleNamespace

from shallotshore.codes import Code, Outcome
from standins.caller_state import CallerLog, FeedEnd, RequestEnd
from standins.demo_table import build_rows, format_table
from standins.journal import Journal, Span
from standins.upstream_state import RequestRun, UpstreamLog


def request(request_id: bytes, outcome: int, repeatable: bool = False) -> RequestEnd:
    """Returns a request that ended after 100 ms."""
    return RequestEnd("ba", request_id, repeatable, False, 0, 100, outcome, 0)


class TableTest(unittest.TestCase):
    """Guards against a table that hides broken feeds or lost or doubled requests."""

    def setUp(self) -> None:
        log = CallerLog()
        log.sessions = {1: "desk-1/1/1"}
        log.broken_feeds = [
            FeedEnd("ba", 2, "desk-1/1/2", 0, 90, 100, Code.FLOW_LOST),
            FeedEnd("ba", 3, "desk-2/1/1", 0, 490, 500, Code.DATA_CENTRE_OUT),
        ]
        log.requests = [
            request(b"once", Outcome.DONE),
            request(b"twice", Outcome.DONE),
            request(b"again", Outcome.DONE, repeatable=True),
            request(b"gone", 0),
            request(b"late", 0),
            request(b"refused", Outcome.NOT_RUN),
            request(b"unclear", Outcome.UNKNOWN),
        ]
        log.answered_late = {b"late"}
        runs = [
            RequestRun(request_id, "ba", 1, 0, 50)
            for request_id in (b"once", b"twice", b"again", b"again")
        ]
        upstream_logs = {"desk-1": UpstreamLog(runs=runs), "desk-2": UpstreamLog()}
        upstream_logs["desk-2"].runs.append(RequestRun(b"twice", "ba", 1, 0, 50))
        journal = Journal(out={"suva-b": [Span(400)]})
        places = {"desk-1": "suva-a", "desk-2": "suva-b"}
        self.world = SimpleNamespace(
            callers={("ba", "desk"): SimpleNamespace(customer="ba", service="desk", log=log)},
            upstream_logs=upstream_logs,
            journal=journal,
            server=lambda name: SimpleNamespace(
                settings=SimpleNamespace(data_centre=places[name], service="desk", slots=1)
            ),
        )

    def test_every_fault_is_counted_once(self) -> None:
        """Guards against a fault that is missing from the counts or counted in two columns."""
        row = build_rows(self.world, (0, 100), {"desk": 7})[0]  # type: ignore[arg-type]
        self.assertEqual((row.flows, row.broken, row.given_up), (3, 1, 1))
        self.assertEqual((row.requests, row.done, row.lost, row.late), (7, 3, 1, 1))
        self.assertEqual(row.doubled, 1)
        self.assertEqual((row.not_run, row.unknown, row.late_packets), (1, 1, 7))
        self.assertEqual((row.p50, row.imbalance), (100, 1.6))

    def test_columns_are_aligned(self) -> None:
        """Guards against rows and headings of different widths."""
        lines = format_table(build_rows(self.world, (0, 100), {})).splitlines()  # type: ignore[arg-type]
        self.assertEqual(len(lines), 2)
        self.assertEqual(len(lines[0]), len(lines[1]))
