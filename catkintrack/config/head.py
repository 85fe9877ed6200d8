"""Define the stored configuration objects: a head with changes, and snapshots."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from .errors import CorruptConfigObject
from .state import ConfigChange, ConfigState, apply_changes

HEAD_NAME = "config/head"
FORMAT_VERSION = 1
MAX_HEAD_CHANGES = 64


class ConfigHead(msgspec.Struct, frozen=True):
    """Hold the newest revision, the latest changes and the name of a snapshot.

    The snapshot and the changes after its revision give the newest state.
    """

    format_version: int = FORMAT_VERSION
    revision: int = 0
    snapshot_name: str = ""
    snapshot_revision: int = 0
    changes: tuple[ConfigChange, ...] = ()


class Snapshot(msgspec.Struct, frozen=True):
    """Hold an encoded state with its SHA-256 digest."""

    format_version: int
    revision: int
    digest: str
    body: bytes


def encode_snapshot(state: ConfigState) -> bytes:
    """Encode `state` as MessagePack with its format version and digest."""
    body = msgspec.msgpack.encode(state)
    digest = hashlib.sha256(body).hexdigest()
    snapshot = Snapshot(FORMAT_VERSION, state.revision, digest, body)
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> Result[ConfigState, CorruptConfigObject]:
    """Decode a state; reject an unknown format version and a wrong digest."""
    try:
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(CorruptConfigObject(str(error)))
    if snapshot.format_version != FORMAT_VERSION:
        reason = f"format version {snapshot.format_version} is not supported"
        return Failure(CorruptConfigObject(reason))
    if hashlib.sha256(snapshot.body).hexdigest() != snapshot.digest:
        return Failure(CorruptConfigObject("snapshot digest does not match its body"))
    try:
        state = msgspec.msgpack.decode(snapshot.body, type=ConfigState)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(CorruptConfigObject(str(error)))
    if state.revision != snapshot.revision:
        return Failure(
            CorruptConfigObject("snapshot revision does not match its state")
        )
    return Success(state)


def encode_head(head: ConfigHead) -> bytes:
    """Encode `head` as JSON."""
    return msgspec.json.encode(head)


def decode_head(data: bytes) -> Result[ConfigHead, CorruptConfigObject]:
    """Decode a head from JSON; reject an unknown format version."""
    try:
        head = msgspec.json.decode(data, type=ConfigHead)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(CorruptConfigObject(str(error)))
    if head.format_version != FORMAT_VERSION:
        reason = f"format version {head.format_version} is not supported"
        return Failure(CorruptConfigObject(reason))
    return Success(head)


def is_snapshot_needed(state: ConfigState, head: ConfigHead) -> bool:
    """Report whether the changes in `head` leave a gap after the revision of `state`."""
    if state.revision >= head.revision:
        return False
    oldest = head.changes[0].revision if head.changes else head.revision + 1
    return state.revision + 1 < oldest


def apply_head_changes(state: ConfigState, head: ConfigHead) -> ConfigState:
    """Apply the changes in `head` that follow `state`; never return an older revision."""
    return apply_changes(state, head.changes)


def append_change(
    head: ConfigHead, change: ConfigChange, snapshot_name: str, snapshot_revision: int
) -> ConfigHead:
    """Return `head` with `change` appended and all changes after the snapshot kept."""
    changes = (*head.changes, change)
    # Changes up to the snapshot's revision are kept while there is room, so that a
    # process that lags by a few revisions needs no snapshot.
    while len(changes) > MAX_HEAD_CHANGES and changes[0].revision <= snapshot_revision:
        changes = changes[1:]
    return ConfigHead(
        FORMAT_VERSION, change.revision, snapshot_name, snapshot_revision, changes
    )


def diff_states(
    old: ConfigState, new: ConfigState
) -> tuple[tuple[str, str, Any, Any], ...]:
    """Return (kind, name, old value, new value) of each entity that differs."""
    differences = []
    kinds = {*old.value_by_name_by_kind, *new.value_by_name_by_kind}
    for kind in sorted(kinds):
        before = old.value_by_name_by_kind.get(kind, {})
        after = new.value_by_name_by_kind.get(kind, {})
        for name in sorted({*before, *after}):
            if before.get(name) != after.get(name):
                differences.append((kind, name, before.get(name), after.get(name)))
    return tuple(differences)
