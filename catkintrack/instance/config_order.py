"""Decide whether a stored configuration takes effect, over the eras of the store.

A store that comes back from an older copy shows an old configuration until the
operators have written the newest one again.  Its object revision, and after a mistake
even its version, may then be lower than those in force.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from .state import ConfigStamp


class Judgement(Enum):
    """Enumerate what to do with a configuration that was read or received."""

    IGNORE = "ignore"
    # It is the one in force, stored in a later place.
    CONFIRM = "confirm"
    # It comes from an older copy of the store.
    HOLD_BACK = "hold back"
    APPLY = "apply"


@dataclass(frozen=True, slots=True)
class OfferedConfig:
    """Hold a stored configuration and where it was found.

    `is_written` says that it was certainly written in the era of its stamp,
    `is_superseded` that it was in force before the known one.  `replaced` is where the
    peer that offers it has found one that it has certainly replaced.
    """

    stamp: ConfigStamp
    version: int
    spec: Any
    is_written: bool
    is_superseded: bool = False
    replaced: ConfigStamp = ConfigStamp()


def judge_configuration(
    known: OfferedConfig | None, offered: OfferedConfig, held_back: ConfigStamp
) -> Judgement:
    """Return what to do with a configuration while `known` is in force.

    `held_back` is where one of an older copy was found last.
    """
    if known is None:
        return Judgement.APPLY
    if offered.stamp.era < known.stamp.era:
        return _judge_earlier(known, offered)
    if offered.stamp <= known.stamp:
        return Judgement.IGNORE
    if offered.spec == known.spec:
        return Judgement.CONFIRM
    if offered.stamp.era == known.stamp.era:
        # Within an era the store's revisions decide; without eras versions grow too.
        is_older = offered.stamp.era == 0 and offered.version <= known.version
        return Judgement.IGNORE if is_older else Judgement.APPLY
    # After a lower version was written, the copy's is higher and yet older.
    is_newer = offered.version > known.version and not offered.is_superseded
    # A copy has no higher revision than the newest that was known before.
    is_newer = is_newer or offered.stamp.revision > known.stamp.revision
    if is_newer or is_written_again(offered, held_back):
        return Judgement.APPLY
    return Judgement.HOLD_BACK


def is_written_again(offered: OfferedConfig, held_back: ConfigStamp) -> bool:
    """Report whether a configuration was certainly written in its era.

    What is stored after one that the copy had was written since.
    """
    return (
        offered.is_written
        or held_back.era == offered.stamp.era
        and offered.stamp.revision > held_back.revision
    )


def _judge_earlier(known: OfferedConfig, offered: OfferedConfig) -> Judgement:
    """Judge a configuration of an earlier era than the one in force.

    It is newer if it has certainly replaced the one in force, which is a copy's.
    """
    is_newer = offered.replaced == known.stamp and not known.is_written
    is_newer = is_newer and offered.version > known.version
    return Judgement.APPLY if is_newer else Judgement.IGNORE
