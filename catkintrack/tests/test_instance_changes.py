"""Change weights, configuration and replicas under running instances."""

import time
import unittest

from testkit.fleet import call_json, wait_until
from testkit.instances import make_config_spec, make_entry_spec
from testkit.site import KEY
from testkit.site_cases import MAX_CONFIG_APPLY_S, SiteTest

# The extra time allowed to an instance that the store refuses.
MAX_STORE_SKEW_S = 5.0
MAX_WEIGHTS_ROLLOUT_S = 6.0
# Longer than any watch waits, so that the next one is sent into the silence.
SILENCE_S = 10.0
# The users' bounds: from this long after an outage, a leaving is heard in the second.
STABLE_WINDOW_S = 3.0
MAX_DRAIN_S = 2.0


class WeightsTest(SiteTest):
    def test_one_lease_holder_rolls_out_weights_to_all_replicas(self):
        self.site.write_object("versions", "m1", {"model": "m1", "version": 2})
        wait_until(
            lambda: self.read_weights_versions() == [2, 2], MAX_WEIGHTS_ROLLOUT_S
        )
        orders = [self.site.read_counts(name)["orders"] for name in ("m0", "m1")]
        self.assertEqual([len(rows) for rows in orders], [1, 1])
        self.assertEqual(len({rows[0]["holder"] for rows in orders}), 1)
        self.assertEqual(self.site.stream("n1")[0], 200)
        salts = {
            salt
            for name in ("m0", "m1")
            for salt in self.site.read_counts(name)["salts"]
        }
        self.assertEqual(salts, {"m1/2/"})

    def test_rollout_lease_moves_from_a_killed_holder(self):
        self.site.write_object("versions", "m1", {"model": "m1", "version": 2})
        wait_until(
            lambda: self.read_weights_versions() == [2, 2], MAX_WEIGHTS_ROLLOUT_S
        )
        holder = self.site.read_counts("m0")["orders"][0]["holder"]
        self.site.node_by_name[holder].process.kill()
        self.site.write_object("versions", "m1", {"model": "m1", "version": 3})
        wait_until(
            lambda: self.read_weights_versions() == [3, 3], 2 * MAX_WEIGHTS_ROLLOUT_S
        )
        orders = self.site.read_counts("m0")["orders"]
        self.assertNotEqual(orders[-1]["holder"], holder)
        self.assertGreater(orders[-1]["fence"], orders[0]["fence"])

    def test_rollout_lease_moves_from_a_holder_that_the_store_refuses(self):
        self.site.write_object("versions", "m1", {"model": "m1", "version": 2})
        wait_until(
            lambda: self.read_weights_versions() == [2, 2], MAX_WEIGHTS_ROLLOUT_S
        )
        holder = self.site.read_counts("m0")["orders"][0]["holder"]
        self.site.set_store_faults(holder, is_busy=True)
        time.sleep(4.0)
        self.site.write_object("versions", "m1", {"model": "m1", "version": 3})
        wait_until(
            lambda: self.read_weights_versions() == [3, 3], MAX_WEIGHTS_ROLLOUT_S
        )
        fences = [row["fence"] for row in self.site.read_counts("m0")["orders"]]
        self.assertEqual(fences, sorted(fences))


class ConfigurationTest(SiteTest):
    def make_spec_without_key(self, version):
        spec = make_config_spec(version)
        spec["tenants"][0]["api_keys"] = ["key-9"]
        return spec

    def test_withdrawn_key_is_refused(self):
        self.site.write_object("config", "main", self.make_spec_without_key(8))
        is_refused = lambda: self.site.call("n0", "/order/1", key=KEY)[0] == 401  # noqa: E731
        wait_until(is_refused, MAX_CONFIG_APPLY_S)

    def test_instance_that_the_store_refuses_gets_config_from_a_peer(self):
        self.site.set_store_faults("n0", is_busy=True)
        time.sleep(1.0)
        self.site.write_object("config", "main", self.make_spec_without_key(8))
        is_refused = lambda: self.site.call("n0", "/order/1", key=KEY)[0] == 401  # noqa: E731
        wait_until(is_refused, MAX_CONFIG_APPLY_S + MAX_STORE_SKEW_S)

    def test_lost_watch_history_triggers_a_resync(self):
        self.site.set_store_faults(forget_history=True)
        self.site.write_object("config", "main", self.make_spec_without_key(8))
        is_refused = lambda: self.site.call("n0", "/order/1", key=KEY)[0] == 401  # noqa: E731
        wait_until(is_refused, MAX_CONFIG_APPLY_S)

    def test_invalid_configuration_leaves_the_old_one_in_force(self):
        self.site.write_object("config", "main", {"version": "x"})
        time.sleep(0.5)
        self.assertEqual(self.site.call("n0", "/order/1")[0], 200)


class DiscoveryTest(SiteTest):
    def test_draining_replica_gets_no_new_calls(self):
        address = f"127.0.0.1:{self.site.replica_port_by_id['a0']}"
        spec = make_entry_spec(
            service="app", address=address, models=[], state="draining"
        )
        self.site.write_object("servers", "a0", spec)
        time.sleep(0.5)
        before = sum(self.site.read_counts("a0")["runs_by_request"].values())
        for _ in range(6):
            self.assertEqual(self.site.call("n0", "/order/1")[0], 200)
        after = sum(self.site.read_counts("a0")["runs_by_request"].values())
        self.assertEqual(before, after)

    def test_leaving_is_heard_in_time_after_the_store_was_silent(self):
        dumps = [node.dump for node in self.site.node_by_name.values()]
        self.site.set_store_faults(is_silent=True)
        time.sleep(SILENCE_S)
        self.site.set_store_faults(is_silent=False)
        time.sleep(STABLE_WINDOW_S)
        self.site.write_entry("m0", "models", state="draining")
        wait_until(
            lambda: all(dump()["upstreams"]["m0"]["is_draining"] for dump in dumps),
            MAX_DRAIN_S,
            "all instances know that m0 leaves",
        )

    def test_malformed_discovery_entries_are_ignored(self):
        for number, spec in enumerate(({}, {"service": 5}, "text", None)):
            self.site.write_object("servers", f"x{number}", spec)
        time.sleep(0.3)
        self.assertEqual(self.site.call("n0", "/order/1")[0], 200)


class IsolatedInstanceTest(SiteTest):
    def test_isolated_instance_learns_new_weights_from_replicas(self):
        """An isolated instance must not use up its retries on an old weights version.

        Without peers and the store it never hears of a new version, so replicas that
        have it reject its calls.
        """
        self.site.node_by_name["n1"].process.kill()
        self.site.set_store_faults("n0", is_busy=True)
        time.sleep(0.5)
        for number, name in enumerate(("m0", "m1")):
            order = {"version": 2, "fence": 900 + number, "expect": 0}
            port = self.site.replica_port_by_id[name]
            call_json(port, "/-/order", order)
        wait_until(
            lambda: self.read_weights_versions() == [2, 2], MAX_WEIGHTS_ROLLOUT_S
        )
        statuses = [self.site.stream("n0", id=f"c{n}")[0] for n in range(20)]
        self.assertEqual(statuses, [200] * 20)


if __name__ == "__main__":
    unittest.main()
