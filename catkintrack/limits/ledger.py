"""Define the ledger of shares in the platform's object API.

The ledger names, for each generation, the incarnations that may hold shares and the
parts that a recount found lost and gave out again.  It holds no balances: what each
holder has moves between holders without the platform.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from .shares import PARTS_TOTAL

LEDGER_NAME = "limits/ledger"
MAX_BONUS_ENTRIES = 4096


class Ledger(msgspec.Struct, frozen=True):
    """Hold one generation of the ledger.

    `members` maps an instance to its incarnation.  `unresolved` names members that
    did not report in the last recount: they keep what they hold.  `fresh` names
    workspaces whose parts start with full tokens, since nobody can have spent any.
    """

    generation: int = 0
    recount: int = 0
    members: dict[str, int] = {}
    unresolved: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()
    fresh: tuple[str, ...] = ()
    bonus_by_instance_by_workspace: dict[str, dict[str, int]] = {}


def encode_ledger(ledger: Ledger) -> bytes:
    """Return the ledger as JSON bytes."""
    return msgspec.json.encode(ledger)


def decode_ledger(data: bytes) -> Ledger | None:
    """Return the ledger in `data`, or None when it is malformed."""
    try:
        return msgspec.json.decode(data, type=Ledger)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def build_ledger(
    old: Ledger,
    recount: int,
    members: Mapping[str, int],
    held_parts_by_instance: Mapping[str, Mapping[str, int]],
    unresolved: Iterable[str],
    workspaces: Iterable[str],
) -> Ledger:
    """Return the next generation, giving out what no holder can have any more.

    `held_by_instance` holds the reports of the frozen holders.  While a member of
    the old generation is unresolved its shares are unknown, so nothing is given out
    but the parts of workspaces that never had any.
    """
    open_members = tuple(sorted(unresolved))
    known = set(old.workspaces)
    wanted = sorted(known.union(workspaces))
    receivers = sorted(set(members) - set(open_members))
    bonus: dict[str, dict[str, int]] = {}
    for workspace in wanted:
        if open_members and workspace in known:
            continue
        held = sum(parts.get(workspace, 0) for parts in held_parts_by_instance.values())
        lost = PARTS_TOTAL - held
        if lost > 0 and receivers:
            bonus[workspace] = _split(lost, workspace, receivers, len(wanted))
    return Ledger(
        generation=old.generation + 1,
        recount=recount,
        members=dict(members),
        unresolved=open_members,
        workspaces=tuple(wanted),
        fresh=tuple(name for name in wanted if name not in known),
        bonus_by_instance_by_workspace=bonus,
    )


def _split(
    parts: int, workspace: str, receivers: list[str], workspace_count: int
) -> dict[str, int]:
    """Return the parts for each receiver; a large ledger names only one of them."""
    if workspace_count * len(receivers) > MAX_BONUS_ENTRIES:
        # Which one matters little: demand moves the parts where they are used.
        position = sum(workspace.encode()) % len(receivers)
        return {receivers[position]: parts}
    each, rest = divmod(parts, len(receivers))
    split = {name: each + (i < rest) for i, name in enumerate(receivers)}
    return {name: count for name, count in split.items() if count}
