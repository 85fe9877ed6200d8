"""Run instances beside replicas that say that they leave or ask for rest."""

import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from standins.replica import EVENTS_PER_STREAM
from testkit.fleet import wait_until
from testkit.instances import make_entry_spec
from testkit.limit_rule import (
    SPAN_S,
    STABLE_S,
    compute_allowed,
    count_most_arrivals,
)
from testkit.site import Site, count_events, open_site

# More requests than it takes until each replica has had one.
MAX_CALLS = 24
REST_S = 3.0
# Requests that an instance may send between half a second after a replica has asked it
# for rest and the end of the time that it asked for.
MAX_ARRIVALS_IN_REST = 2
LIMIT_PER_S = 2.0


class SignalTest(unittest.TestCase):
    """Run each test on a site of its own."""

    def setUp(self):
        context = open_site(nodes=2)
        self.site: Site = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)

    def count_requests(self, id: str) -> int:
        return sum(self.site.read_counts(id)["requests_by_path"].values())

    def stream_well(self, node: str = "n0") -> None:
        status, _, body = self.site.stream(node)
        self.assertEqual((status, count_events(body)), (200, EVENTS_PER_STREAM))

    def look_up_well(self, node: str = "n0") -> None:
        self.assertEqual(self.site.call(node, "/lookup/1", method="GET")[0], 200)

    def call_until_met(self, id: str, call, *args) -> None:
        """Repeat a call until it has reached the replica `id`."""
        before = self.count_requests(id)
        for _ in range(MAX_CALLS):
            call(*args)
            if self.count_requests(id) > before:
                return
        self.fail(f"{id} got no request")

    def write_marker(self, node: str) -> None:
        """Wait until the instance knows an entry that is written now."""
        spec = make_entry_spec(service="app", models=[], address="127.0.0.1:9")
        self.site.write_object("servers", "marker", spec | {"state": "draining"})
        dump = self.site.node_by_name[node].dump
        wait_until(lambda: "marker" in dump()["upstreams"])
        self.site.delete_object("servers", "marker")


class LeavingTest(SignalTest):
    def test_leaving_model_replica_gets_nothing_new(self):
        self.site.set_replica_faults("m0", is_leaving=True)
        self.call_until_met("m0", self.stream_well)
        met = self.count_requests("m0")
        for _ in range(8):
            self.stream_well()
        self.assertEqual(self.count_requests("m0"), met)

    def test_older_entry_keeps_it_out_and_a_new_life_brings_it_back(self):
        self.site.set_replica_faults("a0", is_leaving=True)
        self.call_until_met("a0", self.look_up_well)
        met = self.count_requests("a0")
        self.site.write_entry("a0", "app", sequence=9)
        self.write_marker("n0")
        self.site.set_store_faults("n0", is_down=True)
        for _ in range(8):
            self.look_up_well()
        self.assertEqual(self.count_requests("a0"), met)
        self.site.set_store_faults("n0", is_down=False)
        self.site.set_replica_faults("a0", is_leaving=False)
        self.site.write_entry("a0", "app", born=2000)
        wait_until(lambda: self.try_again("a0", met), description="a0 is used again")

    def try_again(self, id: str, met: int) -> bool:
        self.look_up_well()
        return self.count_requests(id) > met

    def test_running_stream_ends_in_peace_and_peers_are_not_told(self):
        self.site.set_replica_faults("m0", is_leaving=True)
        self.call_until_met("m0", self.stream_well)
        self.assertEqual(self.site.read_counts("m0")["left_streams"], 0)
        entry_by_node = {
            name: node.dump()["upstreams"]["m0"]
            for name, node in self.site.node_by_name.items()
        }
        self.assertTrue(entry_by_node["n0"]["has_announced_leaving"])
        self.assertFalse(entry_by_node["n1"]["has_announced_leaving"])


class RestTest(SignalTest):
    def rest(self, id: str, **faults) -> None:
        self.site.set_replica_faults(id, rest_s=REST_S, **faults)

    def read_rest(self, id: str) -> dict:
        return self.site.read_counts(id)["rest"]

    def test_resting_replicas_get_nothing_and_their_callers_are_served_elsewhere(self):
        self.rest("m0")
        self.rest("a0")
        started_at = time.monotonic()
        with ThreadPoolExecutor(8) as pool:
            while time.monotonic() - started_at < REST_S + 2.0:
                calls = [pool.submit(self.stream_well) for _ in range(4)]
                calls += [pool.submit(self.look_up_well) for _ in range(4)]
                for call in calls:
                    call.result()
        for id in ("m0", "a0"):
            with self.subTest(id=id):
                rest = self.read_rest(id)
                self.assertGreater(rest["rejected"], 0)
                self.assertLessEqual(rest["late_arrivals"], MAX_ARRIVALS_IN_REST)
                counts = self.site.read_counts(id)["requests_by_path"]
                self.assertGreater(sum(counts.values()), rest["rejected"])

    def test_all_resting_is_refused_at_once_with_the_time_that_is_left(self):
        self.rest("a0")
        self.rest("a1")
        for _ in range(MAX_CALLS):
            status, headers, _ = self.site.call("n0", "/order/1")
            self.assertEqual(status, 503)
            if all(self.read_rest(id)["rejected"] for id in ("a0", "a1")):
                break
        started_at = time.monotonic()
        status, headers, _ = self.site.call("n0", "/order/1")
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - started_at, 0.3)
        self.assertGreater(float(headers["retry-after"]), REST_S / 2)
        time.sleep(float(headers["retry-after"]))
        self.assertEqual(self.site.call("n0", "/order/1")[0], 200)

    def test_answer_that_does_not_say_not_run_means_rest_too(self):
        self.rest("a0", rest_may_have_run=True)
        self.call_until_met("a0", self.site.call, "n0", "/order/1")
        met = self.count_requests("a0")
        for _ in range(8):
            self.assertEqual(self.site.call("n0", "/order/1")[0], 200)
        self.assertEqual(self.count_requests("a0"), met)


class LimitTest(SignalTest):
    def load(self, seconds: float) -> list[int]:
        """Send more calls than the limits allow; return their statuses."""
        statuses = []
        ends_at = time.monotonic() + seconds
        with ThreadPoolExecutor(8) as pool:
            while time.monotonic() < ends_at:
                nodes = ("n0", "n1") * 4
                calls = [
                    pool.submit(self.site.call, node, "/lookup/1", method="GET")
                    for node in nodes
                ]
                statuses += [call.result()[0] for call in calls]
                time.sleep(0.05)
        return statuses

    def test_limited_replica_gets_its_limit_and_others_the_rest(self):
        self.site.set_replica_faults("a0", limit_per_s=LIMIT_PER_S)
        statuses = self.load(STABLE_S + SPAN_S + 2.0)
        self.assertEqual(set(statuses), {200})
        arrived_at = self.site.read_counts("a0")["limit"]["arrived_at"]
        most = count_most_arrivals(arrived_at)
        self.assertLessEqual(most, compute_allowed(LIMIT_PER_S))
        met = self.count_requests("a0")
        self.site.set_replica_faults("a0", limit_per_s=None)
        self.load(2.0)
        self.assertGreater(self.count_requests("a0"), met + 5 * LIMIT_PER_S)

    def test_calls_beyond_the_limits_of_all_are_refused_at_once(self):
        for id in ("a0", "a1"):
            self.site.set_replica_faults(id, limit_per_s=LIMIT_PER_S)
        self.assertLessEqual(set(self.load(1.0)), {200, 503})
        for _ in range(3):
            self.site.call("n0", "/order/1")
        started_at = time.monotonic()
        status, headers, _ = self.site.call("n0", "/order/1")
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - started_at, 0.3)
        time.sleep(float(headers["retry-after"]))
        self.assertEqual(self.site.call("n0", "/order/1")[0], 200)


if __name__ == "__main__":
    unittest.main()
