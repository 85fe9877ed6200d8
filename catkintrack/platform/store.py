"""Access the platform's object store over HTTP.

Each response states the store's era, which rises by one when the store has come back
from an older copy of itself: what was written since the copy is gone, and its revisions
are given out again.  A revision therefore means something only within its era.  If the
era is missing or no number, it is unknown, and the response counts as of the era last
seen.  A response of an earlier era, which comes late, is discarded: a read is repeated,
a write has an unknown outcome.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from catkintrack.http import (
    Address,
    ByteBudget,
    ClientLimits,
    Pool,
    Request,
    UpstreamExchangeError,
    UpstreamUnreachable,
    fetch,
    find_header,
)

from .entries import Changes, Entry, decode_changes, decode_object, decode_page
from .errors import (
    HistoryGone,
    ObjectMissing,
    StoreConflict,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from .names import OBJECTS_PATH, STORE_ERA

logger = logging.getLogger(__name__)

T = TypeVar("T")

# The store usually responds in 4 ms; the timeout allows for a slow store.
CALL_TIMEOUT_S = 1.5
WATCH_MARGIN_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# A full page takes 2 s on the slowest link.
BODY_TIMEOUT_S = 5.0
# All responses together; one may take a fifth.
MAX_HELD_BYTES = 40 << 20
# A full page comes from far away, at one window a round trip.
RECEIVE_BUFFER_BYTES = 262144
STATUS_PATH = "/status"
# A response of an earlier era and its repetition.
MAX_READS = 2
# Entries whose revision is remembered, so that it is logged once.
MAX_UNREADABLE = 1000
# Longer numbers can't be eras, which rise by one.
MAX_ERA_DIGITS = 9


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Represent an object of the store; with `is_deleting` its finalizers are pending.

    `created` is the revision that created it, 0 if unknown.
    """

    name: str
    revision: int
    spec: Any
    is_deleting: bool = False
    era: int = 0
    created: int = 0
    status: Any = None


@dataclass(frozen=True, slots=True)
class ObjectEvent:
    """Represent one change of an object."""

    object: StoredObject
    is_deleted: bool


@dataclass(frozen=True, slots=True)
class ObjectList:
    """Hold all objects of a kind and the store revision to watch from."""

    objects: tuple[StoredObject, ...]
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class ObjectEvents:
    """Hold the changes of a kind up to a revision of the store."""

    events: tuple[ObjectEvent, ...]
    revision: int
    era: int = 0


def make_store_pool(budget: ByteBudget) -> Pool:
    """Return a pool for the store, which does not return request IDs."""
    return Pool(
        ClientLimits(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        ),
        requires_request_id_echo=False,
        budget=budget,
    )


@dataclass(slots=True)
class StoreClient:
    """Hold the connections to the store, its era and the number of calls by operation.

    `era` is the highest one seen, 0 if none; `on_new_era` gets each new one and
    what showed it.
    Reads of different kinds share no connection: a response that comes late and twice
    can then not be taken for one of another kind.  `budget` bounds the bytes of all
    responses, apart from those of replicas, which are to take nothing from the store.
    """

    address: Address
    pool_by_path: dict[str, Pool] = field(default_factory=dict)
    budget: ByteBudget = field(default_factory=lambda: ByteBudget(MAX_HELD_BYTES))
    count_by_call: Counter[str] = field(default_factory=Counter)
    era: int = 0
    unreadable_revision_by_name: dict[tuple[str, str], int] = field(
        default_factory=dict
    )
    on_new_era: Callable[[int, str], None] = lambda _era, _source: None


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes
    era: int
    is_close_delimited: bool = False


def find_pool(client: StoreClient, target: str) -> Pool:
    """Return the pool for the path of a target."""
    path = target.partition("?")[0]
    if path not in client.pool_by_path:
        client.pool_by_path[path] = make_store_pool(client.budget)
    return client.pool_by_path[path]


def observe_era(client: StoreClient, era: int, source: str) -> None:
    """Record an era of the store that `source` has shown; the highest one counts."""
    if era > client.era:
        client.era = era
        client.on_new_era(era, source)


async def list_objects(
    client: StoreClient, kind: str, allows_stale: bool = False
) -> Result[ObjectList, StoreError]:
    """Return all objects of a kind, reading page by page.

    With `allows_stale` the store may return outdated objects.  If the era rises between
    two pages, the list starts again.
    """
    objects: list[StoredObject] = []
    query: dict[str, str] = {"allow_stale": "1"} if allows_stale else {}
    revision: int | None = None
    era: int | None = None
    while True:
        outcome = await _send_request(
            client, "list", b"GET", _make_target(kind, "", query)
        )
        match outcome.bind(lambda response: _decode(response, decode_page)):
            case Success((page, page_era)):
                pass
            case Failure(error):
                return Failure(error)
        if era is not None and page_era != era:
            objects, revision, era = [], None, None
            query.pop("after")
            continue
        # Later pages may be newer; a watch from the first page's revision misses none.
        revision = page.store_revision if revision is None else revision
        era = page_era
        objects += [_make_object(client, kind, item, era) for item in page.items]
        if not page.has_more or not page.items:
            return Success(ObjectList(tuple(objects), revision, era))
        query["after"] = objects[-1].name


async def watch_objects(
    client: StoreClient, kind: str, revision: int, wait_s: float
) -> Result[ObjectEvents, StoreError]:
    """Return the changes of a kind since `revision`; wait up to `wait_s` for the first.

    Fail with HistoryGone if the store no longer retains these changes.
    """
    query = {"watch": str(revision), "wait_ms": str(int(wait_s * 1e3))}
    outcome = await _send_request(
        client,
        "watch",
        b"GET",
        _make_target(kind, "", query),
        timeout_s=wait_s + WATCH_MARGIN_S,
    )
    match outcome:
        case Success(_Response(status=410, era=era)):
            return Failure(HistoryGone(revision, era))
    return outcome.bind(lambda response: _decode(response, decode_changes)).map(
        lambda decoded: _make_events(client, kind, *decoded)
    )


def _make_events(
    client: StoreClient, kind: str, changes: Changes, era: int
) -> ObjectEvents:
    events = tuple(
        ObjectEvent(_make_object(client, kind, row.object, era), row.deleted)
        for row in changes.events
    )
    return ObjectEvents(events, changes.store_revision, era)


async def get_object(
    client: StoreClient, kind: str, name: str
) -> Result[StoredObject, StoreError]:
    """Return an object; fail with ObjectMissing if it does not exist."""
    outcome = await _send_request(client, "get", b"GET", _make_target(kind, name, {}))
    match outcome:
        case Success(_Response(status=404, era=era)):
            return Failure(ObjectMissing(name, era))
    return outcome.bind(lambda response: _decode(response, decode_object)).map(
        lambda decoded: _make_object(client, kind, *decoded)
    )


async def create_object(
    client: StoreClient, kind: str, name: str, spec: Any
) -> Result[StoredObject, StoreError]:
    """Create an object; fail with StoreConflict if it exists."""
    fields = {"metadata": {"name": name}, "spec": spec}
    return await _send_write(
        client, "create", b"POST", kind, _make_target(kind, "", {}), fields
    )


async def replace_object(
    client: StoreClient, kind: str, name: str, spec: Any, revision: int
) -> Result[StoredObject, StoreError]:
    """Replace an object's spec; fail with StoreConflict unless it has `revision`."""
    fields = {"metadata": {"name": name, "revision": revision}, "spec": spec}
    return await _send_write(
        client, "replace", b"PUT", kind, _make_target(kind, name, {}), fields
    )


async def replace_status(
    client: StoreClient, kind: str, name: str, status: Any, revision: int
) -> Result[StoredObject, StoreError]:
    """Replace an object's status; fail with StoreConflict unless it has `revision`."""
    fields = {"metadata": {"name": name, "revision": revision}, "status": status}
    target = _make_target(kind, name, {}) + STATUS_PATH
    return await _send_write(client, "status", b"PUT", kind, target, fields)


async def delete_object(
    client: StoreClient, kind: str, name: str, revision: int
) -> Result[StoredObject, StoreError]:
    """Delete an object; fail with StoreConflict unless it has `revision`."""
    target = _make_target(kind, name, {"revision": str(revision)})
    return await _send_write(client, "delete", b"DELETE", kind, target, None)


async def _send_write(
    client: StoreClient,
    operation: str,
    method: bytes,
    kind: str,
    target: str,
    fields: Any,
) -> Result[StoredObject, StoreError]:
    body = b"" if fields is None else msgspec.json.encode(fields)
    outcome = await _send_request(client, operation, method, target, body)
    match outcome:
        case Success(_Response(status=409) as response):
            found = _decode_written(client, kind, response)
            if found is None:
                return Failure(StoreUnavailable("status 409, its body was cut"))
            return Failure(StoreConflict(found.revision, found.spec, found.era))
        case Success(_Response(status=404, era=era)):
            return Failure(ObjectMissing(target, era))
        case Success(_Response(status=status) as response) if status < 300:
            written = _decode_written(client, kind, response)
            if written is None:
                return Failure(StoreOutcomeUnknown("the body was cut"))
            return Success(written)
        case Success(_Response(status=status)):
            return Failure(StoreUnavailable(f"status {status}"))
    return outcome


def _decode_written(
    client: StoreClient, kind: str, response: _Response
) -> StoredObject | None:
    """Return the object in a response body, or an empty one if there is none.

    Return None for a body that may have been cut, since only a close ended it.
    """
    try:
        entry = decode_object(response.body)
    except ValueError:
        if response.is_close_delimited:
            return None
        return StoredObject("", 0, None, era=response.era)
    return _make_object(client, kind, entry, response.era)


def _decode(
    response: _Response, decode: Callable[[bytes], T]
) -> Result[tuple[T, int], StoreError]:
    """Return the decoded body and the era of a response."""
    if response.status != 200:
        return Failure(StoreUnavailable(f"status {response.status}"))
    try:
        return Success((decode(response.body), response.era))
    except ValueError as error:
        return Failure(StoreUnavailable(f"invalid response: {error}"))


def _make_object(
    client: StoreClient, kind: str, entry: Entry, era: int
) -> StoredObject:
    metadata = entry.metadata
    if entry.failure:
        _record_unreadable(client, kind, entry)
    created = metadata.create_rev if isinstance(metadata.create_rev, int) else 0
    return StoredObject(
        metadata.name,
        metadata.revision,
        entry.spec,
        metadata.deleting,
        era,
        created,
        entry.status,
    )


def _record_unreadable(client: StoreClient, kind: str, entry: Entry) -> None:
    """Count an unreadable entry, and log each of its revisions once."""
    client.count_by_call["unreadable"] += 1
    name, revision = entry.metadata.name, entry.metadata.revision
    known = client.unreadable_revision_by_name
    if known.get((kind, name)) == revision:
        return
    if len(known) >= MAX_UNREADABLE:
        known.clear()
    known[(kind, name)] = revision
    logger.warning(
        "unreadable entry in the store",
        extra={"kind": kind, "object": name, "reason": entry.failure},
    )


def _make_target(kind: str, name: str, query: dict[str, str]) -> str:
    path = f"{OBJECTS_PATH}/{kind}" + (f"/{quote(name, safe='')}" if name else "")
    return f"{path}?{urlencode(query)}" if query else path


async def _send_request(
    client: StoreClient,
    operation: str,
    method: bytes,
    target: str,
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
) -> Result[_Response, StoreError]:
    """Send a request; repeat a read whose response is of an earlier era."""
    headers = [(b"host", str(client.address).encode())]
    if method != b"GET":
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", str(len(body)).encode()))
    request = Request(method, target.encode(), tuple(headers), body)
    is_read = method == b"GET"
    for attempt in range(MAX_READS if is_read else 1):
        client.count_by_call[operation] += 1
        try:
            head, response_body = await fetch(
                find_pool(client, target),
                client.address,
                request,
                timeout_s,
                # The outcome of a write is never read from a connection in use before.
                force_new=attempt > 0 or not is_read,
                body_timeout_s=BODY_TIMEOUT_S,
            )
        except UpstreamUnreachable as error:
            return Failure(StoreUnavailable(str(error)))
        except UpstreamExchangeError as error:
            if is_read:
                return Failure(StoreUnavailable(str(error)))
            return Failure(StoreOutcomeUnknown(str(error)))
        era = _decode_era(find_header(head.headers, STORE_ERA))
        era = client.era if era is None else era
        observe_era(client, era, "store")
        if era == client.era:
            response = _Response(
                head.status, response_body, era, head.is_close_delimited
            )
            return Success(response)
    reason = f"response of era {era}, now {client.era}"
    return Failure(StoreUnavailable(reason) if is_read else StoreOutcomeUnknown(reason))


def _decode_era(text: bytes | None) -> int | None:
    """Return the era in a header's value, or None if it is missing or no number."""
    if text is None or not text.isdigit() or len(text) > MAX_ERA_DIGITS:
        return None
    return int(text)
