"""Define the errors that callers receive and send them as HTTP responses.

Each class name is sent as the error's `type`.
"""

from __future__ import annotations

import math

import msgspec

from catkintrack.decisions import Refusal, RefusalReason
from catkintrack.http import BadRequest, Connection, Headers


class CallError(Exception):
    """Report that a call failed.

    `is_not_run` is True only if no upstream can have started to run the call.
    """

    status = 500
    code = "internal_error"
    is_not_run = False

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s


class NotRun(CallError):
    """Refuse a call that no upstream has started to run."""

    is_not_run = True


class BadCall(NotRun):
    """Refuse a call that is malformed."""

    status = 400

    def __init__(self, code: str, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.code = code
        self.status = status


class Unauthenticated(NotRun):
    """Refuse a call without a valid API key."""

    status = 401
    code = "invalid_api_key"


class Forbidden(NotRun):
    """Refuse a call to a route that the key's workspace may not use."""

    status = 403
    code = "route_not_allowed"


class UnknownRoute(NotRun):
    """Refuse a call to an unknown path or model."""

    status = 404
    code = "not_found"


class KeysUnknown(NotRun):
    """Refuse a call while this router may have missed key withdrawals."""

    status = 503
    code = "keys_not_current"


class OverLimit(NotRun):
    """Refuse a call that exceeds its workspace's rate and burst."""

    status = 429
    code = "rate_limit_exceeded"


class OverBurst(NotRun):
    """Refuse a call that alone exceeds its workspace's burst."""

    status = 400
    code = "larger_than_burst"


class LimitsUnavailable(NotRun):
    """Refuse a call because no agent can reserve its tokens now."""

    status = 503
    code = "limits_unavailable"


class NoCapacity(NotRun):
    """Refuse a call that no upstream can take in time."""

    status = 503
    code = "no_capacity"


class ClaimUnavailable(NotRun):
    """Refuse a call with an idempotency key while its claim can't be checked."""

    status = 503
    code = "claim_unavailable"


class ClaimConflict(CallError):
    """Report that the idempotency key is in use, or was used and can't be replayed."""

    status = 409
    code = "idempotency_conflict"


class UpstreamFailed(CallError):
    """Report that upstreams failed and no further attempt is possible."""

    status = 502
    code = "upstream_failed"


class OutcomeUnknown(CallError):
    """Report that a call may have run, so that the router must not retry it."""

    status = 502
    code = "outcome_unknown"


class KeyWithdrawn(CallError):
    """Report that the API key of a call in progress was withdrawn."""

    status = 401
    code = "key_withdrawn"


def make_capacity_refusal(refusal: Refusal) -> NoCapacity:
    """Return the error for a call that the scheduler refused."""
    text_by_reason = {
        RefusalReason.NO_UPSTREAM: "no upstream serves the model now",
        RefusalReason.QUEUE_FULL: "too many requests of this workspace wait",
        RefusalReason.DEADLINE: "the request can't start within its time limit",
        RefusalReason.RETRY_BUDGET: "upstreams fail too often to try again",
    }
    return NoCapacity(text_by_reason[refusal.reason], refusal.retry_after_s)


def encode_error(error: CallError) -> bytes:
    """Return the response body for an error, in the OpenAI error format."""
    body = {
        "error": {
            "message": error.message,
            "type": type(error).__name__,
            "code": error.code,
            "param": None,
            "not_run": error.is_not_run,
        }
    }
    return msgspec.json.encode(body)


def make_error_headers(error: CallError, request_id: str) -> Headers:
    """Return the response headers for an error."""
    headers: list[tuple[bytes, bytes]] = [
        (b"content-type", b"application/json"),
        (b"x-request-id", request_id.encode()),
        (b"x-not-run", b"true" if error.is_not_run else b"false"),
    ]
    if error.retry_after_s is not None:
        seconds = max(1, math.ceil(error.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return tuple(headers)


async def answer_error(
    connection: Connection, error: CallError, request_id: str
) -> None:
    """Send an error as the response to a call."""
    headers = make_error_headers(error, request_id)
    await connection.respond(error.status, headers, encode_error(error))


async def answer_malformed(error: BadRequest, connection: Connection) -> None:
    """Send the error for a request that could not be read, with `connection: close`."""
    refusal = BadCall(error.code, error.message, error.status)
    refusal.retry_after_s = error.retry_after_s
    headers = (*make_error_headers(refusal, "-"), (b"connection", b"close"))
    await connection.respond(error.status, headers, encode_error(refusal))
