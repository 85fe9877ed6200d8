"""Write days for the users' bench: each kind of disruption alone and beside another.

    .venv/bin/python bin/make_days.py [deploy/days]

The same arguments give the same files.  `fleetbench hunt` plays them with varied times.
"""

from __future__ import annotations

import sys
from pathlib import Path
from random import Random

SEED = 22
FIRST_S, SECOND_S = 6.0, 9.0
# The entries of one day each; `plan` marks planned work. @s0 is a site's first service.
PLANNED = {
    "config_change": 'how = "tenant"',
    "config_change_down": 'how = "quota down"',
    "config_storm": "for_s = 4.0, gap_s = 0.5",
    "hup": "share = 0.6, gap_s = 1.0",
    "release": 'share = 0.45, x = 1.0, gap_s = 1.0, service = "@s0"',
    "revoke": "count = 2, gap_s = 1.5",
    "roll_term": "share = 0.45, x = 1.0, gap_s = 1.3",
    "roll_term_busy": 'how = "busy", gap_s = 1.0',
    "scale_in": 'share = 0.15, service = "@s0"',
    "version_bump": "count = 0",
}
FAULTS = {
    "answer_lost": "share = 0.5, x = 0.05, for_s = 4.0",
    "applied_late": 'how = "orders", x = 0.5, for_s = 6.0',
    "burst": "x = 1.8, for_s = 4.0",
    "clock_step": "share = 0.3, x = 4000.0, for_s = 5.0",
    "clock_step_back": 'share = 0.3, x = 4000.0, for_s = 5.0, how = "back"',
    "core_cut": 'count = 1, for_s = 5.0, how = "leader"',
    "events_gap": 'share = 0.5, for_s = 4.5, service = "@s0"',
    "garble": 'share = 0.5, x = 0.03, for_s = 5.0, how = "extra late"',
    "give_up": "share = 0.3, for_s = 5.0",
    "herd_kill": "share = 1.0, for_s = 1.0",
    "herd_kill_power": 'share = 0.55, for_s = 2.0, how = "power"',
    "hot_key": 'share = 0.3, for_s = 5.5, class = "@c0"',
    "hot_tenant": "x = 7.5, for_s = 6.5",
    "kv_slow": 'share = 0.3, for_s = 5.5, service = "@s0"',
    "lossy": 'x = 0.03, for_s = 5.5, zone = "@z0"',
    "node_cut": "share = 0.2, for_s = 5.0",
    "node_freeze": "share = 0.3, for_s = 4.0",
    "node_kill": 'count = 1, on = "core", how = "leader"',
    "node_slow": "share = 0.2, x = 5.0, for_s = 5.0",
    "platform_compact": "x = 4.0, for_s = 8.0",
    "platform_down": 'for_s = 5.0, how = "busy"',
    "platform_down_lapse": 'for_s = 6.0, how = "silent lapse"',
    "platform_down_nodes": 'how = "nodes busy", share = 0.35, for_s = 8.0',
    "platform_lost": "x = 0.35, for_s = 4.5",
    "platform_slow": "x = 60.0, for_s = 4.5",
    "replace_core": "x = 2.0",
    "reset_conns": "share = 0.3, x = 0.5",
    "retry_abuse": "x = 3.0, share = 0.3, for_s = 5.5",
    "srv_crash": 'share = 0.3, for_s = 3.0, service = "@s0"',
    "srv_flap": 'share = 0.3, for_s = 6.0, gap_s = 1.5, service = "@s0"',
    "srv_grey": 'share = 0.3, x = 0.4, for_s = 6.0, how = "hang", service = "@s0"',
    "srv_lying_health": 'share = 0.3, for_s = 6.0, service = "@s0"',
}
# Disruptions one after the other: a change comes just after an outage has ended.
SILENT_S = 6.2
# The rules' bounds begin 3 s after an outage.
AFTERMATH_PAUSE_S = 3.1
AFTERMATHS = {
    "silent_store-then-scale_in": "scale_in",
    "silent_store-then-release": "release",
    "silent_store-then-config_change": "config_change",
}


def make_entry(name: str, at_s: float) -> str:
    """Return the entry of a disruption; a name's ending after its kind is a variant."""
    fields = PLANNED.get(name) or FAULTS[name]
    return f'  {{ at = {at_s:g}, kind = "{find_kind(name)}", {fields} }},'


def find_kind(name: str) -> str:
    """Return the kind of a named entry: the longest kind that begins the name."""
    names = sorted([*PLANNED, *FAULTS], key=len)
    return next(kind for kind in names if name == kind or name.startswith(kind + "_"))


def make_day(name: str, seed: int, entries: list[tuple[str, float]]) -> str:
    """Return a day with these disruptions, each at its time in seconds."""
    plan = [make_entry(kind, at_s) for kind, at_s in entries if kind in PLANNED]
    faults = [make_entry(kind, at_s) for kind, at_s in entries if kind in FAULTS]
    return format_day(name, seed, plan, faults)


def format_day(name: str, seed: int, plan: list[str], faults: list[str]) -> str:
    """Return a day with these entries."""
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]"]
    return "\n".join(lines) + "\n"


def make_aftermath(title: str, seed: int, name: str) -> str:
    """Return a day on which planned work follows a silence of the store."""
    fields = f'for_s = {SILENT_S}, how = "silent"'
    outage = f'  {{ at = {FIRST_S:g}, kind = "platform_down", {fields} }},'
    work = make_entry(name, FIRST_S + SILENT_S + AFTERMATH_PAUSE_S)
    return format_day(title, seed, [work], [outage])


def write_days(directory: Path) -> int:
    """Write a file for each day and return their number."""
    rng = Random(SEED)
    directory.mkdir(parents=True, exist_ok=True)
    names = [*PLANNED, *FAULTS]
    for name in names:
        other = rng.choice(
            [kind for kind in names if find_kind(kind) != find_kind(name)]
        )
        days = {
            f"{name}-alone": [(name, FIRST_S)],
            f"{name}-with-{other}": [(name, FIRST_S), (other, SECOND_S)],
        }
        for title, entries in days.items():
            text = make_day(title, rng.randrange(10**9), entries)
            (directory / f"{title}.toml").write_text(text)
    for title, name in AFTERMATHS.items():
        text = make_aftermath(title, rng.randrange(10**9), name)
        (directory / f"{title}.toml").write_text(text)
    return 2 * len(names) + len(AFTERMATHS)


if __name__ == "__main__":
    target = sys.argv[1] if len(sys.argv) > 1 else "deploy/days"
    print(write_days(Path(target)), "days written")
