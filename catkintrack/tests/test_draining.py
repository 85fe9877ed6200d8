"""Drain upstreams and stop routers and agents gracefully while calls run."""

import signal
import threading
import time
import unittest

from testkit.caller import BackgroundCall, call_http
from testkit.cases import FleetTestCase, make_chat, make_long_answer_chat
from testkit.fleet import wait_until
from testkit.raw_callers import connect, open_callers

CHAT = make_long_answer_chat()
MAX_DRAIN_DELAY_S = 2.0


class DrainingUpstreamTest(FleetTestCase):
    services = 2

    def count_engine_runs(self, name):
        return sum(self.fleet.read_engine_counts(name)["runs_by_request"].values())

    def send_chats(self, count, first=0):
        for number in range(first, first + count):
            chat = make_chat(number, 10)
            self.assert_complete_answer(self.chat(number % 3, chat), chat)

    def test_drained_upstream_finishes_and_gets_no_new_work(self):
        self.fleet.set_engine_faults("e0", speed=0.05)
        self.fleet.set_engine_faults("e1", is_down=True)
        started = threading.Event()
        call = BackgroundCall(
            lambda: self.chat(0, CHAT, max_tokens=48, on_event=lambda _: started.set())
        )
        self.assertTrue(started.wait(20))
        self.fleet.set_engine_faults("e1", is_down=False)
        result = self.fleet.run_cli("upstream", "drain", "e0")
        self.assertEqual(result.returncode, 0, result.stderr)
        time.sleep(MAX_DRAIN_DELAY_S)
        self.fleet.set_engine_faults("e0", speed=1.0)
        runs_before = self.count_engine_runs("e0")
        self.send_chats(12)
        self.assertEqual(self.count_engine_runs("e0"), runs_before)
        self.assert_complete_answer(call.join(), CHAT, 48)
        self.fleet.run_cli("upstream", "resume", "e0")
        self.wait_for_revision(3)
        self.fleet.set_engine_faults("e1", is_down=True)
        self.send_chats(3, first=50)

    def test_upstream_listed_as_leaving_gets_no_new_work(self):
        self.send_chats(4)
        self.fleet.publish_instances(leaving=("e1",))
        time.sleep(MAX_DRAIN_DELAY_S)
        runs_before = self.count_engine_runs("e1")
        self.send_chats(12, first=20)
        self.assertEqual(self.count_engine_runs("e1"), runs_before)

    def test_drained_service_replica_gets_no_calls(self):
        self.fleet.run_cli("upstream", "drain", "s0")
        self.wait_for_revision(2)
        for number in range(10):
            path = f"/app/read/{number}"
            call_http(self.ports[number % 3], "GET", path, headers=self.headers())
        runs = self.fleet.read_service_counts("s0")["runs"]
        self.assertEqual(runs, {})


class GracefulStopTest(FleetTestCase):
    def start_streams(self, count):
        started = [threading.Event() for _ in range(count)]
        calls = [
            BackgroundCall(
                lambda event=event: self.chat(
                    0, CHAT, max_tokens=48, on_event=lambda _: event.set()
                )
            )
            for event in started
        ]
        for event in started:
            self.assertTrue(event.wait(20))
        return calls

    def test_router_stop_cuts_no_stream(self):
        for name in self.fleet.engine_port_by_name:
            self.fleet.set_engine_faults(name, speed=0.1)
        calls = self.start_streams(8)
        slow = BackgroundCall(
            lambda: call_http(
                self.ports[0], "POST", "/app/slow", b"x", self.headers(), 20
            )
        )
        self.fleet.set_service_faults("s0", delay_s=1.0)
        time.sleep(0.1)
        status = self.nodes[0].router.stop()
        self.assertEqual(status, 0)
        for call in calls:
            self.assert_complete_answer(call.join(), CHAT, 48)
        self.assertEqual(slow.join().status, 200)

    def test_router_stop_serves_a_request_that_arrives_slowly(self):
        """A router's stop has no end, so that what has begun to arrive is served.

        More signals meanwhile change nothing.
        """
        fields = "".join(f"{n}: {v}\r\n" for n, v in self.headers().items())
        head = (
            f"POST /app/slow HTTP/1.1\r\nhost: x\r\n{fields}content-length: 4\r\n\r\n"
        )
        self.fleet.set_service_faults("s0", delay_s=1.0)
        with open_callers() as callers:
            caller = connect(self.ports[0])
            callers.append(caller)
            caller.send(head.encode() + b"ab")
            caller.read_in_background()
            time.sleep(0.2)
            router = self.nodes[0].router
            for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
                router.send_signal(number)
                time.sleep(0.7)
            caller.send(b"cd")
            answer = caller.join()
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.received.endswith(b"0\r\n\r\n") or answer.is_complete)
        self.assertEqual(router.wait(), 0)

    def test_agent_stop_cuts_no_stream(self):
        for name in self.fleet.engine_port_by_name:
            self.fleet.set_engine_faults(name, speed=0.1)
        calls = self.start_streams(4)
        self.assertEqual(self.nodes[0].agent.stop(), 0)
        for call in calls:
            self.assert_complete_answer(call.join(), CHAT, 48)

    def test_other_instances_serve_while_a_router_stops(self):
        stopper = threading.Thread(target=self.nodes[0].router.stop)
        stopper.start()
        chat = make_chat(1)
        self.assert_complete_answer(self.chat(1, chat), chat)
        stopper.join()
        self.nodes[0].router.start()
        wait_until(self.nodes[0].is_ready)
        self.assert_complete_answer(self.chat(0, chat), chat)


if __name__ == "__main__":
    unittest.main()
