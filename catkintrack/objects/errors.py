"""Define the errors of calls to the platform."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that the platform sent no response; a write has not taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """Report that the response to a write was lost; it may have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class VersionMismatch:
    """Report that the object is not at the expected version."""

    expected: int
    found: int


@dataclass(frozen=True, slots=True)
class NotFound:
    """Report that the object does not exist."""

    name: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """Report a rejected call by its HTTP status; 0 stands for an undecodable object."""

    status: int


PlatformError = Unavailable | ResponseLost | VersionMismatch | NotFound | Rejected
