"""Estimate arrivals from what the kernel records of a connection.

The load: a process that reads late, by milliseconds when busy, by seconds when stopped.
"""

import socket
import struct
import time
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from catkintrack.http.arrivals import (
    CLOCK_STEP_S,
    CLOSED_STATES,
    LAST_DATA_RECEIVED_OFFSET,
    TCP_INFO_BYTES,
    estimate_arrival,
    find_received_s_ago,
    has_peer_closed,
)
from catkintrack.http.peeking import has_ended, read_tcp_info

ESTABLISHED = 1
CLOSE_WAIT = 8


def make_tcp_info(state=ESTABLISHED, received_ms_ago=0):
    info = bytearray(TCP_INFO_BYTES)
    info[0] = state
    struct.pack_into("=I", info, LAST_DATA_RECEIVED_OFFSET, received_ms_ago)
    return bytes(info)


def read_real_info(sock):
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)


class ArrivalTest(unittest.TestCase):
    def test_late_read_counts_from_the_arrival(self):
        received_s_ago = find_received_s_ago(make_tcp_info(received_ms_ago=3000))
        self.assertAlmostEqual(
            estimate_arrival(received_s_ago, 100.0), 97.0 + CLOCK_STEP_S
        )

    def test_short_wait_of_a_busy_loop_costs_at_most_itself(self):
        received_s_ago = find_received_s_ago(make_tcp_info(received_ms_ago=20))
        self.assertGreaterEqual(estimate_arrival(received_s_ago, 100.0), 99.98)

    def test_without_a_record_the_read_counts(self):
        self.assertIsNone(find_received_s_ago(b""))
        self.assertEqual(estimate_arrival(None, 100.0), 100.0)
        self.assertFalse(has_peer_closed(b""))

    def test_record_of_another_kind_takes_no_time_from_a_caller(self):
        # A negative number, the time since the system's start, and a short structure.
        for received_ms_ago in (2**32 - 5, 86_400_000):
            info = make_tcp_info(received_ms_ago=received_ms_ago)
            self.assertIsNone(find_received_s_ago(info))
        self.assertIsNone(find_received_s_ago(make_tcp_info()[:8]))

    def test_state_that_is_not_known_is_not_a_close(self):
        closed = {
            state for state in range(256) if has_peer_closed(make_tcp_info(state))
        }
        self.assertEqual(closed, CLOSED_STATES)
        # Data may be read in SYN_RECV (3) with TCP Fast Open.
        self.assertFalse(closed & {0, 3, ESTABLISHED})

    @given(st.integers(0, 2**32 - 1), st.floats(0.0, 1e9))
    def test_estimate_is_never_after_the_read(self, received_ms_ago, read_at):
        received_s_ago = find_received_s_ago(
            make_tcp_info(received_ms_ago=received_ms_ago)
        )
        arrived_at = estimate_arrival(received_s_ago, read_at)
        self.assertLessEqual(arrived_at, read_at)
        self.assertGreaterEqual(arrived_at, read_at - received_ms_ago / 1e3 - 1e-6)

    def test_closed_peers_differ_from_open_ones(self):
        self.assertFalse(has_peer_closed(make_tcp_info(ESTABLISHED)))
        self.assertTrue(has_peer_closed(make_tcp_info(CLOSE_WAIT)))

    def test_connection_without_a_record_counts_as_open_behind_data(self):
        sock = mock.Mock()
        sock._socket.recv.return_value = b"G"
        sock._socket.getsockopt.side_effect = OSError("not supported")
        self.assertEqual(read_tcp_info(sock), b"")
        self.assertFalse(has_ended(sock))
        sock._socket.recv.return_value = b""
        self.assertTrue(has_ended(sock))


class KernelRecordTest(unittest.TestCase):
    """Check the offsets against the kernel, on a connection that is accepted late."""

    def test_wait_in_the_accept_queue_and_close_behind_data(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            caller = socket.create_connection(listener.getsockname())
            caller.sendall(b"request")
            sent_at = time.monotonic()
            time.sleep(0.4)
            accepted, _ = listener.accept()
            with accepted:
                info = read_real_info(accepted)
                arrived_at = estimate_arrival(
                    find_received_s_ago(info), time.monotonic()
                )
                self.assertAlmostEqual(arrived_at, sent_at, delta=0.1)
                self.assertFalse(has_peer_closed(info))
                caller.close()
                time.sleep(0.05)
                self.assertTrue(has_peer_closed(read_real_info(accepted)))


if __name__ == "__main__":
    unittest.main()
