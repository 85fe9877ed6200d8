"""Replay slow readers: of one workspace, of one replica, stopped ones and slow ones."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from catkintrack.decisions.slow_readers import (
    MAX_SOURCE_WAIT_S,
    STOPPED_AFTER_S,
    SlowReader,
    SlowReaders,
    change_upstream,
    drop,
    find_close_reason,
    record_nothing_waits,
    record_taken,
    release,
    try_hold,
)
from testkit.profiles import DETERMINISTIC

MAX_BYTES = 1000
EVENT_BYTES = 10


def fill(readers, workspace, upstream):
    """Hold events for readers of a workspace until none finds room; return the bytes."""
    held_bytes = 0
    for _ in range(MAX_BYTES):
        if not try_hold(readers, SlowReader(workspace, upstream), EVENT_BYTES):
            break
        held_bytes += EVENT_BYTES
    return held_bytes


class ShareTest(unittest.TestCase):
    def test_one_workspace_leaves_half_to_the_others(self):
        readers = SlowReaders(MAX_BYTES)
        self.assertEqual(fill(readers, "w1", "i1"), MAX_BYTES / 2)
        # The other workspace's answers come from another replica.
        self.assertGreaterEqual(fill(readers, "w2", "i2"), MAX_BYTES / 5)

    def test_readers_of_one_replica_leave_half_to_those_of_others(self):
        readers = SlowReaders(MAX_BYTES)
        held_bytes = sum(fill(readers, f"w{number}", "i1") for number in range(9))
        self.assertEqual(held_bytes, MAX_BYTES / 2)
        self.assertGreaterEqual(fill(readers, "w9", "i2"), MAX_BYTES / 5)

    def test_answer_that_goes_on_elsewhere_counts_to_that_replica(self):
        readers = SlowReaders(MAX_BYTES)
        reader = SlowReader("w1", "i1")
        try_hold(readers, reader, EVENT_BYTES)
        change_upstream(readers, reader, "i2")
        self.assertEqual(dict(readers.held_by_upstream), {"i2": EVENT_BYTES})
        self.assertEqual(readers.held_bytes, EVENT_BYTES)

    @DETERMINISTIC
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 5),
                st.sampled_from(["hold", "drop", "release", "move"]),
                st.integers(0, 2 * MAX_BYTES),
            )
        )
    )
    def test_counts_stay_within_the_bound_and_add_up(self, steps):
        readers = SlowReaders(MAX_BYTES)
        by_number = {n: SlowReader(f"w{n % 2}", f"i{n % 3}") for n in range(6)}
        for number, step, size_bytes in steps:
            reader = by_number[number]
            if step == "hold":
                try_hold(readers, reader, size_bytes)
            elif step == "drop":
                drop(readers, reader, size_bytes)
            elif step == "move":
                change_upstream(readers, reader, f"i{size_bytes % 3}")
            else:
                release(readers, reader)
            self.assertLessEqual(readers.held_bytes, MAX_BYTES)
            held_bytes = sum(reader.held_bytes for reader in by_number.values())
            self.assertEqual(readers.held_bytes, held_bytes)
            self.assertEqual(sum(readers.held_by_workspace.values()), held_bytes)
            self.assertEqual(sum(readers.held_by_upstream.values()), held_bytes)
        for reader in by_number.values():
            release(readers, reader)
        self.assertEqual((readers.held_bytes, len(readers.held_by_workspace)), (0, 0))


class ReaderTest(unittest.TestCase):
    def judge(self, taken_by_second, waited_s=0.0):
        """Return when a reader is given up that has taken so much at each second."""
        reader = SlowReader("w1")
        for second, taken_bytes in enumerate(taken_by_second):
            record_taken(reader, taken_bytes, float(second))
            if find_close_reason(reader, waited_s, float(second)) is not None:
                return second
        return None

    def test_reader_that_takes_a_byte_now_and_then_is_kept(self):
        self.assertIsNone(self.judge([n // 2 for n in range(60)]))

    def test_reader_that_takes_what_was_sent_before_is_kept(self):
        self.assertIsNone(self.judge(range(-60, 0)))
        self.assertEqual(self.judge([-60] * 20), STOPPED_AFTER_S)

    def test_reader_that_has_stopped_is_given_up(self):
        self.assertEqual(self.judge([0, 1, 2, *[2] * 20]), 2 + STOPPED_AFTER_S)

    def test_time_in_which_nothing_waited_does_not_count(self):
        reader = SlowReader("w1")
        record_taken(reader, 5, 0.0)
        record_nothing_waits(reader)
        record_taken(reader, 5, 60.0)
        self.assertIsNone(find_close_reason(reader, 0.0, 60.5))

    def test_source_does_not_wait_until_its_replica_gives_up(self):
        taken = list(range(9))
        self.assertEqual(self.judge(taken, MAX_SOURCE_WAIT_S), 0)
        self.assertIsNone(self.judge(taken, MAX_SOURCE_WAIT_S - 0.1))


if __name__ == "__main__":
    unittest.main()
