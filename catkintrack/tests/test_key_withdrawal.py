"""Withdraw API keys while their callers are connected."""

import http.client
import threading
import time
import unittest

from testkit.caller import BackgroundCall, call_chat, call_http
from testkit.cases import FleetTestCase, make_long_answer_chat
from testkit.configs import (
    make_api_key,
    make_key_entity,
    make_workspace,
)
from testkit.fleet import HOST, wait_until

CHAT = make_long_answer_chat()
MAX_WITHDRAWAL_S = 2.0


class KeyWithdrawalTest(FleetTestCase):
    workspaces = {"w1": make_workspace(), "w2": make_workspace()}

    def withdraw(self, workspace="w1"):
        key_id = make_api_key(workspace).split("_")[1]
        result = self.fleet.run_cli("key", "withdraw", key_id)
        self.assertEqual(result.returncode, 0, result.stderr)
        return time.monotonic()

    def is_refused(self, node):
        headers = self.headers()
        answer = call_http(self.ports[node], "GET", "/v1/models", headers=headers)
        return answer.status == 401

    def assert_refused_everywhere(self, withdrawn_at):
        for node in range(self.instances):
            wait_until(lambda node=node: self.is_refused(node), 10)
        self.assertLess(time.monotonic() - withdrawn_at, MAX_WITHDRAWAL_S)

    def slow_down_engines(self):
        for name in self.fleet.engine_port_by_name:
            self.fleet.set_engine_faults(name, speed=0.02)

    def start_stream(self, workspace, node=0):
        started = threading.Event()
        call = BackgroundCall(
            lambda: call_chat(
                self.ports[node],
                self.key(workspace),
                CHAT,
                max_tokens=48,
                on_event=lambda _: started.set(),
            )
        )
        self.assertTrue(started.wait(20))
        return call

    def test_withdrawn_key_cuts_its_streams_and_no_others(self):
        self.slow_down_engines()
        withdrawn_call = self.start_stream("w1")
        other_call = self.start_stream("w2")
        withdrawn_at = self.withdraw()
        answer = withdrawn_call.join(MAX_WITHDRAWAL_S)
        self.assertLess(time.monotonic() - withdrawn_at, MAX_WITHDRAWAL_S)
        self.assertFalse(answer.is_complete)
        self.assertEqual(answer.error["code"], "key_withdrawn")
        self.assert_refused_everywhere(withdrawn_at)
        for name in self.fleet.engine_port_by_name:
            self.fleet.set_engine_faults(name, speed=1.0)
        self.assert_complete_answer(other_call.join(), CHAT, 48)

    def test_key_whose_id_looks_like_a_number_is_withdrawn(self):
        for key_id in ("00000012", "12e45678"):
            key = f"ck_{key_id}_{'k' * 40}"
            kinds = {"key": {**self.kinds["key"], key_id: make_key_entity("w1", key)}}
            self.fleet.apply_config(kinds)
            result = self.fleet.run_cli("key", "withdraw", key_id)
            self.assertEqual(result.returncode, 0, result.stderr)
            self.assertIn(f"key/{key_id}.is_withdrawn", result.stdout)

    def test_withdrawn_key_is_refused_on_an_open_connection(self):
        connection = http.client.HTTPConnection(HOST, self.ports[0], timeout=5)
        self.addCleanup(connection.close)
        connection.request("GET", "/v1/models", headers=self.headers())
        response = connection.getresponse()
        self.assertEqual((response.status, bool(response.read())), (200, True))
        withdrawn_at = self.withdraw()
        self.assert_refused_everywhere(withdrawn_at)
        connection.request("GET", "/v1/models", headers=self.headers())
        self.assertEqual(connection.getresponse().status, 401)

    def test_withdrawal_reaches_an_instance_that_was_frozen(self):
        node = self.nodes[1]
        node.agent.freeze()
        node.router.freeze()
        self.withdraw()
        time.sleep(2.0)
        node.agent.unfreeze()
        node.router.unfreeze()
        # Once unfrozen, the instance must never accept the withdrawn key again.
        deadline = time.monotonic() + 3.0
        statuses = set()
        while time.monotonic() < deadline:
            answer = call_http(
                node.listen_port, "GET", "/v1/models", headers=self.headers()
            )
            statuses.add(answer.status)
        self.assertLessEqual(statuses, {401, 503})

    def test_withdrawal_reaches_a_router_whose_agent_is_dead(self):
        self.nodes[2].agent.kill()
        time.sleep(1.0)
        withdrawn_at = self.withdraw()
        self.assert_refused_everywhere(withdrawn_at)

    def test_isolated_instance_stops_accepting_keys(self):
        for node in self.nodes[1:]:
            node.agent.freeze()
        self.fleet.process_by_name["platform"].freeze()
        wait_until(
            lambda: (
                call_http(
                    self.ports[0], "GET", "/v1/models", headers=self.headers()
                ).status
                == 503
            ),
            12,
            "the isolated instance refuses keys",
        )
        answer = call_http(self.ports[0], "GET", "/v1/models", headers=self.headers())
        self.assertEqual(answer.error["code"], "keys_not_current")
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(call_http(self.ports[0], "GET", "/open/x").status, 200)


if __name__ == "__main__":
    unittest.main()
