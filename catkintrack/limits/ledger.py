"""Define the share ledger, an object stored in the platform's object API.

Each generation of the ledger lists the incarnations that may hold shares and the lost
parts that the last recount reassigned.  It stores no balances, because holders lend
to each other without calling the platform.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from .shares import PARTS_TOTAL

LEDGER_NAME = "limits/ledger"
MAX_BONUS_ENTRIES = 4096


class Ledger(msgspec.Struct, frozen=True):
    """Represent one generation of the ledger.

    `members` maps each instance to its incarnation.  `unresolved` lists the members
    that did not report in the last recount; they keep their shares.  `fresh` lists the
    workspaces first assigned in this generation: no tokens of theirs can have been
    spent, so their parts start with a full burst.
    """

    generation: int = 0
    recount: int = 0
    members: dict[str, int] = {}
    unresolved: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()
    fresh: tuple[str, ...] = ()
    bonus_by_instance_by_workspace: dict[str, dict[str, int]] = {}


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode the ledger as JSON."""
    return msgspec.json.encode(ledger)


def decode_ledger(data: bytes) -> Ledger | None:
    """Decode a ledger from JSON; return None if it is malformed."""
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
    """Build the next generation and reassign the parts that no holder has any more.

    `held_parts_by_instance` contains the reports of the frozen holders.  While any
    member is unresolved its shares are unknown, so only workspaces that are new to the
    ledger get parts.
    """
    unresolved_members = tuple(sorted(unresolved))
    known_workspaces = set(old.workspaces)
    all_workspaces = sorted(known_workspaces.union(workspaces))
    receivers = sorted(set(members) - set(unresolved_members))
    bonus: dict[str, dict[str, int]] = {}
    for workspace in all_workspaces:
        if unresolved_members and workspace in known_workspaces:
            continue
        held_parts = sum(
            parts.get(workspace, 0) for parts in held_parts_by_instance.values()
        )
        lost_parts = PARTS_TOTAL - held_parts
        if lost_parts > 0 and receivers:
            bonus[workspace] = _split_parts(
                lost_parts, workspace, receivers, len(all_workspaces)
            )
    return Ledger(
        generation=old.generation + 1,
        recount=recount,
        members=dict(members),
        unresolved=unresolved_members,
        workspaces=tuple(all_workspaces),
        fresh=tuple(name for name in all_workspaces if name not in known_workspaces),
        bonus_by_instance_by_workspace=bonus,
    )


def _split_parts(
    parts: int, workspace: str, receivers: list[str], workspace_count: int
) -> dict[str, int]:
    """Split `parts` over the receivers, or give all to one to keep the ledger small."""
    if workspace_count * len(receivers) > MAX_BONUS_ENTRIES:
        # Any receiver will do: lending moves parts to where the demand is.
        position = sum(workspace.encode()) % len(receivers)
        return {receivers[position]: parts}
    each, rest = divmod(parts, len(receivers))
    split = {name: each + (i < rest) for i, name in enumerate(receivers)}
    return {name: count for name, count in split.items() if count}
