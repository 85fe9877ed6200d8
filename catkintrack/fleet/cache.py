"""Describe changes of a cache as its owner reports them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Hold one part that a cache has stored or evicted."""

    is_stored: bool
    salt: str
    part: str
    model: str


@dataclass(frozen=True, slots=True)
class CacheChangeBatch:
    """Hold the changes of one life of a cache; `is_lossy` says that some are missing.

    `next_number` is where the next call goes on.
    """

    incarnation: int
    next_number: int
    has_gap: bool
    changes: tuple[CacheChange, ...]
