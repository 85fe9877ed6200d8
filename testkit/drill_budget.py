"""Check a drill's repeats: their number, their replicas and the time given to them."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from .drill import DrillRun
from .soak_callers import DEADLINE_S_BY_KIND, Outcome

# The users' bounds: the window of the retry budget and what it allows, the requests that may run on too many replicas, the time that a
# replica may be given beyond what is left, and how often and in what share more.
BUDGET_WINDOW_S = 10.0
BUDGET_RATIO = 0.2
BUDGET_EXTRA = 56
MAX_OVER_ATTEMPTS = 3
DEADLINE_SLACK_S = 0.5
MAX_OVER_DEADLINES = 20
MAX_OVER_DEADLINE_SHARE = 0.2
ATTEMPTS_BY_KIND = {"order": 1, "lookup": 2, "long": 2, "short": 1}
SERVICES = ("models", "app", "spare")


@dataclass(frozen=True)
class BudgetUse:
    """Hold the window of a service's worst use of its retry budget; times in seconds."""

    service: str
    ends_at: float
    repeats: int
    requests: int

    @property
    def allowed(self) -> float:
        """Return how many repeats the window allows."""
        return BUDGET_RATIO * self.requests + BUDGET_EXTRA


def check_budget(run: DrillRun) -> list[str]:
    """Return a line for each way in which the retry budget is exceeded."""
    violations = []
    for service in SERVICES:
        use = find_worst_budget_use(run, service)
        if use is not None and use.repeats > use.allowed:
            violations.append(f"BUDGET {describe_use(run, use)}")
    over = list_over_attempts(run)
    if len(over) > MAX_OVER_ATTEMPTS:
        text = f"{len(over)} requests ran on more replicas than allowed"
        violations.append(f"BUDGET {text}: {over[:10]}")
    late, sent = count_over_deadlines(run)
    if late > max(MAX_OVER_DEADLINES, MAX_OVER_DEADLINE_SHARE * sent):
        violations.append(f"BUDGET {late} of {sent} arrivals with too long a deadline")
    return violations


def describe_budget(run: DrillRun) -> list[str]:
    """Return lines with the figures that `check_budget` compares."""
    lines = []
    for service in SERVICES:
        use = find_worst_budget_use(run, service)
        if use is not None:
            share = use.repeats / use.allowed
            lines.append(f"budget {share:.2f}: {describe_use(run, use)}")
    over = list_over_attempts(run)
    lines.append(f"on more replicas than allowed: {len(over)} {over[:3]}")
    late, sent = count_over_deadlines(run)
    lines.append(f"with too long a deadline: {late} of {sent}")
    return lines + describe_caps(run)


def list_over_attempts(run: DrillRun) -> list[str]:
    """Return the requests that ran on more replicas than their route allows."""
    runs_by_id = Counter()
    for counts in run.counts_by_replica.values():
        runs_by_id.update(counts["runs_by_request"].keys())
    return [
        outcome.id
        for outcome in run.outcomes
        if runs_by_id[outcome.id] > ATTEMPTS_BY_KIND[outcome.kind]
    ]


def count_over_deadlines(run: DrillRun) -> tuple[int, int]:
    """Return the arrivals whose replica got more time than was left, and all arrivals.

    A repeat gets too much if its time ends later than the first's and the caller's.
    """
    outcome_by_id = {outcome.id: outcome for outcome in run.outcomes}
    first_end_by_id: dict[str, float] = {}
    late = 0
    arrivals = sorted(
        arrival for row in run.counts_by_replica.values() for arrival in row["arrivals"]
    )
    for at, id, deadline_s in arrivals:
        outcome = outcome_by_id.get(id)
        if outcome is None or run.may_be_read_late(at):
            continue
        allowed_s = DEADLINE_S_BY_KIND[outcome.kind]
        ends_at = at + deadline_s
        first_end = first_end_by_id.setdefault(id, ends_at)
        caller_end = outcome.began_at + allowed_s
        is_long = not 0.0 <= deadline_s <= allowed_s + DEADLINE_SLACK_S
        is_late = ends_at > max(first_end, caller_end) + DEADLINE_SLACK_S
        late += is_long or is_late
    return late, len(arrivals)


def find_worst_budget_use(run: DrillRun, service: str) -> BudgetUse | None:
    """Return the window in which a service had the most repeats for its requests."""
    repeats = sorted(list_repeats(run, service))
    sent_at = sorted(
        outcome.began_at for outcome in run.outcomes if may_reach(run, outcome, service)
    )
    uses = []
    for last, ends_at in enumerate(repeats):
        first = bisect_left(repeats, ends_at - BUDGET_WINDOW_S)
        requests = max(
            count_between(sent_at, begins_at, begins_at + BUDGET_WINDOW_S)
            for begins_at in (
                ends_at - BUDGET_WINDOW_S,
                ends_at - 1.5 * BUDGET_WINDOW_S,
                ends_at - 2 * BUDGET_WINDOW_S,
            )
        )
        uses.append(BudgetUse(service, ends_at, last - first + 1, requests))
    return max(uses, key=lambda use: use.repeats / use.allowed, default=None)


def count_between(times: list[float], begins_at: float, ends_at: float) -> int:
    """Return how many of the sorted times lie in a span."""
    return bisect_left(times, ends_at) - bisect_left(times, begins_at)


def list_repeats(run: DrillRun, service: str) -> Iterator[float]:
    """Yield the time of each arrival at a service after a request's first there."""
    arrivals = sorted(
        arrival
        for id, counts in run.counts_by_replica.items()
        if run.service_by_replica.get(id) == service
        for arrival in counts["arrivals"]
    )
    seen = set()
    for at, id, _ in arrivals:
        if id in seen:
            yield at
        seen.add(id)


def may_reach(run: DrillRun, outcome: Outcome, service: str) -> bool:
    """Report whether a configuration that may be in force sends a request there."""
    if outcome.kind in ("long", "short"):
        return service == "models"
    if outcome.kind == "lookup":
        return service == "app"
    routes = run.list_routes("order", outcome.began_at, outcome.began_at)
    return any(route["service"] == service for route in routes)


def describe_use(run: DrillRun, use: BudgetUse) -> str:
    """Return a line about a window of a service's retry budget."""
    ends_at = use.ends_at - run.began_at
    return (
        f"{use.service}: {use.repeats} repeats of {use.allowed:.1f} allowed"
        f" ({use.requests} requests) in 10 s to {ends_at:.2f} s"
    )


def describe_caps(run: DrillRun) -> list[str]:
    """Return a line for each service: the caps of the instances' retry budgets."""
    caps_by_service: dict[str, dict[str, list[float]]] = {}
    for _, node, budgets in sorted(run.budgets):
        for service, budget in budgets.items():
            caps = caps_by_service.setdefault(service, {}).setdefault(node, [])
            if budget["cap"] not in caps:
                caps.append(budget["cap"])
    return [
        f"retry caps {service}: "
        + ", ".join(f"{node} {caps}" for node, caps in sorted(caps_by_node.items()))
        for service, caps_by_node in sorted(caps_by_service.items())
    ]
