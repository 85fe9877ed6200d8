"""Decide which request may run a call that must run at most once.

A claim is an object in the platform's object API that only one request can create.  Its
status only moves forward, from running to done or to not_run.  A not_run claim, whose
owner knows that the call did not run, may be taken by another request.
"""

from __future__ import annotations

import hashlib
from enum import Enum

import msgspec

MAX_STORED_RESPONSE_BYTES = 65536


class ClaimStatus(Enum):
    """Enumerate the states of a claimed call."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"


class ClaimVerdict(Enum):
    """Enumerate the answers to a request that asks for a claim.

    CONFLICT means that another request holds the claim and its call may have run,
    MISMATCH that the idempotency key was used for a different call.
    """

    RUN = "run"
    REPLAY = "replay"
    CONFLICT = "conflict"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


class Claim(msgspec.Struct, frozen=True):
    """Represent one claim; `owner` is unique to the request that created it."""

    owner: str
    fingerprint: str
    status: ClaimStatus = ClaimStatus.RUNNING
    response: bytes = b""


def make_claim_name(workspace: str, route: str, idempotency_key: str) -> str:
    """Return the name of the claim's object; keys of different workspaces are distinct."""
    text = f"{workspace}\0{route}\0{idempotency_key}"
    return "claims/" + hashlib.sha256(text.encode()).hexdigest()


def fingerprint_call(method: bytes, target: bytes, body: bytes) -> str:
    """Return a digest to tell a repeated call from a different call with the same key."""
    return hashlib.sha256(b"\0".join((method, target, body))).hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Encode the claim as MessagePack."""
    return msgspec.msgpack.encode(claim)


def decode_claim(data: bytes) -> Claim | None:
    """Decode a claim from MessagePack; return None if it is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=Claim)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def judge_claim(stored: Claim, owner: str, fingerprint: str) -> ClaimVerdict:
    """Return what the request `owner` may do, given the stored claim."""
    if stored.fingerprint != fingerprint:
        return ClaimVerdict.MISMATCH
    if stored.status is ClaimStatus.DONE:
        return ClaimVerdict.REPLAY
    if stored.owner == owner:
        return ClaimVerdict.RUN
    return ClaimVerdict.CONFLICT


def is_reclaimable(stored: Claim, fingerprint: str) -> bool:
    """Report whether the claim is of the same call and that call did not run."""
    return stored.status is ClaimStatus.NOT_RUN and stored.fingerprint == fingerprint


def finish_claim(claim: Claim, has_run: bool, response: bytes) -> Claim:
    """Return the claim after its call ended, without the response if it is oversized."""
    if not has_run:
        return Claim(claim.owner, claim.fingerprint, ClaimStatus.NOT_RUN)
    stored_response = response if len(response) <= MAX_STORED_RESPONSE_BYTES else b""
    return Claim(claim.owner, claim.fingerprint, ClaimStatus.DONE, stored_response)
