"""Simulate, in virtual time, a store that at times answers nothing."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

import curio
from returns.result import Failure, Result, Success

from catkintrack.instance import feeds
from catkintrack.platform import (
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    StoredObject,
    StoreError,
    StoreUnavailable,
)
from catkintrack.platform.store import CALL_TIMEOUT_S, WATCH_MARGIN_S

LATENCY_S = 0.004
FIRST_REVISION = 100


class EndOfRun(Exception):
    """End a feed that would run on."""


@dataclass
class SilentStore:
    """Hold one kind's objects, the changes to come and the store's silences.

    A call that is sent within a silence is never answered.  An answer that is due within
    one comes at its end, or, with `loses_answers`, never.  Times are in seconds.
    """

    silences: tuple[tuple[float, float], ...] = ()
    changes: list[tuple[float, str, Any]] = field(default_factory=list)
    loses_answers: bool = False
    now: float = 0.0
    ends_at: float = 60.0
    calls: int = 0

    def find_silence_end(self, at: float) -> float | None:
        """Return the end of the silence at a time, if any."""
        ends = [end for start, end in self.silences if start <= at < end]
        return max(ends, default=None)

    async def sleep(self, seconds: float) -> None:
        """Advance the clock; raise EndOfRun after the end."""
        self.now += seconds
        if self.now > self.ends_at:
            raise EndOfRun

    async def list_objects(
        self, client: Any, kind: str, allows_stale: bool = False
    ) -> Result[ObjectList, StoreError]:
        """List the objects as they are when the call arrives."""
        revision, rows = self._find_state(self.now)
        if not await self._answer(self.now + LATENCY_S, CALL_TIMEOUT_S):
            return Failure(StoreUnavailable("no answer"))
        return Success(ObjectList(tuple(rows), revision))

    async def watch_objects(
        self, client: Any, kind: str, revision: int, wait_s: float
    ) -> Result[ObjectEvents, StoreError]:
        """Return the changes after a revision, as soon as there are any."""
        pending = self.changes[max(0, revision - FIRST_REVISION) :]
        due_at = self.now + wait_s
        if pending:
            due_at = min(due_at, max(self.now, pending[0][0]))
        limit_s = wait_s + WATCH_MARGIN_S
        if not await self._answer(due_at + LATENCY_S, limit_s):
            return Failure(StoreUnavailable("no answer"))
        latest, _ = self._find_state(self.now)
        rows = self.changes[max(0, revision - FIRST_REVISION) : latest - FIRST_REVISION]
        events = tuple(
            ObjectEvent(StoredObject(id, latest, spec), spec is None)
            for _, id, spec in rows
        )
        return Success(ObjectEvents(events, max(revision, latest)))

    async def _answer(self, due_at: float, limit_s: float) -> bool:
        """Wait for an answer; return False after the time limit of the call."""
        self.calls += 1
        sent_at = self.now
        is_lost = self.find_silence_end(sent_at) is not None
        silence_end = self.find_silence_end(due_at)
        if silence_end is not None:
            is_lost = is_lost or self.loses_answers
            due_at = silence_end
        is_answered = not is_lost and due_at <= sent_at + limit_s
        await self.sleep((due_at if is_answered else sent_at + limit_s) - sent_at)
        return is_answered

    def _find_state(self, at: float) -> tuple[int, list[StoredObject]]:
        made = [change for change in self.changes if change[0] <= at]
        spec_by_id = {id: spec for _, id, spec in made}
        revision = FIRST_REVISION + len(made)
        rows = [
            StoredObject(id, revision, spec)
            for id, spec in spec_by_id.items()
            if spec is not None
        ]
        return revision, rows


@contextmanager
def patched_store(store: SilentStore) -> Iterator[None]:
    """Let feeds use the store and its clock."""
    with (
        patch.object(feeds, "list_objects", store.list_objects),
        patch.object(feeds, "watch_objects", store.watch_objects),
        patch.object(curio, "sleep", store.sleep),
        patch.object(time, "monotonic", lambda: store.now),
    ):
        yield
