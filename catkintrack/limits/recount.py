"""Recount the shares when members join, leave or restart.

A coordinator freezes lending, collects the parts that each member holds and commits
the next ledger generation with a conditional write.  Holders keep their shares and add
the bonus that the new generation assigns to them.  A frozen holder neither sends nor
applies grants until it installs a newer generation or every recount that froze it has
been abandoned.
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
    """Hold the participants of one recount and their reports, keyed by instance."""

    id: int
    ledger: Ledger
    members: dict[str, int]
    held_parts_by_instance: dict[str, dict[str, int]] = field(default_factory=dict)


def is_ledger_outdated(
    ledger: Ledger,
    alive: Mapping[str, int],
    removed_instances: Iterable[str],
    workspaces: Iterable[str],
) -> bool:
    """Report whether the ledger's members or workspaces are out of date.

    `alive` maps each live instance to its incarnation; `removed_instances` are those
    that the platform has removed.
    """
    if any(
        ledger.members.get(name) != incarnation for name, incarnation in alive.items()
    ):
        return True
    if set(removed_instances) & set(ledger.members):
        return True
    if any(name in alive for name in ledger.unresolved):
        return True
    return not set(workspaces) <= set(ledger.workspaces)


def start_recount(
    recount_id: int,
    ledger: Ledger,
    alive: Mapping[str, int],
    removed_instances: Iterable[str],
) -> Recount:
    """Start a recount of the members that may still hold parts and the live instances."""
    removed = set(removed_instances) - set(alive)
    remaining = {
        name: incarnation
        for name, incarnation in ledger.members.items()
        if name not in removed
    }
    return Recount(recount_id, ledger, {**remaining, **alive})


def freeze(holder: ShareHolder, message: Freeze) -> Held | None:
    """Stop lending for a recount and return the report of the parts held.

    A recount of another ledger generation is ignored.
    """
    if message.generation != holder.ledger.generation:
        return None
    holder.freezing_recount_ids.add(message.recount)
    shares = holder.shares.share_by_workspace
    parts = {name: share.parts for name, share in shares.items() if share.parts}
    return Held(message.generation, message.recount, parts)


def thaw(holder: ShareHolder, message: Thaw) -> None:
    """Resume lending after an abandoned recount, unless another one is in progress."""
    if message.generation == holder.ledger.generation:
        holder.freezing_recount_ids.discard(message.recount)


def record_held_parts(
    recount: Recount, sender: str, incarnation: int, held: Held
) -> None:
    """Record a member's report; ignore reports to other recounts and incarnations."""
    if held.recount != recount.id or recount.members.get(sender) != incarnation:
        return
    if held.generation == recount.ledger.generation:
        recount.held_parts_by_instance[sender] = held.parts_by_workspace


def find_unreported_members(recount: Recount) -> set[str]:
    """Return the members that have not reported."""
    return set(recount.members) - set(recount.held_parts_by_instance)


def finish_recount(recount: Recount, workspaces: Iterable[str]) -> Ledger:
    """Build the next generation; members that did not report are unresolved.

    A new incarnation may report for its instance: it holds the port of the previous
    process, which has therefore ended.
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
    """Install a ledger if its generation is newer; report whether it was installed."""
    if ledger.generation <= holder.ledger.generation:
        return False
    holder.ledger = ledger
    holder.freezing_recount_ids.clear()
    holder.outgoing_channel_by_peer.clear()
    holder.incoming_channel_by_peer.clear()
    if not holder.is_member:
        _clear_shares(holder)
    elif holder.instance not in ledger.unresolved:
        # A resolved member reported its parts at the previous generation, so it has
        # missed no bonus and this one adds to exactly the parts that it reported.
        _add_bonus(holder, ledger, now)
    return True


def _clear_shares(holder: ShareHolder) -> None:
    for share in holder.shares.share_by_workspace.values():
        share.parts = 0
        share.fresh_parts = 0
        share.tokens = min(share.tokens, 0.0)


def _add_bonus(holder: ShareHolder, ledger: Ledger, now: float) -> None:
    for workspace, by_instance in ledger.bonus_by_instance_by_workspace.items():
        parts = by_instance.get(holder.instance, 0)
        if not parts:
            continue
        share = refresh_share(holder.shares, workspace, now)
        share.parts += parts
        if workspace in ledger.fresh:
            share.fresh_parts += parts
            refresh_share(holder.shares, workspace, now)
