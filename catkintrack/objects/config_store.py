"""Read and change the configuration stored in the object API."""

from __future__ import annotations

from collections.abc import Sequence
from uuid import uuid4

from returns.result import Failure, Result, Success

from catkintrack.config import (
    HEAD_NAME,
    MAX_HEAD_CHANGES,
    ConfigChange,
    ConfigHead,
    ConfigState,
    CorruptConfigObject,
    Delete,
    InvalidEntity,
    Put,
    RevisionConflict,
    append_change,
    apply_change,
    apply_head_changes,
    decode_head,
    decode_snapshot,
    encode_head,
    encode_snapshot,
    is_snapshot_needed,
    validate_state,
)

from .client import PlatformClient, get_object, put_object
from .errors import NotFound, PlatformError, ResponseLost, VersionMismatch

SNAPSHOT_INTERVAL_REVISIONS = MAX_HEAD_CHANGES // 2

ConfigReadError = PlatformError | CorruptConfigObject
ConfigChangeError = ConfigReadError | RevisionConflict | tuple[InvalidEntity, ...]


async def read_head(
    client: PlatformClient,
) -> Result[tuple[int, ConfigHead], ConfigReadError]:
    """Return the object version and the head; an absent head is empty at version 0."""
    match await get_object(client, HEAD_NAME):
        case Success(found):
            return decode_head(found.value).map(lambda head: (found.version, head))
        case Failure(NotFound()):
            return Success((0, ConfigHead()))
        case outcome:
            return outcome


async def read_state(
    client: PlatformClient, known: ConfigState, head: ConfigHead
) -> Result[ConfigState, ConfigReadError]:
    """Return the state at `head`, reading the snapshot only if `known` is too old."""
    if not is_snapshot_needed(known, head):
        return Success(apply_head_changes(known, head))
    if not head.snapshot_name:
        return Success(apply_head_changes(ConfigState(), head))
    outcome = await get_object(client, head.snapshot_name)
    snapshot = outcome.bind(lambda found: decode_snapshot(found.value))
    return snapshot.map(lambda state: apply_head_changes(state, head))


async def submit_change(
    client: PlatformClient,
    expected_revision: int,
    puts: Sequence[Put],
    deletes: Sequence[Delete],
    author: str,
) -> Result[ConfigState, ConfigChangeError]:
    """Commit a change on top of `expected_revision`, atomically."""
    match await read_head(client):
        case Success((version, head)):
            pass
        case outcome:
            return outcome
    if head.revision != expected_revision:
        return Failure(RevisionConflict(expected_revision, head.revision))
    match await read_state(client, ConfigState(), head):
        case Success(state):
            pass
        case outcome:
            return outcome
    change = ConfigChange(
        expected_revision + 1, uuid4().hex, author, tuple(puts), tuple(deletes)
    )
    after = apply_change(state, change).unwrap()
    errors = validate_state(after)
    if errors:
        return Failure(tuple(errors))
    match await _write_due_snapshot(client, head, state):
        case Success(head):
            pass
        case outcome:
            return outcome
    new_head = append_change(head, change, head.snapshot_name, head.snapshot_revision)
    outcome = await put_object(client, HEAD_NAME, encode_head(new_head), version)
    return await _resolve_put(client, outcome, change, after)


async def _write_due_snapshot(
    client: PlatformClient, head: ConfigHead, state: ConfigState
) -> Result[ConfigHead, ConfigReadError]:
    """Return `head` with a reference to a new snapshot of `state`, if one is due."""
    if head.revision - head.snapshot_revision < SNAPSHOT_INTERVAL_REVISIONS:
        return Success(head)
    # A unique name keeps concurrent submitters from writing the same snapshot.
    name = f"config/snapshots/{state.revision}-{uuid4().hex}"
    outcome = await put_object(client, name, encode_snapshot(state), 0)
    return outcome.map(
        lambda _: ConfigHead(
            head.format_version, head.revision, name, state.revision, head.changes
        )
    )


async def _resolve_put(
    client: PlatformClient,
    outcome: Result[int, PlatformError],
    change: ConfigChange,
    after: ConfigState,
) -> Result[ConfigState, ConfigChangeError]:
    match outcome:
        case Success(_):
            return Success(after)
        case Failure(VersionMismatch()):
            return Failure(RevisionConflict(change.revision - 1, change.revision))
        case Failure(ResponseLost()):
            return await _resolve_lost_response(client, change, after, outcome)
    return outcome


async def _resolve_lost_response(
    client: PlatformClient,
    change: ConfigChange,
    after: ConfigState,
    lost_outcome: Result[int, PlatformError],
) -> Result[ConfigState, ConfigChangeError]:
    """Determine whether a write whose response was lost took effect."""
    match await read_head(client):
        case Success((_, head)):
            change_ids = {accepted.change_id for accepted in head.changes}
            if change.change_id in change_ids:
                return Success(after)
            if head.revision >= change.revision:
                return Failure(RevisionConflict(change.revision - 1, head.revision))
    # The write may still take effect, so its outcome is unknown to the caller too.
    return lost_outcome
