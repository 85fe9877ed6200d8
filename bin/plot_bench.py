"""Plot build/bench.json as docs/figures/bench.png."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

ROOT = Path(__file__).resolve().parent.parent
POLICIES = ("round_robin", "least_loaded", "prefix_hash", "catkintrack")
COLOURS = ("#b0b0b0", "#7f9fbf", "#d9a441", "#2a7f4f")


def main(path: str) -> None:
    """Plot hit rates and p99 times to first token, by site and case."""
    rows = json.loads(Path(path).read_text())
    sites = sorted({row["site"] for row in rows})
    cases = sorted({row["case"] for row in rows})
    figure, axes = plt.subplots(2, len(sites), figsize=(11, 6), sharex=True)
    for column, site in enumerate(sites):
        for row_number, field in enumerate(("hit_rate", "ttft_p99_s")):
            axis = axes[row_number][column]
            for number, policy in enumerate(POLICIES):
                heights = [find_row(rows, site, case, policy)[field] for case in cases]
                places = [index + 0.2 * number for index in range(len(cases))]
                axis.bar(places, heights, 0.2, label=policy, color=COLOURS[number])
            if field == "hit_rate":
                bounds = [
                    find_row(rows, site, case, "catkintrack")["hit_rate_bound"]
                    for case in cases
                ]
                for index, bound in enumerate(bounds):
                    axis.hlines(bound, index - 0.1, index + 0.7, "black", "dashed")
                axis.set_title(site)
            axis.set_ylabel("hit rate" if field == "hit_rate" else "first token p99, s")
            axis.set_xticks([index + 0.3 for index in range(len(cases))], cases)
    axes[0][0].legend(fontsize=7, loc="lower left")
    figure.tight_layout()
    figure.savefig(ROOT / "docs" / "figures" / "bench.png", dpi=90)


def find_row(rows: list[dict], site: str, case: str, policy: str) -> dict:
    """Return the row of one benchmark run."""
    return next(
        row
        for row in rows
        if (row["site"], row["case"], row["policy"]) == (site, case, policy)
    )


if __name__ == "__main__":
    main(sys.argv[1] if sys.argv[1:] else str(ROOT / "build" / "bench.json"))
