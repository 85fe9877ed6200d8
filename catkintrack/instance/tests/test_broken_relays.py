"""Break off streams that come through a peer, or let it answer otherwise (issue 48)."""

import time
import unittest
from unittest import mock

import curio

from catkintrack.instance import relaying
from catkintrack.instance.calls import handle_call
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.peers import get_or_add_peer
from testkit.instances import make_config_spec
from testkit.raw_upstreams import make_chunk
from testkit.scripted_replicas import (
    PRINTABLE_ERROR,
    ScriptedReplicas,
    frame,
    make_events,
    make_head,
    make_stream_request,
    receive_response,
)
from testkit.states import RecordingLink, make_instance

STREAM = make_events()
VERSIONS = (b"1.1", b"1.0")
FOREIGN_HEADS = {
    "another request": make_head(200, b"x-request-id: r2\r\n", is_signed=True),
    "no request": make_head(200, b"", is_signed=True),
    "unsigned": make_head(200, is_signed=False),
    "encoded": make_head(200, b"x-request-id: r1\r\ncontent-encoding: gzip\r\n"),
}


class RelayedStreamTest(unittest.TestCase):
    def receive(self, *answers, version=b"1.1"):
        """Return what a caller receives while the peers give `answers` in turn."""
        instance = make_instance()
        apply_configuration(instance, 5, make_config_spec(), "store")
        instance.partition.is_cut_off = True
        for number in range(2):
            name, port = f"n{number + 2}", number + 1
            peer = get_or_add_peer(instance, name, "z1", "127.0.0.1", port)
            peer.incarnation, peer.heard_at = 1, time.monotonic()
            peer.callers_port, peer.link = port, RecordingLink()
        self.peers = ScriptedReplicas([lambda _, a=answer: a for answer in answers])

        async def handle(request, connection):
            await handle_call(instance, request, connection)

        with mock.patch.object(relaying, "open_exchange", self.peers.open_exchange):
            request = make_stream_request(version)
            return curio.run(receive_response, handle, request)

    def test_stream_that_breaks_off_at_any_byte_is_cut_there(self):
        other = frame(make_head(500), PRINTABLE_ERROR, "length")
        for version in VERSIONS:
            for size in range(len(STREAM) + 1):
                chunks = make_chunk(STREAM[:size]) if size else b""
                cut = make_head() + b"transfer-encoding: chunked\r\n\r\n" + chunks
                received = self.receive(cut, other, version=version)
                self.assertEqual(received.statuses, (200,), received)
                self.assertEqual(received.body, STREAM[:size])
                self.assertFalse(received.has_end)
                self.assertEqual(len(self.peers.requests), 1)

    def test_whole_stream_is_whole(self):
        for framing in ("chunks", "length"):
            received = self.receive(frame(make_head(), STREAM, framing))
            self.assertEqual((received.body, received.has_end), (STREAM, True))

    def test_stream_that_ends_with_its_connection_is_not_passed_on(self):
        """Its close would not tell a whole stream from a cut one."""
        received = self.receive(frame(make_head(), STREAM[:30], "close"))
        self.assertEqual(received.statuses, (502,))

    def test_success_that_is_not_the_answer_is_not_passed_on(self):
        for name, head in FOREIGN_HEADS.items():
            with self.subTest(name):
                received = self.receive(frame(head, STREAM, "chunks"))
                self.assertEqual(received.statuses, (502,), received)

    def test_failure_through_a_peer_is_one_answer(self):
        for status in (400, 404, 429, 500, 503):
            received = self.receive(frame(make_head(status), PRINTABLE_ERROR, "length"))
            self.assertEqual(received.statuses, (status,))
            self.assertEqual((received.body, received.has_end), (PRINTABLE_ERROR, True))


if __name__ == "__main__":
    unittest.main()
