"""Answer calls with an instance on a stand-in of the users' platform."""

import time
import unittest

from standins.replica import EVENTS_PER_STREAM
from testkit.fleet import wait_until
from testkit.instances import make_config_spec
from testkit.site import count_events
from testkit.site_cases import SiteTest

MAX_DISCONNECT_NOTICE_S = 0.5
# The timeout of the order and lookup routes, and how much later the answer may come.
ROUTE_TIMEOUT_S = 1.0
MAX_TIMEOUT_OVERRUN_S = 0.5


class EndToEndTest(SiteTest):
    def test_all_routes_without_failures(self):
        for node in ("n0", "n1"):
            status, headers, body = self.site.stream(node)
            self.assertEqual((status, count_events(body)), (200, EVENTS_PER_STREAM))
            self.assertIn("x-response-signature", headers)
            status, headers, _ = self.site.call(node, "/order/1")
            self.assertEqual(status, 200)
            self.assertEqual(self.site.call(node, "/lookup/1", method="GET")[0], 200)

    def test_refusal_status_codes(self):
        site = self.site
        self.assertEqual(site.call("n0", "/order/1", key="other")[0], 401)
        self.assertEqual(site.call("n0", "/nowhere/1")[0], 404)
        self.assertEqual(site.call("n0", "/order/1", host="h9.example")[0], 404)
        headers = {"X-Token-Usage": "many"}
        self.assertEqual(
            site.call("n0", "/order/1", **{"X-Model": "m1"} | headers)[0], 400
        )

    def test_forged_internal_headers_are_stripped(self):
        forged = {"X-Kv-Hold": "1", "X-Pin-Ms": "5", "Kv-From": "x", "X-Tenant": "w9"}
        self.assertEqual(self.site.stream("n0", **forged)[0], 200)
        self.assertEqual(self.site.call("n0", "/order/1", **forged)[0], 200)
        counts = [self.site.read_counts(name) for name in self.site.replica_port_by_id]
        self.assertEqual(sum(row["leaked_headers"] for row in counts), 0)
        workspaces = {name for row in counts for name in row["workspaces"]}
        self.assertEqual(workspaces, {"w1"})

    def test_rate_limit_refusal_has_retry_after(self):
        spec = make_config_spec(8)
        # Too low to refill the limit between two calls, however slow the machine is.
        spec["tenants"][0]["rate_per_s"] = 100
        self.site.write_object("config", "main", spec)
        node = self.site.node_by_name["n0"]
        wait_until(lambda: node.dump()["config"] == 8, 5)
        statuses = []
        headers = {"X-Token-Usage": "60000,100", "X-Prompt-Prefix": "aa:60000"}
        for _ in range(2):
            status, found, _ = self.site.stream("n0", **headers)
            statuses.append(status)
        self.assertEqual(statuses, [200, 429])
        self.assertGreater(float(found["retry-after"]), 0)


class ResponseTest(SiteTest):
    """Check that each caller gets its own answer within the route's timeout."""

    def test_unsolicited_responses_reach_no_caller(self):
        for name in ("a0", "a1"):
            self.site.set_replica_faults(name, extra_answers=3)
        for number in range(12):
            status, headers, body = self.site.call(
                "n0", "/lookup/1", method="GET", id=f"own-{number}"
            )
            self.assertEqual(status, 200)
            self.assertEqual(headers["x-request-id"], f"own-{number}")
            self.assertNotIn(b"extra", body)

    def test_route_timeout_is_answered_in_time(self):
        for name in ("a0", "a1"):
            self.site.set_replica_faults(name, run_s=5.0)
        for path, method in (("/order/1", "POST"), ("/lookup/1", "GET")):
            started = time.monotonic()
            status, _, _ = self.site.call("n0", path, method=method)
            elapsed_s = time.monotonic() - started
            self.assertIn(status, (502, 504))
            self.assertLess(elapsed_s, ROUTE_TIMEOUT_S + MAX_TIMEOUT_OVERRUN_S)


class AtMostOnceTest(SiteTest):
    def test_order_whose_response_is_lost_is_not_repeated(self):
        for name in ("a0", "a1"):
            self.site.set_replica_faults(name, lose_answers=1)
        status, _, _ = self.site.call("n0", "/order/1", id="once")
        self.assertEqual(status, 502)
        self.assertEqual(self.count_runs("once"), 1)

    def test_rejected_order_runs_on_another_replica(self):
        self.site.set_replica_faults("a0", reject=1)
        status, _, _ = self.site.call("n0", "/order/1", id="once")
        self.assertEqual((status, self.count_runs("once")), (200, 1))

    def test_order_rejected_by_all_replicas_never_ran(self):
        for name in ("a0", "a1"):
            self.site.set_replica_faults(name, reject=9)
        status, headers, _ = self.site.call("n0", "/order/1", id="never")
        self.assertEqual((status, self.count_runs("never")), (503, 0))
        self.assertIn("retry-after", headers)

    def test_failed_lookup_is_retried_on_another_replica(self):
        self.site.set_replica_faults("a0", fail=1)
        status, _, _ = self.site.call("n0", "/lookup/1", method="GET")
        self.assertEqual(status, 200)

    def test_unsigned_response_is_not_forwarded(self):
        for name in ("a0", "a1"):
            self.site.set_replica_faults(name, unsigned=1)
        self.assertEqual(self.site.call("n0", "/order/1")[0], 502)


class StreamTest(SiteTest):
    def test_broken_stream_resumes_on_another_replica(self):
        for name in ("m0", "m1"):
            self.site.set_replica_faults(name, break_after_events=4, break_streams=1)
        self.site.set_replica_faults("m1", break_streams=0)
        for _ in range(3):
            status, _, body = self.site.stream("n0")
            self.assertEqual((status, count_events(body)), (200, EVENTS_PER_STREAM))

    def test_stream_that_no_replica_can_resume_is_cut(self):
        """An error response of the replica asked to resume must not end up in the stream.

        The instance cuts the connection and logs the cause instead of
        reporting a caller disconnect.
        """
        self.site.set_replica_faults("m0", break_after_events=4, break_streams=99)
        self.site.set_replica_faults("m1", fail=99)
        statuses = {self.site.stream("n0", id=f"x{n}")[0] for n in range(8)}
        self.assertLessEqual(statuses, {0, 500})
        self.assertIn(0, statuses)
        log = self.site.node_by_name["n0"].process.read_log()
        self.assertIn("instead of the stream's rest", log)
        self.assertNotIn("caller_gone", log)

    def test_broken_stream_of_a_non_resumable_route_is_cut(self):
        for name in ("m0", "m1"):
            self.site.set_replica_faults(name, break_after_events=4, break_streams=1)
        status, _, _ = self.site.call(
            "n0",
            "/long/short/1",
            host="h1.example",
            id="cut",
            **{"X-Model": "m1", "X-Token-Usage": "500,10", "X-Prompt-Prefix": "aa:500"},
        )
        self.assertEqual((status, self.count_runs("cut")), (0, 1))

    def test_silent_replica_does_not_delay_later_streams(self):
        self.site.set_replica_faults("m0", is_silent=True)
        started = time.monotonic()
        outcomes = [self.site.stream("n0", id=f"s{n}")[0] for n in range(6)]
        self.assertEqual(outcomes, [200] * 6)
        # The first stream waits until the silent replica times out; later ones avoid it.
        self.assertLess(time.monotonic() - started, 12.0)


class RetryBudgetTest(SiteTest):
    def test_unreachable_replicas_use_no_retry_budget(self):
        """Attempts at replicas that crashed must not use up the retry budget."""
        self.site.process_by_name["m0"].kill()
        self.site.process_by_name["a0"].kill()
        for number in range(30):
            self.assertEqual(self.site.call("n0", "/order/1", id=f"b{number}")[0], 200)
            headers = {"X-Token-Usage": "20,5", "X-Prompt-Prefix": f"p{number}:20"}
            self.assertEqual(self.site.stream("n0", **headers)[0], 200)


class CallerDisconnectTest(SiteTest):
    def test_replica_stops_after_its_caller_disconnects(self):
        self.site.abandon_stream("n0", "left")

        def is_disconnect_noticed():
            rows = [self.site.read_counts(name) for name in ("m0", "m1")]
            return sum(row["left_streams"] for row in rows) == 1

        wait_until(is_disconnect_noticed, MAX_DISCONNECT_NOTICE_S)
        self.assertEqual(self.site.stream("n0")[0], 200)


if __name__ == "__main__":
    unittest.main()
