"""Generate the users' workloads as traces from a seed.

Blómavefur tags the occasions in shops' order histories and drafts short notes;
Periyar asks over long shift handovers who covers a call, and drafts rosters.
Prompts share prefixes at two levels: an instruction of the workspace, then a history
or handover, then a short question.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from testkit.caller import make_messages

WORDS = [
    "lily",
    "rose",
    "wreath",
    "deposit",
    "delivery",
    "friday",
    "hall",
    "order",
    "card",
    "ribbon",
    "valve",
    "leak",
    "kitchen",
    "shift",
    "engineer",
    "handover",
    "street",
    "pump",
    "meter",
    "night",
    "roster",
    "call",
    "cover",
]


@dataclass(frozen=True, slots=True)
class SiteProfile:
    """Describe a user's fleet and traffic; sizes in bytes, rates per second.

    `history_share` is the share of requests whose prompt has a history.
    """

    name: str
    engines: int
    zones: tuple[str, ...]
    instances: int
    instruction_bytes: int
    history_bytes: tuple[int, int]
    histories_by_workspace: dict[str, int]
    paid_workspaces: frozenset[str]
    requests_per_s: float
    history_share: float
    max_tokens: int


BLOMAVEFUR = SiteProfile(
    name="blomavefur",
    engines=5,
    zones=("is-1", "is-2", "is-3", "is-4"),
    instances=6,
    instruction_bytes=4096,
    history_bytes=(10_000, 26_000),
    histories_by_workspace={"b1": 14, "b2": 10, "b3": 4, "b4": 3, "b5": 3},
    paid_workspaces=frozenset({"b2", "b4"}),
    requests_per_s=12.0,
    history_share=0.8,
    max_tokens=24,
)

PERIYAR = SiteProfile(
    name="periyar",
    engines=6,
    zones=("kl-1", "kl-2", "kl-3"),
    instances=6,
    instruction_bytes=6144,
    history_bytes=(16_000, 40_000),
    histories_by_workspace={"p1": 8, "p2": 7, "p3": 3, "p4": 2, "p5": 2},
    paid_workspaces=frozenset({"p1", "p3"}),
    requests_per_s=12.0,
    history_share=0.7,
    max_tokens=24,
)

SITES = {site.name: site for site in (BLOMAVEFUR, PERIYAR)}


@dataclass(frozen=True, slots=True)
class TraceRow:
    """Hold one request of a trace; `at` is in seconds from the trace's start."""

    at: float
    workspace: str
    messages: list[dict[str, str]]
    max_tokens: int


@dataclass(frozen=True, slots=True)
class Case:
    """Describe the load pattern and the failures of a benchmark run.

    `hot_share` is the share of requests for a single hot history, which changes halfway
    through the run if `is_shifting`; `greedy_factor` multiplies one workspace's rate.
    """

    name: str
    hot_share: float = 0.0
    is_shifting: bool = False
    greedy_factor: float = 1.0
    has_crash: bool = False
    has_restart: bool = False


CASES = {
    case.name: case
    for case in (
        Case("calm"),
        Case("shift", hot_share=0.4, is_shifting=True),
        Case("greedy", greedy_factor=5.0),
        Case("crash", has_crash=True),
        Case("restart", has_restart=True),
    )
}


def generate_text(rng: Random, size: int) -> str:
    """Return `size` bytes of random words."""
    words = []
    length = 0
    while length < size:
        word = rng.choice(WORDS)
        words.append(word)
        length += len(word) + 1
    return " ".join(words)[:size]


def get_greedy_workspace(site: SiteProfile) -> str:
    """Return the large workspace that exceeds its rate in the greedy case."""
    return next(iter(site.histories_by_workspace))


def generate_trace(
    site: SiteProfile, case: Case, seed: int, duration_s: float
) -> list[TraceRow]:
    """Return the requests of a run by time, with Poisson arrivals per workspace."""
    rng = Random(f"{site.name}/{case.name}/{seed}")
    workspaces = list(site.histories_by_workspace)
    weights = [float(site.histories_by_workspace[name]) for name in workspaces]
    instruction = {w: generate_text(rng, site.instruction_bytes) for w in workspaces}
    histories = {
        w: [
            generate_text(rng, rng.randint(*site.history_bytes))
            for _ in range(site.histories_by_workspace[w])
        ]
        for w in workspaces
    }
    rows = []
    for workspace, weight in zip(workspaces, weights, strict=True):
        rate = site.requests_per_s * weight / sum(weights)
        if workspace == get_greedy_workspace(site):
            rate *= case.greedy_factor
        pick = _make_history_picker(case, histories[workspace], duration_s, rng)
        at = rng.expovariate(rate)
        while at < duration_s:
            messages = _generate_messages(site, instruction[workspace], pick(at), rng)
            rows.append(TraceRow(at, workspace, messages, site.max_tokens))
            at += rng.expovariate(rate)
    return sorted(rows, key=lambda row: row.at)


def _make_history_picker(
    case: Case, histories: list[str], duration_s: float, rng: Random
) -> Callable[[float], str]:
    """Return a function that picks a history at a time, by skewed popularity."""
    popularity = [1.0 / (rank + 1) ** 0.5 for rank in range(len(histories))]

    def pick(at: float) -> str:
        if rng.random() < case.hot_share:
            is_second = case.is_shifting and at > duration_s / 2
            return histories[-1 if is_second else 0]
        return rng.choices(histories, popularity)[0]

    return pick


def _generate_messages(
    site: SiteProfile, instruction: str, history: str, rng: Random
) -> list[dict[str, str]]:
    question = generate_text(rng, rng.randint(120, 400))
    if rng.random() < site.history_share:
        return make_messages(instruction, history, question)
    return make_messages(instruction, question)


def replace_request_rate(site: SiteProfile, requests_per_s: float) -> SiteProfile:
    """Return the site profile with another request rate."""
    return replace(site, requests_per_s=requests_per_s)
