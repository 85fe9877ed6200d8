"""Learn how long replicas take for a token of a running stream.

Load pattern: streams whose first token comes in time and whose rest does not, since
prefills slow each running stream down.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .decay import DecayingSum

PACE_WINDOW_S = 4.0
# Weight of the assumption, in tokens, that decoding takes no time.
PRIOR_TOKENS = 500.0


@dataclass(slots=True)
class DecodePace:
    """Hold recent tokens of streams and the seconds that they took."""

    tokens: DecayingSum = field(default_factory=lambda: DecayingSum(PACE_WINDOW_S))
    seconds: DecayingSum = field(default_factory=lambda: DecayingSum(PACE_WINDOW_S))


def record_stream(
    pace: DecodePace, tokens: int, seconds: float, is_complete: bool, now: float
) -> None:
    """Record a stream's time after its first token.

    One that ended early made fewer than `tokens`; it counts if even so it was slow.
    """
    if is_complete or seconds > tokens * estimate_token_s(pace, now):
        pace.tokens.add(tokens, now)
        pace.seconds.add(seconds, now)


def estimate_token_s(pace: DecodePace, now: float) -> float:
    """Return the estimated seconds per token; without recent streams it tends to 0."""
    return pace.seconds.read(now) / (pace.tokens.read(now) + PRIOR_TOKENS)
