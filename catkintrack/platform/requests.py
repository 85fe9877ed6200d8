"""Translate the HTTP headers and bodies of callers, replicas and error responses."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from catkintrack.fleet import Call, Prompt, PromptPart, ReplicaLoad
from catkintrack.http import (
    Address,
    Headers,
    Request,
    ResponseHead,
    find_header,
    strip_hop_by_hop_headers,
)

from .errors import DecodingError
from .names import (
    ANSWERING_UPSTREAM,
    API_KEY,
    CACHE_SALT,
    DEADLINE_MS,
    EXPECTED_UPSTREAM,
    EXPECTED_VERSION,
    FETCH_FROM,
    LAST_EVENT_ID,
    MODEL,
    NOT_RUN,
    PRIORITY,
    PROMPT_PARTS,
    RELAYED,
    REQUEST_ID,
    RESPONSE_SIGNATURE,
    RESUMES,
    RETRY_AFTER,
    ROUTER_HEADERS,
    SAVE_TO,
    SERVER_BRITTLE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
    TOKEN_USAGE,
    WEIGHTS_VERSION,
    WORKSPACE,
)

# Status of a replica whose ID or weights version differs from the expected one.
MISDIRECTED_REQUEST_STATUS = 421
# Longer numbers exceed 64 bits.
MAX_DIGITS = 18
# A larger one is taken for an error of the replica.
MAX_SLOWDOWN_PERCENT = 10_000
DECIMAL_NUMBER = re.compile(rb"[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)")
JSON_CONTENT_TYPE = (b"content-type", b"application/json")


@dataclass(frozen=True, slots=True)
class RequestFields:
    """Hold the parsed headers of a caller's request.

    `deadline_s` is the time from the arrival of the request, in seconds.  `resumed_id` is
    the ID of the attempt that began the stream that the caller resumes.
    """

    id: bytes
    host: str
    key: str | None
    deadline_s: float | None
    prompt: Prompt | None
    last_event_id: int | None
    resumed_id: bytes | None = None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Hold the parameters for sending a call to one replica.

    `rank` is the replica's scheduling priority from 0, the most urgent, to 9.
    `fetch_from` and `save_to` are where the replica reads and stores KV cache.
    """

    upstream_id: str
    deadline_s: float
    cache_salt: str = ""
    weights_version: int | None = None
    fetch_from: Address | None = None
    save_to: Address | None = None
    last_event_id: int | None = None
    rank: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseFields:
    """Hold the parsed status and headers of a replica's response.

    `load` is what the replica says of its load.  `upstream_id` names the replica that
    answered.  `is_leaving` is set if it accepts no new work.
    `retry_after_s` is NaN if it is no number of seconds.  `limit_per_s` is the number of
    requests a second that the replica takes from all instances, NaN if it is no number.
    `max_rejected_per_s` is the number of rejections for want of room in a second that a
    brittle replica bears, NaN if it is no number; None if it does not say it is brittle.
    """

    status: int
    request_id: bytes | None
    is_signed: bool
    is_not_run: bool
    is_encoded: bool
    load: ReplicaLoad | None
    weights_version: int | None
    upstream_id: str | None = None
    is_misdirected: bool = False
    is_leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    max_rejected_per_s: float | None = None


def parse_request_headers(request: Request) -> Result[RequestFields, DecodingError]:
    """Return the parsed headers of a caller's request, or the error of an invalid one."""
    headers = request.headers
    host = (find_header(headers, b"host") or b"").decode("latin-1").lower()
    key = find_header(headers, API_KEY)
    try:
        deadline_ms = _parse_number(find_header(headers, DEADLINE_MS))
        event_id = find_header(headers, LAST_EVENT_ID)
        fields = RequestFields(
            id=find_header(headers, REQUEST_ID) or b"",
            host=host.partition(":")[0],
            key=None if key is None else key.decode("latin-1"),
            deadline_s=None if deadline_ms is None else deadline_ms / 1e3,
            prompt=_parse_prompt(headers),
            last_event_id=None if event_id is None else int(event_id),
            resumed_id=find_header(headers, RESUMES),
        )
    except ValueError as error:
        return Failure(DecodingError("request header", str(error)))
    return Success(fields)


def _parse_number(value: bytes | None) -> float | None:
    return None if value is None else float(value)


def _parse_prompt(headers: Headers) -> Prompt | None:
    model = find_header(headers, MODEL)
    tokens = find_header(headers, TOKEN_USAGE)
    if model is None or tokens is None:
        return None
    prompt_tokens, _, output_tokens = tokens.partition(b",")
    text = (find_header(headers, PROMPT_PARTS) or b"").decode("latin-1")
    parts = []
    for entry in filter(None, text.split(",")):
        id_, _, size = entry.strip().partition(":")
        parts.append(PromptPart(id_, int(size or 0)))
    return Prompt(
        model.decode("latin-1"), tuple(parts), int(prompt_tokens), int(output_tokens)
    )


def make_upstream_request(call: Call, dispatch: Dispatch) -> Request:
    """Return the request that sends a call to a replica.

    Hop-by-hop headers, and router-only headers set by the caller, are dropped.
    """
    headers = [
        (name, value)
        for name, value in strip_hop_by_hop_headers(call.headers)
        if name not in ROUTER_HEADERS
        and name not in (b"content-length", b"expect", LAST_EVENT_ID)
    ]
    if call.body or call.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", str(len(call.body)).encode()))
    deadline_ms = max(1, int(dispatch.deadline_s * 1e3))
    headers.append((DEADLINE_MS, str(deadline_ms).encode()))
    headers.append((EXPECTED_UPSTREAM, dispatch.upstream_id.encode()))
    if call.workspace is not None:
        headers.append((WORKSPACE, call.workspace.name.encode()))
    if dispatch.last_event_id is not None:
        headers.append((LAST_EVENT_ID, str(dispatch.last_event_id).encode()))
    if dispatch.rank is not None:
        headers.append((PRIORITY, str(dispatch.rank).encode()))
    if dispatch.cache_salt:
        headers.append((CACHE_SALT, dispatch.cache_salt.encode()))
    if dispatch.weights_version is not None:
        headers.append((EXPECTED_VERSION, str(dispatch.weights_version).encode()))
    if dispatch.fetch_from is not None:
        headers.append((FETCH_FROM, str(dispatch.fetch_from).encode()))
    if dispatch.save_to is not None:
        headers.append((SAVE_TO, str(dispatch.save_to).encode()))
    return Request(call.method, call.target, tuple(headers), call.body)


def make_relayed_request(call: Call, deadline_s: float) -> Request:
    """Return the request that hands a call to another instance, as its caller sent it."""
    dropped = (b"content-length", b"expect", DEADLINE_MS, RELAYED)
    headers = [
        (name, value)
        for name, value in strip_hop_by_hop_headers(call.headers)
        if name not in dropped
    ]
    if call.body or call.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", str(len(call.body)).encode()))
    headers.append((DEADLINE_MS, str(max(1, int(deadline_s * 1e3))).encode()))
    headers.append((RELAYED, b"1"))
    return Request(call.method, call.target, tuple(headers), call.body)


def is_relayed(call: Call) -> bool:
    """Report whether another instance has relayed a call."""
    return find_header(call.headers, RELAYED) is not None


def parse_response_headers(head: ResponseHead) -> ResponseFields:
    """Return the parsed status and headers of a replica's response."""
    headers = head.headers
    encoding = find_header(headers, b"content-encoding")
    upstream_id = find_header(headers, ANSWERING_UPSTREAM)
    is_misdirected = head.status == MISDIRECTED_REQUEST_STATUS
    return ResponseFields(
        status=head.status,
        request_id=find_header(headers, REQUEST_ID),
        is_signed=find_header(headers, RESPONSE_SIGNATURE) is not None,
        is_not_run=find_header(headers, NOT_RUN) is not None or is_misdirected,
        is_encoded=encoding not in (None, b"identity"),
        load=_parse_load(find_header(headers, SERVER_LOAD)),
        weights_version=_parse_version(find_header(headers, WEIGHTS_VERSION)),
        upstream_id=None if upstream_id is None else upstream_id.decode("latin-1"),
        is_misdirected=is_misdirected,
        is_leaving=find_header(headers, SERVER_LEAVING) == b"1",
        retry_after_s=_parse_decimal(find_header(headers, RETRY_AFTER)),
        limit_per_s=_parse_decimal(find_header(headers, SERVER_LIMIT)),
        max_rejected_per_s=_parse_decimal(find_header(headers, SERVER_BRITTLE)),
    )


def _parse_load(value: bytes | None) -> ReplicaLoad | None:
    counts = [_parse_count(part.strip()) for part in (value or b"").split(b",")]
    running, waiting, slots, percent = (*counts, None, None, None, None)[:4]
    if running is None or waiting is None:
        return None
    slowdown = None
    if percent is not None and 0 < percent <= MAX_SLOWDOWN_PERCENT:
        slowdown = percent / 100
    return ReplicaLoad(running, waiting, slots, slowdown)


def _parse_count(value: bytes) -> int | None:
    return int(value) if value.isdigit() and len(value) <= MAX_DIGITS else None


def _parse_decimal(value: bytes | None) -> float | None:
    if value is None:
        return None
    return float(value) if DECIMAL_NUMBER.fullmatch(value.strip()) else math.nan


def _parse_version(value: bytes | None) -> int | None:
    return None if value is None else _parse_count(value)


def make_response_headers(head: ResponseHead) -> Headers:
    """Return the headers of a replica's response that are forwarded to the caller."""
    return tuple(
        (name, value)
        for name, value in strip_hop_by_hop_headers(head.headers)
        if name != b"content-length"
    )


def make_error_headers(request_id: bytes, retry_after_s: float | None) -> Headers:
    """Return the headers of an error response that the router generates."""
    headers = [JSON_CONTENT_TYPE]
    if request_id:
        headers.append((REQUEST_ID, request_id))
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, f"{retry_after_s:.3f}".encode()))
    return tuple(headers)


def encode_error_body(code: str, message: str) -> bytes:
    """Return the body of an error response that the router generates."""
    return msgspec.json.encode({"error": {"code": code, "message": message}})
