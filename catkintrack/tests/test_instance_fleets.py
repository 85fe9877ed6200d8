"""Stop, kill and cut off instances of a small and of a large fleet."""

import json
import signal
import threading
import time
import unittest
from functools import partial

from standins.replica import EVENTS_PER_STREAM
from testkit.fleet import wait_until
from testkit.instances import make_config_spec
from testkit.site import KEY, count_events
from testkit.site_cases import MAX_CONFIG_APPLY_S, SiteTest

MAX_RECOVERY_S = 12.0


class OutageTest(SiteTest):
    def test_calls_are_served_while_the_store_is_down(self):
        self.site.set_store_faults(is_down=True)
        time.sleep(2.0)
        for node in ("n0", "n1"):
            self.assertEqual(self.site.call(node, "/order/1")[0], 200)
            self.assertEqual(self.site.stream(node)[0], 200)

    def test_restarted_instance_serves_while_the_store_is_down(self):
        self.site.set_store_faults(is_down=True)
        # Wait until the peer, too, counts the store as lost.
        time.sleep(2.0)
        self.site.node_by_name["n0"].process.kill()
        self.site.start_nodes("n0")
        self.assertEqual(self.site.call("n0", "/order/1")[0], 200)
        self.assertEqual(self.site.stream("n0")[0], 200)


class GracefulStopTest(SiteTest):
    def test_graceful_stop_cuts_no_stream(self):
        outcomes = []

        def run_stream(number):
            status, _, body = self.site.stream("n0", id=f"t{number}")
            outcomes.append((status, count_events(body)))

        threads = [threading.Thread(target=run_stream, args=(n,)) for n in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.1)
        node = self.site.node_by_name["n0"]
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        self.assertFalse(node.is_ready())
        # The load balancer may send calls for a while longer; they are served too.
        self.assertEqual(self.site.call("n0", "/order/1")[0], 200)
        for thread in threads:
            thread.join()
        self.assertEqual(outcomes, [(200, EVENTS_PER_STREAM)] * 8)
        self.assertEqual(node.process.wait(10), 0)


class FleetTest(SiteTest):
    def send_large_prompt(self, node):
        headers = {"X-Token-Usage": "40000,100", "X-Prompt-Prefix": "aa:40000"}
        return self.site.stream(node, **headers)[0]

    def test_instances_share_one_limit(self):
        spec = make_config_spec(8)
        spec["tenants"][0]["rate_per_s"] = 1000
        self.site.write_object("config", "main", spec)
        time.sleep(0.3)
        self.assertEqual(
            [self.send_large_prompt("n0"), self.send_large_prompt("n0")], [200, 200]
        )
        # Wait one gossip interval, so that n1 has received the usage of n0.
        time.sleep(0.3)
        self.assertIn(429, [self.send_large_prompt("n1") for _ in range(3)])

    def test_all_instances_killed_at_once_serve_again(self):
        for name in ("n0", "n1"):
            self.site.node_by_name[name].process.kill()
        started = time.monotonic()
        self.site.start_nodes()
        for name in ("n0", "n1"):
            self.assertEqual(self.site.stream(name)[0], 200)
            self.assertEqual(self.site.call(name, "/order/1")[0], 200)
        self.assertLess(time.monotonic() - started, MAX_RECOVERY_S)


class LargeFleetTest(SiteTest):
    """Run more instances than gossip with each other directly, in two zones."""

    nodes = 18
    zones = 2

    def test_changes_spread_through_hubs_and_after_a_hub_is_killed(self):
        names = set(self.site.node_by_name)
        self.wait_until_all_peers_known(names)
        spec = make_config_spec(8)
        for workspace in spec["tenants"]:
            workspace["api_keys"] = [k for k in workspace["api_keys"] if k != KEY]
        self.site.write_object("config", "main", spec)
        self.wait_for_status(names, 401)
        hub = self.find_hub("n5")
        self.site.node_by_name[hub].process.kill()
        self.site.write_object("config", "main", make_config_spec(9))
        self.wait_for_status(names - {hub}, 200)
        self.site.node_by_name[hub].process.start()
        self.wait_until_all_peers_known(names)

    def wait_until_all_peers_known(self, names):
        """Wait until each instance lists all others as peers."""
        for node in names:
            others = names - {node}
            wait_until(partial(self.knows_peers, node, others), MAX_RECOVERY_S)

    def knows_peers(self, node, others):
        state = self.site.node_by_name[node].dump()
        return state is not None and set(state["peers"]) == others

    def wait_for_status(self, names, status):
        """Wait until each instance answers with `status`, within the users' bound."""
        deadline = time.monotonic() + MAX_CONFIG_APPLY_S
        for node in names:
            remaining_s = max(0.1, deadline - time.monotonic())
            wait_until(partial(self.has_status, node, status), remaining_s)

    def has_status(self, node, status):
        return self.site.call(node, "/lookup/1", method="GET")[0] == status

    def find_hub(self, node):
        """Return the peer that an instance last chose as the gossip hub of its zone."""
        log = self.site.node_by_name[node].process.log_path.read_text()
        lines = [json.loads(line) for line in log.splitlines()]
        return [row["peer"] for row in lines if row["message"] == "hub chosen"][-1]


if __name__ == "__main__":
    unittest.main()
