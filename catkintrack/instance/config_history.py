"""Remember which configurations the store had at which revisions of an era.

When the store comes back from an older copy, a configuration that it did not have then
was written since.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection
from typing import Any

import msgspec

from .state import ConfigHistory

# Far more changes than fall into the age of a copy.
MAX_REMEMBERED_CONFIGS = 64
MAX_SUPERSEDED_CONFIGS = 16


def begin_config_history(history: ConfigHistory, revision: int, spec: Any) -> None:
    """Begin with a configuration that the store has listed."""
    history.digest_by_revision = {revision: _digest(spec)}


def record_config_change(history: ConfigHistory, revision: int, spec: Any) -> None:
    """Record the next change, in the order of revisions."""
    history.digest_by_revision[revision] = _digest(spec)
    if len(history.digest_by_revision) > MAX_REMEMBERED_CONFIGS:
        del history.digest_by_revision[min(history.digest_by_revision)]


def was_not_there(history: ConfigHistory, until: int, revision: int, spec: Any) -> bool:
    """Report whether the store certainly did not have a configuration at a revision.

    All changes from the first remembered one up to the store's revision `until` are
    known.
    """
    first = min(history.digest_by_revision, default=until + 1)
    if not first <= revision <= until:
        return False
    return history.digest_by_revision.get(revision) != _digest(spec)


def record_superseded(history: ConfigHistory, spec: Any, next_spec: Any) -> None:
    """Record that a configuration in force was replaced by `next_spec`."""
    merge_superseded(history, (_digest(spec),), next_spec)


def merge_superseded(
    history: ConfigHistory, digests: Collection[bytes], spec: Any
) -> None:
    """Add what was in force before a configuration, here or at a peer."""
    if set(digests) <= set(history.superseded):
        return
    merged = dict.fromkeys([*history.superseded, *digests])
    merged.pop(_digest(spec), None)
    history.superseded = list(merged)[-MAX_SUPERSEDED_CONFIGS:]


def is_superseded(history: ConfigHistory, spec: Any) -> bool:
    """Report whether a configuration was in force before the present one."""
    return _digest(spec) in history.superseded


def _digest(spec: Any) -> bytes:
    return hashlib.blake2b(msgspec.msgpack.encode(spec), digest_size=16).digest()
