"""Define the errors of decoding platform data and of calling its object store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class DecodingError:
    """Report data that could not be decoded, and where it came from."""

    subject: str
    reason: str


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Report that the store performed no operation: unreachable, or request rejected."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreOutcomeUnknown:
    """Report that a write may have been applied, or may still be applied later."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """Report that the object already exists or has an unexpected revision.

    `revision` and `spec` are those of the stored object in the store's `era`.
    """

    revision: int
    spec: Any
    era: int = 0


@dataclass(frozen=True, slots=True)
class ObjectMissing:
    """Report that the object does not exist in the store's `era`."""

    name: str
    era: int = 0


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """Report that the store, in its `era`, does not have the changes since a revision."""

    revision: int
    era: int = 0


StoreError = (
    StoreUnavailable | StoreOutcomeUnknown | StoreConflict | ObjectMissing | HistoryGone
)
