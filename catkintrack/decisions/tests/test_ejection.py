"""Judge replicas by incidents: one ejection each, longer only after a failed trial."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from catkintrack.decisions.ejection import (
    EJECTION_MAX_S,
    EJECTION_S,
    FAILURES_TO_EJECT,
    is_ejected,
    record_failure,
    record_success,
)
from catkintrack.decisions.tables import UpstreamRow
from testkit.profiles import DETERMINISTIC


def make_row():
    return UpstreamRow("i1", 0, "z1", frozenset(), 8)


class EjectionTest(unittest.TestCase):
    @DETERMINISTIC
    @given(st.lists(st.floats(0.0, 5.0), min_size=FAILURES_TO_EJECT, max_size=60))
    def test_requests_under_way_lengthen_no_ejection(self, failed_after_s):
        """Ejected for 15 s: each request that was under way doubled the time."""
        row = make_row()
        began = [
            record_failure(row, 100.0, 100.0 + after_s, False)
            for after_s in sorted(failed_after_s)
        ]
        self.assertEqual(sum(began), 1)
        self.assertEqual(row.ejected_until - row.ejected_at, EJECTION_S)

    @DETERMINISTIC
    @given(st.integers(1, 12))
    def test_each_failed_trial_doubles_the_ejection(self, trials):
        row, now, durations = make_row(), 100.0, []
        for _ in range(FAILURES_TO_EJECT):
            record_failure(row, now, now + 0.1, False)
        for _ in range(trials):
            now = row.ejected_until
            self.assertFalse(is_ejected(row, now))
            self.assertTrue(record_failure(row, now, now + 0.1, False))
            durations.append(row.ejected_until - row.ejected_at)
        wanted = [min(EJECTION_MAX_S, EJECTION_S * 2 ** (n + 1)) for n in range(trials)]
        for duration_s, wanted_s in zip(durations, wanted, strict=True):
            self.assertAlmostEqual(duration_s, wanted_s)

    def test_upstream_that_answers_is_in_use_at_once(self):
        row = make_row()
        record_failure(row, 100.0, 100.1, True)
        self.assertTrue(is_ejected(row, 100.2))
        record_success(row, 100.2)
        self.assertFalse(is_ejected(row, 100.2))


if __name__ == "__main__":
    unittest.main()
