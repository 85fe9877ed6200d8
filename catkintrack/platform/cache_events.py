"""Request and decode the KV cache events of a replica or a cache store."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from catkintrack.fleet import CacheChange, CacheChangeBatch
from catkintrack.http import Address, Request

from .errors import DecodingError
from .names import CACHE_EVENTS_PATH, EXPECTED_UPSTREAM, REQUEST_ID, WAIT_MS


class _Events(msgspec.Struct):
    # Identifies the incarnation of the sender.
    boot_epoch: int
    # The `since` parameter of the next request.
    next: int
    lost: bool = False
    # Sequence number, + or -, cache salt, part ID, tokens stored now, model.
    events: list[tuple[int, str, str, str, int, str]] = []


def make_cache_events_request(
    address: Address, since: int, wait_s: float, request_id: bytes
) -> Request:
    """Return the long-poll request for cache events since sequence number `since`.

    A cache store has no ID and ignores the expected one. A replica that has taken over
    the store's address rejects any ID but its own.
    """
    target = CACHE_EVENTS_PATH + f"?since={since}".encode()
    headers = (
        (b"host", str(address).encode()),
        (REQUEST_ID, request_id),
        (EXPECTED_UPSTREAM, str(address).encode()),
        (WAIT_MS, str(int(wait_s * 1e3)).encode()),
    )
    return Request(b"GET", target, headers)


def decode_cache_events(body: bytes) -> Result[CacheChangeBatch, DecodingError]:
    """Return the cache changes in a response body."""
    try:
        found = msgspec.json.decode(body, type=_Events)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(DecodingError("cache events", str(error)))
    changes = tuple(
        CacheChange(sign == "+" and tokens > 0, salt, part, model)
        for _, sign, salt, part, tokens, model in found.events
    )
    return Success(CacheChangeBatch(found.boot_epoch, found.next, found.lost, changes))
