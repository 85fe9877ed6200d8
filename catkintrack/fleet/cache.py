"""Define changes of a KV cache as a replica or cache store reports them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Represent a prompt part that a cache has stored or evicted.

    `salt` holds what the cached blocks depend on besides the text of the prompt.
    """

    is_stored: bool
    salt: str
    part: str
    model: str


@dataclass(frozen=True, slots=True)
class CacheChangeBatch:
    """Hold consecutive changes of one incarnation of a cache.

    With `has_gap` some changes are missing.  `next_number` is the sequence number
    that the next request continues from.
    """

    incarnation: int
    next_number: int
    has_gap: bool
    changes: tuple[CacheChange, ...]
