"""Let plain calls wait, in order, for room at brittle replicas."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from catkintrack.decisions.brittleness import count_places, estimate_wait_s
from catkintrack.decisions.services import find_service_s
from catkintrack.fleet import Call, Upstream
from catkintrack.timeouts import ignore_after

from .brittle_replicas import find_records, has_brittle_replicas
from .late_calls import DEADLINE_MARGIN_S
from .state import Instance, RoomWaiter

# Pauses and loans end without an event.
CHECK_INTERVAL_S = 0.02
# Time that a call needs to be sent, as multiples of the mean run: many take longer.
RUN_TIME_FACTOR = 2.0


async def choose_with_room(
    instance: Instance,
    call: Call,
    choose: Callable[[], Upstream | None],
    lacks_room: Callable[[], bool],
) -> Upstream | None:
    """Return the replica that gets a call, once a brittle one has room for it.

    Return None if there is none, none in time, or if not `lacks_room`, which tells whether
    a replica could take the call but for its room.
    """
    if not has_brittle_replicas(instance):
        return choose()
    if not instance.room_queue_by_service.get(call.service):
        upstream = choose()
        if upstream is not None or not lacks_room():
            return upstream
    now = time.monotonic()
    wait_s = find_room_wait_s(instance, call.service)
    if not is_served_in_time(instance, call, wait_s or 0.0, now):
        return None
    queue = instance.room_queue_by_service.setdefault(call.service, deque())
    waiter = RoomWaiter()
    queue.append(waiter)
    try:
        while is_served_in_time(instance, call, 0.0, time.monotonic()):
            if queue[0] is waiter:
                upstream = choose()
                if upstream is not None or not lacks_room():
                    return upstream
            waiter.may_try.clear()
            await ignore_after(CHECK_INTERVAL_S, waiter.may_try.wait)
        return None
    finally:
        queue.remove(waiter)
        if not queue:
            instance.room_queue_by_service.pop(call.service, None)
        await wake_next(instance, call.service)


async def wake_next(instance: Instance, service: str) -> None:
    """Let the call that has waited longest look for room."""
    queue = instance.room_queue_by_service.get(service)
    if queue:
        await queue[0].may_try.set()


def find_room_wait_s(instance: Instance, service: str) -> float | None:
    """Return in how many seconds a call that is queued now finds room, roughly.

    Return None if no replica of its service is brittle; infinity if this instance has
    no part in their room.
    """
    records = find_records(instance, service)
    if not records:
        return None
    places = sum(count_places(record) for record in records)
    waiting = len(instance.room_queue_by_service.get(service) or ())
    service_s = find_service_s(instance.services, service)
    return estimate_wait_s(places, waiting, service_s)


def is_served_in_time(
    instance: Instance, call: Call, wait_s: float, now: float
) -> bool:
    """Report whether a call that is sent after a wait is served before its deadline."""
    service_s = RUN_TIME_FACTOR * find_service_s(instance.services, call.service)
    return now + wait_s + service_s + DEADLINE_MARGIN_S < call.deadline_at
