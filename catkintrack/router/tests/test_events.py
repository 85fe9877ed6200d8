"""Test that streams are relayed completely and in order, wherever they split or break.

A lost, duplicated or reordered token would corrupt the text that the caller receives.
"""

import unittest

import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings

from catkintrack.http import UpstreamExchangeError
from catkintrack.router.events import EventReader, StreamProgress
from testkit.profiles import DETERMINISTIC

TOKENS = [f" t{number}" for number in range(12)]


def make_event(index):
    chunk = {"choices": [{"index": 0, "delta": {"content": TOKENS[index]}}]}
    return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(chunk))


def make_stream(first=0):
    events = [make_event(index) for index in range(first, len(TOKENS))]
    usage = b'data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":12}}'
    return b"".join(events) + usage + b"\n\ndata: [DONE]\n\n"


def split_at(data, positions):
    bounds = [0, *sorted(position % len(data) for position in positions), len(data)]
    return [data[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]


def extract_text(relayed):
    text = ""
    for event in relayed.split(b"\n\n"):
        if event and event != b"data: [DONE]":
            for choice in msgspec.json.decode(event[6:])["choices"]:
                text += choice["delta"]["content"]
    return text


class EventReaderTest(unittest.TestCase):
    @given(st.lists(st.integers(0, 5000), max_size=20))
    @settings(DETERMINISTIC)
    def test_stream_split_anywhere_is_relayed_completely(self, positions):
        progress = StreamProgress()
        reader = EventReader(progress, wants_usage=False)
        relayed = b"".join(
            reader.read(piece) for piece in split_at(make_stream(), positions)
        )
        self.assertEqual(extract_text(relayed), "".join(TOKENS))
        self.assertTrue(progress.is_done)
        self.assertNotIn(b"usage", relayed)
        self.assertNotIn(b"id: ", relayed)
        self.assertEqual(progress.usage.completion_tokens, 12)

    @given(st.lists(st.integers(0, 2000), min_size=1, max_size=3), st.booleans())
    @settings(DETERMINISTIC)
    def test_resumed_attempts_join_without_gap_or_duplicate(
        self, break_positions, resumes_at_next_token
    ):
        progress = StreamProgress()
        relayed = b""
        for position in break_positions:
            first = progress.next_index if resumes_at_next_token else 0
            data = make_stream(first)
            if progress.is_done:
                break
            relayed += EventReader(progress, False).read(data[: position % len(data)])
        if not progress.is_done:
            relayed += EventReader(progress, False).read(
                make_stream(progress.next_index)
            )
        self.assertEqual(extract_text(relayed), "".join(TOKENS))
        self.assertEqual(progress.delivered, "".join(TOKENS))

    def test_missing_token_raises(self):
        reader = EventReader(StreamProgress(), False)
        reader.read(make_event(0))
        with self.assertRaises(UpstreamExchangeError):
            reader.read(make_event(2))

    def test_tokens_read_with_a_bad_event_are_still_to_come(self):
        """They were not passed on, so that the next engine has to send them."""
        for bad in (b"data: no chunk\n\n", make_event(5), b"id: x\ndata: {}\n\n"):
            progress = StreamProgress()
            reader = EventReader(progress, False)
            reader.read(make_event(0))
            with self.assertRaises(UpstreamExchangeError):
                reader.read(make_event(1) + make_event(2) + bad)
            self.assertEqual(progress.next_index, 1)
            self.assertEqual(progress.delivered, TOKENS[0])

    def test_event_that_is_no_chunk_is_not_passed_on(self):
        error = b'{"error": {"message": "overloaded"}}'
        events = (
            b"data: " + error,
            b"event: error\ndata: " + error,
            b"data:" + error,
            error,
            b'data: {"detail": "overloaded"}',
            b"id: 1\ndata: " + error,
        )
        for event in events:
            for end in (b"", b"\n\ndata: [DONE]"):
                with self.subTest(event, end=end):
                    progress = StreamProgress()
                    reader = EventReader(progress, False)
                    reader.read(make_event(0))
                    with self.assertRaises(UpstreamExchangeError):
                        reader.read(event + end + b"\n\n")
                    self.assertFalse(progress.is_done)

    def test_comment_and_reconnection_time_are_dropped(self):
        reader = EventReader(StreamProgress(), False)
        for event in (b": ping\n\n", b"retry: 500\n\n", b"retry: 5\n: ping\n\n"):
            self.assertEqual(reader.read(event), b"")
        self.assertIn(b"t0", reader.read(make_event(0)))

    def test_chunk_without_choices_is_passed_on(self):
        event = b'data: {"choices": [], "prompt_filter_results": []}\n\n'
        self.assertEqual(EventReader(StreamProgress(), False).read(event), event)

    @given(st.binary(max_size=200))
    @settings(DETERMINISTIC)
    def test_malformed_event_never_ends_a_stream(self, data):
        progress = StreamProgress()
        reader = EventReader(progress, False)
        try:
            reader.read(data + b"\n\n")
        except UpstreamExchangeError:
            return
        self.assertEqual(progress.is_done, b"data: [DONE]" in data)


if __name__ == "__main__":
    unittest.main()
