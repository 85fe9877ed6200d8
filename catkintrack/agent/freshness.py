"""Decide whether an instance may still rely on the keys it knows."""

from __future__ import annotations

from dataclasses import dataclass

KEY_FRESHNESS_S = 5.0
PEER_SILENCE_S = 2.0


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold what speaks for the configuration in force being the newest.

    `platform_age_s` is the time since any instance that this one hears of has read
    the platform, `peer_age_s` the time since any peer was heard.  `is_trusted` is
    False for a moment after the process was frozen.
    """

    revision: int
    newest_revision_heard: int
    platform_age_s: float
    peer_age_s: float
    alive_members: int
    known_members: int
    is_trusted: bool


def are_keys_current(evidence: Evidence) -> bool:
    """Report whether a key withdrawn some seconds ago would be known here.

    With the platform out of everybody's reach no withdrawal can be accepted, so a
    majority of the known members goes on serving.  A minority may have been cut off
    from those that still hear the platform, and stops.
    """
    if not evidence.is_trusted:
        return False
    if evidence.revision == 0 or evidence.revision < evidence.newest_revision_heard:
        return False
    if evidence.platform_age_s <= KEY_FRESHNESS_S:
        return True
    if evidence.known_members > 1 and evidence.peer_age_s > PEER_SILENCE_S:
        return False
    return 2 * evidence.alive_members > evidence.known_members
