"""Define the object that carries configuration in the platform's object API."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from .errors import CorruptConfigObject
from .state import Change, State, apply_changes

HEAD_NAME = "config/head"
FORMAT_VERSION = 1
MAX_HEAD_CHANGES = 64


class Head(msgspec.Struct, frozen=True):
    """Hold the newest revision, its latest changes and the snapshot below them."""

    format_version: int = FORMAT_VERSION
    revision: int = 0
    snapshot_name: str = ""
    snapshot_revision: int = 0
    changes: tuple[Change, ...] = ()


class Snapshot(msgspec.Struct, frozen=True):
    """Hold a whole state with the digest that it is checked by."""

    format_version: int
    revision: int
    digest: str
    body: bytes


def encode_snapshot(state: State) -> bytes:
    """Return `state` as bytes with its format version and digest."""
    body = msgspec.msgpack.encode(state)
    digest = hashlib.sha256(body).hexdigest()
    snapshot = Snapshot(FORMAT_VERSION, state.revision, digest, body)
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> Result[State, CorruptConfigObject]:
    """Return the state in `data`; refuse another format or a wrong digest."""
    try:
        snapshot = msgspec.msgpack.decode(data, type=Snapshot)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(CorruptConfigObject(str(error)))
    if snapshot.format_version != FORMAT_VERSION:
        reason = f"format version {snapshot.format_version} is not known"
        return Failure(CorruptConfigObject(reason))
    if hashlib.sha256(snapshot.body).hexdigest() != snapshot.digest:
        return Failure(CorruptConfigObject("digest does not match"))
    try:
        state = msgspec.msgpack.decode(snapshot.body, type=State)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(CorruptConfigObject(str(error)))
    if state.revision != snapshot.revision:
        return Failure(CorruptConfigObject("revision does not match"))
    return Success(state)


def encode_head(head: Head) -> bytes:
    """Return `head` as JSON bytes."""
    return msgspec.json.encode(head)


def decode_head(data: bytes) -> Result[Head, CorruptConfigObject]:
    """Return the head in `data`; refuse another format."""
    try:
        head = msgspec.json.decode(data, type=Head)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(CorruptConfigObject(str(error)))
    if head.format_version != FORMAT_VERSION:
        reason = f"format version {head.format_version} is not known"
        return Failure(CorruptConfigObject(reason))
    return Success(head)


def is_snapshot_needed(state: State, head: Head) -> bool:
    """Report whether `state` can't be brought to `head` by its changes alone."""
    if state.revision >= head.revision:
        return False
    oldest = head.changes[0].revision if head.changes else head.revision + 1
    return state.revision + 1 < oldest


def apply_head_changes(state: State, head: Head) -> State:
    """Return `state` after the changes in `head`; it never goes back."""
    return apply_changes(state, head.changes)


def append_change(
    head: Head, change: Change, snapshot_name: str, snapshot_revision: int
) -> Head:
    """Return `head` after `change`, with the changes its snapshot lacks."""
    changes = (*head.changes, change)
    # Changes below the snapshot stay while there is room: a process that lags
    # by a few revisions then needs no snapshot.
    while len(changes) > MAX_HEAD_CHANGES and changes[0].revision <= snapshot_revision:
        changes = changes[1:]
    return Head(
        FORMAT_VERSION, change.revision, snapshot_name, snapshot_revision, changes
    )


def diff_states(old: State, new: State) -> tuple[tuple[str, str, Any, Any], ...]:
    """Return (kind, name, old value, new value) of each entity that differs."""
    rows = []
    kinds = {*old.value_by_name_by_kind, *new.value_by_name_by_kind}
    for kind in sorted(kinds):
        before = old.value_by_name_by_kind.get(kind, {})
        after = new.value_by_name_by_kind.get(kind, {})
        for name in sorted({*before, *after}):
            if before.get(name) != after.get(name):
                rows.append((kind, name, before.get(name), after.get(name)))
    return tuple(rows)
