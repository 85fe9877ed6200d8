"""Let the store come back from an older copy under running instances."""

import time
import unittest

from testkit.fleet import call_json, wait_until
from testkit.instances import make_config_spec, make_entry_spec
from testkit.site import KEY, open_site

MAX_CONFIG_APPLY_S = 2.0
MAX_STORE_SKEW_S = 5.0
# The users' bound for weights, after the wait for the lease of the earlier era.
MAX_WEIGHTS_ROLLOUT_S = 6.0 + 3.2
# Time within which replicas restore their entries, and a margin.
ENTRY_RESTORE_S = 2.5 + 0.7
NEW_KEY = "key-9"


class StoreDrillTest(unittest.TestCase):
    """Run each test on a site of its own, of which the store goes back."""

    nodes = 2

    def setUp(self):
        context = open_site(nodes=self.nodes)
        self.site = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)

    def drill(self, seconds_old, **changes):
        """Let the store come back from a copy; return once it is back."""
        fields = {"restore_seconds_old": seconds_old} | changes
        call_json(self.site.store_ports[0], "/faults", fields)

    def read_eras(self):
        return {node.dump()["era"] for node in self.site.node_by_name.values()}

    def write_config(self, version, key=NEW_KEY):
        spec = make_config_spec(version)
        spec["tenants"][0]["api_keys"] = [key]
        self.site.write_object("config", "main", spec)

    def await_status(self, node, key, status, timeout_s):
        wait_until(
            lambda: self.site.call(node, "/order/1", key=key)[0] == status,
            timeout_s,
            f"{node} answers {key} with {status}",
        )

    def read_weights_versions(self):
        return {self.site.read_counts(f"m{number}")["version"] for number in range(2)}

    def write_weights(self, version):
        self.site.write_object("versions", "m1", {"model": "m1", "version": version})

    def count_calls(self, id):
        return sum(self.site.read_counts(id)["runs_by_request"].values())


class ConfigDrillTest(StoreDrillTest):
    nodes = 3

    def test_withdrawn_key_stays_withdrawn_also_out_of_touch(self):
        """The store is unreachable for one instance, and the copy still has the key."""
        self.site.set_store_faults("n2", is_busy=True)
        time.sleep(1.5)
        self.write_config(8)
        self.await_status("n0", KEY, 401, MAX_CONFIG_APPLY_S)
        self.await_status("n2", NEW_KEY, 200, MAX_CONFIG_APPLY_S + MAX_STORE_SKEW_S)
        self.drill(5.0, away_s=0.3, rewrite_after_s=1.5)
        back_at = time.monotonic()
        while time.monotonic() < back_at + 2.5:
            for node in self.site.node_by_name:
                self.assertNotEqual(self.site.call(node, "/order/1", key=KEY)[0], 200)
                status = self.site.call(node, "/order/1", key=NEW_KEY)[0]
                self.assertEqual(status, 200)
        wait_until(lambda: self.read_eras() == {2}, MAX_STORE_SKEW_S)
        self.write_config(9, KEY)
        for node in ("n0", "n1"):
            self.await_status(node, KEY, 200, MAX_CONFIG_APPLY_S)
        self.await_status("n2", KEY, 200, MAX_CONFIG_APPLY_S + MAX_STORE_SKEW_S)

    def test_lower_version_written_in_the_new_era_takes_effect(self):
        copied_at = time.monotonic()
        time.sleep(0.2)
        self.write_config(20)
        self.await_status("n1", NEW_KEY, 200, MAX_CONFIG_APPLY_S)
        self.drill(time.monotonic() - copied_at, rewrite_after_s=60.0)
        wait_until(lambda: self.read_eras() == {2}, MAX_CONFIG_APPLY_S)
        self.write_config(12, "key-12")
        for node in self.site.node_by_name:
            self.await_status(node, "key-12", 200, MAX_CONFIG_APPLY_S)

    def test_instance_starts_just_after_the_drill(self):
        """It finds the copy's configuration, and the newer one at its peers."""
        copied_at = time.monotonic()
        time.sleep(0.2)
        self.write_config(8)
        self.await_status("n0", NEW_KEY, 200, MAX_CONFIG_APPLY_S)
        node = self.site.node_by_name["n1"]
        node.process.kill()
        self.drill(time.monotonic() - copied_at, rewrite_after_s=60.0)
        self.site.start_nodes("n1")
        self.await_status("n1", NEW_KEY, 200, MAX_CONFIG_APPLY_S)
        self.assertNotEqual(self.site.call("n1", "/order/1", key=KEY)[0], 200)


class WeightsDrillTest(StoreDrillTest):
    def test_lease_and_roll_of_weights_are_lost_twice(self):
        self.write_weights(2)
        wait_until(lambda: self.read_weights_versions() == {2}, MAX_WEIGHTS_ROLLOUT_S)
        self.write_weights(3)
        time.sleep(0.3)
        self.drill(3.0, loses_system_objects=True)
        time.sleep(1.5)
        self.drill(3.0, loses_system_objects=True)
        self.write_weights(4)
        wait_until(lambda: self.read_weights_versions() == {4}, MAX_WEIGHTS_ROLLOUT_S)
        for number in range(2):
            counts = self.site.read_counts(f"m{number}")
            fences = [order["fence"] for order in counts["orders"]]
            self.assertEqual(fences, sorted(fences))
            versions = [order["version"] for order in counts["orders"]]
            self.assertEqual(versions, sorted(versions))
            self.assertEqual(counts["refused_orders"], 0)
        holders_by_fence = {}
        for number in range(2):
            for order in self.site.read_counts(f"m{number}")["orders"]:
                holders = holders_by_fence.setdefault(order["fence"], set())
                holders.add(order["holder"])
        self.assertTrue(all(len(names) == 1 for names in holders_by_fence.values()))


class DiscoveryDrillTest(StoreDrillTest):
    def test_replicas_in_service_stay_and_departed_ones_stay_away(self):
        site = self.site
        time.sleep(1.0)
        site.delete_object("servers", "a0")
        port = site.replica_port_by_id["a1"]
        fields = {"service": "app", "address": f"127.0.0.1:{port}", "models": []}
        site.delete_object("servers", "a1")
        site.write_object("servers", "a1", make_entry_spec(**fields, zone="z1"))
        wait_until(
            lambda: self.list_app_replicas("n0") == {"a1"}, 2 * MAX_CONFIG_APPLY_S
        )
        self.drill(30.0, rewrite_after_s=1.5)
        before = self.count_calls("a0")
        back_at = time.monotonic()
        while time.monotonic() < back_at + ENTRY_RESTORE_S:
            status, _, body = site.call("n0", "/order/1")
            self.assertEqual(status, 200, body)
        self.assertEqual(self.count_calls("a0"), before)
        self.assertEqual(self.read_eras(), {2})
        for node in ("n0", "n1"):
            self.assertEqual(self.list_app_replicas(node), {"a1"})

    def list_app_replicas(self, node):
        rows = self.site.node_by_name[node].dump()["upstreams"]
        return {id for id, row in rows.items() if row["service"] == "app"}


class EraHeaderTest(StoreDrillTest):
    def test_missing_or_unreadable_header_changes_nothing(self):
        for text in ("", "soon"):
            self.site.set_store_faults("n0", era_text=text)
            self.write_config(8 if not text else 9, f"key-{len(text)}")
            self.await_status("n0", f"key-{len(text)}", 200, MAX_CONFIG_APPLY_S)
        self.assertEqual(self.site.node_by_name["n0"].dump()["era"], 1)
        self.write_weights(2)
        wait_until(lambda: self.read_weights_versions() == {2}, MAX_WEIGHTS_ROLLOUT_S)


if __name__ == "__main__":
    unittest.main()
