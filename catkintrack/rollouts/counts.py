"""Count a service's answers by route and version, so that instances can be added up."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Two buckets an octave: the test for slow answers asks for a factor of 2.
BUCKETS_PER_OCTAVE = 2
FIRST_BUCKET_S = 0.001
# Up to 65 s, above every deadline.
BUCKETS = 33


@dataclass(slots=True)
class AnswerCounts:
    """Hold the answers of one version on one route; all numbers only grow.

    `whole_by_bucket` counts the answers that came whole by their time, on a logarithmic
    scale.  `failed` counts errors and answers that broke off or never came.
    """

    failed: int = 0
    whole_by_bucket: list[int] = field(default_factory=lambda: [0] * BUCKETS)

    @property
    def whole(self) -> int:
        """Return the number of whole answers."""
        return sum(self.whole_by_bucket)

    @property
    def total(self) -> int:
        """Return the number of answers, failures included."""
        return self.failed + self.whole


# By route and whether the answers are those of the new version.
VersionCounts = dict[tuple[str, bool], AnswerCounts]


def find_bucket(seconds: float) -> int:
    """Return the bucket of an answer's time."""
    octaves = math.log2(max(seconds, FIRST_BUCKET_S) / FIRST_BUCKET_S)
    return min(BUCKETS - 1, int(octaves * BUCKETS_PER_OCTAVE))


def add_answer(
    counts: VersionCounts, route: str, is_new: bool, seconds: float | None
) -> None:
    """Count an answer that took `seconds`, None if it failed."""
    row = counts.setdefault((route, is_new), AnswerCounts())
    if seconds is None:
        row.failed += 1
    else:
        row.whole_by_bucket[find_bucket(seconds)] += 1


def merge_counts(
    counts: VersionCounts, later: VersionCounts, total: VersionCounts
) -> None:
    """Take over a process's counts, and add what is new to those of all processes.

    Messages may come twice and out of order.
    """
    for key, found in later.items():
        row = counts.setdefault(key, AnswerCounts())
        sums = total.setdefault(key, AnswerCounts())
        sums.failed += max(0, found.failed - row.failed)
        row.failed = max(row.failed, found.failed)
        for bucket, count in enumerate(found.whole_by_bucket[:BUCKETS]):
            known = row.whole_by_bucket[bucket]
            if count > known:
                row.whole_by_bucket[bucket] = count
                sums.whole_by_bucket[bucket] += count - known


def subtract_counts(counts: VersionCounts, earlier: VersionCounts) -> VersionCounts:
    """Return what was counted since `earlier`."""
    recent: VersionCounts = {}
    for key, row in counts.items():
        before = earlier.get(key, AnswerCounts())
        pairs = zip(row.whole_by_bucket, before.whole_by_bucket, strict=True)
        recent[key] = AnswerCounts(
            max(0, row.failed - before.failed), [max(0, a - b) for a, b in pairs]
        )
    return recent
