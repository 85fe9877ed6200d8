"""Check the cache state derived from an engine's events, with gaps and restarts."""

import unittest

import hypothesis.strategies as st
from hypothesis import given, settings

from catkintrack.agent.engine_feeds import EngineEvents, compute_cache_delta
from testkit.profiles import DETERMINISTIC

BLOCKS = ["0a", "0b", "0c"]
cache_actions = st.lists(
    st.tuples(
        st.sampled_from(["stored", "evicted", "cleared"]), st.sampled_from(BLOCKS)
    ),
    max_size=30,
)


class ComputeCacheDeltaTest(unittest.TestCase):
    @given(cache_actions, st.data())
    @settings(DETERMINISTIC, max_examples=400)
    def test_blocks_recorded_as_cached_are_cached(self, actions, data):
        """Guard against stale blocks after lost events, for any split into batches."""
        cached = set()
        events = []
        cached_after_each = []
        for sequence_number, (kind, block) in enumerate(actions, 1):
            if kind == "stored":
                cached.add(int(block, 16))
            elif kind == "evicted":
                cached.discard(int(block, 16))
            else:
                cached.clear()
            events.append((sequence_number, kind, block))
            cached_after_each.append(set(cached))
        recorded = set()
        sequence = 0
        while sequence < len(events):
            last = data.draw(st.integers(sequence + 1, len(events)))
            lost = data.draw(st.sets(st.integers(sequence + 1, last), max_size=2))
            received = tuple(e for e in events[sequence:last] if e[0] not in lost)
            change = compute_cache_delta(sequence, EngineEvents("life", last, received))
            if change.is_reset:
                recorded.clear()
            recorded |= set(change.stored)
            recorded -= set(change.evicted)
            sequence = last
            self.assertLessEqual(recorded, cached_after_each[last - 1])

    def test_batch_without_gap_is_applied_whole(self):
        batch = EngineEvents("life", 2, ((1, "stored", "0a"), (2, "stored", "0b")))
        change = compute_cache_delta(0, batch)
        self.assertEqual((change.is_reset, change.stored), (False, (10, 11)))


if __name__ == "__main__":
    unittest.main()
