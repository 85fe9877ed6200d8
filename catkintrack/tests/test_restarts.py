"""Restart some or all routers and agents, with the platform up or down."""

import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from catkintrack.router.agent_links import RESERVE_TIMEOUT_S
from testkit.caller import call_chat, call_http
from testkit.cases import FleetTestCase, make_chat
from testkit.fleet import wait_until

# Recovery in multiples of the start of an interpreter with the router's imports, which
# is measured at the same time: both take longer on a busy machine.  A start takes half a
# second on an idle one.
MAX_RECOVERY_STARTS = 6.0
MAX_DETECTION_S = 3.0


def measure_start_s():
    """Return the seconds that an interpreter takes to start with the router's imports."""
    started = time.monotonic()
    command = [sys.executable, "-c", "import catkintrack.router.process"]
    subprocess.run(command, check=True)
    return time.monotonic() - started


class RestartTest(FleetTestCase):
    def wait_until_served(self, node):
        """Wait until an instance serves a call and return the seconds that took."""
        started = time.monotonic()
        chat = make_chat(7)

        def is_served():
            answer = call_chat(self.ports[node], self.key(), chat, timeout_s=5)
            return answer.status == 200 and answer.is_complete

        wait_until(is_served, 20, f"n{node} serves a call")
        return time.monotonic() - started

    def assert_served_soon(self, *nodes, starts=MAX_RECOVERY_STARTS):
        """Check that instances that were just started serve calls soon."""
        with ThreadPoolExecutor(1) as pool:
            start = pool.submit(measure_start_s)
            recovery_s = [self.wait_until_served(node) for node in nodes]
            self.assertLess(max(recovery_s), starts * start.result())

    def test_killed_router_serves_again(self):
        self.nodes[0].router.kill()
        self.nodes[0].router.start()
        self.assert_served_soon(0)

    def test_killed_router_serves_while_the_platform_is_down(self):
        self.fleet.set_platform_faults(is_down=True)
        self.nodes[0].router.kill()
        self.nodes[0].router.start()
        self.assert_served_soon(0)

    def test_killed_instance_serves_while_the_platform_is_down(self):
        self.fleet.set_platform_faults(is_down=True)
        time.sleep(1.0)
        self.nodes[0].router.kill()
        self.nodes[0].agent.kill()
        self.nodes[0].agent.start()
        self.nodes[0].router.start()
        self.assert_served_soon(0, starts=2 * MAX_RECOVERY_STARTS)

    def test_restarted_instance_waits_for_no_tokens_while_the_platform_is_down(self):
        """Its agent can't join the limits again, and its router must ask another."""
        self.fleet.set_platform_faults(is_down=True)
        self.nodes[0].router.kill()
        self.nodes[0].agent.kill()
        self.nodes[0].agent.start()
        self.nodes[0].router.start()
        self.wait_until_served(0)
        durations_s = []
        for number in range(4):
            chat = make_chat(10 + number, 1)
            started = time.monotonic()
            self.assert_complete_answer(self.chat(0, chat), chat)
            durations_s.append(time.monotonic() - started)
        self.assertLess(min(durations_s), RESERVE_TIMEOUT_S)

    def test_router_serves_while_its_agent_is_dead(self):
        self.nodes[0].agent.kill()
        chat = make_chat(3)
        deadline = time.monotonic() + 6.0
        wait_until(lambda: self.chat(0, chat).status == 200, 3)
        while time.monotonic() < deadline:
            self.assert_complete_answer(self.chat(0, chat), chat)
            time.sleep(0.2)

    def test_all_processes_restarted_at_once(self):
        for node in self.nodes:
            node.router.kill()
            node.agent.kill()
        for node in self.nodes:
            node.agent.start()
            node.router.start()
        self.assert_served_soon(*range(len(self.nodes)), starts=2 * MAX_RECOVERY_STARTS)
        for node in self.nodes:
            metrics = call_http(node.router_ops_port, "GET", "/metrics").body.decode()
            # The workspace stays far below its rate, so no refusal during the restart
            # may be reported as a rate limit.
            self.assertNotIn("rate_limit_exceeded", metrics)

    def test_restarted_router_learns_cached_blocks(self):
        chat = make_chat(1)
        self.assert_complete_answer(self.chat(1, chat), chat)
        wait_until(lambda: self.fleet.dump_router("n0")["known_blocks"] > 0, 5)
        self.nodes[0].router.kill()
        self.nodes[0].router.start()
        wait_until(self.nodes[0].is_ready)
        self.assertGreater(self.fleet.dump_router("n0")["known_blocks"], 0)

    def test_dead_peer_is_detected_and_a_short_pause_tolerated(self):
        def read_member_states(node):
            rows = self.fleet.dump_agent(node)["members"]
            return {row["instance"]: row["state"] for row in rows}

        self.nodes[2].agent.freeze()
        time.sleep(2.0)
        self.nodes[2].agent.unfreeze()
        time.sleep(0.5)
        self.assertEqual(read_member_states("n0")["n2"], "alive")
        self.nodes[2].agent.kill()
        killed_at = time.monotonic()
        for name in ("n0", "n1"):
            wait_until(lambda name=name: read_member_states(name)["n2"] == "dead", 6)
        self.assertLess(time.monotonic() - killed_at, MAX_DETECTION_S)


if __name__ == "__main__":
    unittest.main()
