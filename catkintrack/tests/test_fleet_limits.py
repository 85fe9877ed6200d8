"""Check a workspace's rate limit across all instances under failures."""

import threading
import time
import unittest

from testkit.caller import build_prompt, call_chat, make_messages
from testkit.cases import FleetTestCase
from testkit.configs import make_api_key, make_workspace
from testkit.fleet import wait_until

RATE = 400
BURST = 4000
CHAT = make_messages("a", "b" * 760)
MAX_TOKENS = 8
# The share of an agent that has no row for the workspace.
EMPTY_SHARE = {"parts": 0, "tokens": 0.0}


class FleetLimitTest(FleetTestCase):
    workspaces = {
        "w1": make_workspace(rate=RATE, burst=BURST),
        "w2": make_workspace(),
    }

    def setUp(self):
        super().setUp()
        self.used_tokens = 0
        self.refused_calls = 0
        self.answers = []
        self.lock = threading.Lock()

    def send_overload(self, seconds, workers=6):
        """Send far more tokens than the rate allows through all instances."""
        deadline = time.monotonic() + seconds

        def send_until_deadline(number):
            while time.monotonic() < deadline:
                number += 1
                port = self.ports[number % len(self.ports)]
                answer = call_chat(
                    port, make_api_key("w1"), CHAT, MAX_TOKENS, timeout_s=5
                )
                self.record_answer(answer)
                time.sleep(0.02)

        threads = [
            threading.Thread(target=send_until_deadline, args=(n,))
            for n in range(workers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def record_answer(self, answer):
        with self.lock:
            self.answers.append(answer)
            if answer.status == 200:
                self.used_tokens += -(-len(build_prompt(CHAT)) // 4) + len(
                    answer.text.split()
                )
            if answer.status == 429:
                self.refused_calls += 1

    def assert_within_limit(self, seconds):
        self.assertLessEqual(self.used_tokens, BURST + RATE * seconds)
        self.assertGreater(self.refused_calls, 0)

    def sum_share_tokens(self):
        shares = [
            self.fleet.dump_agent(node.name)["limits"]["shares"].get("w1")
            for node in self.nodes
        ]
        return sum(share["tokens"] for share in shares if share)

    def run_with_events(self, seconds, *events):
        """Send overload and run each event, a pair (delay in seconds, action)."""
        started = time.monotonic()
        timers = [threading.Timer(at, action) for at, action in events]
        for timer in timers:
            timer.start()
        self.send_overload(seconds)
        for timer in timers:
            timer.join()
        self.assert_within_limit(time.monotonic() - started)

    def test_limit_without_failures(self):
        started = time.monotonic()
        self.run_with_events(4.0)
        # Calls within the rate are served, except for one call per instance.
        elapsed = time.monotonic() - started
        allowed_tokens = BURST + RATE * (elapsed - 1.0)
        self.assertGreater(self.used_tokens, allowed_tokens - 4 * 200)

    def test_agent_killed_and_restarted(self):
        agent = self.nodes[0].agent
        self.run_with_events(5.0, (1.0, agent.kill), (2.0, agent.start))

    def test_all_agents_restarted_at_once(self):
        def restart_all():
            for node in self.nodes:
                node.agent.kill()
            for node in self.nodes:
                node.agent.start()

        self.run_with_events(6.0, (1.5, restart_all))
        wait_until(
            lambda: self.sum_share_tokens() > 200, 10, "shares are allocated again"
        )

    def test_agent_frozen_and_woken(self):
        agent = self.nodes[1].agent
        self.run_with_events(7.0, (1.0, agent.freeze), (5.0, agent.unfreeze))

    def test_platform_down_then_agent_killed(self):
        self.run_with_events(
            6.0,
            (0.5, lambda: self.fleet.set_platform_faults(is_down=True)),
            (1.0, self.nodes[2].agent.kill),
            (2.0, self.nodes[2].agent.start),
            (4.0, lambda: self.fleet.set_platform_faults(is_down=False)),
        )

    def test_lost_answers_during_recounts(self):
        def restart_with_lost_responses():
            self.fleet.set_platform_faults(lost_answers=2)
            self.nodes[0].agent.kill()
            self.nodes[0].agent.start()

        self.run_with_events(
            7.0, (1.0, restart_with_lost_responses), (3.5, restart_with_lost_responses)
        )

    def test_limit_holds_through_a_long_platform_outage(self):
        self.fleet.set_platform_faults(is_down=True)
        started = time.monotonic()
        self.send_overload(4.0)
        self.assert_within_limit(time.monotonic() - started)
        self.assertGreater(self.used_tokens, BURST)

    def test_graceful_stop_hands_its_share_over(self):
        tokens_before = self.sum_share_tokens()
        self.assertEqual(self.nodes[1].agent.stop(), 0)
        remaining = [self.fleet.dump_agent(node.name) for node in self.nodes[::2]]
        parts = sum(
            row["limits"]["shares"].get("w1", EMPTY_SHARE)["parts"] for row in remaining
        )
        self.assertEqual(parts, 1_000_000)
        self.assertGreaterEqual(
            sum(
                row["limits"]["shares"].get("w1", EMPTY_SHARE)["tokens"]
                for row in remaining
            ),
            tokens_before - 1,
        )

    def test_rate_changed_while_traffic_runs(self):
        result = self.fleet.run_cli("workspace", "set", "w1", "--rate", "4000")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.wait_for_revision(2)
        started = time.monotonic()
        self.send_overload(3.0)
        elapsed = time.monotonic() - started
        self.assertLessEqual(self.used_tokens, BURST + 4000 * elapsed)
        self.assertGreater(self.used_tokens, BURST + RATE * elapsed)


if __name__ == "__main__":
    unittest.main()
