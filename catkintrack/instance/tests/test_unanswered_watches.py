"""Hear of changes in time although the store left a watch without an answer."""

import unittest
from contextlib import suppress
from dataclasses import replace

import curio
from hypothesis import given
from hypothesis import strategies as st

from catkintrack.instance import feeds
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.watch_waits import (
    choose_watch_wait_s,
    choose_weights_wait_s,
)
from catkintrack.platform import UPSTREAM_KIND
from testkit.instances import make_config_spec, make_entry_spec
from testkit.profiles import DETERMINISTIC
from testkit.silent_store import EndOfRun, SilentStore, patched_store
from testkit.states import make_instance

READY = make_entry_spec()
DRAINING = make_entry_spec(state="draining")


def run_discovery(store):
    """Run the feed of discovery entries; return when each replica is out of use."""
    instance = make_instance()
    apply_configuration(instance, 5, make_config_spec(7), "store")
    known_at = {}
    ever_listed = set()

    async def record_leaving(_kind):
        for upstream in instance.upstream_by_id.values():
            if upstream.is_draining:
                known_at.setdefault(upstream.id, store.now)
        for id, removal in instance.pending_removal_by_upstream.items():
            known_at.setdefault(id, removal.due_at)
        for _, id, _ in store.changes:
            if id not in instance.spec_by_upstream and id in ever_listed:
                known_at.setdefault(id, store.now)
        ever_listed.update(instance.spec_by_upstream)

    with patched_store(store), suppress(EndOfRun):
        curio.run(feeds.run_feed, instance, UPSTREAM_KIND, record_leaving)
    return known_at


class UnansweredWatchTest(unittest.TestCase):
    def setUp(self):
        self.bounds = make_instance().site.bounds

    def test_leaving_is_heard_in_time_after_a_watch_was_sent_into_an_outage(self):
        store = SilentStore(
            silences=((16.5, 22.7),),
            changes=[(0.0, "i1", READY), (2.9, "i2", READY), (25.8, "i1", DRAINING)],
        )
        known_at = run_discovery(store)
        self.assertLessEqual(known_at["i1"], 25.8 + self.bounds.drain_s)

    @DETERMINISTIC
    @given(
        first_change_s=st.floats(0.0, 8.0),
        start_s=st.floats(5.0, 20.0),
        duration_s=st.floats(0.05, 12.0),
        delay_s=st.floats(0.0, 12.0),
        loses_answers=st.booleans(),
    )
    def test_leaving_is_heard_in_time_after_any_outage(
        self, first_change_s, start_s, duration_s, delay_s, loses_answers
    ):
        end_s = start_s + duration_s
        store = SilentStore(
            silences=((start_s, end_s),),
            changes=[
                (0.0, "i1", READY),
                (first_change_s, "i2", READY),
                (end_s + delay_s, "i1", DRAINING),
            ],
            loses_answers=loses_answers,
        )
        known_at = run_discovery(store)
        due_at = max(
            end_s + delay_s + self.bounds.drain_s, end_s + self.bounds.stable_window_s
        )
        self.assertLessEqual(known_at.get("i1", store.ends_at), due_at)

    @DETERMINISTIC
    @given(
        start_s=st.floats(5.0, 20.0),
        duration_s=st.floats(0.05, 12.0),
        delay_s=st.floats(0.0, 4.0),
    )
    def test_replica_that_leaves_unannounced_after_an_outage_is_dropped_in_time(
        self, start_s, duration_s, delay_s
    ):
        bounds = self.bounds
        leaves_s = start_s + duration_s + bounds.stable_window_s + delay_s
        store = SilentStore(
            silences=((start_s, start_s + duration_s),),
            changes=[(0.0, "i1", READY), (3.0, "i2", READY), (leaves_s, "i1", None)],
        )
        known_at = run_discovery(store)
        due_at = leaves_s + bounds.drain_s
        self.assertLessEqual(known_at.get("i1", store.ends_at), due_at)


class WatchWaitTest(unittest.TestCase):
    def test_waits_follow_the_bounds_within_limits(self):
        bounds = make_instance().site.bounds
        for stable_s, apply_s, drain_s, waits in (
            (3.0, 60.0, 60.0, (1.5, 1.5)),
            (5.0, 60.0, 60.0, (3.5, 2.0)),
            (0.0, 60.0, 60.0, (0.5, 0.5)),
            (60.0, 60.0, 60.0, (8.0, 2.0)),
            (5.0, 3.0, 4.0, (3.5, 1.0)),
            (5.0, 4.0, 3.5, (3.5, 1.5)),
            (5.0, 2.0, 2.0, (3.5, 0.5)),
        ):
            row = replace(
                bounds,
                stable_window_s=stable_s,
                config_apply_s=apply_s,
                drain_s=drain_s,
            )
            found = tuple(choose_watch_wait_s(row, True, hub) for hub in (False, True))
            self.assertEqual(found, waits)
            self.assertEqual(choose_watch_wait_s(row, False, False), 0.05)
            self.assertLessEqual(choose_weights_wait_s(row, True), 8.0)


if __name__ == "__main__":
    unittest.main()
