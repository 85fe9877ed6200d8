"""Break streams and check that callers get a complete answer or an error."""

import threading
import unittest

from testkit.caller import (
    BackgroundCall,
    call_chat,
    call_http,
    make_messages,
)
from testkit.cases import (
    FleetTestCase,
    make_chat,
    make_long_answer_chat,
    run_concurrently,
)
from testkit.fleet import wait_until

CHAT = make_long_answer_chat()


class StreamTest(FleetTestCase):
    engines = 3

    def set_all_engine_faults(self, **faults):
        for name in self.fleet.engine_port_by_name:
            self.fleet.set_engine_faults(name, **faults)

    def test_broken_stream_resumes_without_gap_or_repeat(self):
        for after in (0, 1, 17):
            self.fleet.set_engine_faults(
                "e0", break_after_tokens=after, fault_streams=99
            )
            for node in range(3):
                answer = self.chat(node, CHAT, max_tokens=48)
                self.assert_complete_answer(answer, CHAT, 48)
        self.assertEqual(self.fleet.dump_router("n0")["open_calls"], 0)

    def test_stream_that_breaks_twice_resumes_twice(self):
        self.set_all_engine_faults(break_after_tokens=11, fault_streams=1)
        answer = self.chat(0, CHAT, max_tokens=48)
        self.assert_complete_answer(answer, CHAT, 48)

    def test_engine_killed_mid_stream(self):
        started = threading.Event()
        for name in self.fleet.engine_port_by_name:
            self.fleet.set_engine_faults(name, speed=0.2)
        call = BackgroundCall(
            lambda: self.chat(0, CHAT, max_tokens=48, on_event=lambda _: started.set())
        )
        self.assertTrue(started.wait(10))
        busy_engines = [
            name
            for name in self.fleet.engine_port_by_name
            if self.fleet.read_engine_counts(name)["running"]
        ]
        self.fleet.process_by_name[busy_engines[0]].kill()
        self.assert_complete_answer(call.join(), CHAT, 48)

    def test_stream_that_no_engine_can_resume_ends_with_an_error(self):
        self.set_all_engine_faults(break_after_tokens=5, fault_streams=99)
        answer = self.chat(0, CHAT, max_tokens=48)
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.is_complete)
        self.assertIsNotNone(answer.error)
        self.assertFalse(answer.error["not_run"])

    def test_unstreamed_call_is_retried_when_it_breaks(self):
        self.set_all_engine_faults(break_after_tokens=5, fault_streams=1)
        answer = self.chat(0, CHAT, max_tokens=48, is_stream=False)
        self.assert_complete_answer(answer, CHAT, 48)

    def test_concurrent_streams_get_their_own_answers(self):
        chats = [make_chat(number, 20) for number in range(40)]
        self.fleet.set_engine_faults("e1", break_after_tokens=3, fault_streams=10)
        answers = run_concurrently(
            [lambda i=i, c=c: self.chat(i % 3, c) for i, c in enumerate(chats)]
        )
        for answer, chat in zip(answers, chats, strict=True):
            self.assert_complete_answer(answer, chat)

    def test_caller_disconnect_frees_the_engine(self):
        for name in self.fleet.engine_port_by_name:
            self.fleet.set_engine_faults(name, speed=0.02)

        def disconnect(_answer):
            raise ConnectionAbortedError

        answer = self.chat(0, CHAT, max_tokens=48, on_event=disconnect)
        self.assertIn("ConnectionAborted", answer.failure)
        wait_until(
            lambda: all(
                self.fleet.read_engine_counts(name)["running"] == 0
                for name in self.fleet.engine_port_by_name
            ),
            10,
        )


class MisroutedResponseTest(FleetTestCase):
    engines = 1

    def test_unsolicited_response_reaches_no_caller(self):
        self.fleet.set_service_faults("s0", stray_answers=50)
        for number in range(20):
            path = f"/app/read/{number}"
            answer = call_http(self.ports[0], "GET", path, headers=self.headers())
            self.assertIn(f"GET {path} ", answer.body.decode())

    def test_late_response_is_not_given_to_the_next_call(self):
        self.fleet.set_service_faults("s0", delay_s=1.5)
        late = BackgroundCall(
            lambda: call_http(
                self.ports[0], "GET", "/app/slow", headers=self.headers(), timeout_s=0.3
            )
        )
        late.join()
        self.fleet.set_service_faults("s0", delay_s=0.0)
        for number in range(5):
            path = f"/app/read/{number}"
            answer = call_http(self.ports[0], "GET", path, headers=self.headers())
            self.assertIn(f"GET {path} ", answer.body.decode())


class CacheScopeTest(FleetTestCase):
    """Credit a cached prefix only to its workspace, weights version and engine run."""

    engines = 1
    workspaces = {
        "w1": {"tier": "free", "rate_tokens_per_s": 10**6, "burst_tokens": 10**6},
        "w2": {"tier": "free", "rate_tokens_per_s": 10**6, "burst_tokens": 10**6},
    }

    def read_hit_tokens(self):
        return self.fleet.read_engine_counts("e0")["hit_tokens"]

    def test_cached_prefix_is_not_shared_between_workspaces(self):
        chat = make_messages("shared", "prompt " * 1000)
        self.assert_complete_answer(self.chat(0, chat), chat)
        hit_tokens_before = self.read_hit_tokens()
        answer = call_chat(self.ports[1], self.key("w2"), chat)
        self.assert_complete_answer(answer, chat)
        self.assertEqual(self.read_hit_tokens(), hit_tokens_before)
        self.chat(2, chat)
        self.assertGreater(self.read_hit_tokens(), hit_tokens_before)

    def test_cached_blocks_of_a_crashed_engine_are_forgotten(self):
        chat = make_messages("shared", "prompt " * 1000)
        self.chat(0, chat)
        wait_until(lambda: self.fleet.dump_router("n1")["known_blocks"] > 0)
        self.fleet.set_engine_faults("e0", crash=True)
        wait_until(
            lambda: all(
                self.fleet.dump_router(node.name)["known_blocks"] == 0
                for node in self.nodes
            ),
            5,
            "all routers drop the cached blocks of the crashed engine",
        )
        self.assert_complete_answer(self.chat(1, chat), chat)


if __name__ == "__main__":
    unittest.main()
