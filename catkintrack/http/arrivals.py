"""Estimate when a request arrived that is read late.

A process that was stopped, or whose event loop is behind, reads a request long after it
arrived.  The kernel records when a connection last received data, also while it waits to
be accepted, so that the wait need not be guessed from the pauses of the event loop.
"""

from __future__ import annotations

import struct

# Offsets in `struct tcp_info` of linux/tcp.h, the same on x86-64 and arm64.
STATE_OFFSET = 0
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + 4
# States of net/tcp_states.h after the peer's FIN or a reset: CLOSE, CLOSE_WAIT, LAST_ACK
# and CLOSING.
CLOSED_STATES = frozenset({7, 8, 9, 11})
# Longest step of the kernel's clock (100 Hz), by which a wait may be overestimated.
CLOCK_STEP_S = 0.01
# No caller waits so long: a longer wait was not recorded, or in another unit.
MAX_WAIT_S = 600.0


def find_received_s_ago(tcp_info: bytes) -> float | None:
    """Return how long ago data last arrived, in seconds, None if unknown."""
    if len(tcp_info) < TCP_INFO_BYTES:
        return None
    wait_s = struct.unpack_from("=I", tcp_info, LAST_DATA_RECEIVED_OFFSET)[0] / 1e3
    return wait_s if wait_s <= MAX_WAIT_S else None


def has_peer_closed(tcp_info: bytes) -> bool:
    """Report whether the peer has closed its side, False if unknown."""
    return bool(tcp_info) and tcp_info[STATE_OFFSET] in CLOSED_STATES


def estimate_arrival(received_s_ago: float | None, read_at: float) -> float:
    """Return when a request had arrived that was read whole at `read_at`, in seconds.

    Data of a later request makes the estimate later, never earlier, so that no caller
    loses time that it has.
    """
    if received_s_ago is None:
        return read_at
    return read_at - max(0.0, received_s_ago - CLOCK_STEP_S)
