"""Check that a stream is passed on whole and in order, however it is cut."""

import unittest

import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings

from catkintrack.http import UpstreamExchangeError
from catkintrack.router.events import EventReader, StreamProgress
from testkit.profiles import DETERMINISTIC

TOKENS = [f" t{number}" for number in range(12)]


def write_event(index):
    chunk = {"choices": [{"index": 0, "delta": {"content": TOKENS[index]}}]}
    return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(chunk))


def write_stream(first=0):
    events = [write_event(index) for index in range(first, len(TOKENS))]
    usage = b'data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":12}}'
    return b"".join(events) + usage + b"\n\ndata: [DONE]\n\n"


def cut(data, places):
    edges = [0, *sorted(place % len(data) for place in places), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


def read_text(passed):
    text = ""
    for event in passed.split(b"\n\n"):
        if event and event != b"data: [DONE]":
            for choice in msgspec.json.decode(event[6:])["choices"]:
                text += choice["delta"]["content"]
    return text


class EventReaderTest(unittest.TestCase):
    @given(st.lists(st.integers(0, 5000), max_size=20))
    @settings(DETERMINISTIC)
    def test_pieces_of_any_size_pass_whole(self, places):
        progress = StreamProgress()
        reader = EventReader(progress, wants_usage=False)
        passed = b"".join(reader.read(piece) for piece in cut(write_stream(), places))
        self.assertEqual(read_text(passed), "".join(TOKENS))
        self.assertTrue(progress.is_done)
        self.assertNotIn(b"usage", passed)
        self.assertNotIn(b"id: ", passed)
        self.assertEqual(progress.usage.completion_tokens, 12)

    @given(st.lists(st.integers(0, 2000), min_size=1, max_size=3), st.booleans())
    @settings(DETERMINISTIC)
    def test_attempts_that_break_anywhere_join_without_gap_or_repeat(
        self, breaks, resumes_exactly
    ):
        progress = StreamProgress()
        passed = b""
        for place in breaks:
            first = progress.next_index if resumes_exactly else 0
            data = write_stream(first)
            if progress.is_done:
                break
            passed += EventReader(progress, False).read(data[: place % len(data)])
        if not progress.is_done:
            passed += EventReader(progress, False).read(
                write_stream(progress.next_index)
            )
        self.assertEqual(read_text(passed), "".join(TOKENS))
        self.assertEqual(progress.delivered, "".join(TOKENS))

    def test_missing_token_is_noticed(self):
        reader = EventReader(StreamProgress(), False)
        reader.read(write_event(0))
        with self.assertRaises(UpstreamExchangeError):
            reader.read(write_event(2))

    @given(st.binary(max_size=200))
    @settings(DETERMINISTIC)
    def test_nonsense_never_ends_a_stream(self, data):
        progress = StreamProgress()
        reader = EventReader(progress, False)
        try:
            reader.read(data + b"\n\n")
        except UpstreamExchangeError:
            return
        self.assertEqual(progress.is_done, b"data: [DONE]" in data)


if __name__ == "__main__":
    unittest.main()
