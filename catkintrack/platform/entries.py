"""Decode the store's lists entry by entry, so that a bad one harms only itself.

Other programs write to the store too: an entry may hold values that no decoder reads, or
that can't be encoded for a peer.  Such an entry has no spec.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec

# Deeper values would exceed the recursion limit of decoders here or at a peer.
MAX_DEPTH = 32
MIN_INTEGER, MAX_INTEGER = -(2**63), 2**64 - 1

_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[\]{},]', re.DOTALL)
_MEMBER = re.compile(rb'\s*("(?:[^"\\]++|\\.)*+")\s*:', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"
_DECODE_ERRORS = (ValueError, RecursionError, OverflowError)


class Metadata(msgspec.Struct):
    """Represent the metadata of a stored object."""

    name: str = ""
    revision: int = 0
    deleting: bool = False
    # The revision that created the object; not validated, since few readers need it.
    create_rev: Any = 0


class Entry(msgspec.Struct):
    """Represent a stored object; an unreadable one has no spec, but a `failure`."""

    metadata: Metadata
    spec: Any = None
    failure: str = ""
    status: Any = None


class EventRow(msgspec.Struct):
    """Represent a change of a stored object."""

    object: Entry
    deleted: bool = False


class Page(msgspec.Struct):
    """Represent a page of a list."""

    store_revision: int
    items: list[Entry] = []
    has_more: bool = False


class Changes(msgspec.Struct):
    """Represent the changes that a watch returns."""

    store_revision: int
    events: list[EventRow] = []


def decode_page(body: bytes) -> Page:
    """Return a page; raise ValueError if its frame is unreadable."""
    try:
        page = msgspec.json.decode(body, type=Page)
    except _DECODE_ERRORS:
        members = _split_object(body, must_end=True)
        items = [_decode_entry(text) for text in _split(members.get("items", b"[]"))]
        page = Page(
            msgspec.json.decode(members.get("store_revision", b""), type=int),
            [item for item in items if item is not None],
            msgspec.json.decode(members.get("has_more", b"false"), type=bool),
        )
    for item in page.items:
        _clear_unusable(item)
    return page


def decode_changes(body: bytes) -> Changes:
    """Return the changes in a response; raise ValueError if its frame is unreadable."""
    try:
        changes = msgspec.json.decode(body, type=Changes)
    except _DECODE_ERRORS:
        members = _split_object(body, must_end=True)
        rows = [_decode_event(text) for text in _split(members.get("events", b"[]"))]
        revision = msgspec.json.decode(members.get("store_revision", b""), type=int)
        changes = Changes(revision, [row for row in rows if row is not None])
    for row in changes.events:
        _clear_unusable(row.object)
    return changes


def decode_object(body: bytes) -> Entry:
    """Return the object in a response; raise ValueError if it has no metadata."""
    try:
        entry = msgspec.json.decode(body, type=Entry)
    except _DECODE_ERRORS:
        found = _decode_entry(body, must_end=True)
        if found is None:
            raise ValueError("no object") from None
        entry = found
    _clear_unusable(entry)
    return entry


def _decode_event(text: bytes) -> EventRow | None:
    members = _split_object(text)
    entry = _decode_entry(members.get("object", b""))
    is_deleted = members.get("deleted", b"").strip() == b"true"
    return None if entry is None else EventRow(entry, is_deleted)


def _decode_entry(text: bytes, must_end: bool = False) -> Entry | None:
    """Return an entry, without its spec if that is unreadable, or None without a name."""
    members = _split_object(text, must_end)
    try:
        metadata = msgspec.json.decode(members.get("metadata", b""), type=Metadata)
    except _DECODE_ERRORS:
        return None
    try:
        return Entry(metadata, msgspec.json.decode(members.get("spec", b"null")))
    except _DECODE_ERRORS as error:
        return Entry(metadata, None, str(error))


def _clear_unusable(entry: Entry) -> None:
    """Drop a spec that can't be encoded for a peer."""
    reason = find_unusable(entry.spec)
    if reason:
        entry.spec = None
        entry.failure = reason


def find_unusable(value: Any) -> str:
    """Return why a decoded value can't be encoded, "" if it can be."""
    pending = [(value, 0)]
    while pending:
        found, depth = pending.pop()
        if isinstance(found, int) and not MIN_INTEGER <= found <= MAX_INTEGER:
            return "an integer has more than 64 bits"
        if not isinstance(found, (dict, list)):
            continue
        if depth >= MAX_DEPTH:
            return "values are nested too deeply"
        children = found.values() if isinstance(found, dict) else found
        pending += [(child, depth + 1) for child in children]
    return ""


def _split_object(text: bytes, must_end: bool = False) -> dict[str, bytes]:
    """Return the text of each member of a JSON object by its name."""
    members = {}
    for part in _split(text, must_end):
        match = _MEMBER.match(part)
        if match is None:
            continue
        try:
            name = msgspec.json.decode(match[1], type=str)
        except _DECODE_ERRORS:
            continue
        members[name] = part[match.end() :]
    return members


def _split(text: bytes, must_end: bool = False) -> Iterator[bytes]:
    """Yield the text of each element of a JSON array or object, without recursion.

    Raise ValueError if it `must_end` and does not: the rest may have been cut off.
    """
    depth = start = 0
    for match in _TOKEN.finditer(text):
        token = match[0]
        if token in _OPENING:
            depth += 1
            start = match.end() if depth == 1 else start
        elif token in _CLOSING:
            depth -= 1
            if depth == 0:
                if text[start : match.start()].strip():
                    yield text[start : match.start()]
                return
        elif token == b"," and depth == 1:
            yield text[start : match.start()]
            start = match.end()
    if must_end:
        raise ValueError("the text ends inside a value")
