"""Break streams off and let the next replicas answer otherwise (issue 48).

Whatever they answer, a caller gets one head and a prefix of the one stream, and an end
only after all of it.
"""

import contextlib
import unittest
from unittest import mock

import curio
import hypothesis.strategies as st
from hypothesis import given, settings

from catkintrack.instance import attempts, model_calls, service_calls
from catkintrack.instance.calls import handle_call
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import apply_upstream
from testkit.instances import make_config_spec, make_entry_spec
from testkit.profiles import DETERMINISTIC
from testkit.raw_upstreams import make_chunk
from testkit.scripted_replicas import (
    PRINTABLE_ERROR,
    REQUEST_ID,
    ScriptedReplicas,
    find_first_number,
    frame,
    make_events,
    make_head,
    make_stream_request,
    receive_response,
)
from testkit.states import make_instance

REPLICAS = 5
REQUEST = make_stream_request()
REQUEST_1_0 = make_stream_request(b"1.0")
STREAM = make_events()
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


def answer_with(data):
    return lambda request: data


def go_on(request):
    return frame(make_head(), make_events(find_first_number(request)), "chunks")


def break_at(size, framing="chunks"):
    """Answer with the stream from where it is asked for, cut `size` bytes into it."""

    def answer(request):
        body = make_events(find_first_number(request))
        if framing == "chunks":
            return make_head() + CHUNKED + make_chunk(body[:size])
        head = make_head() + b"content-length: %d\r\n\r\n" % len(body)
        return head + body[: min(size, len(body) - 1)]

    return answer


def start_at(offset):
    """Answer with whole events that repeat or skip numbers."""

    def answer(request):
        first = max(1, find_first_number(request) + offset)
        return frame(make_head(), make_events(first), "chunks")

    return answer


NOT_RUN = b"x-not-executed: 1\r\n"
OTHER_ID = b"x-request-id: r2\r\n"
ERROR_EVENTS = (
    b"event: error\ndata: " + PRINTABLE_ERROR + b"\n\n",
    b"data: " + PRINTABLE_ERROR + b"\n\n",
    PRINTABLE_ERROR + b"\n\n",
)
FRAMINGS = ("length", "chunks", "close")
HEADS = {
    **{f"status {n}": make_head(n) for n in (400, 404, 408, 410, 413, 429)},
    **{f"status {n}": make_head(n) for n in (500, 502, 503, 504, 206, 301, 307)},
    "busy": make_head(503, REQUEST_ID + NOT_RUN),
    "limited": make_head(429, REQUEST_ID + NOT_RUN + b"retry-after: 0\r\n"),
    "misdirected": make_head(421),
    "to another request": make_head(200, OTHER_ID),
    "unsigned": make_head(200, is_signed=False),
    "encoded": make_head(200, REQUEST_ID + b"content-encoding: gzip\r\n"),
    "plain": make_head(200),
    "json": make_head(200, REQUEST_ID + b"content-type: application/json\r\n"),
    "not run with success": make_head(200, REQUEST_ID + NOT_RUN),
}
ANSWERS = {
    **{
        f"{name}, {framing}": answer_with(frame(head, PRINTABLE_ERROR, framing))
        for name, head in HEADS.items()
        for framing in FRAMINGS
    },
    **{
        f"error event {n}, {framing}": answer_with(frame(make_head(), event, framing))
        for n, event in enumerate(ERROR_EVENTS)
        for framing in FRAMINGS
    },
    "no content": answer_with(make_head(204) + b"\r\n"),
    "closed": answer_with(b""),
    "head without end": answer_with(make_head() + b"x-more: "),
    "not HTTP": answer_with(PRINTABLE_ERROR),
    "1xx alone": answer_with(b"HTTP/1.1 102 -\r\n\r\n" * 3),
    "1xx, then an error": answer_with(
        b"HTTP/1.1 100 -\r\n\r\n" + frame(make_head(500), PRINTABLE_ERROR, "length")
    ),
    "switching protocols": answer_with(b"HTTP/1.1 101 -\r\nupgrade: x\r\n\r\nxx"),
    "empty, close": answer_with(make_head() + b"\r\n"),
    "begins again": answer_with(frame(make_head(), STREAM, "chunks")),
    "repeats": start_at(-1),
    "skips": start_at(1),
    "number twice": answer_with(frame(make_head(), b"id: 1\nid: 1\n\n", "chunks")),
    "bytes after the end": lambda request: (
        go_on(request) + frame(make_head(500), PRINTABLE_ERROR, "length")
    ),
    "goes on": go_on,
}


class BrokenStreamCase(unittest.TestCase):
    """Serve a stream at an instance whose replicas play scripts."""

    def setUp(self):
        stack = self.enterContext(contextlib.ExitStack())
        # The retry budget and suspicions of lost replicas would hide later attempts.
        for module in (model_calls, service_calls):
            stack.enter_context(mock.patch.object(module, "take_next_attempt", allow))
            stack.enter_context(mock.patch.object(module, "report_lost_replica", skip))

    def receive(self, answers, request=REQUEST, resumable=True):
        """Return what a caller receives while replicas give `answers` in turn."""
        instance = make_instance()
        spec = make_config_spec()
        spec["routes"][0] |= {"max_attempts": REPLICAS, "resumable": resumable}
        apply_configuration(instance, 5, spec, "store")
        for number in range(REPLICAS):
            entry = make_entry_spec(address=f"127.0.0.1:{number + 1}")
            apply_upstream(instance, f"i{number}", entry, 1.0)
        self.replicas = ScriptedReplicas(list(answers))

        async def handle(request, connection):
            await handle_call(instance, request, connection)

        with mock.patch.object(attempts, "open_exchange", self.replicas.open_exchange):
            return curio.run(receive_response, handle, request)

    def assert_prefix(self, received, stream=STREAM):
        """Require one head, a prefix of the stream, and an end only if it is whole."""
        self.assertEqual(received.statuses, (200,), received)
        whole = stream.startswith(received.body)
        self.assertTrue(whole, received)
        at_event_end = not received.body or received.body.endswith(b"\n\n")
        self.assertTrue(at_event_end, received)
        self.assertEqual(received.raw.count(b"HTTP/1.1 "), 1, received)
        if received.has_end:
            self.assertEqual(received.body, stream)


def allow(*_arguments):
    return True


async def skip(*_arguments):
    pass


class NextAnswerTest(BrokenStreamCase):
    def test_each_answer_leaves_the_stream_as_it_is(self):
        begun = break_at(len(make_events(1, 2)) + 5)
        for name, answer in ANSWERS.items():
            for request in (REQUEST, REQUEST_1_0):
                with self.subTest(name, version=request[13:21]):
                    received = self.receive([begun, answer], request)
                    self.assert_prefix(received)
                    self.assertTrue(received.body.startswith(make_events(1, 2)))
                    self.assertGreater(len(self.replicas.requests), 1)

    def test_stream_goes_on_at_the_replica_after_the_next(self):
        begun = break_at(len(make_events(1, 2)) + 5)
        for name, answer in ANSWERS.items():
            with self.subTest(name):
                received = self.receive([begun, answer, go_on, go_on])
                self.assert_prefix(received)
                self.assertEqual(received.body, STREAM)
                self.assertTrue(received.has_end)

    @given(
        st.integers(0, len(STREAM)),
        st.sampled_from(("chunks", "length")),
        st.lists(
            st.one_of(st.sampled_from(sorted(ANSWERS)), st.integers(0, len(STREAM))),
            max_size=4,
        ),
        st.booleans(),
    )
    @settings(DETERMINISTIC)
    def test_caller_gets_a_prefix_of_the_stream(self, size, framing, names, is_old):
        then = [
            break_at(name) if isinstance(name, int) else ANSWERS[name] for name in names
        ]
        request = REQUEST_1_0 if is_old else REQUEST
        received = self.receive([break_at(size, framing), *then], request)
        if size >= len(make_events(1, 1)):
            self.assert_prefix(received)
        else:
            # Nothing was begun: a failure may be passed on, as one answer.
            self.assertEqual(len(received.statuses), 1, received)


class StreamWithoutPromptTest(BrokenStreamCase):
    """Such streams begin at any replica of the service and are not gone on with."""

    request = make_stream_request(has_prompt=False)

    def test_begun_stream_is_cut_where_it_breaks_off(self):
        for name, answer in ANSWERS.items():
            with self.subTest(name):
                begun = break_at(len(make_events(1, 2)) + 5)
                received = self.receive([begun, answer, go_on], self.request)
                self.assert_prefix(received)
                self.assertEqual(received.body, make_events(1, 2))
                self.assertFalse(received.has_end)
                self.assertEqual(len(self.replicas.requests), 1)

    @given(
        st.lists(st.sampled_from(sorted(ANSWERS)), max_size=3),
        st.integers(0, len(STREAM)),
    )
    @settings(DETERMINISTIC)
    def test_stream_after_failures_has_one_head(self, names, size):
        """A failure that was kept for the end is not sent after a stream's begin."""
        answers = [*(ANSWERS[name] for name in names), break_at(size)]
        received = self.receive(answers, self.request)
        self.assertEqual(len(received.statuses), 1, received)
        if received.body.startswith(make_events(1, 1)):
            self.assert_prefix(received)


class LineEndTest(BrokenStreamCase):
    """An event is passed on at the first byte that may end it."""

    def test_stream_that_breaks_off_inside_a_line_end_is_joined_whole(self):
        for line_end in (b"\n", b"\r\n", b"\r"):
            stream = STREAM.replace(b"\n", line_end)

            def go_on_alike(request, line_end=line_end):
                body = make_events(find_first_number(request))
                return frame(make_head(), body.replace(b"\n", line_end), "chunks")

            first = len(make_events(1, 1).replace(b"\n", line_end))
            for size in range(first - 1, len(stream) + 1):
                cut = make_head() + CHUNKED + make_chunk(stream[:size])
                received = self.receive([answer_with(cut), go_on_alike])
                self.assertEqual(received.body, stream, (line_end, size))
                self.assertTrue(received.has_end)


class UnnumberedEventTest(BrokenStreamCase):
    def test_stream_with_an_event_without_a_number_does_not_go_on_elsewhere(self):
        """Another replica would repeat the event, or leave it out."""
        event = b"data: text\n\n"
        for body in (event, make_events(1, 2) + event):
            with self.subTest(body):
                cut = make_head() + CHUNKED + make_chunk(body)
                received = self.receive([answer_with(cut), go_on])
                self.assertEqual(received.body, body)
                self.assertFalse(received.has_end)
                self.assertEqual(len(self.replicas.requests), 1)

    def test_comment_is_not_an_event(self):
        for comment in (b": ping\n\n", b": ping\n: pong\n\n"):
            with self.subTest(comment):
                cut = make_head() + CHUNKED + make_chunk(make_events(1, 2) + comment)
                received = self.receive([answer_with(cut), go_on])
                expected = make_events(1, 2) + comment + make_events(3)
                self.assertEqual(received.body, expected)
                self.assertTrue(received.has_end)

    def test_whole_stream_without_numbers_is_passed_on(self):
        body = b"data: text\n\n" * 3
        answer = answer_with(frame(make_head(), body, "chunks"))
        received = self.receive([answer], resumable=False)
        self.assertEqual((received.body, received.has_end), (body, True))


if __name__ == "__main__":
    unittest.main()
