"""Roll a good and a failing version out over some real instances, and kill the holder."""

import threading
import time
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from testkit.fleet import wait_until
from testkit.site import open_site

NODES = 3
DURATION_S = 14.0
CALLERS = 10
PAUSE_S = 0.04
# From the first bad answers of a version to the end of its last request.
MAX_ROLL_BACK_S = 5.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
SLOW_RUN_S = 0.3
LATER_S = 3.0
# Of a workspace without a limit.
KEY = "key-2"

# From the names of the new replicas to those of the old ones.
TO_OLD = str.maketrans("23", "01")


class Traffic:
    """Call both services until stopped; `seen` holds when, which one and the status."""

    def __init__(self, site):
        self.site = site
        self.seen = []
        self.is_over = threading.Event()
        self.dead = set()
        self.pool = ThreadPoolExecutor(2 * CALLERS)
        for number in range(CALLERS):
            self.pool.submit(self.run, number, "app")
            self.pool.submit(self.run, number, "models")

    def run(self, number, service):
        while not self.is_over.is_set():
            number += 1
            nodes = [f"n{n}" for n in range(NODES) if f"n{n}" not in self.dead]
            node = nodes[number % len(nodes)]
            sent_at = time.monotonic()
            if service == "app":
                status, _, _ = self.site.call(node, "/lookup/1", method="GET", key=KEY)
            else:
                status, _, _ = self.site.stream(node, key=KEY)
            self.seen.append((sent_at, service, node, status))
            time.sleep(PAUSE_S)

    def stop(self):
        self.is_over.set()
        self.pool.shutdown()


class VersionRolloutTest(unittest.TestCase):
    def setUp(self):
        context = open_site(NODES, 2, 2, extra_settings=("contracts=base,rollout",))
        self.site = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        for number in range(2):
            self.site.write_entry(f"m{number}", "models", version="v1")
            self.site.write_entry(f"a{number}", "app", version="v1")
            self.site.set_replica_faults(f"m{number}", software="v1")

    def start_new_replicas(self):
        for number in range(2, 4):
            self.site.start_replica(f"a{number}", "app", version="v2")
            self.site.start_replica(f"m{number}", "models", version="v2")
            self.site.set_replica_faults(f"m{number}", software="v2")

    def begin_traffic(self):
        time.sleep(1.0)
        traffic = Traffic(self.site)
        self.addCleanup(traffic.stop)
        time.sleep(0.5)
        return traffic

    def order(self, service):
        spec = {"service": service, "to": "v2", "duration_s": DURATION_S}
        self.site.write_object("rollouts", service, spec)

    def read_state(self, service):
        status = self.site.read_status("rollouts", service)
        return status and status["state"]

    def wait_for(self, service, state, timeout_s):
        try:
            wait_until(lambda: self.read_state(service) == state, timeout_s)
        except TimeoutError:
            nodes = self.site.node_by_name.values()
            dumps = [n.dump() for n in nodes]
            self.fail([(d["lease"], d["rollouts"]) for d in dumps if d])

    def count_runs(self, names):
        return sum(
            sum(self.site.read_counts(name)["runs_by_request"].values())
            for name in names
        )

    def kill_holder(self, traffic):
        nodes = self.site.node_by_name.values()
        (holder,) = [n for n in nodes if n.dump()["lease"]["is_own"]]
        traffic.dead.add(holder.name)
        holder.process.kill()
        return holder.name

    def test_good_version_is_completed_and_failing_one_rolled_back(self):
        wait_until(
            lambda: any(
                n.dump()["lease"]["is_own"] for n in self.site.node_by_name.values()
            ),
            10,
        )
        self.start_new_replicas()
        for name in ("m2", "m3"):
            self.site.set_replica_faults(name, fail=1_000_000)
        traffic = self.begin_traffic()
        # Until the order both versions serve.
        runs_before = self.count_runs(("m2", "m3"))
        ordered_at = time.monotonic()
        self.order("app")
        self.order("models")
        self.wait_for("models", "rolled_back", MAX_ROLL_BACK_S + 3)
        runs = self.count_runs(("m2", "m3"))
        self.assertLessEqual(runs - runs_before, EXPOSURE_SLACK)
        killed = self.kill_holder(traffic)
        self.wait_for("app", "completed", DURATION_S)
        # The platform stops the old replicas at once.
        for name in ("a0", "a1"):
            self.site.process_by_name[name].kill()
        completed_at = time.monotonic()
        self.assertLessEqual(completed_at - ordered_at, DURATION_S)
        for name in ("a0", "a1"):
            self.site.delete_object("servers", name)
        time.sleep(1.5)
        traffic.stop()
        # The new version of the other service got nothing after its end.
        self.assertEqual(self.count_runs(("m2", "m3")), runs)
        statuses = Counter(
            (service, status)
            for at, service, node, status in traffic.seen
            if node != killed
        )
        app = {status for service, status in statuses if service == "app"}
        self.assertEqual(app, {200}, statuses)
        served = statuses["models", 200]
        self.assertLessEqual(
            sum(statuses.values()) - served - statuses["app", 200],
            EXPOSURE_SLACK + EXPOSURE_SHARE * served,
            statuses,
        )

    def test_slow_version_and_one_that_fails_later_are_rolled_back(self):
        self.start_new_replicas()
        for name in ("a2", "a3"):
            self.site.set_replica_faults(name, run_s=SLOW_RUN_S)
        traffic = self.begin_traffic()
        self.order("app")
        self.order("models")
        time.sleep(LATER_S)
        self.assertEqual(self.read_state("models"), "running")
        for name in ("m2", "m3"):
            self.site.set_replica_faults(name, fail=1_000_000)
        for service, names in (("models", ("m2", "m3")), ("app", ("a2", "a3"))):
            self.wait_for(service, "rolled_back", MAX_ROLL_BACK_S + 3)
            old = [name.translate(TO_OLD) for name in names]
            exposed, rest = self.count_runs(names), self.count_runs(old)
            bound = EXPOSURE_SHARE * (exposed + rest) + EXPOSURE_SLACK
            self.assertLessEqual(exposed, bound)
        traffic.stop()
        statuses = Counter((service, status) for _, service, _, status in traffic.seen)
        app = {status for service, status in statuses if service == "app"}
        self.assertEqual(app, {200}, statuses)


if __name__ == "__main__":
    unittest.main()
