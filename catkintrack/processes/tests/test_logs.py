"""Test that logs are rate limited and that a slow reader does not block."""

import json
import logging
import os
import unittest

from catkintrack.processes import DroppingHandler, RateLimitFilter
from catkintrack.processes.logs import RedactingFormatter


def make_record(message="call ended", level=logging.INFO, **extra):
    record = logging.LogRecord("x", level, "x.py", 1, message, (), None)
    for name, value in extra.items():
        setattr(record, name, value)
    return record


class RateLimitFilterTest(unittest.TestCase):
    def test_excess_lines_are_suppressed_and_counted(self):
        rate_limit = RateLimitFilter(lines_per_s=0.001, burst=10)
        written = sum(
            rate_limit.filter(make_record(outcome="served")) for _ in range(500)
        )
        self.assertEqual(written, 10)
        self.assertEqual(
            rate_limit.take_suppressed_counts(), {"call ended served": 490}
        )
        self.assertEqual(rate_limit.take_suppressed_counts(), {})

    def test_served_requests_do_not_suppress_failures(self):
        rate_limit = RateLimitFilter(lines_per_s=0.001, burst=10)
        for _ in range(500):
            rate_limit.filter(make_record(outcome="served"))
        self.assertTrue(rate_limit.filter(make_record(outcome="timed_out")))
        self.assertTrue(rate_limit.filter(make_record("store lost", logging.WARNING)))


class DroppingHandlerTest(unittest.TestCase):
    def setUp(self):
        reader, writer = os.pipe()
        self.reader = os.fdopen(reader, "rb")
        self.writer = os.fdopen(writer, "wb")
        self.addCleanup(self.reader.close)
        self.addCleanup(self.writer.close)
        self.handler = DroppingHandler(self.writer)
        self.handler.setFormatter(RedactingFormatter("{message}", style="{"))

    def test_full_pipe_drops_lines_without_blocking(self):
        for number in range(3000):
            self.handler.emit(make_record(f"line {number} " + "x" * 200))
        self.assertGreater(self.handler.dropped, 0)
        os.set_blocking(self.reader.fileno(), False)
        text = self.reader.read()
        self.handler.emit(make_record("after"))
        text += self.reader.read()
        lines = text.splitlines()
        self.assertEqual(json.loads(lines[-1])["message"], "after")
        for line in lines:
            json.loads(line)

    def test_closed_reader_raises_no_error(self):
        self.reader.close()
        self.handler.emit(make_record("after close"))
        self.assertEqual(self.handler.dropped, 1)
