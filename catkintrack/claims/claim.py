"""Decide who may run a call that runs at most once.

A claim is an object in the platform that only one caller's request can create.  The
states only move forward: running, then done or unknown; a claim whose holder knows
that nothing was sent may be taken again.
"""

from __future__ import annotations

import hashlib
from enum import Enum

import msgspec

MAX_STORED_RESPONSE_BYTES = 65536


class ClaimStatus(Enum):
    """Say what is known of a claimed call."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"


class ClaimVerdict(Enum):
    """Say what the asker of a claim may do."""

    RUN = "run"
    REPLAY = "replay"
    CONFLICT = "conflict"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


class Claim(msgspec.Struct, frozen=True):
    """Hold one claim; `owner` is unique to the request that made it."""

    owner: str
    fingerprint: str
    status: ClaimStatus = ClaimStatus.RUNNING
    response: bytes = b""


def make_claim_name(workspace: str, route: str, idempotency_key: str) -> str:
    """Return the object's name; the same key in another workspace is another call."""
    text = f"{workspace}\0{route}\0{idempotency_key}"
    return "claims/" + hashlib.sha256(text.encode()).hexdigest()


def fingerprint_call(method: bytes, target: bytes, body: bytes) -> str:
    """Return the digest that tells a repeated call from another one."""
    return hashlib.sha256(b"\0".join((method, target, body))).hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Return the claim as MessagePack."""
    return msgspec.msgpack.encode(claim)


def decode_claim(data: bytes) -> Claim | None:
    """Return the claim in `data`, or None when it is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=Claim)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def judge_claim(found: Claim, owner: str, fingerprint: str) -> ClaimVerdict:
    """Return what the request `owner` may do, given the claim that stands."""
    if found.fingerprint != fingerprint:
        return ClaimVerdict.MISMATCH
    if found.status is ClaimStatus.DONE:
        return ClaimVerdict.REPLAY
    if found.owner == owner:
        return ClaimVerdict.RUN
    return ClaimVerdict.CONFLICT


def is_reclaimable(found: Claim, fingerprint: str) -> bool:
    """Report whether the claim's call is known not to have run."""
    return found.status is ClaimStatus.NOT_RUN and found.fingerprint == fingerprint


def finish_claim(claim: Claim, has_run: bool, response: bytes) -> Claim:
    """Return the claim after its call; an oversized response is not kept."""
    if not has_run:
        return Claim(claim.owner, claim.fingerprint, ClaimStatus.NOT_RUN)
    kept = response if len(response) <= MAX_STORED_RESPONSE_BYTES else b""
    return Claim(claim.owner, claim.fingerprint, ClaimStatus.DONE, kept)
