"""Define the failures of the HTTP border."""

from __future__ import annotations


class HttpError(Exception):
    """Report a failure at the HTTP border."""


class BadRequest(HttpError):
    """Report a request that can't be served, with the status to answer."""

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message


class CallerDisconnected(HttpError):
    """Report that the caller closed its connection."""


class UpstreamUnreachable(HttpError):
    """Report that no byte of the request can have reached the upstream."""


class UpstreamExchangeError(HttpError):
    """Report that an upstream connection failed after a byte may have been sent."""


class UpstreamTimeout(UpstreamExchangeError):
    """Report that an upstream did not answer within its time limit."""
