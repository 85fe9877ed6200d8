"""Define the errors of the HTTP server and client."""

from __future__ import annotations

import curio

# Longer reasons quote what the peer sent.
MAX_REASON_CHARS = 200


class HttpError(Exception):
    """Report an error of the HTTP server or client."""


class BadRequest(HttpError):
    """Report a request that can't be served, with the response status and error code.

    `retry_after_s` is when the caller may send it again, None if that can't help.
    """

    def __init__(
        self, status: int, code: str, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s


class CallerDisconnected(HttpError):
    """Report that the caller closed the connection or stopped reading the response."""


class ReaderTooSlow(HttpError):
    """Report that a peer was given up, since it reads too slowly or not at all."""


class CallerTooSlow(CallerDisconnected):
    """Report that a caller was given up as a reader."""


class UpstreamUnreachable(HttpError):
    """Report that no byte of the request can have reached the upstream."""


class SendForbidden(UpstreamUnreachable):
    """Report that the permission to send ran out before the request was sent."""


class UpstreamExchangeError(HttpError):
    """Report that an exchange failed after request bytes may have been sent.

    The upstream may have executed the request.
    """


class UpstreamDisconnected(UpstreamExchangeError):
    """Report that an upstream closed or reset the connection before the response's end."""


class UpstreamTimeout(UpstreamExchangeError):
    """Report that an upstream sent no data within the time limit."""


class UpstreamResponseTooLarge(UpstreamExchangeError):
    """Report that an upstream sent more than the response may hold."""


class ResponseMemoryExhausted(UpstreamResponseTooLarge):
    """Report that the responses of all upstreams together hold too many bytes."""


def describe_error(error: Exception) -> str:
    """Return an error's message, cut where it quotes what the peer sent at length."""
    if isinstance(error, curio.TaskTimeout):
        # Its own text is a value of the clock.
        return "the time limit has passed"
    text = str(error) or type(error).__name__
    if len(text) <= MAX_REASON_CHARS:
        return text
    return f"{text[:MAX_REASON_CHARS]}..."
