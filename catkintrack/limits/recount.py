"""Recount the shares when members come, go or restart.

A coordinator freezes lending, collects what each member holds, and has the next
generation accepted by a conditional update.  Holders keep what they have and add
what the new generation gives them.  A frozen holder lends and takes nothing until
it learns of a newer generation, or that every recount that froze it was given up.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from catkintrack.links import Freeze, Held, Thaw

from .ledger import Ledger, build_ledger
from .lending import ShareHolder
from .shares import refresh_share


@dataclass(slots=True)
class Recount:
    """Hold the reports of one recount, keyed by instance."""

    id: int
    ledger: Ledger
    members: dict[str, int]
    held_parts_by_instance: dict[str, dict[str, int]] = field(default_factory=dict)


def is_recount_due(
    ledger: Ledger,
    alive: Mapping[str, int],
    gone: Iterable[str],
    workspaces: Iterable[str],
) -> bool:
    """Report whether the ledger's members or workspaces are out of date.

    `alive` maps each live instance to its incarnation; `gone` names instances that
    the platform has removed.
    """
    if any(ledger.members.get(name) != inc for name, inc in alive.items()):
        return True
    if set(gone) & set(ledger.members):
        return True
    if any(name in alive for name in ledger.unresolved):
        return True
    return not set(workspaces) <= set(ledger.workspaces)


def start_recount(
    recount_id: int,
    ledger: Ledger,
    alive: Mapping[str, int],
    gone: Iterable[str],
) -> Recount:
    """Return a recount over the old members that may still hold, and the new ones."""
    removed = set(gone) - set(alive)
    kept = {name: inc for name, inc in ledger.members.items() if name not in removed}
    return Recount(recount_id, ledger, {**kept, **alive})


def freeze(holder: ShareHolder, message: Freeze) -> Held | None:
    """Stop lending for a recount and report what is held."""
    if message.generation != holder.ledger.generation:
        return None
    holder.freezing_recount_ids.add(message.recount)
    rows = holder.shares.share_by_workspace
    parts = {name: row.parts for name, row in rows.items() if row.parts}
    return Held(message.generation, message.recount, parts)


def thaw(holder: ShareHolder, message: Thaw) -> None:
    """Lend again, unless another recount still counts."""
    if message.generation == holder.ledger.generation:
        holder.freezing_recount_ids.discard(message.recount)


def record_held_parts(
    recount: Recount, sender: str, incarnation: int, held: Held
) -> None:
    """Take in one report; those of other recounts or lives don't count."""
    if held.recount != recount.id or recount.members.get(sender) != incarnation:
        return
    if held.generation == recount.ledger.generation:
        recount.held_parts_by_instance[sender] = held.parts_by_workspace


def find_unreported_members(recount: Recount) -> set[str]:
    """Return the members that have not reported."""
    return set(recount.members) - set(recount.held_parts_by_instance)


def finish_recount(recount: Recount, workspaces: Iterable[str]) -> Ledger:
    """Return the next generation; members that did not report are unresolved.

    A new incarnation reports for its instance: the process before it has ended,
    since it held the same port.
    """
    unresolved = find_unreported_members(recount)
    return build_ledger(
        recount.ledger,
        recount.id,
        recount.members,
        recount.held_parts_by_instance,
        unresolved,
        workspaces,
    )


def install_ledger(holder: ShareHolder, ledger: Ledger, now: float) -> bool:
    """Put a newer generation in force; report whether it was one."""
    if ledger.generation <= holder.ledger.generation:
        return False
    holder.ledger = ledger
    holder.freezing_recount_ids.clear()
    holder.outgoing_channel_by_peer.clear()
    holder.incoming_channel_by_peer.clear()
    if not holder.is_member:
        _drop_everything(holder)
    elif holder.instance not in ledger.unresolved:
        # Only a holder of the generation before can have reported, so that no
        # generation was skipped and the bonus comes on top of what it reported.
        _add_bonus(holder, ledger, now)
    return True


def _drop_everything(holder: ShareHolder) -> None:
    for row in holder.shares.share_by_workspace.values():
        row.parts = 0
        row.fresh_parts = 0
        row.tokens = min(row.tokens, 0.0)


def _add_bonus(holder: ShareHolder, ledger: Ledger, now: float) -> None:
    for workspace, by_instance in ledger.bonus_by_instance_by_workspace.items():
        parts = by_instance.get(holder.instance, 0)
        if not parts:
            continue
        row = refresh_share(holder.shares, workspace, now)
        row.parts += parts
        if workspace in ledger.fresh:
            row.fresh_parts += parts
            refresh_share(holder.shares, workspace, now)
