"""Define the failures of calls to the platform."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that the platform gave no answer; a write did not take effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """Report that a write may or may not have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class VersionMismatch:
    """Report that the object has another version than the expected one."""

    expected: int
    found: int


@dataclass(frozen=True, slots=True)
class NotFound:
    """Report that the object does not exist."""

    name: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """Report that the platform refused the call."""

    status: int


PlatformError = Unavailable | ResponseLost | VersionMismatch | NotFound | Rejected
