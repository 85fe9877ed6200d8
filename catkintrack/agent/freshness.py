"""Decide whether an instance may still rely on the keys it knows."""

from __future__ import annotations

from dataclasses import dataclass

KEY_STALENESS_BOUND_S = 5.0
PEER_HEARTBEAT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class FreshnessEvidence:
    """Hold what speaks for the configuration in force being the newest.

    `platform_age_s` is the time since any instance that this one hears of has read
    the platform, `peer_heartbeat_age_s` the time since any peer was heard.  `has_no_recent_pause` is
    False for a moment after the process was frozen.
    """

    revision: int
    highest_seen_revision: int
    platform_age_s: float
    peer_heartbeat_age_s: float
    alive_members: int
    known_members: int
    has_no_recent_pause: bool


def are_keys_current(evidence: FreshnessEvidence) -> bool:
    """Report whether a key withdrawn some seconds ago would be known here.

    With the platform out of everybody's reach no withdrawal can be accepted, so a
    majority of the known members goes on serving.  A minority may have been cut off
    from those that still hear the platform, and stops.
    """
    if not evidence.has_no_recent_pause:
        return False
    if evidence.revision == 0 or evidence.revision < evidence.highest_seen_revision:
        return False
    if evidence.platform_age_s <= KEY_STALENESS_BOUND_S:
        return True
    if (
        evidence.known_members > 1
        and evidence.peer_heartbeat_age_s > PEER_HEARTBEAT_TIMEOUT_S
    ):
        return False
    return 2 * evidence.alive_members > evidence.known_members
