"""Break engines' streams off and let the next engines answer otherwise (issue 48).

Whatever they answer, a caller gets one head, a prefix of the one text, and `[DONE]` and an
end only after all of it; a cut stream ends with the router's own error event.
"""

import contextlib
import unittest
from types import SimpleNamespace
from unittest import mock

import curio
import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings

from catkintrack.decisions import ModelRequest
from catkintrack.http import Address, Request
from catkintrack.router import calls, model_calls
from catkintrack.router.model_calls import ModelCall
from testkit.profiles import DETERMINISTIC
from testkit.raw_upstreams import make_chunk
from testkit.scripted_replicas import (
    PRINTABLE_ERROR,
    ScriptedReplicas,
    find_first_number,
    frame,
    receive_response,
)

TOKENS = [f" t{number}" for number in range(5)]
TEXT = "".join(TOKENS)
DONE = b"data: [DONE]\n\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
FRAMINGS = ("length", "chunks", "close")
ERROR_EVENTS = (
    b"event: error\ndata: " + PRINTABLE_ERROR + b"\n\n",
    b"data: " + PRINTABLE_ERROR + b"\n\n",
    b"data:" + PRINTABLE_ERROR + b"\n\n",
    PRINTABLE_ERROR + b"\n\n",
)


def make_events(first=0, last=None):
    events = []
    for index in range(first, len(TOKENS) if last is None else last + 1):
        choice = {"index": 0, "delta": {"content": TOKENS[index]}}
        data = msgspec.json.encode({"choices": [choice]})
        events.append(b"id: %d\ndata: %s\n\n" % (index, data))
    return b"".join(events)


def make_head(status=200):
    return b"HTTP/1.1 %d -\r\n" % status


def find_next_token(request):
    return find_first_number(request) - 1


def go_on(request):
    body = make_events(find_next_token(request)) + DONE
    return frame(make_head(), body, "chunks")


def break_at(size, rest=b""):
    """Answer with the stream from where it is asked for, cut, and then with `rest`."""

    def answer(request):
        body = make_events(find_next_token(request)) + DONE
        return make_head() + CHUNKED + make_chunk(body[:size] + rest)

    return answer


def answer_with(data):
    return lambda request: data


ANSWERS = {
    **{
        f"status {status}, {framing}": answer_with(
            frame(make_head(status), PRINTABLE_ERROR, framing)
        )
        for status in (400, 404, 408, 409, 413, 421, 429, 500, 503, 504, 206, 301)
        for framing in FRAMINGS
    },
    **{
        f"error event {number}{' and end' * bool(end)}, {framing}": answer_with(
            frame(make_head(), event + end, framing)
        )
        for number, event in enumerate(ERROR_EVENTS)
        for end in (b"", DONE)
        for framing in FRAMINGS
    },
    "no content": answer_with(make_head(204) + b"\r\n"),
    "json": answer_with(frame(make_head(), PRINTABLE_ERROR, "length")),
    "empty": answer_with(frame(make_head(), b"", "length")),
    "closed": answer_with(b""),
    "head without end": answer_with(make_head() + b"x-more: "),
    "not HTTP": answer_with(PRINTABLE_ERROR),
    "1xx alone": answer_with(b"HTTP/1.1 102 -\r\n\r\n" * 3),
    "skips": lambda request: frame(
        make_head(), make_events(find_next_token(request) + 1) + DONE, "chunks"
    ),
    "begins again": lambda request: frame(make_head(), make_events() + DONE, "chunks"),
    "a token, then an error": lambda request: frame(
        make_head(),
        make_events(find_next_token(request))[: len(make_events(0, 0))]
        + ERROR_EVENTS[1],
        "chunks",
    ),
    "a token, then no chunk": lambda request: frame(
        make_head(),
        make_events(find_next_token(request))[: len(make_events(0, 0))]
        + b"data: not JSON\n\n",
        "chunks",
    ),
}


class BrokenStreamCase(unittest.TestCase):
    """Relay a stream of engines that play scripts; every choice finds the next one."""

    def receive(self, answers, version=b"1.1"):
        """Return what a caller receives while engines give `answers` in turn."""
        self.replicas = ScriptedReplicas(list(answers))
        limits = SimpleNamespace(read_timeout_s=5.0, head_timeout_s=5.0)
        counter = mock.MagicMock()
        address = Address("127.0.0.1", 1)
        upstream = SimpleNamespace(name="e1", address=address)
        tables = SimpleNamespace(
            upstream_by_name={"e1": upstream}, find_route=lambda path: route
        )
        route = SimpleNamespace(name="chat", timeout_s=5.0)
        router = SimpleNamespace(
            settings=SimpleNamespace(router=SimpleNamespace(upstreams=limits)),
            **{"tables": tables, "metrics": counter, "pool": None},
            **{"call_queue": None, "decisions": None},
        )
        request = ModelRequest("r1", "w1", "m1", (), 5, 32, 5, 0.0, 0.0)
        body = SimpleNamespace(wants_usage=False, max_tokens=32, is_stream=True)
        body.prompt_tokens = 5

        async def serve(_router, _id, _request, _route, connection):
            self.call = ModelCall("r1", route, None, body, request, "/v1")
            await model_calls._run_stream(router, self.call, connection)

        async def handle(request, connection):
            await calls.handle_call(router, request, connection)

        patches = {
            "wait_for_decision": choose,
            "run_tick": ignore,
            "record_failure": mock.Mock(),
            "record_answer": mock.Mock(),
            "record_end": mock.Mock(),
            "_record_first_token": ignore,
            "_make_request": make_request,
            "open_exchange": self.replicas.open_exchange,
        }
        with contextlib.ExitStack() as stack:
            stack.enter_context(mock.patch.multiple(model_calls, **patches))
            stack.enter_context(
                mock.patch.object(calls, "_authenticate_and_serve", serve)
            )
            request_bytes = b"POST /v1 HTTP/%s\r\nhost: x\r\n\r\n" % version
            return curio.run(receive_response, handle, request_bytes)

    def assert_prefix(self, received):
        """Require one head, a prefix of the text, and an end only if it is whole."""
        self.assertEqual(received.statuses, (200,), received)
        events = received.body.split(b"\n\n")
        self.assertEqual(events.pop(), b"", received)
        is_done = events[-1:] == [DONE.strip()]
        if is_done or (events and b'"UpstreamFailed"' in events[-1]):
            events.pop()
        text = ""
        for event in events:
            chunk = msgspec.json.decode(event.removeprefix(b"data: "))
            self.assertNotIn("error", chunk, received)
            text += chunk["choices"][0]["delta"]["content"]
        self.assertTrue(TEXT.startswith(text), received)
        self.assertEqual(text, self.call.progress.delivered)
        self.assertEqual(received.has_end, is_done, received)
        if is_done:
            self.assertEqual(text, TEXT)


async def choose(_queue, _request, _has_left):
    return SimpleNamespace(
        upstream="e1", uncached_tokens=0, best_cached_tokens=0, fetch_from=None
    )


async def ignore(*_arguments):
    pass


def make_request(call, host):
    """Ask for the tokens that the caller lacks, by their number from 1."""
    last = b"%d" % call.progress.next_index
    headers = ((b"host", host.encode()), (b"last-event-id", last))
    return Request(b"GET", b"/", headers)


class NextAnswerTest(BrokenStreamCase):
    def test_each_answer_leaves_the_stream_as_it_is(self):
        begun = break_at(len(make_events(0, 1)) + 5)
        for name, answer in ANSWERS.items():
            for version in (b"1.1", b"1.0"):
                with self.subTest(name, version=version):
                    self.assert_prefix(self.receive([begun, answer], version))
                    self.assertTrue(self.call.progress.delivered.startswith(" t0 t1"))

    def test_stream_goes_on_at_the_engine_after_the_next(self):
        begun = break_at(len(make_events(0, 1)) + 5)
        for name, answer in ANSWERS.items():
            with self.subTest(name):
                received = self.receive([begun, answer, go_on, go_on])
                self.assert_prefix(received)
                self.assertTrue(received.has_end, received)

    @given(
        st.integers(len(make_events(0, 0)), len(make_events() + DONE)),
        st.lists(
            st.one_of(st.sampled_from(sorted(ANSWERS)), st.integers(0, 300)), max_size=3
        ),
        st.sampled_from((b"1.1", b"1.0")),
    )
    @settings(DETERMINISTIC)
    def test_caller_gets_a_prefix_of_the_text(self, size, names, version):
        then = [
            break_at(name) if isinstance(name, int) else ANSWERS[name] for name in names
        ]
        self.assert_prefix(self.receive([break_at(size), *then], version))

    def test_own_error_of_the_first_engine_is_not_passed_on(self):
        for error in ERROR_EVENTS:
            for end in (b"", DONE):
                with self.subTest(error, end=end):
                    first = break_at(len(make_events(0, 1)), error + end)
                    received = self.receive([first, go_on])
                    self.assert_prefix(received)
                    self.assertTrue(received.has_end, received)


if __name__ == "__main__":
    unittest.main()
