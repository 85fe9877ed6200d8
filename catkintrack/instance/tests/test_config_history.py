"""Tell a configuration of an older copy of the store from one written since."""

import unittest
from unittest.mock import patch

import curio
from returns.result import Success

from catkintrack.instance import feeds
from catkintrack.instance.config_history import (
    MAX_REMEMBERED_CONFIGS,
    begin_config_history,
    record_config_change,
    was_not_there,
)
from catkintrack.instance.state import ConfigHistory, Feed
from catkintrack.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    StoredObject,
    observe_era,
)
from testkit.instances import make_config_spec
from testkit.states import make_instance


async def ignore_change(_kind):
    """Do nothing."""


class ConfigHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = ConfigHistory()
        begin_config_history(self.history, 10, {"version": 1})
        record_config_change(self.history, 20, {"version": 2})

    def test_what_the_store_had(self):
        self.assertFalse(was_not_there(self.history, 30, 10, {"version": 1}))
        self.assertFalse(was_not_there(self.history, 30, 20, {"version": 2}))

    def test_what_it_did_not_have(self):
        self.assertTrue(was_not_there(self.history, 30, 15, {"version": 1}))
        self.assertTrue(was_not_there(self.history, 30, 20, {"version": 1}))

    def test_nothing_is_known_outside_what_was_watched(self):
        self.assertFalse(was_not_there(self.history, 30, 9, {"version": 1}))
        self.assertFalse(was_not_there(self.history, 30, 31, {"version": 3}))
        self.assertFalse(was_not_there(ConfigHistory(), 30, 5, {"version": 3}))

    def test_forgotten_changes_are_unknown(self):
        for number in range(MAX_REMEMBERED_CONFIGS):
            record_config_change(self.history, 30 + number, {"version": 3 + number})
        self.assertFalse(was_not_there(self.history, 200, 15, {"version": 1}))


class ListedConfigTest(unittest.TestCase):
    """List a new era after the operators have already written in it."""

    def setUp(self):
        self.instance = make_instance()
        self.feed = Feed(CONFIG_KIND)
        self.list(1, 10, 5)
        row = StoredObject(CONFIG_NAME, 20, make_config_spec(6), era=1)
        events = ObjectEvents((ObjectEvent(row, False),), 25, 1)

        async def watching(*_arguments):
            return Success(events)

        with patch.object(feeds, "watch_objects", watching):
            curio.run(feeds._watch, self.instance, self.feed, ignore_change)

    def list(self, era, revision, version):
        row = StoredObject(CONFIG_NAME, revision, make_config_spec(version), era=era)

        async def listing(*_arguments):
            observe_era(self.instance.store, era, "store")
            return Success(ObjectList((row,), revision, era))

        with patch.object(feeds, "list_objects", listing):
            curio.run(feeds._list, self.instance, self.feed, ignore_change)
        return self.instance.config.revision

    def test_lower_version_that_was_written_before_the_list_takes_effect(self):
        """Guards against an operator's configuration that is taken for the copy's."""
        self.assertEqual(self.list(2, 15, 4), 4)

    def test_configuration_of_the_copy_does_not(self):
        self.assertEqual(self.list(2, 10, 5), 6)
        self.assertEqual(self.list(2, 11, 4), 4)

    def test_copy_of_an_era_that_was_not_seen_is_uncertain(self):
        self.assertEqual(self.list(3, 15, 4), 6)

    def test_revision_given_out_again_takes_effect(self):
        self.assertEqual(self.list(2, 20, 5), 5)


if __name__ == "__main__":
    unittest.main()
