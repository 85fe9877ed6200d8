"""Test that the configuration never goes back, in whatever order changes arrive."""

import unittest
from random import Random

import hypothesis.strategies as st
from hypothesis import given, settings
from returns.result import Failure

from catkintrack.config import (
    ConfigChange,
    ConfigHead,
    ConfigState,
    Delete,
    Put,
    append_change,
    apply_changes,
    apply_head_changes,
    compile_tables,
    decode_head,
    decode_snapshot,
    encode_head,
    encode_snapshot,
    is_snapshot_needed,
    validate_state,
)
from testkit.configs import make_config, make_workspace
from testkit.profiles import DETERMINISTIC


def make_changes(count):
    changes = []
    for number in range(1, count + 1):
        puts = (Put("tier", f"t{number % 3}", {"weight": number, "priority": 1}),)
        deletes = (Delete("tier", f"t{(number + 1) % 3}"),)
        changes.append(ConfigChange(number, f"c{number}", "", puts, deletes))
    return changes


class StateTest(unittest.TestCase):
    @given(st.integers(0, 10_000), st.integers(1, 12))
    @settings(DETERMINISTIC)
    def test_any_arrival_order_yields_an_accepted_state(self, seed, count):
        changes = make_changes(count)
        accepted = [ConfigState()]
        for change in changes:
            accepted.append(apply_changes(accepted[-1], [change]))
        rng = Random(seed)
        arriving = [rng.choice(changes) for _ in range(3 * count)]
        state = ConfigState()
        for change in arriving:
            before = state.revision
            state = apply_changes(state, [change])
            self.assertGreaterEqual(state.revision, before)
            self.assertEqual(state, accepted[state.revision])

    def test_head_updates_a_process_at_any_revision(self):
        head = ConfigHead()
        states = [ConfigState()]
        for change in make_changes(150):
            snapshot = (head.snapshot_name, head.snapshot_revision)
            if head.revision - head.snapshot_revision >= 32:
                snapshot = (f"s{head.revision}", head.revision)
            head = append_change(head, change, *snapshot)
            states.append(apply_changes(states[-1], [change]))
        for state in states:
            start = state
            if is_snapshot_needed(state, head):
                start = states[head.snapshot_revision]
            self.assertEqual(apply_head_changes(start, head), states[-1])
        self.assertEqual(decode_head(encode_head(head)).unwrap(), head)

    @given(st.integers(0, 400), st.integers(0, 255))
    @settings(DETERMINISTIC)
    def test_corrupt_snapshot_is_refused(self, position, value):
        data = bytearray(encode_snapshot(apply_changes(ConfigState(), make_changes(3))))
        position %= len(data)
        if data[position] == value:
            return
        data[position] = value
        outcome = decode_snapshot(bytes(data))
        undamaged = decode_snapshot(
            encode_snapshot(apply_changes(ConfigState(), make_changes(3)))
        )
        self.assertTrue(isinstance(outcome, Failure) or outcome == undamaged)

    def test_newer_format_is_refused(self):
        newer = encode_head(ConfigHead(format_version=2))
        self.assertIsInstance(decode_head(newer), Failure)

    @given(st.lists(st.integers(0, 9), max_size=6))
    @settings(DETERMINISTIC, max_examples=60)
    def test_incremental_compile_matches_full_compile(self, numbers):
        ports = {f"e{number}": 1000 + number for number in range(10)}
        state = ConfigState(1, make_config({"w1": make_workspace()}, ports))
        template = state.find("upstream", "e0")
        tables = compile_tables(state).unwrap()
        for revision, number in enumerate(numbers, 2):
            name = f"e{number}"
            puts = (Put("upstream", name, {**template, "state": "leaving"}),)
            deletes = (Delete("upstream", f"e{(number + 3) % 10}"),)
            change = ConfigChange(revision, "c", "", puts, deletes)
            after = apply_changes(state, [change])
            tables = compile_tables(after, state, tables).unwrap()
            state = after
            self.assertEqual(tables, compile_tables(state).unwrap())

    def test_dangling_reference_is_rejected(self):
        kinds = make_config({"w1": make_workspace(tier="gold")}, {"e0": 1})
        (error,) = validate_state(ConfigState(1, kinds))
        self.assertEqual(str(error), "workspace/w1: tier: no such tier")
        self.assertIsInstance(compile_tables(ConfigState(1, kinds)), Failure)


if __name__ == "__main__":
    unittest.main()
