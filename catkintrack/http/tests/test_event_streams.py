"""Split event streams at any place, with work that grows with their length only."""

import unittest
from unittest import mock

import hypothesis.strategies as st
from hypothesis import given, settings

from catkintrack.http import EventBuffer, drop_searched, event_streams, split_events
from testkit.profiles import DETERMINISTIC

PATTERN = event_streams._EVENT_END
PIECES = st.lists(st.text("ab\r\n", max_size=6).map(str.encode), max_size=12)


def split_again(rest, data):
    """Return the events in `rest + data`, searched from its start, and the rest."""
    whole = rest + data
    events, start = [], 0
    for match in PATTERN.finditer(whole):
        events.append(whole[start : match.end()])
        start = match.end()
    return events, whole[start:]


class CountingPattern:
    """Count the bytes that are searched."""

    searched_bytes = 0

    def finditer(self, data, position=0):
        self.searched_bytes += len(data) - position
        return PATTERN.finditer(data, position)


class EventBufferTest(unittest.TestCase):
    @settings(DETERMINISTIC)
    @given(PIECES)
    def test_events_are_those_of_a_search_from_the_start(self, pieces):
        buffer, rest = EventBuffer(), b""
        for piece in pieces:
            expected, rest = split_again(rest, piece)
            self.assertEqual(split_events(buffer, piece), expected)
            self.assertEqual(bytes(buffer.data), rest)

    @settings(DETERMINISTIC)
    @given(PIECES)
    def test_ends_are_found_after_what_was_searched_is_dropped(self, pieces):
        whole, dropping = EventBuffer(), EventBuffer()
        for piece in pieces:
            expected = len(split_events(whole, piece))
            self.assertEqual(len(split_events(dropping, piece)), expected)
            drop_searched(dropping)
            self.assertLessEqual(len(dropping.data), 4)

    def test_bytes_without_an_event_are_searched_once(self):
        """Guards against an endless event that stopped an instance (review case 5)."""
        pattern = CountingPattern()
        piece, count = b"0123456789abcdef" * 4, 4000
        buffer = EventBuffer()
        with mock.patch.object(event_streams, "_EVENT_END", pattern):
            for _ in range(count):
                self.assertEqual(split_events(buffer, piece), [])
        self.assertLess(pattern.searched_bytes, 1.1 * len(piece) * count)

    def test_bytes_without_an_empty_line_cost_one_plain_search(self):
        """Guards against 0.1 s of the event loop for each endless event of 1 MB."""
        pattern = CountingPattern()
        piece, count = b"data: 0123456789\r\n" * 64, 400
        find, searched_bytes = event_streams._find_line_end_pair, 0

        def count_searched(data, position):
            nonlocal searched_bytes
            searched_bytes += len(data) - position
            return find(data, position)

        buffer = EventBuffer()
        with (
            mock.patch.object(event_streams, "_EVENT_END", pattern),
            mock.patch.object(event_streams, "_find_line_end_pair", count_searched),
        ):
            for _ in range(count):
                self.assertEqual(split_events(buffer, piece), [])
        self.assertEqual(pattern.searched_bytes, 0)
        self.assertLess(searched_bytes, 1.1 * len(piece) * count)


if __name__ == "__main__":
    unittest.main()
