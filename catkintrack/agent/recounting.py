"""Update the ledger of limit shares by recounts.

A recount freezes lending, collects the parts that each member holds and commits a
new generation of the ledger to the platform.
"""

from __future__ import annotations

import logging
import time

import curio
from returns.result import Failure, Success

from catkintrack import limits
from catkintrack.limits import LEDGER_NAME, Ledger
from catkintrack.links import (
    Envelope,
    Freeze,
    Heartbeat,
    Held,
    LedgerNews,
    Thaw,
)
from catkintrack.membership import list_alive
from catkintrack.objects import (
    NotFound,
    ResponseLost,
    VersionMismatch,
    get_object,
    put_object,
)
from catkintrack.timeouts import ignore_after

from .mesh import MeshHandler, send_to_all_peers, send_to_peer
from .state import Agent

logger = logging.getLogger(__name__)

RECOUNT_CHECK_INTERVAL_S = 0.2
RECOUNT_REPORT_TIMEOUT_S = 0.3
RECOUNT_BACKOFF_MIN_S = 0.5
RECOUNT_BACKOFF_MAX_S = 15.0
LEDGER_WRITE_RETRY_DELAY_S = 0.3


async def handle_freeze(agent: Agent, envelope: Envelope) -> None:
    """Stop lending for a recount and report the held parts to its coordinator."""
    held = limits.freeze(agent.limits.holder, envelope.body)
    if held is not None:
        await send_to_peer(agent, envelope.sender, held)


async def handle_held(agent: Agent, envelope: Envelope) -> None:
    """Record a member's report to the recount that this agent coordinates."""
    recount = agent.limits.recount
    if recount is None:
        return
    limits.record_held_parts(
        recount, envelope.sender, envelope.incarnation, envelope.body
    )
    if not limits.find_unreported_members(recount) & set(list_alive(agent.members)):
        await agent.limits.recount_reports_received.set()


async def handle_thaw(agent: Agent, envelope: Envelope) -> None:
    """Resume lending after an abandoned recount."""
    limits.thaw(agent.limits.holder, envelope.body)


async def handle_ledger_news(agent: Agent, envelope: Envelope) -> None:
    """Adopt a peer's ledger if it is newer."""
    body: LedgerNews = envelope.body
    ledger = limits.decode_ledger(body.data)
    if ledger is not None:
        adopt_ledger(agent, ledger)


async def handle_heartbeat_ledger(agent: Agent, envelope: Envelope) -> None:
    """Send the ledger to a peer with an older generation."""
    body: Heartbeat = envelope.body
    ledger = agent.limits.holder.ledger
    if body.ledger_generation < ledger.generation:
        news = LedgerNews(limits.encode_ledger(ledger))
        await send_to_peer(agent, envelope.sender, news)


def adopt_ledger(agent: Agent, ledger: Ledger) -> None:
    """Adopt a ledger if its generation is newer."""
    now = time.monotonic()
    if limits.install_ledger(agent.limits.holder, ledger, now):
        agent.limits.ledger_adopted_at = now
        logger.info(
            "limit ledger adopted",
            extra={"generation": ledger.generation, "members": len(ledger.members)},
        )


async def maintain_ledger(agent: Agent) -> None:
    """Run due recounts while this agent is the coordinator, until cancelled."""
    while True:
        await curio.sleep(RECOUNT_CHECK_INTERVAL_S)
        now = time.monotonic()
        if agent.is_stopping or now < agent.limits.next_recount_at:
            continue
        if _is_coordinator(agent) and is_recount_due(agent):
            await run_recount(agent)
            _schedule_next_recount(agent)


def _is_coordinator(agent: Agent) -> bool:
    return agent.instance == min(list_alive(agent.members))


def _find_alive_incarnations(agent: Agent) -> dict[str, int]:
    alive = list_alive(agent.members)
    return {name: news.incarnation for name, news in alive.items()}


def is_recount_due(agent: Agent) -> bool:
    """Report whether the ledger is out of date; False without configuration.

    It may lack a live incarnation or a workspace, list a removed instance or have
    unresolved shares of a member that is alive again.
    """
    state = agent.limits
    if agent.config.revision == 0:
        return False
    return limits.is_ledger_outdated(
        state.holder.ledger,
        _find_alive_incarnations(agent),
        agent.removed_instances,
        agent.tables.workspace_by_name,
    )


def _schedule_next_recount(agent: Agent) -> None:
    """Schedule the next recount, with exponential backoff while one is still due."""
    state = agent.limits
    if is_recount_due(agent):
        doubled_s = max(RECOUNT_BACKOFF_MIN_S, 2 * state.recount_backoff_s)
        state.recount_backoff_s = min(RECOUNT_BACKOFF_MAX_S, doubled_s)
    else:
        state.recount_backoff_s = 0.0
    state.next_recount_at = time.monotonic() + state.recount_backoff_s


async def run_recount(agent: Agent) -> None:
    """Recount the shares and commit the next generation of the ledger."""
    state = agent.limits
    match await get_object(agent.platform, LEDGER_NAME):
        case Success(found):
            version = found.version
            ledger = limits.decode_ledger(found.value)
            if ledger is None:
                logger.error(
                    "stored limit ledger is malformed, recount skipped",
                    extra={"version": version},
                )
                return
        case Failure(NotFound()):
            version, ledger = 0, Ledger()
        case _:
            agent.metrics.recounts.inc({"outcome": "platform_unavailable"})
            return
    adopt_ledger(agent, ledger)
    await send_to_all_peers(agent, LedgerNews(limits.encode_ledger(ledger)))
    recount = limits.start_recount(
        agent.rng.getrandbits(62),
        ledger,
        _find_alive_incarnations(agent),
        agent.removed_instances,
    )
    state.recount = recount
    state.recount_reports_received.clear()
    await _collect_held_reports(agent, recount)
    state.recount = None
    new_ledger = limits.finish_recount(recount, agent.tables.workspace_by_name)
    is_accepted = await _commit_ledger(agent, new_ledger, version)
    outcome = "accepted" if is_accepted else "given_up"
    agent.metrics.recounts.inc({"outcome": outcome})
    if is_accepted:
        adopt_ledger(agent, new_ledger)
        await send_to_all_peers(agent, LedgerNews(limits.encode_ledger(new_ledger)))


async def _collect_held_reports(agent: Agent, recount: limits.Recount) -> None:
    message = Freeze(recount.ledger.generation, recount.id)
    own_report = limits.freeze(agent.limits.holder, message)
    if own_report is not None:
        limits.record_held_parts(recount, agent.instance, agent.incarnation, own_report)
    for instance in recount.members:
        if instance != agent.instance:
            await send_to_peer(agent, instance, message)
    alive = set(list_alive(agent.members))
    if limits.find_unreported_members(recount) & alive:
        await ignore_after(
            RECOUNT_REPORT_TIMEOUT_S, agent.limits.recount_reports_received.wait
        )


async def _commit_ledger(agent: Agent, ledger: Ledger, version: int) -> bool:
    """Commit a ledger by a conditional write; return whether it was accepted.

    Holders are thawed only when it is certain that this ledger can't take effect.
    """
    data = limits.encode_ledger(ledger)
    is_maybe_written = False
    while True:
        match await put_object(agent.platform, LEDGER_NAME, data, version):
            case Success(_):
                return True
            case Failure(ResponseLost()):
                # Retrying is safe: the conditional write can take effect only once.
                is_maybe_written = True
            case Failure(VersionMismatch()):
                is_accepted = await _find_commit_outcome(agent, ledger)
                if is_accepted is not None:
                    return is_accepted
            case _ if not is_maybe_written:
                await _abandon_recount(agent, ledger)
                return False
        await curio.sleep(LEDGER_WRITE_RETRY_DELAY_S)


async def _find_commit_outcome(agent: Agent, ledger: Ledger) -> bool | None:
    """Report whether `ledger` was accepted; None while that is unknown."""
    match await get_object(agent.platform, LEDGER_NAME):
        case Success(found):
            stored = limits.decode_ledger(found.value)
        case _:
            return None
    if stored is None or stored.generation < ledger.generation:
        return None
    if stored.generation > ledger.generation:
        # `ledger` may have been accepted and replaced since, so that a thaw is unsafe.
        adopt_ledger(agent, stored)
        return False
    if stored.recount == ledger.recount:
        return True
    await _abandon_recount(agent, ledger)
    return False


async def _abandon_recount(agent: Agent, ledger: Ledger) -> None:
    thaw = Thaw(ledger.generation - 1, ledger.recount)
    limits.thaw(agent.limits.holder, thaw)
    await send_to_all_peers(agent, thaw)


RECOUNT_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    Freeze: handle_freeze,
    Held: handle_held,
    Thaw: handle_thaw,
    LedgerNews: handle_ledger_news,
    Heartbeat: handle_heartbeat_ledger,
}
