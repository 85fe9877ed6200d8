"""Generate load patterns that tests replay against the placement decisions.

Each pattern is the load that a mechanism handles, with figures of the users' sites.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from catkintrack.decisions import ModelRequest, Tables, UpstreamRow
from catkintrack.decisions.cache_store import CacheStoreIndex
from catkintrack.decisions.tables import add_upstream, ensure_workspace
from catkintrack.decisions.transfers import TransferRates

PREFILL_TOKENS_PER_S = 85_000.0
TRANSFER_RATES = TransferRates(0.002, 1.75e-6)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request of a load and its arrival time in seconds."""

    at: float
    request: ModelRequest


def make_site_tables(
    upstreams: int = 5, zones: int = 4, has_store: bool = False
) -> Tables:
    """Return the tables of an instance in zone z0 of a site like the users'."""
    tables = Tables(zone="z0", transfer_rates=TRANSFER_RATES, router_count=8)
    for number in range(upstreams):
        row = UpstreamRow(f"u{number}", 0, f"z{number % zones}", frozenset({"m1"}), 32)
        row.prefill_tokens_per_s = PREFILL_TOKENS_PER_S
        row.weights_version = 1
        add_upstream(tables, row)
    ensure_workspace(tables, "w1")
    if has_store:
        tables.cache_store = CacheStoreIndex("store", "z1", 2 * TRANSFER_RATES.token_s)
    return tables


def make_long_request(
    id: str, history: int, at: float = 0.0, private_tokens: int = 6610
) -> ModelRequest:
    """Return a request with a shared instruction, a long history and private tokens."""
    return ModelRequest(
        id=id,
        workspace="w1",
        model="m1",
        blocks=(1 + history % 3, 1000 + history, 1_000_000 + hash_id(id)),
        prompt_tokens=512 + 4870 + private_tokens,
        max_tokens=160,
        priority=1,
        arrived_at=at,
        deadline=at + 12.0,
        block_ends=(512, 5382, 5382 + private_tokens),
    )


def hash_id(id: str) -> int:
    """Return a hash of an ID that, unlike `hash`, is the same in every process."""
    return sum(ord(char) * 31**index for index, char in enumerate(id)) % 1_000_003


def make_history_load(
    histories: int, requests_per_s: float, duration_s: float, seed: int = 1
) -> list[Arrival]:
    """Return Poisson arrivals of long requests, each about a random history."""
    rng = Random(seed)
    arrivals = []
    at = 0.0
    while at < duration_s:
        at += rng.expovariate(requests_per_s)
        number = len(arrivals)
        request = make_long_request(f"r{number}", rng.randrange(histories), at)
        arrivals.append(Arrival(at, request))
    return arrivals


def make_hot_history_load(
    hot_share: float, requests_per_s: float, duration_s: float, seed: int = 1
) -> list[Arrival]:
    """Return Poisson arrivals of long requests, `hot_share` of them about one history."""
    rng = Random(seed)
    arrivals = []
    at = 0.0
    while at < duration_s:
        at += rng.expovariate(requests_per_s)
        history = 0 if rng.random() < hot_share else 1 + rng.randrange(123)
        request = make_long_request(f"r{len(arrivals)}", history, at)
        arrivals.append(Arrival(at, request))
    return arrivals
