"""Check that non-idempotent calls run at most once and "not run" refusals hold."""

import json
import threading
import time
import unittest

from testkit.caller import BackgroundCall, call_http
from testkit.cases import FleetTestCase, make_chat, run_concurrently

DEPOSIT = b'{"deposit": 100}'


class AtMostOnceTest(FleetTestCase):
    services = 2

    def post(self, node, key=None, body=DEPOSIT, path="/app/deposits", **options):
        headers = self.headers()
        if key is not None:
            headers["idempotency-key"] = key
        return call_http(self.ports[node], "POST", path, body, headers, **options)

    def count_post_runs(self, path="/app/deposits", body=DEPOSIT):
        return self.count_runs(f"POST {path} {body.decode()}")

    def set_all_service_faults(self, **faults):
        for name in self.fleet.service_port_by_name:
            self.fleet.set_service_faults(name, **faults)

    def test_same_idempotency_key_on_all_instances_runs_once(self):
        self.set_all_service_faults(delay_s=0.2)
        answers = run_concurrently(
            [lambda i=i: self.post(i % 3, "k1") for i in range(9)]
        )
        self.assertEqual(self.count_post_runs(), 1)
        for answer in answers:
            self.assertIn(answer.status, (200, 409))
        again = self.post(1, "k1")
        first = next(a for a in answers if a.status == 200)
        self.assertEqual(again.body, first.body)
        self.assertEqual(again.headers["idempotency-replayed"], "true")

    def test_repeated_call_finds_the_response_after_a_slow_record(self):
        """Guards against a response that is sent before its record is stored."""
        self.fleet.set_platform_faults(latency_s=0.3)
        first = self.post(0, "k1")
        self.fleet.set_platform_faults(latency_s=0.002)
        again = self.post(1, "k1")
        self.assertEqual((first.status, again.status), (200, 200))
        self.assertEqual(again.body, first.body)

    def test_idempotency_key_reused_for_another_call_is_a_conflict(self):
        self.assertEqual(self.post(0, "k1").status, 200)
        other = self.post(1, "k1", b'{"deposit": 999}')
        self.assertEqual(other.error["code"], "idempotency_conflict")
        self.assertEqual(self.count_post_runs(body=b'{"deposit": 999}'), 0)

    def test_call_whose_response_is_lost_is_not_repeated(self):
        self.set_all_service_faults(drop_after_run=1)
        answer = self.post(0, "k1")
        self.assertEqual(answer.error["code"], "outcome_unknown")
        self.assertFalse(answer.is_not_run)
        for node in range(3):
            again = self.post(node, "k1")
            self.assertEqual(again.status, 409)
        self.assertEqual(self.count_post_runs(), 1)

    def test_call_without_idempotency_key_is_sent_once(self):
        self.set_all_service_faults(drop_after_run=1)
        self.assertEqual(self.post(0).error["code"], "outcome_unknown")
        self.assertEqual(self.count_post_runs(), 1)

    def test_idempotent_call_is_retried_on_another_replica(self):
        self.fleet.set_service_faults("s0", drop_before_run=1)
        self.fleet.set_service_faults("s1", drop_before_run=1)
        for number in range(4):
            answer = call_http(
                self.ports[0], "GET", f"/app/read/{number}", headers=self.headers()
            )
            self.assertEqual(answer.status, 200)

    def test_lost_platform_responses_cause_no_second_run(self):
        for number in range(6):
            self.fleet.set_platform_faults(lost_answers=1 + number % 2)
            body = json.dumps({"deposit": number}).encode()
            self.post(number % 3, f"k{number}", body)
            self.post((number + 1) % 3, f"k{number}", body)
            self.assertLessEqual(self.count_post_runs(body=body), 1)
        self.fleet.set_platform_faults(lost_answers=0)

    def test_platform_outage_refuses_calls_as_not_run(self):
        self.fleet.set_platform_faults(is_down=True)
        answer = self.post(0, "k1")
        self.assertEqual(answer.error["code"], "claim_unavailable")
        self.assertTrue(answer.is_not_run)
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
        self.assertEqual(self.count_post_runs(), 0)
        self.fleet.set_platform_faults(is_down=False)
        time.sleep(0.5)
        self.assertIn(self.post(1, "k1").status, (200, 409))
        self.assertLessEqual(self.count_post_runs(), 1)

    def test_router_killed_while_the_call_runs(self):
        self.set_all_service_faults(delay_s=1.0)
        call = BackgroundCall(lambda: self.post(0, "k1"))
        time.sleep(0.4)
        self.nodes[0].router.kill()
        self.assertTrue(call.join().failure)
        answers = [self.post(node, "k1") for node in (1, 2)]
        for answer in answers:
            self.assertEqual(answer.status, 409)
        self.assertEqual(self.count_post_runs(), 1)

    def test_router_frozen_while_the_call_runs(self):
        self.set_all_service_faults(delay_s=0.5)
        call = BackgroundCall(lambda: self.post(0, "k1"))
        time.sleep(0.2)
        self.nodes[0].router.freeze()
        time.sleep(1.0)
        others = [self.post(node, "k1") for node in (1, 2)]
        self.nodes[0].router.unfreeze()
        call.join()
        self.assertEqual({answer.status for answer in others}, {409})
        self.assertEqual(self.count_post_runs(), 1)


class NotRunRefusalTest(FleetTestCase):
    """Check that no call refused as "not run" was executed by any upstream."""

    engines = 2
    services = 2

    def test_calls_refused_as_not_run_never_ran(self):
        stop = threading.Event()

        def inject_faults():
            number = 0
            while not stop.is_set():
                number += 1
                name = f"e{number % 2}"
                self.fleet.set_engine_faults(
                    name,
                    is_down=number % 3 == 0,
                    reject_runs=2,
                    break_after_tokens=0,
                    fault_streams=number % 4,
                )
                self.fleet.set_service_faults(
                    f"s{number % 2}", drop_after_run=1, drop_before_run=1
                )
                time.sleep(0.05)

        injector = threading.Thread(target=inject_faults)
        injector.start()
        chats = [make_chat(number, 2) for number in range(30)]
        calls = [lambda i=i, c=c: self.chat(i % 3, c) for i, c in enumerate(chats)]
        calls += [
            lambda i=i: call_http(
                self.ports[i % 3],
                "POST",
                f"/app/once/{i}",
                b"x",
                self.headers(idempotency_key=f"once-{i}"),
            )
            for i in range(30)
        ]
        answers = [call() for call in calls]
        stop.set()
        injector.join()
        request_ids_run = set()
        for name in self.fleet.engine_port_by_name:
            self.fleet.set_engine_faults(name, is_down=False)
            request_ids_run |= set(
                self.fleet.read_engine_counts(name)["runs_by_request"]
            )
        for number, answer in enumerate(answers[:30]):
            if answer.is_not_run:
                self.assertNotIn(answer.headers["x-request-id"], request_ids_run)
            elif answer.status == 200 and answer.is_complete:
                self.assert_complete_answer(answer, chats[number])
        for number, answer in enumerate(answers[30:]):
            runs = self.count_runs(f"POST /app/once/{number} x")
            self.assertLessEqual(runs, 0 if answer.is_not_run else 1)
        self.assertTrue(any(answer.status == 200 for answer in answers))


if __name__ == "__main__":
    unittest.main()
