"""Test what instances know of several cache stores."""

import copy
import unittest
from unittest.mock import patch

import curio

from catkintrack.decisions.cache_store import add_stored_blocks
from catkintrack.fleet import CacheChangeBatch
from catkintrack.http import Address
from catkintrack.instance import cache_store_feed, mesh
from catkintrack.instance.cache_store_feed import Cursor, apply_changes
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.messages import CacheStoreChanged, CacheStoreCleared
from testkit.instances import make_config_spec
from testkit.states import make_instance

FIRST, SECOND = "127.0.0.1:8604", "127.0.0.1:8605"


def make_spec(addresses, revision=5):
    """Return a configuration whose services name one store each."""
    spec = make_config_spec()
    spec["version"] = revision
    services = spec["services"]
    service = next(row for row in services if "kv_store_addr" in row)
    services.remove(service)
    for number, address in enumerate(addresses):
        row = copy.deepcopy(service)
        row["name"] = f"{service['name']}{number}" if number else service["name"]
        row["kv_store_addr"] = address
        services.append(row)
    return spec


class CacheStoresTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        apply_configuration(self.instance, 5, make_spec([FIRST, SECOND]), "store")
        self.sent = []

    def get_names(self):
        return [store.name for store in self.instance.decisions.cache_stores]

    def apply(self, cursor, incarnation):
        async def record_broadcast(instance, message):
            self.sent.append(message)

        batch = CacheChangeBatch(incarnation, 0, False, ())
        with patch.object(cache_store_feed, "broadcast", record_broadcast):
            curio.run(apply_changes, self.instance, cursor, batch)

    def test_store_that_stays_keeps_its_blocks(self):
        first, _ = self.instance.decisions.cache_stores
        add_stored_blocks(first, 1, (7,))
        apply_configuration(self.instance, 6, make_spec([FIRST], 6), "store")
        self.assertEqual(self.get_names(), [FIRST])
        self.assertIs(self.instance.decisions.cache_store, first)
        self.assertIn((1, 7), first.version_blocks)
        self.assertEqual(set(self.instance.store_address_by_name), {FIRST})

    def test_store_of_two_services_is_one(self):
        apply_configuration(self.instance, 6, make_spec([FIRST, FIRST], 6), "store")
        self.assertEqual(self.get_names(), [FIRST])

    def test_message_without_a_name_changes_none_of_several(self):
        changed = CacheStoreChanged(1, True, (7,))
        curio.run(mesh._handle_cache_store_changed, self.instance, changed)
        cleared = CacheStoreCleared(is_absent=True)
        curio.run(mesh._handle_cache_store_cleared, self.instance, cleared)
        for store in self.instance.decisions.cache_stores:
            self.assertEqual(len(store.version_blocks), 0)
            self.assertFalse(store.is_absent)

    def test_events_of_a_removed_store_change_no_other(self):
        for store in self.instance.decisions.cache_stores:
            store.is_absent = True
        self.apply(Cursor(Address("127.0.0.1", 8606)), 3)
        for store in self.instance.decisions.cache_stores:
            self.assertTrue(store.is_absent)

    def test_restart_between_two_readers_empties_the_index(self):
        """Replays a reader that ends with its store: the next one saw no restart."""
        changed = CacheStoreChanged(1, True, (7,), FIRST, 3)
        curio.run(mesh._handle_cache_store_changed, self.instance, changed)
        store = self.instance.decisions.cache_stores[0]
        self.apply(Cursor(Address("127.0.0.1", 8604), store.incarnation), 4)
        self.assertEqual(len(store.version_blocks), 0)
        self.assertEqual(self.sent, [CacheStoreCleared(store=FIRST)])


if __name__ == "__main__":
    unittest.main()
