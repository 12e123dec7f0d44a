"""Tests of the check of a configuration document before it is sent."""

import copy
import json
import unittest
from typing import Any
from unittest import mock

from adapter.configuration_document import PlatformConfigurationFormat
from adapter.entries import decode_configuration
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotshore.codes import Code
from shallotshore.configuration_report import ConfigurationReport, check_configuration
from tests.odd_entries import NESTING, NUMBERS, SHAPES, WRONG_TYPES, json_values

A, B = "huvo11a", "wuno96b"
DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-a",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "type": "safe",
            "timeoutMs": 3633,
            "targetLatencyMs": 302,
            "priority": 2,
            "trafficSplit": [{"service": A, "weight": 90}, {"service": B, "weight": 10}],
            "attempts": 2,
        },
        {"name": "r-b", "host": "198.18.0.2", "prefix": "/8443/", "service": B, "timeoutMs": 600},
    ],
    "services": [
        {
            "name": name,
            "healthPath": "/health",
            "maxConnections": 2000,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 2.0,
            "coldPerS": 0.0,
        }
        for name in (A, B)
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
ROUTE, SPLIT = ("routes", 0), ("routes", 0, "trafficSplit")
# Path and value to set, then code and path of the only problem.
ONE_PROBLEM = (
    # Entries that can never match.
    ((*ROUTE, "host"), "198.18.0.2", Code.ROUTE_ADDRESS_TAKEN, "routes[1].host"),
    ((*ROUTE, "name"), "r-b", Code.RECORD_DUPLICATE, "routes[1].name"),
    ((*ROUTE, "host"), "198.18.0.01", Code.RECORD_FIELD_VALUE, "routes[0].host"),
    ((*ROUTE, "prefix"), "/65536/", Code.RECORD_FIELD_VALUE, "routes[0].prefix"),
    ((*ROUTE, "prefix"), "8443", Code.RECORD_FIELD_VALUE, "routes[0].prefix"),
    (("routes", 1, "service"), "x", Code.RECORD_REFERENCE_UNKNOWN, "routes[1].service"),
    (
        (*SPLIT, 1, "service"),
        "x",
        Code.RECORD_REFERENCE_UNKNOWN,
        "routes[0].trafficSplit[1].service",
    ),
    (SPLIT, [{"service": A, "weight": 0}], Code.SPLIT_WITHOUT_WEIGHT, "routes[0].trafficSplit"),
    (SPLIT, [], Code.SPLIT_WITHOUT_WEIGHT, "routes[0].trafficSplit"),
    ((*SPLIT, 1, "service"), A, Code.SPLIT_SERVICE_REPEATED, "routes[0].trafficSplit[1].service"),
    ((*ROUTE, "service"), A, Code.RECORD_FIELD_VALUE, "routes[0].service"),
    (SPLIT, None, Code.RECORD_FIELD_MISSING, "routes[0].service"),
    # Limits that contradict each other or that no server can keep.
    ((*ROUTE, "targetLatencyMs"), 3634, Code.TARGET_ABOVE_LIMIT, "routes[0].targetLatencyMs"),
    ((*ROUTE, "targetLatencyMs"), 0, Code.LIMIT_UNATTAINABLE, "routes[0].targetLatencyMs"),
    (("routes", 1, "timeoutMs"), 0, Code.LIMIT_UNATTAINABLE, "routes[1].timeoutMs"),
    (("routes", 1, "timeoutMs"), 0.4, Code.LIMIT_UNATTAINABLE, "routes[1].timeoutMs"),
    (("services", 1, "coldPerS"), 1.5, Code.LIMIT_UNATTAINABLE, "routes[1].timeoutMs"),
    (("services", 0, "maxConnections"), 0, Code.LIMIT_UNATTAINABLE, "services[0].maxConnections"),
    (("limits", "idleTimeoutMs"), 0, Code.LIMIT_UNATTAINABLE, "limits.idleTimeoutMs"),
    (("services", 2), {"name": "x", "coldPerS": 2}, Code.COLD_LIMIT_UNUSED, "services[2].coldPerS"),
    (("services", 2), {"name": A}, Code.RECORD_DUPLICATE, "services[2].name"),
    # Fields that cannot be read.
    (("version",), -1, Code.RECORD_FIELD_VALUE, "version"),
    (("version",), "7", Code.RECORD_FIELD_TYPE, "version"),
    ((*ROUTE, "type"), "secure", Code.RECORD_FIELD_VALUE, "routes[0].type"),
    ((*ROUTE, "timeoutMs"), True, Code.RECORD_FIELD_TYPE, "routes[0].timeoutMs"),
    ((*ROUTE, "timeoutMs"), 1 << 31, Code.RECORD_FIELD_VALUE, "routes[0].timeoutMs"),
    ((*SPLIT, 1, "weight"), -1, Code.RECORD_FIELD_VALUE, "routes[0].trafficSplit[1].weight"),
    ((*SPLIT, 1), 3, Code.RECORD_FIELD_TYPE, "routes[0].trafficSplit[1]"),
    (
        ("routes", 2),
        {"host": "198.18.0.3", "service": A},
        Code.RECORD_FIELD_MISSING,
        "routes[2].prefix",
    ),
    (("services", 2), [], Code.RECORD_FIELD_TYPE, "services[2]"),
    (("services", 0, "tls"), 0, Code.RECORD_FIELD_TYPE, "services[0].tls"),
    (("limits",), [], Code.RECORD_FIELD_TYPE, "limits"),
    (("Limits",), {}, Code.RECORD_FIELD_UNKNOWN, "limits"),
    (("services", 0, "cold_per_s"), 1, Code.RECORD_FIELD_UNKNOWN, "services[0].coldPerS"),
    (("limits", "idletimeoutMs"), 1, Code.RECORD_FIELD_UNKNOWN, "limits.idleTimeoutMs"),
    ((*ROUTE, "target_latency_ms"), 1, Code.RECORD_FIELD_UNKNOWN, "routes[0].targetLatencyMs"),
)


def change(path: tuple[str | int, ...], value: object, document: Any = DOCUMENT) -> Any:
    """Returns a copy of the document in which one value is replaced or added."""
    changed = copy.deepcopy(document)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    if isinstance(parent, list) and path[-1] == len(parent):
        parent.append(value)
    else:
        parent[path[-1]] = value
    return changed


def check(document: object, in_force: object = None) -> ConfigurationReport:
    """Checks a document, given as an object or as bytes."""
    texts = [
        one if isinstance(one, bytes) else json.dumps(one).encode()
        for one in (document, in_force)
        if one is not None
    ]
    return check_configuration(
        PlatformConfigurationFormat(), *zip(("new", "old"), texts, strict=False)
    )


def paths_of(value: object) -> list[tuple[str | int, ...]]:
    """Returns the paths of all values inside a document."""
    items = value.items() if isinstance(value, dict) else enumerate(value)  # type: ignore[arg-type]
    found: list[tuple[str | int, ...]] = []
    for key, inner in items:
        found.append((key,))
        if isinstance(inner, dict | list):
            found += [(key, *path) for path in paths_of(inner)]
    return found


class ProblemTest(unittest.TestCase):
    """Tests which problems are found, and where."""

    def test_each_kind_of_problem_is_found_alone(self) -> None:
        """Guards against a fault that is noticed only by callers, and against follow-up problems.

        Such a fault is a route that never matches, a split without weights, a limit that every
        request exceeds, or a misspelt field that is ignored.
        """
        for path, value, code, place in ONE_PROBLEM:
            with self.subTest(path=path, value=value):
                problems = check(change(path, value)).problems
                self.assertEqual([(code, "new", place)], [problem[:3] for problem in problems])

    def test_all_problems_are_listed_at_once(self) -> None:
        """Guards against a report that shows one more problem with each correction."""
        document = DOCUMENT
        for path in ("prefix", "host", "priority"):
            document = change((*ROUTE, path), [], document)
        document = change(("routes", 1, "service"), "x", document)
        document = change(("limits", "maxBodyBytes"), "x", document)
        self.assertEqual(5, len(check(document).problems))

    def test_repeated_field_is_found(self) -> None:
        """Guards against a field given twice, of which the first value is silently ignored."""
        text = json.dumps(DOCUMENT).replace('"weight": 10', '"weight": 0, "weight": 10')
        (problem,) = check(text.encode()).problems
        self.assertEqual((Code.RECORD_FIELD_REPEATED, "'weight'"), (problem.code, problem.field))

    def test_refusal_by_processes_is_a_problem(self) -> None:
        """Guards against a check that accepts a document after the processes' decoder changed."""
        name = "adapter.configuration_document.decode_configuration"
        with mock.patch(name, side_effect=OverflowError("too large")):
            (problem,) = check(DOCUMENT).problems
        self.assertEqual(Code.RECORD_FIELD_VALUE, problem.code)
        self.assertIn("OverflowError: too large", problem.detail)

    def test_documents_that_are_valid_have_no_problem(self) -> None:
        """Guards against a check that operators learn to ignore because of false problems."""
        for path, value in (
            (("version",), 8),
            (("services", 0, "coldPerS"), 0.5),  # 2,000 ms, below the route's limit
            (("services", 2), {"name": "idle"}),
            ((*SPLIT, 1, "weight"), 0),
            ((*ROUTE, "targetLatencyMs"), 3633),
            (("routes", 1, "trafficSplit"), None),
            (("limits", "maxBodyBytes"), 0),
            (("future",), {"field": 1}),
        ):
            with self.subTest(path=path, value=value):
                self.assertEqual([], check(change(path, value)).problems)
        for count in (0, 300):
            routes = [
                {**DOCUMENT["routes"][1], "name": f"r{port}", "prefix": f"/{port + 1}/"}
                for port in range(count)
            ]
            self.assertEqual([], check({**DOCUMENT, "routes": routes}).problems)


class ComparisonTest(unittest.TestCase):
    """Tests the comparison with the configuration in force."""

    def test_changes_are_listed_field_by_field(self) -> None:
        """Guards against a change that goes out unseen among hundreds of routes."""
        new = change(("version",), 8)
        new["routes"][0] |= {"name": "r-c", "prefix": "/9443/"}
        new["routes"][1] |= {"timeoutMs": 900, "priority": 1}
        new["services"][0]["maxConnections"] = 5
        new["limits"]["idleTimeoutMs"] = 9
        report = check(new, DOCUMENT)
        self.assertEqual([], report.problems)
        self.assertEqual(
            [
                "Changes from version 7 to version 8:",
                "  Route 'r-a' is removed (198.18.0.1:8443 to 'huvo11a' with weight 90, 'wuno96b'"
                " with weight 10).",
                "  Route 'r-b' changes: timeoutMs from 600 to 900; priority from no value to 1.",
                "  Route 'r-c' is added (198.18.0.1:9443 to 'huvo11a' with weight 90, 'wuno96b'"
                " with weight 10).",
                "  Service 'huvo11a' changes: maxConnections from 2000 to 5.",
                "  The limits change: idleTimeoutMs from 15000 to 9.",
            ],
            report.changes,
        )

    def test_version_has_to_rise(self) -> None:
        """Guards against a configuration that processes ignore because of its version."""
        for version, code in (
            (6, Code.REVISION_NOT_RISING),
            (7, Code.REVISION_NOT_RISING),
            (8, None),
        ):
            report = check(change(("version",), version), DOCUMENT)
            self.assertEqual([code] if code else [], [problem.code for problem in report.problems])

    def test_unreadable_version_in_force_is_a_problem(self) -> None:
        """Guards against a comparison that silently does not take place."""
        (problem,) = check(DOCUMENT, b"{").problems
        self.assertEqual((Code.RECORD_NOT_JSON, "old"), (problem.code, problem.file))


class OddDocumentTest(unittest.TestCase):
    """Guards against a traceback, and against accepting a document that processes refuse."""

    def play(self, text: bytes) -> None:
        """Checks a document, alone and in force."""
        problems = check(text).problems
        check(DOCUMENT, text)
        try:
            decode_configuration(text)
        except Exception:
            self.assertTrue(problems, text[:300])

    def test_listed_documents(self) -> None:
        """Other shapes, and each value replaced by wrong types, large numbers or deep nesting."""
        for text in (*SHAPES, b" " * (1 << 20) + b"{}", b'{"a":{},"a":[],"a":1}'):
            self.play(text)
        nested = [template * depth for depth in NESTING for template in ("[", '{"a":')]
        nested += ["[" * depth + "]" * depth for depth in NESTING]
        for path in paths_of(DOCUMENT):
            marked = json.dumps(change(path, "MARK"))
            for value in (*NUMBERS, *WRONG_TYPES, '"\\ud800"', '"\\u0000"', '"\u0668"'):
                self.play(marked.replace('"MARK"', value).encode())
        for path in ((*ROUTE, "timeoutMs"), ("future",), ("routes",)):
            for value in nested:
                self.play(json.dumps(change(path, "MARK")).replace('"MARK"', value).encode())

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.data())
    def test_drawn_document(self, data: st.DataObject) -> None:
        """Up to three values replaced by drawn ones, or any bytes."""
        if data.draw(st.booleans()):
            self.play(
                data.draw(
                    st.binary(max_size=100) | json_values.map(lambda v: json.dumps(v).encode())
                )
            )
            return
        document: Any = DOCUMENT
        for _ in range(data.draw(st.integers(1, 3))):
            path = data.draw(st.sampled_from(paths_of(document)))
            document = change(path, data.draw(json_values), document)
        self.play(json.dumps(document).encode())


if __name__ == "__main__":
    unittest.main()
