"""Decide whether an instance's API keys are current enough to authenticate calls."""

from __future__ import annotations

from dataclasses import dataclass

KEY_STALENESS_BOUND_S = 5.0
PEER_HEARTBEAT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class FreshnessEvidence:
    """Hold the evidence on whether the active configuration is current.

    `platform_age_s` is the time since an instance last reached the platform, as far
    as heartbeats tell, `peer_heartbeat_age_s` the time since the last heartbeat.
    `are_messages_recent` is False shortly after the process was paused.
    """

    revision: int
    highest_seen_revision: int
    platform_age_s: float
    peer_heartbeat_age_s: float
    alive_members: int
    known_members: int
    are_messages_recent: bool


def are_keys_current(evidence: FreshnessEvidence) -> bool:
    """Report whether all key withdrawals up to a few seconds ago are known here.

    While no instance can reach the platform no withdrawal can be accepted, so a
    majority of the known members keeps serving.  A minority may be partitioned from
    instances that still reach the platform, and stops serving.
    """
    if not evidence.are_messages_recent:
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
