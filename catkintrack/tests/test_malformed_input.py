"""Send malformed, oversized and slow input to the HTTP and CurveZMQ ports."""

import contextlib
import os
import socket
import threading
import time
import unittest

import hypothesis.strategies as st
import zmq
from hypothesis import given, settings

from catkintrack.links import Envelope, Probe, decode_envelope, encode_envelope
from testkit.caller import call_http
from testkit.cases import FleetTestCase, make_chat, make_long_answer_chat
from testkit.fleet import HOST, wait_until
from testkit.profiles import DETERMINISTIC

CHAT = make_long_answer_chat()
MAX_MEMORY_GROWTH_KB = 16 * 1024


def send_raw(port, *parts, pause_s=0.0, timeout_s=5.0):
    """Return the bytes a router sends back for raw bytes, empty on a socket error."""
    with socket.create_connection((HOST, port), timeout=timeout_s) as sock:
        try:
            for part in parts:
                sock.sendall(part)
                time.sleep(pause_s)
            sock.shutdown(socket.SHUT_WR)
            received = b""
            while data := sock.recv(65536):
                received += data
        except OSError:
            return b""
    return received


def read_memory_kb(process):
    """Return the resident set size of a process in KiB, or 0 if unknown."""
    with open(f"/proc/{process.popen.pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


class HttpInputTest(FleetTestCase):
    engines = 1
    instances = 1
    settings = {
        "router": {
            "callers": {
                "max_head_bytes": 4096,
                "max_body_bytes": 65536,
                "max_connections": 40,
                "head_timeout_s": 0.5,
                "body_timeout_s": 0.5,
            }
        }
    }

    def send_parts(self, *parts, **options):
        return send_raw(self.ports[0], *parts, **options)

    def make_raw_request(self, *lines, body=b""):
        key = f"x-api-key: {self.key()}".encode()
        head = (b"POST /app/edge HTTP/1.1", b"host: x", key, *lines)
        return b"\r\n".join(head) + b"\r\n\r\n" + body

    def assert_error_code(self, answer, code):
        self.assertIn(f'"code":"{code}"'.encode(), answer)
        self.assertIn(b"x-not-run: true", answer)

    def test_malformed_requests_get_error_codes(self):
        cases = [
            (b"nonsense\r\n\r\n", "malformed_request"),
            (b"GET / HTTP/1.1\r\n\r\n", "malformed_request"),
            (b"GET / HTTP/1.1\r\nhost: x\r\nbad header\r\n\r\n", "malformed_request"),
            (b"GET /" + b"a" * 9000, "malformed_request"),
            (self.make_raw_request(b"a: " + b"b" * 9000), "malformed_request"),
            (
                self.make_raw_request(
                    b"content-length: 3", b"transfer-encoding: chunked", body=b"abc"
                ),
                "conflicting_lengths",
            ),
            (
                self.make_raw_request(
                    b"content-length: 3", b"content-length: 4", body=b"abcd"
                ),
                "malformed_request",
            ),
            (self.make_raw_request(b"content-length: 999999"), "body_too_large"),
            (
                self.make_raw_request(b"content-length: 9", body=b"abc"),
                "malformed_body",
            ),
            (
                self.make_raw_request(
                    b"transfer-encoding: chunked", body=b"zz\r\nabc\r\n"
                ),
                "malformed_body",
            ),
        ]
        for raw, code in cases:
            self.assert_error_code(self.send_parts(raw), code)
        self.assertEqual(self.fleet.read_service_counts("s0")["runs"], {})

    def test_slow_senders_are_refused(self):
        head = self.make_raw_request(b"content-length: 10")
        answer = self.send_parts(head[:40], pause_s=0.8)
        self.assert_error_code(answer, "slow_head")
        answer = self.send_parts(head[:4], head[4:8], head[8:12], pause_s=0.2)
        self.assert_error_code(answer, "slow_head")
        answer = self.send_parts(head, b"a", pause_s=0.4)
        self.assert_error_code(answer, "slow_body")

    def test_smuggled_request_is_not_served(self):
        hidden = b"GET /app/hidden HTTP/1.1\r\nhost: x\r\n\r\n"
        self.send_parts(
            self.make_raw_request(
                b"content-length: %d" % len(hidden),
                b"transfer-encoding: chunked",
                body=b"0\r\n\r\n" + hidden,
            )
        )
        self.assertEqual(self.fleet.read_service_counts("s0")["runs"], {})

    def test_router_recovers_from_too_many_connections(self):
        sockets = [socket.create_connection((HOST, self.ports[0])) for _ in range(60)]
        time.sleep(0.2)
        for sock in sockets:
            sock.close()
        chat = make_chat(1)
        wait_until(lambda: self.chat(0, chat).status == 200, 5)

    def test_random_input_disturbs_no_stream(self):
        self.fleet.set_engine_faults("e0", speed=0.3)
        started = threading.Event()
        answers = []

        def run_stream():
            answers.append(
                self.chat(0, CHAT, max_tokens=48, on_event=lambda _: started.set())
            )

        thread = threading.Thread(target=run_stream)
        thread.start()
        self.assertTrue(started.wait(10))
        memory_before_kb = read_memory_kb(self.nodes[0].router)
        http_fragments = st.sampled_from(
            [
                b"GET / HTTP/1.1\r\n",
                b"POST /v1/chat/completions HTTP/1.1\r\n",
                b"host: x\r\n",
                b"content-length: 5\r\n",
                b"transfer-encoding: chunked\r\n",
                b"\r\n",
                b"5\r\nhello\r\n",
                b"0\r\n\r\n",
                b"\x00\xff",
                b'{"model": "m1"}',
            ]
        )

        @given(st.lists(http_fragments | st.binary(max_size=200), max_size=8))
        @settings(DETERMINISTIC, max_examples=150)
        def check(parts):
            answer = send_raw(self.ports[0], b"".join(parts))
            self.assertTrue(answer == b"" or answer.startswith(b"HTTP/1.1 "))
            self.assertNotIn(b"internal", answer)

        check()
        thread.join()
        self.assert_complete_answer(answers[0], CHAT, 48)
        growth_kb = read_memory_kb(self.nodes[0].router) - memory_before_kb
        self.assertLess(growth_kb, MAX_MEMORY_GROWTH_KB)
        self.assertNotIn("Traceback", self.nodes[0].router.read_log())


class LinkInputTest(FleetTestCase):
    engines = 1
    instances = 1

    def connect(self, public, secret, port):
        context = zmq.Context()
        self.addCleanup(context.destroy, 0)
        sock = context.socket(zmq.DEALER)
        sock.linger = 0
        sock.sndtimeo = 1000
        sock.curve_publickey = public
        sock.curve_secretkey = secret
        sock.curve_serverkey = self.fleet.settings["links"]["public_key"].encode()
        sock.connect(f"tcp://{HOST}:{port}")
        return sock

    def read_agent_metrics(self):
        metrics = call_http(
            self.nodes[0].agent_ops_port, "GET", "/metrics"
        ).body.decode()
        return metrics

    def test_unknown_curve_key_is_rejected(self):
        public, secret = zmq.curve_keypair()
        sock = self.connect(public, secret, self.nodes[0].mesh_port)
        time.sleep(0.5)
        with contextlib.suppress(zmq.Again):
            sock.send(encode_envelope(Envelope("stranger", 1, Probe())))
        time.sleep(0.5)
        self.assertNotIn('type="Probe"', self.read_agent_metrics())

    def test_malformed_messages_do_not_stop_the_agent(self):
        links = self.fleet.settings["links"]
        keys = links["public_key"].encode(), links["secret_key"].encode()
        mesh_socket = self.connect(*keys, self.nodes[0].mesh_port)
        router_socket = self.connect(*keys, self.nodes[0].routers_port)
        valid = encode_envelope(Envelope("n9", 1, Probe()))
        messages = [
            b"",
            b"\x00",
            valid[:-1],
            valid + b"x",
            os.urandom(500),
            b"\x93" * 99,
        ]
        messages += [valid] * 3 + [b"x" * 100_000]
        for message in messages:
            mesh_socket.send(message)
            router_socket.send(message)
        wait_until(lambda: 'type="Probe"' in self.read_agent_metrics(), 5)
        chat = make_chat(1)
        self.assert_complete_answer(self.chat(0, chat), chat)
        self.assertNotIn("task failed", self.nodes[0].agent.read_log())

    @given(st.binary(max_size=300))
    @settings(DETERMINISTIC, max_examples=500)
    def check_decoding(self, data):
        envelope = decode_envelope(data)
        self.assertTrue(envelope is None or isinstance(envelope, Envelope))

    def test_decoding_never_raises(self):
        self.check_decoding()


if __name__ == "__main__":
    unittest.main()
