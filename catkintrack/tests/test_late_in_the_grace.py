"""Stop instances on a planned day: each request that was read gets an answer."""

import signal
import threading
import time
import unittest

from testkit.fleet import wait_until
from testkit.instances import make_config_spec
from testkit.raw_callers import connect, make_order, make_stream, open_callers
from testkit.site_cases import SiteTest

GRACE_S = 8.0
# Calls are taken for this long after the signal; the load balancer has reacted then.
ACCEPTING_S = 2.9
# Longer than the grace time, as the caller's deadline and the replica's work are.
LONG_TIMEOUT_MS = 20000
LONG_WORK_S = 20.0
SLOTS = 1
# Until callers of waiting calls are refused; they have time left for another instance.
MAX_WAITING_S = 6.5


class StoppingTest(SiteTest):
    """Provide calls that outlast the grace time."""

    def setUp(self):
        super().setUp()
        self.watcher_by_node = {}
        self.end_by_node = {}
        context = open_callers()
        self.callers = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        spec = make_config_spec(8)
        spec["limits"]["header_timeout_ms"] = LONG_TIMEOUT_MS
        for route in spec["routes"]:
            route["timeout_ms"] = LONG_TIMEOUT_MS
        self.site.write_object("config", "main", spec)
        nodes = self.site.node_by_name.values()
        wait_until(lambda: all(node.dump()["config"] == 8 for node in nodes), 5)

    def connect(self, node="n0"):
        caller = connect(self.site.node_by_name[node].callers_port)
        self.callers.append(caller)
        return caller

    def start(self, data, node="n0"):
        """Return a caller that has sent `data` and receives in the background."""
        caller = self.connect(node)
        caller.send(data)
        caller.read_in_background()
        return caller

    def begin_stop(self, node="n0"):
        """Send the stop signal, watch for the end of the process, and return when."""
        process = self.site.node_by_name[node].process

        def watch():
            status = process.wait()
            self.end_by_node[node] = (status, time.monotonic())

        process.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        self.watcher_by_node[node] = threading.Thread(target=watch, daemon=True)
        self.watcher_by_node[node].start()
        return stopped_at

    def assert_ended_in_time(self, stopped_at, node="n0"):
        self.watcher_by_node[node].join()
        status, ended_at = self.end_by_node[node]
        self.assertEqual(status, 0)
        self.assertLess(ended_at - stopped_at, GRACE_S)

    def assert_refused(self, answer, id):
        """Check that a request has a true refusal: it did not run and will not."""
        self.assertEqual((answer.status, self.count_runs(id)), (503, 0), id)
        self.assertTrue(answer.is_complete, answer.received)
        self.assertEqual(answer.find_header(b"connection"), b"close")
        self.assertLess(float(answer.find_header(b"retry-after")), 1.0)


class SlowRequestTest(StoppingTest):
    def test_request_that_is_whole_only_after_the_accepting_is_refused(self):
        for name in ("a0", "a1"):
            self.site.set_replica_faults(name, run_s=0.8)
        parts = {
            "head": (make_order("head"), 30),
            "body": (make_order("body", b"x" * 4000), -2000),
        }
        late = {}
        for second in (3.5, 5.0, 6.5, 6.9):
            for part, (request, cut) in parts.items():
                id = f"{part}-{second}"
                request = request.replace(part.encode() + b"\r", id.encode() + b"\r")
                caller = self.start(request[:cut])
                late[id] = (caller, request[cut:], second)
        unfinished = [self.start(request[:cut]) for request, cut in parts.values()]
        time.sleep(0.2)
        stopped_at = self.begin_stop()
        for caller, rest, second in late.values():
            caller.send_later(rest, stopped_at + second)
        answers = {id: row[0].join() for id, row in late.items()}
        self.assert_ended_in_time(stopped_at)
        for id, answer in answers.items():
            with self.subTest(id=id):
                self.assert_refused(answer, id)
        # Requests that never become whole do not hold up the end.
        self.assertEqual([caller.join().status for caller in unfinished], [0, 0])
        self.assertEqual([self.count_runs(id) for id in parts], [0, 0])


class KeptConnectionTest(StoppingTest):
    def test_request_on_a_kept_connection_is_served_in_time_and_not_taken_later(self):
        callers = {}
        for second in (1.0, 2.2, 3.1, 3.5, 6.0):
            caller = self.connect()
            caller.send(make_order(f"first-{second}"))
            caller.read()
            self.assertEqual(caller.answer.status, 200)
            caller.answer.received = b""
            caller.read_in_background()
            callers[second] = caller
        stopped_at = self.begin_stop()
        for second, caller in callers.items():
            caller.send_later(make_order(f"kept-{second}"), stopped_at + second)
        for second, caller in callers.items():
            answer = caller.join()
            with self.subTest(second=second):
                is_taken = second < ACCEPTING_S
                self.assertEqual(answer.status, 200 if is_taken else 0)
                self.assertEqual(self.count_runs(f"kept-{second}"), int(is_taken))
        self.assert_ended_in_time(stopped_at)


class EndOfGraceTest(StoppingTest):
    def test_call_that_runs_at_the_end_is_answered(self):
        for name in ("a0", "a1"):
            self.site.set_replica_faults(name, run_s=LONG_WORK_S)
        early = self.start(make_order("early"))
        lookup = make_order("lookup").replace(b"/order/", b"/lookup/")
        retryable = self.start(lookup)
        time.sleep(0.2)
        stopped_at = self.begin_stop()
        time.sleep(2.0)
        late = self.start(make_order("late"))
        callers = {"early": early, "late": late, "lookup": retryable}
        answers = {id: caller.join() for id, caller in callers.items()}
        for id, answer in answers.items():
            with self.subTest(id=id):
                self.assertIn(answer.status, (502, 504))
                self.assertTrue(answer.is_complete)
                self.assertEqual(self.count_runs(id), 2 if id == "lookup" else 1)
                # The replica worked until the last sixth of the grace time.
                elapsed_s = answer.ended_at - stopped_at
                self.assertGreater(elapsed_s, GRACE_S * 5 / 6)
        self.assert_ended_in_time(stopped_at)

    def test_call_that_waits_is_refused_before_the_end(self):
        for name in ("m0", "m1"):
            self.site.write_entry(name, "models", slots=SLOTS)
            self.site.set_replica_faults(name, event_s=LONG_WORK_S)
        spec = make_config_spec(9)
        for route in spec["routes"]:
            route["timeout_ms"] = LONG_TIMEOUT_MS
        spec["services"][0]["engine"]["slots"] = SLOTS
        self.site.write_object("config", "main", spec)
        node = self.site.node_by_name["n0"]
        wait_until(lambda: node.dump()["config"] == 9, 5)
        callers = {f"s{n}": self.start(make_stream(f"s{n}")) for n in range(12)}
        time.sleep(1.0)
        stopped_at = self.begin_stop()
        time.sleep(1.5)
        late = {f"t{n}": self.start(make_stream(f"t{n}")) for n in range(4)}
        answers = {id: caller.join() for id, caller in (callers | late).items()}
        self.assert_ended_in_time(stopped_at)
        waiting = {id: a for id, a in answers.items() if not self.count_runs(id)}
        self.assertGreaterEqual(len(waiting), 4)
        for id, answer in waiting.items():
            with self.subTest(id=id):
                self.assertEqual(answer.status, 503, answer.received)
                self.assertTrue(answer.is_complete)
                self.assertIsNotNone(answer.find_header(b"retry-after"))
                self.assertLess(answer.ended_at - stopped_at, MAX_WAITING_S)


class JointStopTest(StoppingTest):
    def test_more_signals_during_joint_stops_cut_no_call(self):
        for name in ("a0", "a1"):
            self.site.set_replica_faults(name, run_s=4.0)
        callers = {id: self.start(make_order(id), id) for id in ("n0", "n1")}
        time.sleep(0.2)
        stopped_at_by_node = {
            name: self.begin_stop(name) for name in self.site.node_by_name
        }
        time.sleep(0.5)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            for node in self.site.node_by_name.values():
                node.process.send_signal(number)
        time.sleep(1.0)
        late = {
            f"late-{name}": self.start(make_order(f"late-{name}"), name)
            for name in self.site.node_by_name
        }
        for id, caller in (callers | late).items():
            with self.subTest(id=id):
                answer = caller.join()
                self.assertEqual((answer.status, self.count_runs(id)), (200, 1))
        for name, stopped_at in stopped_at_by_node.items():
            self.assert_ended_in_time(stopped_at, name)


if __name__ == "__main__":
    unittest.main()
