"""Read a caller's request, within the limits of size and time."""

from __future__ import annotations

import time

import curio
import h11

from catkintrack.timeouts import call_within, timeout_after

from .arrivals import estimate_arrival, find_received_s_ago
from .connections import Connection, ServerLimits
from .errors import BadRequest, describe_error
from .held_bytes import BodyBuffer, add_part, collect_body, may_hold
from .messages import Headers, Request
from .peeking import read_tcp_info
from .turns import Turn, take_step

READ_SIZE_BYTES = 65536
# A drained server closes connections on which no request arrives within this time.  A
# request may be on its way when the drain begins.
DRAIN_READ_S = 0.5
# A field's colon and the end of its line.
FIELD_WIRE_BYTES = 3


async def read_request(connection: Connection) -> Request | None:
    """Return the next request, or None if the caller is idle too long or has closed."""
    limits = connection.server.limits
    head = await _read_head(connection)
    if head is None:
        return None
    connection.is_head_request = head.method == b"HEAD"
    headers = tuple((key.lower(), value) for key, value in head.headers)
    _check_head_size(head, limits)
    _check_framing(headers, limits)
    try:
        async with timeout_after(limits.body_timeout_s):
            body = await _read_body(connection, limits)
    except curio.TaskTimeout as error:
        raise BadRequest(408, "slow_body", "request body took too long") from error
    received_s_ago = find_received_s_ago(read_tcp_info(connection.sock))
    arrived_at = estimate_arrival(received_s_ago, time.monotonic())
    return Request(head.method, head.target, headers, body, arrived_at)


async def _read_head(connection: Connection) -> h11.Request | None:
    limits = connection.server.limits
    # The time limit runs from the first byte, however slowly the rest arrives.
    deadline: float | None = None
    # Bytes that arrived with the request before.
    if connection.h11.trailing_data[0]:
        connection.is_receiving = True
        deadline = time.monotonic() + limits.head_timeout_s
    while True:
        try:
            event = connection.h11.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            reason = describe_error(error)
            raise BadRequest(status, "malformed_request", reason) from error
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        timeout_s = limits.idle_timeout_s
        if connection.server.is_draining:
            timeout_s = DRAIN_READ_S
        if deadline is not None:
            timeout_s = max(0.0, deadline - time.monotonic())
        try:
            data = await call_within(timeout_s, connection.sock.recv, READ_SIZE_BYTES)
        except curio.TaskTimeout as error:
            if deadline is None:
                return None
            raise BadRequest(408, "slow_head", "headers took too long") from error
        if data and deadline is None:
            connection.is_receiving = True
            deadline = time.monotonic() + limits.head_timeout_s
        connection.h11.receive_data(data)


def _check_head_size(head: h11.Request, limits: ServerLimits) -> None:
    """Reject a head that is too large, also if it arrived in a single read."""
    size = len(head.target)
    size += sum(len(k) + len(v) + FIELD_WIRE_BYTES for k, v in head.headers)
    if size > limits.max_head_bytes:
        raise BadRequest(431, "malformed_request", "headers are too large")


def _check_framing(headers: Headers, limits: ServerLimits) -> None:
    """Reject ambiguous or excessive body lengths (RFC 9112, section 6.3)."""
    lengths = [value for key, value in headers if key == b"content-length"]
    is_chunked = any(key == b"transfer-encoding" for key, _ in headers)
    if is_chunked and lengths or len(lengths) > 1:
        raise BadRequest(400, "conflicting_lengths", "conflicting body lengths")
    if lengths and int(lengths[0]) > limits.max_body_bytes:
        raise BadRequest(413, "body_too_large", "request body is too large")


async def _read_body(connection: Connection, limits: ServerLimits) -> bytes:
    if connection.h11.they_are_waiting_for_100_continue:
        continue_response = h11.InformationalResponse(status_code=100, headers=[])
        await connection.send_event(continue_response)
    turn = Turn()
    with collect_body(connection.held, limits.max_body_bytes) as body:
        while True:
            await take_step(turn)
            try:
                event = connection.h11.next_event()
            except h11.RemoteProtocolError as error:
                reason = describe_error(error)
                raise BadRequest(400, "malformed_body", reason) from error
            if event is h11.NEED_DATA:
                connection.h11.receive_data(await connection.sock.recv(READ_SIZE_BYTES))
            elif isinstance(event, h11.Data):
                _check_part(body, len(event.data))
                add_part(body, event.data)
            else:
                return bytes(body.data)


def _check_part(body: BodyBuffer, size_bytes: int) -> None:
    """Raise BadRequest if a part exceeds the body's limit or its share of the memory."""
    if len(body.data) + size_bytes > body.max_bytes:
        raise BadRequest(413, "body_too_large", "request body is too large")
    if not may_hold(body.held, size_bytes):
        raise BadRequest(503, "overloaded", "requests take too much memory")
