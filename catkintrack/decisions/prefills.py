"""Track the long prefills in progress, both local and announced by peers.

An engine that gets the same prefix twice at once computes it twice.  Knowing that a
prefix is being prefilled lets requests wait for it, and shows the load before the
upstream reports it.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

# Shorter prefills are not announced to peers.
ANNOUNCED_MIN_TOKENS = 64
EXPIRY_FACTOR = 3.0
EXPIRY_MIN_S = 1.0


@dataclass(frozen=True, slots=True)
class Prefill:
    """Hold one prefill in progress, dropped at `expires_at` if no end is reported."""

    id: str
    upstream: str
    blocks: tuple[int, ...]
    tokens: int
    expires_at: float
    priority: int = 5


@dataclass(slots=True)
class Prefills:
    """Hold the prefills in progress, and by block the id of the one that computes it."""

    prefill_by_id: dict[str, Prefill] = field(default_factory=dict)
    id_by_block: dict[int, str] = field(default_factory=dict)
    tokens_by_priority_by_upstream: dict[str, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter)
    )


def compute_prefill_expiry(
    now: float, wait_s: float, tokens: int, rate: float
) -> float:
    """Return when a prefill that starts in `wait_s` expires; `rate` in tokens/s."""
    return now + EXPIRY_MIN_S + EXPIRY_FACTOR * (wait_s + tokens / rate)


def add_prefill(prefills: Prefills, prefill: Prefill) -> None:
    """Add a prefill; a block that another prefill already computes stays with it."""
    if prefill.id in prefills.prefill_by_id:
        return
    prefills.prefill_by_id[prefill.id] = prefill
    for block in prefill.blocks:
        prefills.id_by_block.setdefault(block, prefill.id)
    tokens = prefills.tokens_by_priority_by_upstream[prefill.upstream]
    tokens[prefill.priority] += prefill.tokens


def end_prefill(prefills: Prefills, prefill_id: str) -> Prefill | None:
    """Remove a prefill and return it, or None when it is unknown."""
    prefill = prefills.prefill_by_id.pop(prefill_id, None)
    if prefill is None:
        return None
    for block in prefill.blocks:
        if prefills.id_by_block.get(block) == prefill_id:
            del prefills.id_by_block[block]
    tokens = prefills.tokens_by_priority_by_upstream[prefill.upstream]
    tokens[prefill.priority] -= prefill.tokens
    return prefill


def drop_prefills(prefills: Prefills, upstream: str) -> None:
    """Remove all prefills in progress at an upstream that is gone."""
    gone = [p.id for p in prefills.prefill_by_id.values() if p.upstream == upstream]
    for prefill_id in gone:
        end_prefill(prefills, prefill_id)
    prefills.tokens_by_priority_by_upstream.pop(upstream, None)


def expire_prefills(prefills: Prefills, now: float) -> None:
    """Remove the prefills that expired without a reported end."""
    expired = [p.id for p in prefills.prefill_by_id.values() if p.expires_at <= now]
    for prefill_id in expired:
        end_prefill(prefills, prefill_id)


def find_pending(prefills: Prefills, blocks: Sequence[int]) -> tuple[str, int] | None:
    """Return (upstream, depth in blocks) of the longest prefix being prefilled."""
    for depth in range(len(blocks), 0, -1):
        prefill_id = prefills.id_by_block.get(blocks[depth - 1])
        if prefill_id is not None:
            return prefills.prefill_by_id[prefill_id].upstream, depth
    return None


def split_pending_tokens(
    prefills: Prefills, upstream: str, priority: int
) -> tuple[int, int]:
    """Return the tokens being prefilled that run before `priority`, and those after."""
    tokens = prefills.tokens_by_priority_by_upstream.get(upstream)
    if not tokens:
        return 0, 0
    before = sum(count for level, count in tokens.items() if level <= priority)
    return before, tokens.total() - before
