"""Define the failures of the platform's formats and calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class DecodingError:
    """Report bytes or fields that can't be read, and where."""

    subject: str
    reason: str


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Report that the store did nothing: it could not be reached or refused."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreOutcomeUnknown:
    """Report that a write may have been done, or may yet be done."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """Report that the object exists or has another revision than expected."""

    revision: int
    spec: Any


@dataclass(frozen=True, slots=True)
class ObjectMissing:
    """Report that the object does not exist."""

    name: str


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """Report that the store no longer has the changes since a revision."""

    revision: int


StoreError = (
    StoreUnavailable | StoreOutcomeUnknown | StoreConflict | ObjectMissing | HistoryGone
)
