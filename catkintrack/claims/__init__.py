"""Run calls that are not idempotent at most once for each idempotency key."""

from .claim import (
    MAX_STORED_RESPONSE_BYTES,
    Claim,
    ClaimStatus,
    ClaimVerdict,
    decode_claim,
    encode_claim,
    fingerprint_call,
    finish_claim,
    judge_claim,
    make_claim_name,
)
from .store import ClaimResult, acquire_claim, store_claim_outcome

__all__ = [
    "MAX_STORED_RESPONSE_BYTES",
    "Claim",
    "ClaimStatus",
    "ClaimVerdict",
    "ClaimResult",
    "make_claim_name",
    "decode_claim",
    "encode_claim",
    "fingerprint_call",
    "finish_claim",
    "judge_claim",
    "store_claim_outcome",
    "acquire_claim",
]
