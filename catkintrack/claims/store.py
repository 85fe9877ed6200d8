"""Acquire and finish claims in the platform's object API."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from catkintrack.objects import (
    NotFound,
    PlatformClient,
    PlatformError,
    Rejected,
    ResponseLost,
    VersionMismatch,
    get_object,
    put_object,
)

from .claim import (
    Claim,
    ClaimVerdict,
    decode_claim,
    encode_claim,
    finish_claim,
    is_reclaimable,
    judge_claim,
)

MAX_WRITE_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Hold the verdict on a request for a claim and the claim it is based on."""

    verdict: ClaimVerdict
    claim: Claim


async def acquire_claim(
    client: PlatformClient, name: str, owner: str, fingerprint: str
) -> ClaimResult:
    """Claim a call for the request `owner` and return whether it may run the call.

    UNAVAILABLE means that the platform did not confirm the claim, so the call must not
    run.
    """
    wanted = Claim(owner, fingerprint)
    unavailable = ClaimResult(ClaimVerdict.UNAVAILABLE, wanted)
    expected_version = 0
    for _ in range(MAX_WRITE_ATTEMPTS):
        outcome = await put_object(client, name, encode_claim(wanted), expected_version)
        match outcome:
            case Success(_):
                return ClaimResult(ClaimVerdict.RUN, wanted)
            case Failure(VersionMismatch() | ResponseLost()):
                pass
            case _:
                return unavailable
        # Another request created the claim, or the response to this write was lost.
        match await _read_claim(client, name):
            case Success((version, found)):
                if not is_reclaimable(found, fingerprint):
                    verdict = judge_claim(found, owner, fingerprint)
                    return ClaimResult(verdict, found)
                expected_version = version
            case Failure(NotFound()):
                # The lost write may still arrive; the expected version lets only one
                # of the two writes create the claim.
                expected_version = 0
            case _:
                return unavailable
    return unavailable


async def store_claim_outcome(
    client: PlatformClient, name: str, owner: str, has_run: bool, response: bytes
) -> bool:
    """Store the end of a claimed call; report whether it is known to be stored."""
    for _ in range(MAX_WRITE_ATTEMPTS):
        match await _read_claim(client, name):
            case Success((version, found)):
                if found.owner != owner:
                    return False
                finished = finish_claim(found, has_run, response)
                if found == finished:
                    return True
                data = encode_claim(finished)
                outcome = await put_object(client, name, data, version)
                if isinstance(outcome, Success):
                    return True
            case _:
                return False
    return False


async def _read_claim(
    client: PlatformClient, name: str
) -> Result[tuple[int, Claim], PlatformError]:
    match await get_object(client, name):
        case Success(found):
            claim = decode_claim(found.value)
            if claim is None:
                return Failure(Rejected(0))
            return Success((found.version, claim))
        case outcome:
            return outcome
