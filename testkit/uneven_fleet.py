"""Play a load of prefills on uneven replicas against the decisions of many instances.

Replicas prefill in order of arrival; peers' messages arrive late.  Nothing else of an
engine is imitated.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from catkintrack.decisions import ModelRequest, Tables, UpstreamRow, submit, tick
from catkintrack.decisions.load import record_load_report
from catkintrack.decisions.scheduler import (
    record_end,
    record_first_token,
    record_remote_prefill,
    record_remote_prefill_end,
)
from catkintrack.decisions.speeds import enable_speeds, record_prefill_end
from catkintrack.decisions.tables import add_upstream, ensure_workspace
from catkintrack.decisions.transfers import TransferRates
from catkintrack.decisions.verdicts import Dispatch

USUAL_TOKENS_PER_S = 56_900.0
INITIAL_TOKENS_PER_S = 85_000.0
SPEEDS = (0.7, 0.7, 1.7)
STEP = 2.5
SLOW_S = 0.3
SLOW_SHARE = 1 / 7
MESSAGE_DELAY_S = 0.15
NETWORK_S = 0.001
DECODE_S = 0.4
TARGET_S = 1.045
LONG_SHARE = 0.2
# Tokens up to the end of each part of a long and of a short prompt.
LONG_ENDS = (512, 5382, 11_992)
SHORT_ENDS = (568, 2368)
MAX_PREFILL_WAIT_S = 0.2


@dataclass(slots=True)
class Engine:
    """Hold one replica: its usual rate, the end of its queue, and the work it was sent.

    `slow_starts` are the times at which it is slowed for SLOW_S.
    """

    rate: float
    slow_starts: list[float]
    free_at: float = 0.0
    running: int = 0
    busy_s: float = 0.0

    def find_slowdown(self, at: float) -> float:
        """Return the factor by which work takes longer at a time."""
        return (
            STEP if any(0 <= at - start < SLOW_S for start in self.slow_starts) else 1.0
        )


@dataclass(slots=True)
class Play:
    """Hold the engines, the instances' tables, the coming events and what was seen."""

    engine_by_name: dict[str, Engine]
    instances: list[Tables]
    rng: Random
    events: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    numbers: itertools.count = field(default_factory=itertools.count)
    waits_s: list[float] = field(default_factory=list)
    refused: int = 0


def make_play(
    instances: int, replicas: int, duration_s: float, shares: bool, seed: int = 1
) -> Play:
    """Return a fleet whose instances share what they learn of the replicas, or don't."""
    rng = Random(seed)
    engine_by_name = {}
    for number in range(replicas):
        starts = []
        at = rng.expovariate(SLOW_SHARE / SLOW_S)
        while at < duration_s:
            starts.append(at)
            at += SLOW_S + rng.expovariate(SLOW_SHARE / SLOW_S)
        rate = SPEEDS[number % len(SPEEDS)] * USUAL_TOKENS_PER_S
        engine_by_name[f"u{number}"] = Engine(rate, starts)
    tables = [_make_tables(replicas, instances, shares) for _ in range(instances)]
    return Play(engine_by_name, tables, rng)


def _make_tables(replicas: int, instances: int, shares: bool) -> Tables:
    tables = Tables(
        transfer_rates=TransferRates(0.002, 0.3e-6),
        router_count=instances,
        max_prefill_wait_s=MAX_PREFILL_WAIT_S,
    )
    for number in range(replicas):
        row = UpstreamRow(f"u{number}", 0, "", frozenset({"m1"}), 64)
        row.prefill_tokens_per_s = INITIAL_TOKENS_PER_S
        row.incarnation = "life"
        add_upstream(tables, row)
    ensure_workspace(tables, "w1")
    if shares:
        enable_speeds(tables)
    return tables


def play(play: Play, requests: list[ModelRequest], until: float) -> None:
    """Let the requests arrive, each at a random instance, and run until a time."""
    for request in requests:
        tables = play.rng.choice(play.instances)
        _schedule(play, request.arrived_at, _make_arrival(play, tables, request))
    while play.events and play.events[0][0] <= until:
        now, _, run = heapq.heappop(play.events)
        run(now)


def _schedule(play: Play, at: float, run: Callable[[float], None]) -> None:
    heapq.heappush(play.events, (at, next(play.numbers), run))


def _make_arrival(
    play: Play, tables: Tables, request: ModelRequest
) -> Callable[[float], None]:
    def arrive(now: float) -> None:
        submit(tables, request, now)
        _tick(play, tables, now)

    return arrive


def _tick(play: Play, tables: Tables, now: float) -> None:
    for decision in tick(tables, now, play.rng, "catkintrack"):
        if isinstance(decision, Dispatch):
            _send(play, tables, decision, now)
        else:
            play.refused += 1


def _send(play: Play, tables: Tables, decision: Dispatch, now: float) -> None:
    """Queue a prefill at its replica and announce it, and its end, to the peers."""
    request = decision.request
    name = decision.upstream
    engine = play.engine_by_name[name]
    engine.running += 1
    starts_at = max(now + NETWORK_S, engine.free_at)
    prefill_s = decision.uncached_tokens / engine.rate * engine.find_slowdown(starts_at)
    engine.free_at = starts_at + prefill_s
    engine.busy_s += decision.uncached_tokens / engine.rate
    first_at = engine.free_at + NETWORK_S
    play.waits_s.append(first_at - request.arrived_at)

    def announce_begin(at: float) -> None:
        for peer in play.instances:
            if peer is not tables:
                record_remote_prefill(
                    peer,
                    request.id,
                    name,
                    request.blocks,
                    decision.uncached_tokens,
                    request.priority,
                    at,
                )

    def end_prefill(at: float) -> None:
        slowdown = engine.find_slowdown(at) if tables.speeds is not None else None
        load = (engine.running, 0, slowdown)
        row = tables.upstream_by_name[name]
        record_load_report(tables, row, *load, at)
        record_first_token(tables, request.id, "life", at)
        timed = tables.running_by_id[request.id].timed_prefill
        _tick(play, tables, at)

        def announce_end(arrived_at: float) -> None:
            for peer in play.instances:
                if peer is tables:
                    continue
                record_remote_prefill_end(peer, request.id, "life", arrived_at)
                if peer.speeds is None:
                    continue
                peer_row = peer.upstream_by_name[name]
                record_load_report(peer, peer_row, *load, at)
                record_prefill_end(peer, peer_row, timed, at, arrived_at)

        _schedule(play, at + MESSAGE_DELAY_S, announce_end)

    def end_run(at: float) -> None:
        engine.running -= 1
        record_end(tables, request.id, at)
        _tick(play, tables, at)

    _schedule(play, now + MESSAGE_DELAY_S, announce_begin)
    _schedule(play, first_at, end_prefill)
    _schedule(play, first_at + DECODE_S, end_run)


def make_mixed_load(
    requests_per_s: float, duration_s: float, seed: int = 2, histories: int = 120
) -> list[ModelRequest]:
    """Return Poisson arrivals, a fifth of them long and about a random history."""
    rng = Random(seed)
    requests = []
    at = 0.0
    while at < duration_s:
        at += rng.expovariate(requests_per_s)
        number = len(requests)
        is_long = rng.random() < LONG_SHARE
        history = 1000 + rng.randrange(histories)
        blocks = (1, history, 10**6 + number) if is_long else (2, 10**6 + number)
        ends = LONG_ENDS if is_long else SHORT_ENDS
        requests.append(
            ModelRequest(
                id=f"r{number}",
                workspace="w1",
                model="m1",
                blocks=blocks,
                prompt_tokens=ends[-1],
                max_tokens=55,
                priority=1,
                arrived_at=at,
                deadline=at + 12.0,
                block_ends=ends,
                target_at=at + TARGET_S,
            )
        )
    return requests


def reset_measures(play: Play) -> None:
    """Forget what was seen so far."""
    play.waits_s.clear()
    for engine in play.engine_by_name.values():
        engine.busy_s = 0.0


def measure_spread(play: Play) -> float:
    """Return the busiest replica's work in seconds, relative to the mean."""
    busy = [engine.busy_s for engine in play.engine_by_name.values()]
    return max(busy) / (sum(busy) / len(busy))
