"""Keep replicas in use, or out of it, when the store comes back from a copy."""

import time
import unittest
from unittest.mock import patch

import curio
from returns.result import Failure, Success

from catkintrack.fleet import ModelWeights
from catkintrack.instance import eras, feeds
from catkintrack.instance.anti_entropy import (
    handle_stored_upstreams,
    handle_upstream_changes,
)
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.departures import DEPARTURE_MEMORY_S, HELD_ENTRY_S
from catkintrack.instance.fleet_state import (
    apply_target_weights,
    remove_lapsed_upstreams,
)
from catkintrack.instance.messages import StoredUpstreams, UpstreamsChanged
from catkintrack.instance.state import Feed
from catkintrack.platform import (
    UPSTREAM_KIND,
    WEIGHTS_KIND,
    HistoryGone,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    StoredObject,
    observe_era,
)
from testkit.instances import make_config_spec, make_entry_spec
from testkit.states import make_instance


async def ignore_change(_kind):
    """Do nothing."""


class DiscoveryEraTest(unittest.TestCase):
    def setUp(self):
        self.now = time.monotonic()
        clock = patch.object(eras.time, "monotonic", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        self.instance = make_instance()
        self.feed = Feed(UPSTREAM_KIND)
        self.instance.feed_by_kind[UPSTREAM_KIND] = self.feed
        spec = make_config_spec(7)
        apply_configuration(self.instance, 5, spec, "store", 1)
        self.spec = make_entry_spec()
        self.list(1, 100, i1=90, i2=91, i3=92)

    def list(self, era, revision, specs=None, **revision_by_id):
        """Let the store list entries."""
        specs = specs or {}
        rows = tuple(
            StoredObject(id, row_revision, specs.get(id, self.spec), era=era)
            for id, row_revision in revision_by_id.items()
        )

        async def listing(*_arguments):
            observe_era(self.instance.store, era, "store")
            return Success(ObjectList(rows, revision, era))

        with patch.object(feeds, "list_objects", listing):
            curio.run(feeds._list, self.instance, self.feed, ignore_change)

    def watch(self, era, revision, id, spec=None):
        """Let a watch return a change; without a spec the entry was deleted."""
        row = StoredObject(id, revision, spec or self.spec, era=era)
        events = ObjectEvents((ObjectEvent(row, spec is None),), revision, era)

        async def watching(*_arguments):
            observe_era(self.instance.store, era, "store")
            return Success(events)

        with patch.object(feeds, "watch_objects", watching):
            return curio.run(feeds._watch, self.instance, self.feed, ignore_change)

    def wait(self, seconds):
        self.now += seconds
        remove_lapsed_upstreams(self.instance, self.now)

    def list_in_use(self):
        rows = self.instance.upstream_by_id.values()
        return {row.id for row in rows if not row.is_draining}

    def test_entries_missing_in_the_copy_stay_in_use_until_written_again(self):
        self.list(2, 95, i1=90)
        self.assertEqual(self.list_in_use(), {"i1", "i2", "i3"})
        self.wait(2.0)
        self.assertIsNone(self.watch(2, 96, "i2", self.spec))
        self.wait(0.6)
        self.assertEqual(self.list_in_use(), {"i1", "i2"})

    def test_second_era_starts_the_wait_again(self):
        self.list(2, 95, i1=90)
        self.wait(2.0)
        self.list(3, 95, i1=90)
        self.wait(0.4)
        self.assertIn("i2", self.list_in_use())

    def test_departed_replica_stays_departed_until_it_has_written(self):
        self.watch(1, 104, "i3")
        self.assertEqual(self.list_in_use(), {"i1", "i2"})
        self.list(2, 95, i1=90, i2=91, i3=92)
        self.assertEqual(self.list_in_use(), {"i1", "i2"})
        self.list(2, 95, i1=90, i2=91, i3=92)
        self.assertEqual(self.list_in_use(), {"i1", "i2"})
        self.watch(2, 96, "i3", self.spec)
        self.assertEqual(self.list_in_use(), {"i1", "i2", "i3"})

    def test_draining_replica_is_not_ready_again_by_the_copy(self):
        self.watch(1, 104, "i3", make_entry_spec(state="draining"))
        self.list(2, 95, i1=90, i2=91, i3=92)
        self.assertEqual(self.list_in_use(), {"i1", "i2"})
        self.watch(2, 96, "i3", make_entry_spec(state="draining"))
        self.assertEqual(self.list_in_use(), {"i1", "i2"})

    def test_departed_replica_that_wrote_before_the_first_list(self):
        self.watch(1, 104, "i3")
        for row, specs in (
            ({"i3": 105}, {}),
            ({"i3": 96}, {"i3": make_entry_spec(born=2000)}),
        ):
            with self.subTest(row=row):
                instance = self.instance
                self.list(instance.store.era + 1, 120, specs, i1=90, i2=91, **row)
                self.assertEqual(self.list_in_use(), {"i1", "i2", "i3"})

    def test_earlier_life_of_a_replica_does_not_come_back(self):
        self.watch(1, 104, "i3", make_entry_spec(born=2000))
        self.list(2, 95, i1=90, i2=91, i3=92)
        self.assertEqual(self.instance.upstream_by_id["i3"].incarnation, 2000)
        self.watch(2, 96, "i3", make_entry_spec(born=2000))
        self.assertEqual(self.list_in_use(), {"i1", "i2", "i3"})

    def test_departed_replica_whose_entry_changes_between_two_lists(self):
        self.watch(1, 104, "i3")
        self.list(2, 95, i1=90, i2=91, i3=92)
        specs = {"i3": make_entry_spec(sequence=9)}
        self.list(2, 97, specs, i1=90, i2=91, i3=97)
        self.assertEqual(self.list_in_use(), {"i1", "i2", "i3"})

    def test_earlier_life_stays_departed_after_the_next_one_was_seen(self):
        self.watch(1, 104, "i3")
        self.watch(1, 105, "i3", make_entry_spec(born=2000))
        self.watch(1, 106, "i3")
        self.list(2, 95, i1=90, i2=91, i3=92)
        self.assertEqual(self.list_in_use(), {"i1", "i2"})

    def test_entry_that_outlives_the_heartbeats_belongs_to_a_live_replica(self):
        self.watch(1, 104, "i3")
        self.list(2, 95, i1=90, i2=91, i3=92)
        self.wait(HELD_ENTRY_S - 1.0)
        self.assertEqual(self.list_in_use(), {"i1", "i2"})
        self.wait(1.1)
        self.assertEqual(self.list_in_use(), {"i1", "i2", "i3"})

    def test_entry_of_the_copy_that_the_next_life_replaces(self):
        self.watch(1, 104, "i3")
        self.list(2, 95, i1=90, i2=91, i3=92)
        self.watch(2, 96, "i3", make_entry_spec(born=2000))
        self.wait(HELD_ENTRY_S + 1.0)
        self.assertEqual(self.instance.upstream_by_id["i3"].incarnation, 2000)

    def test_entry_of_the_copy_that_expires_does_not_come_back(self):
        for unlist in (
            lambda: self.watch(2, 96, "i3"),
            lambda: self.list(3, 95, i1=90, i2=91),
        ):
            self.setUp()
            self.watch(1, 104, "i3")
            self.list(2, 95, i1=90, i2=91, i3=92)
            unlist()
            self.wait(HELD_ENTRY_S + 1.0)
            self.assertEqual(self.list_in_use(), {"i1", "i2"})

    def test_replica_missing_since_an_earlier_era_stays_departed(self):
        """Guards against one that is dropped just after the next era was seen."""
        self.list(2, 95, i1=90, i2=91)
        self.wait(2.4)
        observe_era(self.instance.store, 3, "n2")
        self.wait(2.6)
        self.assertEqual(self.list_in_use(), {"i1", "i2"})
        self.list(3, 95, i1=90, i2=91, i3=92)
        self.assertEqual(self.list_in_use(), {"i1", "i2"})

    def test_list_that_is_older_than_what_a_peer_told_is_not_applied(self):
        """Guards against a departed replica that a late answer of the store lists."""
        changes = UpstreamsChanged(100, 106, {}, ("i3",), False, 1)
        self.feed.last_success_at = -1e9
        curio.run(handle_upstream_changes, self.instance, changes)
        self.list(1, 105, i1=90, i2=91, i3=92)
        self.assertEqual(self.list_in_use(), {"i1", "i2"})
        self.assertIsNone(self.watch(1, 105, "i3", self.spec))
        self.assertEqual(self.list_in_use(), {"i1", "i2"})

    def test_entry_deleted_in_the_new_era_is_gone_at_once(self):
        self.list(2, 95, i1=90, i2=91, i3=92)
        self.watch(2, 96, "i3")
        self.assertEqual(self.list_in_use(), {"i1", "i2"})

    def test_departure_is_forgotten_after_a_while(self):
        self.watch(1, 104, "i3")
        self.assertEqual(set(self.instance.departure_by_upstream), {"i3"})
        self.wait(DEPARTURE_MEMORY_S + 1.0)
        self.assertEqual(self.instance.departure_by_upstream, {})

    def test_changes_since_a_revision_of_an_earlier_era_are_not_applied(self):
        """The store has given out the watched revision again, and changes are missing."""
        error = self.watch(2, 106, "i3")
        self.assertEqual(error, HistoryGone(100, 2))
        self.assertEqual(self.list_in_use(), {"i1", "i2", "i3"})

    def test_changes_that_were_requested_in_an_earlier_era_are_not_applied(self):
        """Guards against changes that are missed for good.

        A peer's list takes the feed to the new era while the watch is under way; its
        changes are those since a revision of the earlier era.
        """
        listed = StoredUpstreams(95, {f"i{n}": self.spec for n in (1, 2, 3)}, 2)

        async def watching(*_arguments):
            self.feed.last_success_at = -1e9
            await handle_stored_upstreams(self.instance, listed)
            return Success(ObjectEvents((), 107, 2))

        with patch.object(feeds, "watch_objects", watching):
            error = curio.run(feeds._watch, self.instance, self.feed, ignore_change)
        self.assertEqual(error, HistoryGone(95, 2))
        self.assertEqual(self.feed.revision, 95)

    def test_feed_is_not_current_until_it_has_listed_in_the_era(self):
        feeds._record_success(self.feed, self.now)
        self.assertTrue(feeds.is_current(self.feed, self.now, 1.0))
        observe_era(self.instance.store, 2, "n2")
        self.assertFalse(feeds.is_current(self.feed, self.now, 1.0))

    def test_feed_lists_again_when_the_era_was_seen_elsewhere(self):
        calls = []

        async def listing(*_arguments):
            calls.append("list")
            era = self.instance.store.era
            return Success(ObjectList((), 100 if era == 1 else 90, era))

        async def watching(_store, _kind, revision, _wait_s):
            calls.append(revision)
            observe_era(self.instance.store, 2, "n2")
            if len(calls) > 3:
                raise curio.TaskCancelled
            return Failure(HistoryGone(revision, 2))

        with (
            patch.object(feeds, "list_objects", listing),
            patch.object(feeds, "watch_objects", watching),
            patch.object(feeds, "BACKOFF_S", 0.0),
            self.assertRaises(curio.TaskCancelled),
        ):
            curio.run(feeds.run_feed, self.instance, UPSTREAM_KIND, ignore_change)
        self.assertEqual(calls, ["list", 100, "list", 90])

    def test_hub_passes_on_the_list_of_a_new_era_and_changes_to_it(self):
        """Guards against changes that are applied to the entries of another era."""
        changes = UpstreamsChanged(100, 106, {}, ("i3",), False, 2)
        curio.run(handle_upstream_changes, self.instance, changes)
        self.assertEqual(self.instance.store.era, 2)
        self.assertIn("i3", self.list_in_use())
        listed = StoredUpstreams(95, {"i1": self.spec, "i2": self.spec}, 2)
        curio.run(handle_stored_upstreams, self.instance, listed)
        self.assertEqual((self.feed.era, self.feed.changed_revision), (2, 95))
        self.assertEqual(self.list_in_use(), {"i1", "i2", "i3"})
        changes = UpstreamsChanged(95, 96, {}, ("i2",), False, 2)
        curio.run(handle_upstream_changes, self.instance, changes)
        self.assertEqual(self.list_in_use(), {"i1", "i3"})
        self.wait(2.6)
        self.assertEqual(self.list_in_use(), {"i1"})

    def test_late_message_of_an_earlier_era_is_ignored(self):
        self.list(2, 95, i1=90, i2=91, i3=92)
        self.feed.last_success_at = -1e9
        for message, handle in (
            (StoredUpstreams(200, {}, 1), handle_stored_upstreams),
            (UpstreamsChanged(95, 200, {}, ("i1",), False, 1), handle_upstream_changes),
            (StoredUpstreams(200, {}), handle_stored_upstreams),
        ):
            curio.run(handle, self.instance, message)
        self.wait(9.0)
        self.assertEqual(self.list_in_use(), {"i1", "i2", "i3"})


class PendingWatchTest(unittest.TestCase):
    def test_pending_watch_ends_with_its_era(self):
        """Guards against a watch that hangs for seconds after a peer told of the era."""
        instance = make_instance()
        observe_era(instance.store, 1, "store")
        feed = Feed(UPSTREAM_KIND, 100, 100, era=1)

        async def see_era():
            await curio.sleep(0.05)
            observe_era(instance.store, 2, "n2")

        async def watching(*_arguments):
            await curio.spawn(see_era, daemon=True)
            await curio.sleep(1.5)
            return Success(ObjectEvents((), 100, 1))

        async def run():
            return await curio.ignore_after(
                1.0, feeds._watch, instance, feed, ignore_change
            )

        with patch.object(feeds, "watch_objects", watching):
            self.assertEqual(curio.run(run), HistoryGone(100, 2))


class TargetWeightsEraTest(unittest.TestCase):
    def test_target_weights_of_the_copy_do_not_go_back(self):
        instance = make_instance()
        apply_target_weights(instance, ModelWeights("m1", 4), 0.0, 1.0, "store")
        feed = instance.feed_by_kind[WEIGHTS_KIND] = Feed(WEIGHTS_KIND, era=1)
        row = StoredObject("m1", 12, {"model": "m1", "version": 3}, era=2)

        async def listing(*_arguments):
            observe_era(instance.store, 2, "store")
            return Success(ObjectList((row,), 12, 2))

        with patch.object(feeds, "list_objects", listing):
            curio.run(feeds._list, instance, feed, ignore_change)
        self.assertEqual(instance.weights.target_by_model["m1"].version, 4)
        apply_target_weights(instance, ModelWeights("m1", 5), 0.0, 2.0, "store")
        self.assertEqual(instance.weights.target_by_model["m1"].version, 5)


if __name__ == "__main__":
    unittest.main()
