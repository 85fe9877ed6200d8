"""Simulate continuous batching with a cost model for prefill and decode.

Completions are a function of the prompt, so that tests can tell a wrong response.
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

import curio

from .engine_cache import PrefixCache, count_tokens, hash_blocks

STEP_OVERHEAD_S = 0.004
PREFILL_TIME_PER_TOKEN_S = 0.0001
DECODE_TIME_PER_SEQUENCE_S = 0.0004
PREFILL_CHUNK_TOKENS = 512


def iterate_tokens(prompt: bytes, text: str = "") -> Iterator[str]:
    """Yield the completion's tokens after `text`.

    Each token depends on the prompt and on all tokens before it.
    """
    state = hashlib.blake2b(prompt, digest_size=16).digest()
    for token in split_tokens(text):
        state = hashlib.blake2b(state + token.encode(), digest_size=16).digest()
    while True:
        token = " " + state.hex()[:4]
        yield token
        state = hashlib.blake2b(state + token.encode(), digest_size=16).digest()


def split_tokens(text: str) -> list[str]:
    """Split the text of a completion into its tokens."""
    return [" " + word for word in text.split()]


def compute_completion_length(prompt: bytes) -> int:
    """Return the token count of the completion of `prompt` without a token limit."""
    return 8 + hashlib.blake2b(prompt, digest_size=2).digest()[0] % 40


def compute_completion_text(prompt: bytes, max_tokens: int) -> str:
    """Return the completion of `prompt`, cut off at `max_tokens`."""
    length = min(max_tokens, compute_completion_length(prompt))
    return "".join(itertools.islice(iterate_tokens(prompt), length))


@dataclass(slots=True, eq=False)
class Sequence:
    """Hold one waiting or running request.

    `remaining_prefill_tokens` is -1 until the request is admitted.
    """

    request_id: str
    priority: int
    arrival_number: int
    prompt: bytes
    block_hashes: list[str]
    first_index: int
    end_index: int
    tokens: Iterator[str]
    prompt_tokens: int
    cached_tokens: int = 0
    remaining_prefill_tokens: int = -1
    next_token_index: int = 0
    unsent_tokens: list[tuple[int, str]] = field(default_factory=list)
    has_progress: curio.Event = field(default_factory=curio.Event)
    is_done: bool = False
    is_cancelled: bool = False


@dataclass(slots=True)
class Batch:
    """Hold the waiting and running sequences of one engine and its token counters.

    `speed` divides the time of a step; a nonzero `answer_tokens` fixes the length of
    all completions.
    """

    max_running: int
    cache: PrefixCache
    speed: float = 1.0
    waiting: list[Sequence] = field(default_factory=list)
    running: list[Sequence] = field(default_factory=list)
    has_work: curio.Event = field(default_factory=curio.Event)
    arrival_numbers: Iterator[int] = field(default_factory=itertools.count)
    prefilled_tokens: int = 0
    hit_tokens: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0


async def submit_sequence(
    batch: Batch,
    request_id: str,
    priority: int,
    cache_key: tuple[str, str, str],
    prompt: bytes,
    max_tokens: int,
    continued_text: str,
) -> Sequence:
    """Queue a request, to resume after `continued_text`, and return its sequence."""
    first = len(split_tokens(continued_text))
    sequence = Sequence(
        request_id=request_id,
        priority=priority,
        arrival_number=next(batch.arrival_numbers),
        prompt=prompt,
        block_hashes=hash_blocks(*cache_key, prompt),
        first_index=first,
        next_token_index=first,
        end_index=min(
            max_tokens, batch.answer_tokens or compute_completion_length(prompt)
        ),
        tokens=iterate_tokens(prompt, continued_text),
        prompt_tokens=count_tokens(prompt),
    )
    batch.waiting.append(sequence)
    await batch.has_work.set()
    return sequence


async def run_batch(batch: Batch) -> None:
    """Run steps while there are requests, until cancelled."""
    while True:
        if not batch.waiting and not batch.running:
            batch.has_work.clear()
            await batch.has_work.wait()
        await run_step(batch)


async def run_step(batch: Batch) -> None:
    """Admit waiting requests, prefill one chunk and decode one token per sequence."""
    batch.running = [s for s in batch.running if not (s.is_done or s.is_cancelled)]
    batch.waiting = [s for s in batch.waiting if not s.is_cancelled]
    admit_waiting(batch)
    prefilled = prefill_chunk(batch)
    decoding = [s for s in batch.running if s.remaining_prefill_tokens == 0]
    duration_s = STEP_OVERHEAD_S + prefilled * PREFILL_TIME_PER_TOKEN_S
    duration_s += len(decoding) * DECODE_TIME_PER_SEQUENCE_S
    await curio.sleep(duration_s / batch.speed)
    for sequence in decoding:
        await emit_token(sequence)


def admit_waiting(batch: Batch) -> None:
    """Move waiting sequences into the batch by priority, up to `max_running`."""
    batch.waiting.sort(key=lambda s: (s.priority, s.arrival_number))
    while batch.waiting and len(batch.running) < batch.max_running:
        sequence = batch.waiting.pop(0)
        hits = batch.cache.count_hits(sequence.block_hashes)
        sequence.cached_tokens = min(hits * 256, sequence.prompt_tokens - 1)
        sequence.remaining_prefill_tokens = (
            sequence.prompt_tokens - sequence.cached_tokens
        )
        batch.hit_tokens += sequence.cached_tokens
        batch.prompt_tokens += sequence.prompt_tokens
        batch.running.append(sequence)


def prefill_chunk(batch: Batch) -> int:
    """Prefill up to one chunk of tokens by priority; return the tokens prefilled."""
    budget = PREFILL_CHUNK_TOKENS
    pending = [s for s in batch.running if s.remaining_prefill_tokens > 0]
    for sequence in sorted(pending, key=lambda s: (s.priority, s.arrival_number)):
        spent = min(budget, sequence.remaining_prefill_tokens)
        sequence.remaining_prefill_tokens -= spent
        budget -= spent
        if sequence.remaining_prefill_tokens == 0:
            batch.cache.store(sequence.block_hashes)
        if budget == 0:
            break
    batch.prefilled_tokens += PREFILL_CHUNK_TOKENS - budget
    return PREFILL_CHUNK_TOKENS - budget


async def emit_token(sequence: Sequence) -> None:
    """Generate the sequence's next token; mark the sequence done after the last."""
    if sequence.next_token_index < sequence.end_index:
        sequence.unsent_tokens.append(
            (sequence.next_token_index, next(sequence.tokens))
        )
        sequence.next_token_index += 1
    if sequence.next_token_index >= sequence.end_index:
        sequence.is_done = True
    await sequence.has_progress.set()
