"""Judge a version by its answers against those of the old one beside it.

Answers the load of a version that fails or is slow for some of its calls: at once or
later, on all routes or on one, only under load.  Both versions serve the same routes at the
same time, so what disturbs both doesn't count against the new one.

Error of the first kind: on a route, a version as good as the old one is called bad for
failures, or for slow answers, with probability BAD_ERROR at most over the whole roll-out,
however often it is judged.  The test is a Bayes factor between "the versions differ" and
"they don't", which exceeds 1/e with probability e at most under the latter (Ville's
inequality; Kass and Raftery, "Bayes Factors", 1995).  Counts of a recent interval are one
more test each time and so take the stricter RECENT_ERROR.

Error of the second kind: a version of which a share HARMFUL_SHARE more of the answers is bad
than of the old one's is called good with probability about MISS_ERROR at most on each route:
GOOD asks for so many answers that such a version had been called bad.

Answers of one moment aren't independent: a crash cuts many calls at once, a pause makes many
slow.  A finding is therefore a suspicion first, see plan.review: it stands unless the next
answers refute it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from .counts import BUCKETS, BUCKETS_PER_OCTAVE, AnswerCounts, VersionCounts

BAD_ERROR = 1e-4
RECENT_ERROR = 1e-7
HARMFUL_SHARE = 0.1
MISS_ERROR = 1e-3
# One-sided quantile of the normal distribution for MISS_ERROR.
MISS_DEVIATIONS = 3.1
# Prior of a share of bad answers: mostly small.
PRIOR_BAD, PRIOR_GOOD = 0.5, 10.0
# Smaller differences are no reason to roll back.  Times differ by cold caches too.
MIN_FAILURE_EXCESS = 0.005
MIN_SLOW_EXCESS = 0.04
# An answer is slow if it takes twice what all but a quarter of the old version's take.
USUAL_SHARE = 0.75
SLOW_BUCKETS = BUCKETS_PER_OCTAVE + 1
# Fewer answers of the old version don't show what is usual.
MIN_OLD_ANSWERS = 20
MIN_BAD = 4
# A share that had shown in so many answers is shown by none with probability 0.05.
REFUTING_BAD = 3.0


class Verdict(Enum):
    """Enumerate what can be said of a version."""

    UNKNOWN = "unknown"
    GOOD = "good"
    BAD = "bad"


def compute_log_evidence(bad: int, total: int, old_bad: int, old_total: int) -> float:
    """Return the log Bayes factor for different shares of bad answers."""
    prior = _log_beta(PRIOR_BAD, PRIOR_GOOD)

    def weigh(x: int, n: int) -> float:
        return _log_beta(PRIOR_BAD + x, PRIOR_GOOD + n - x) - prior

    same = weigh(bad + old_bad, total + old_total)
    return weigh(bad, total) + weigh(old_bad, old_total) - same


def is_worse(
    bad: int, total: int, old: tuple[int, int], min_excess: float, error: float
) -> bool:
    """Report whether a version surely has a larger share of bad answers.

    `old` are the bad and all answers of the old version.
    """
    old_bad, old_total = old
    if bad < MIN_BAD or not total:
        return False
    excess = bad / total - (old_bad / old_total if old_total else 0.0)
    if excess < min_excess:
        return False
    return compute_log_evidence(bad, total, old_bad, old_total) >= -math.log(error)


def is_conclusive(total: int, old: tuple[int, int]) -> bool:
    """Report whether a harmful version would surely have been called bad by now."""
    old_bad, old_total = old
    share = min(1.0, (old_bad / old_total if old_total else 0.0) + HARMFUL_SHARE)
    spread = math.sqrt(total * share * (1.0 - share))
    fewest_bad = math.floor(total * share - MISS_DEVIATIONS * spread)
    return is_worse(fewest_bad, total, old, 0.0, BAD_ERROR)


# What is bad about answers.
FAILED = "failed"
SLOW = "were slow"


@dataclass(frozen=True, slots=True)
class Fault:
    """Hold what is worse at the new version: on which route, and how many answers."""

    route: str
    name: str
    bad: int
    total: int

    def __str__(self) -> str:
        """Return the fault for the log."""
        return f"{self.route}: {self.bad} of {self.total} answers {self.name}"


def find_fault(
    counts: VersionCounts, recent: VersionCounts, is_beside: bool = True
) -> Fault | None:
    """Return what is surely worse at the new version, if anything.

    `counts` are those since the order, `recent` those of the last seconds.  Without the
    old version beside it at a constant share, what slows the whole service down would
    count against the new one: then only failures are judged.
    """
    for route in sorted({route for route, _ in counts}):
        for rows, error in ((counts, BAD_ERROR), (recent, RECENT_ERROR)):
            for name, bad, total, old, min_excess in _list_shares(rows, counts, route):
                if name == SLOW and not is_beside:
                    continue
                if is_worse(bad, total, old, min_excess, error):
                    return Fault(route, name, bad, total)
    return None


def is_refuted(
    fault: Fault, later: VersionCounts, counts: VersionCounts
) -> bool | None:
    """Report whether the answers after a fault was seen speak against it.

    They do if harmful versions had shown more bad ones; None if they are too few for that.
    Without a single good one they don't: replicas that fail are ejected and get few calls.
    The share at which a fault was found is mostly above the true one.
    """
    for name, bad, total, (old_bad, old_total), _ in _list_shares(
        later, counts, fault.route
    ):
        if name == fault.name and bad < total:
            old_share = old_bad / old_total if old_total else 0.0
            share = min(fault.bad / fault.total / 2, old_share + HARMFUL_SHARE)
            return bad < share * total if total * share >= REFUTING_BAD else None
    return False


def count_excess(counts: VersionCounts) -> float:
    """Return how many more answers of the new version are bad than of the old one."""
    excess = 0.0
    for route in {route for route, _ in counts}:
        for _, bad, total, (old_bad, old_total), _ in _list_shares(
            counts, counts, route
        ):
            usual = total * old_bad / old_total if old_total else 0.0
            excess += max(0.0, bad - usual)
    return excess


def judge(counts: VersionCounts) -> tuple[Verdict, str]:
    """Return whether a version without faults is GOOD, and the reason if not.

    That needs enough answers on each route that either version has served.
    """
    routes = sorted({route for route, _ in counts})
    for route in routes:
        shares = _list_shares(counts, counts, route)
        if not shares:
            return Verdict.UNKNOWN, f"{route}: no answers"
        for name, _, total, old, _ in shares:
            if not is_conclusive(total, old):
                return Verdict.UNKNOWN, f"{route}: too few answers, {name} or not"
    if not routes:
        return Verdict.UNKNOWN, "no answers"
    return Verdict.GOOD, "no worse than the old version"


# What is bad, the new version's bad and all answers, the old one's, and the least excess.
Share = tuple[str, int, int, tuple[int, int], float]


def _list_shares(
    counts: VersionCounts, all_counts: VersionCounts, route: str
) -> list[Share]:
    """Return the shares of failed and slow answers on a route, none without answers.

    What is usual is taken from all of the old version's answers: it may have no recent
    ones.
    """
    new = counts.get((route, True))
    if new is None or not new.total:
        return []
    usual = all_counts.get((route, False), AnswerCounts())
    old = counts.get((route, False), usual)
    old = old if old.total >= MIN_OLD_ANSWERS else usual
    failed = (old.failed, old.total)
    rows: list[Share] = [(FAILED, new.failed, new.total, failed, MIN_FAILURE_EXCESS)]
    first_slow = find_first_slow_bucket(usual)
    if first_slow is not None:
        slow = sum(new.whole_by_bucket[first_slow:])
        old_slow = (sum(old.whole_by_bucket[first_slow:]), old.whole)
        rows.append((SLOW, slow, new.whole, old_slow, MIN_SLOW_EXCESS))
    return rows


def find_first_slow_bucket(old: AnswerCounts) -> int | None:
    """Return the first bucket of slow answers, None while what is usual is unknown."""
    whole = old.whole
    if whole < MIN_OLD_ANSWERS:
        return None
    seen = 0
    for bucket, count in enumerate(old.whole_by_bucket):
        seen += count
        if seen >= USUAL_SHARE * whole:
            return min(BUCKETS, bucket + SLOW_BUCKETS)
    return None


def _log_beta(a: float, b: float) -> float:
    return math.lgamma(a) + math.lgamma(b) - math.lgamma(a + b)
