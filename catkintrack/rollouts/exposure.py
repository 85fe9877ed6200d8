"""Bound how many calls an unproven version gets, without messages.

Each process sends the new version at most a share of the calls that it has itself sent to
the service since it knew of the order.  The sum over all processes then keeps the share as
well, at each moment and for any number of them, also when messages are lost, the holder
changes or a process starts again and counts from 0.  A grant only says whether a process
may use its part; it is never a number to be conserved between processes.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass


@dataclass(slots=True)
class Exposure:
    """Count the calls that this process has sent to a service during an order.

    `sent` counts calls, `exposed` each time that one goes to the new version.
    `reserved` calls are chosen for the new version and wait to be sent.
    """

    sent: int = 0
    exposed: int = 0
    reserved: int = 0


def may_expose(exposure: Exposure, share: float) -> bool:
    """Report whether one more call, the next one to be sent, may go to the version."""
    planned = exposure.exposed + exposure.reserved + 1
    return planned <= share * (exposure.sent + 1)


def reserve(exposure: Exposure, share: float) -> bool:
    """Reserve a call of the new version if `share` allows it."""
    if not may_expose(exposure, share):
        return False
    exposure.reserved += 1
    return True


def unreserve(exposure: Exposure) -> None:
    """Return a reservation, used or not."""
    exposure.reserved = max(0, exposure.reserved - 1)


def record_sent(
    exposure: Exposure, is_new: bool, share: float, is_first: bool = True
) -> bool:
    """Count a call that is being sent; report False if `share` forbids to send it.

    A call that is sent again, not for the first time, doesn't widen the share.
    """
    sent = exposure.sent + is_first
    if is_new and share < 1.0 and exposure.exposed + 1 > share * sent:
        return False
    exposure.sent = sent
    exposure.exposed += is_new
    return True


def choose_first_replicas(
    new: Collection[str], old_count: int, share: float
) -> set[str]:
    """Return the new replicas that take all exposed calls, the same at each process.

    They are so few that each is as busy as an old one: some versions fail under load only.
    """
    count = max(1, math.ceil(share * old_count))
    return set(sorted(new)[:count])
