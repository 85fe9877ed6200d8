"""Define the errors that calls fail with, and send their responses."""

from __future__ import annotations

from catkintrack.http import BadRequest, Connection
from catkintrack.platform import encode_error_body, make_error_headers

# Largest random addition to a retry-after time, as a fraction of it, so that rejected
# callers don't retry all at once.
RETRY_AFTER_JITTER = 0.5


class CallError(Exception):
    """Report that a call failed without a replica's response."""

    status = 500
    code = "internal_error"

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s


class MalformedRequest(CallError):
    """Reject a request whose headers can't be parsed."""

    status = 400
    code = "malformed_request"


class UnknownKey(CallError):
    """Reject a request without a valid API key."""

    status = 401
    code = "unknown_key"


class UnknownRoute(CallError):
    """Reject a request that matches no route."""

    status = 404
    code = "unknown_route"


class OverLimit(CallError):
    """Reject a request over its workspace's rate limit; no replica ran it."""

    status = 429
    code = "over_limit"


class NotServed(CallError):
    """Reject a request that can't be served now; no replica ran it or will run it."""

    status = 503
    code = "not_served"


class CrashingPrompt(NotServed):
    """Reject a request whose prompt has a part that crashes replicas."""

    code = "crashing_prompt"


class CrashingCall(NotServed):
    """Reject a call whose repetitions have crashed replicas."""

    code = "crashing_call"


class Expired(CallError):
    """Reject a call that was read or placed after its deadline; no replica ran it."""

    status = 503
    code = "expired"


class OutcomeUnknown(CallError):
    """Report that a request failed after a replica may have run it."""

    status = 502
    code = "outcome_unknown"


class TimedOut(CallError):
    """Report that a deadline passed after a replica may have run the request."""

    status = 504
    code = "timed_out"


async def respond_with_error(
    connection: Connection, error: CallError, request_id: bytes
) -> None:
    """Send the response for a failed call."""
    headers = make_error_headers(request_id, error.retry_after_s)
    body = encode_error_body(error.code, error.message)
    await connection.respond(error.status, headers, body)


async def respond_to_bad_request(error: BadRequest, connection: Connection) -> None:
    """Respond to a request that could not be parsed, and close its connection."""
    found = make_error_headers(connection.request_id or b"", error.retry_after_s)
    headers = (*found, (b"connection", b"close"))
    body = encode_error_body(error.code, error.message)
    await connection.respond(error.status, headers, body)
