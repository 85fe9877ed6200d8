"""Run calls that may not be repeated at most once."""

from .claim import (
    MAX_KEPT_RESPONSE_BYTES,
    Claim,
    ClaimStatus,
    ClaimVerdict,
    claim_name,
    decode_claim,
    encode_claim,
    fingerprint_call,
    finish_claim,
    judge_claim,
)
from .store import TakenClaim, settle_claim, take_claim

__all__ = [
    "MAX_KEPT_RESPONSE_BYTES",
    "Claim",
    "ClaimStatus",
    "ClaimVerdict",
    "TakenClaim",
    "claim_name",
    "decode_claim",
    "encode_claim",
    "fingerprint_call",
    "finish_claim",
    "judge_claim",
    "settle_claim",
    "take_claim",
]
