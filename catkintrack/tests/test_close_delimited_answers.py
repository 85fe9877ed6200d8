"""Run an instance before replicas whose answers end with their connection."""

import http.client
import socket
import unittest

from catkintrack.http import Request
from standins.replica import EVENTS_PER_STREAM, compute_response_body, make_event
from testkit.fleet import HOST
from testkit.site import KEY, PROMPT_HEADERS
from testkit.site_cases import SiteTest

ALWAYS = 10**6
BODY = b"{}"


def make_request(id):
    """Return the fields of a request from which the stand-in makes its answer."""
    return Request(b"POST", b"/", ((b"x-request-id", id.encode()),), BODY)


def make_stream(id):
    numbers = range(1, EVENTS_PER_STREAM + 1)
    return b"".join(make_event(make_request(id), number) for number in numbers)


class CloseDelimitedAnswerTest(SiteTest):
    nodes = 1

    def setUp(self):
        super().setUp()
        for name in self.site.replica_port_by_id:
            self.site.set_replica_faults(name, close_delimited=ALWAYS)

    def test_answers_are_whole_on_one_kept_connection(self):
        port = self.site.node_by_name["n0"].callers_port
        connection = http.client.HTTPConnection(HOST, port, timeout=15)
        self.addCleanup(connection.close)
        connection.connect()
        first_socket = connection.sock
        for number in range(4):
            for host, path, method in (
                ("h1.example", "/long/1", "POST"),
                ("h2.example", "/order/1", "POST"),
                ("h2.example", "/lookup/1", "GET"),
                ("h2.example", "/lookup/1", "HEAD"),
            ):
                id = f"{path}-{method}-{number}"
                headers = {"Host": host, "X-Request-Id": id, "X-Credential": KEY}
                if host == "h1.example":
                    headers |= PROMPT_HEADERS
                connection.request(method, path, BODY, headers)
                response = connection.getresponse()
                expected = compute_response_body(make_request(id))
                if host == "h1.example":
                    expected = make_stream(id)
                if method == "HEAD":
                    expected = b""
                self.assertEqual((response.status, response.read()), (200, expected))
                self.assertIsNotNone(response.getheader("x-response-signature"))
                self.assertIs(connection.sock, first_socket)

    def test_stream_that_is_reset_or_ends_inside_an_event_is_resumed(self):
        for fault in ("reset_answers", "break_streams"):
            runs = []
            # Whichever replica the prompt's place is, one of the two rounds breaks off.
            for name in ("m0", "m1"):
                for replica in ("m0", "m1"):
                    unset = {"reset_answers": 0, "break_streams": 0}
                    self.site.set_replica_faults(replica, **unset)
                faults = {"break_after_events": 4, fault: 1}
                self.site.set_replica_faults(name, **faults)
                id = f"{fault}-{name}"
                status, _, body = self.site.stream("n0", id=id)
                self.assertEqual((status, body), (200, make_stream(id)))
                runs.append(self.count_runs(id))
            self.assertIn(2, runs)

    def test_stream_that_nobody_resumes_does_not_look_complete(self):
        """Neither to callers that know chunks nor to those that don't."""
        path = "/long/short/1"
        for fault in ("reset_answers", "break_streams"):
            for name in ("m0", "m1"):
                faults = {"break_after_events": 4, fault: ALWAYS}
                self.site.set_replica_faults(name, **faults)
            id = f"cut-{fault}"
            status, _, _ = self.site.call(
                "n0", path, host="h1.example", id=id, **PROMPT_HEADERS
            )
            self.assertEqual((status, self.count_runs(id)), (0, 1))
            with self.assertRaises(ConnectionResetError):
                self.call_with_http_1_0(path, f"old-{fault}")
            for name in ("m0", "m1"):
                self.site.set_replica_faults(name, **{fault: 0})
        body = self.call_with_http_1_0(path, "old").partition(b"\r\n\r\n")[2]
        self.assertEqual(body, make_stream("old"))

    def call_with_http_1_0(self, path, id):
        """Return the response's head and body; raise ConnectionResetError if cut."""
        fields = {
            "Host": "h1.example",
            "X-Request-Id": id,
            "X-Credential": KEY,
            "Content-Length": str(len(BODY)),
        }
        lines = [
            f"{name}: {value}" for name, value in (fields | PROMPT_HEADERS).items()
        ]
        head = "\r\n".join([f"POST {path} HTTP/1.0", *lines, "", ""])
        port = self.site.node_by_name["n0"].callers_port
        with socket.create_connection((HOST, port), timeout=15) as sock:
            sock.sendall(head.encode() + BODY)
            received = b""
            while data := sock.recv(65536):
                received += data
        return received

    def test_whole_answer_that_is_reset_is_repeated_only_where_it_may_be(self):
        self.site.set_replica_faults("a0", reset_answers=1)
        for number in range(4):
            id = f"lookup-{number}"
            status, _, body = self.site.call("n0", "/lookup/1", method="GET", id=id)
            expected = compute_response_body(make_request(id))
            self.assertEqual((status, body), (200, expected))
        for name in ("a0", "a1"):
            self.site.set_replica_faults(name, reset_answers=1)
        status, _, _ = self.site.call("n0", "/order/1", id="order")
        self.assertEqual((status, self.count_runs("order")), (502, 1))


if __name__ == "__main__":
    unittest.main()
