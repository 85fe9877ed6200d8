"""Check what an engine's cache events are taken to say, with gaps and crashes."""

import unittest

import hypothesis.strategies as st
from hypothesis import given, settings

from catkintrack.agent.engine_feeds import EngineEvents, compute_cache_change
from testkit.profiles import DETERMINISTIC

BLOCKS = ["0a", "0b", "0c"]
steps = st.lists(
    st.tuples(
        st.sampled_from(["stored", "evicted", "cleared"]), st.sampled_from(BLOCKS)
    ),
    max_size=30,
)


class ComputeCacheChangeTest(unittest.TestCase):
    @given(steps, st.data())
    @settings(DETERMINISTIC, max_examples=400)
    def test_blocks_recorded_as_cached_are_cached(self, history, data):
        """Whatever events are lost, and however they are cut into batches."""
        truth = set()
        events = []
        states = []
        for number, (kind, block) in enumerate(history, 1):
            if kind == "stored":
                truth.add(int(block, 16))
            elif kind == "evicted":
                truth.discard(int(block, 16))
            else:
                truth.clear()
            events.append((number, kind, block))
            states.append(set(truth))
        believed = set()
        sequence = 0
        while sequence < len(events):
            last = data.draw(st.integers(sequence + 1, len(events)))
            lost = data.draw(st.sets(st.integers(sequence + 1, last), max_size=2))
            sent = tuple(e for e in events[sequence:last] if e[0] not in lost)
            change = compute_cache_change(sequence, EngineEvents("life", last, sent))
            if change.is_reset:
                believed.clear()
            believed |= set(change.stored)
            believed -= set(change.evicted)
            sequence = last
            self.assertLessEqual(believed, states[last - 1])

    def test_batch_without_gap_is_applied_whole(self):
        batch = EngineEvents("life", 2, ((1, "stored", "0a"), (2, "stored", "0b")))
        change = compute_cache_change(0, batch)
        self.assertEqual((change.is_reset, change.stored), (False, (10, 11)))


if __name__ == "__main__":
    unittest.main()
