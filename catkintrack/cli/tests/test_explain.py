"""Test that requests are traced and counted from log lines of several instances."""

import unittest

from catkintrack.cli.explain_commands import (
    build_request_trace,
    count_outcomes,
    format_request_trace,
    read_records,
)

LINES = (
    '  4.31 n1 {"at": "2026-01-18 18:22:21,027", "level": "WARNING", '
    '"message": "store lost", "instance": "n1", "reason": "status 503"}',
    '{"at": "2026-01-18 18:22:23,500", "message": "call ended", "instance": "n1", '
    '"request_id": "r1", "outcome": "outcome_unknown", "reason": "broken: reset", '
    '"duration_s": 0.4, "waited_s": 0.1, "route": "order", "workspace": "w1", '
    '"config": 7, "attempts": [{"upstream": "a0", "at_s": 0.1, "in_flight": 3, '
    '"outcome": "broken: reset"}]}',
    '{"at": "2026-01-18 18:22:24,100", "message": "call ended", "instance": "n2", '
    '"request_id": "r2", "outcome": "served", "reason": "", "duration_s": 0.1}',
    '{"at": "2026-01-18 18:22:24,200", "message": "call en',
    "not a log line",
)


class ExplainTest(unittest.TestCase):
    def setUp(self):
        self.records = read_records(LINES)

    def test_truncated_and_foreign_lines_are_skipped(self):
        self.assertEqual(len(self.records), 3)

    def test_trace_has_attempts_and_concurrent_events(self):
        text = format_request_trace(build_request_trace(self.records, "r1"))
        for part in ("outcome_unknown", "broken: reset", "a0", "in_flight=3"):
            self.assertIn(part, text)
        self.assertIn("meanwhile 2026-01-18 18:22:21,027: store lost", text)

    def test_trace_names_a_late_read(self):
        for read_after_s, is_named in ((2.8, True), (0.01, False)):
            call = self.records[1] | {"read_after_s": read_after_s}
            text = format_request_trace(build_request_trace([call], "r1"))
            self.assertEqual("read 2.8 s after its arrival" in text, is_named)

    def test_trace_of_unknown_request_has_no_calls(self):
        self.assertEqual(build_request_trace(self.records, "r9")["calls"], [])

    def test_outcomes_are_counted_by_cause(self):
        rows = count_outcomes(self.records)
        causes = {row["cause"]: row["count"] for row in rows}
        self.assertEqual(causes, {"outcome_unknown: broken: reset": 1, "served": 1})
