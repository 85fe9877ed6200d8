"""Keep the ledger of shares up to date by recounts."""

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

from .mesh import MeshHandler, send_to_all, send_to_peer
from .state import Agent

logger = logging.getLogger(__name__)

RECOUNT_CHECK_S = 0.2
RECOUNT_TIMEOUT_S = 0.3
RECOUNT_BACKOFF_MIN_S = 0.5
RECOUNT_BACKOFF_MAX_S = 15.0
LEDGER_RETRY_S = 0.3


async def handle_freeze(agent: Agent, envelope: Envelope) -> None:
    """Report what is held and stop lending."""
    held = limits.freeze(agent.limits.holder, envelope.body)
    if held is not None:
        await send_to_peer(agent, envelope.sender, held)


async def handle_held(agent: Agent, envelope: Envelope) -> None:
    """Take in a member's report to this agent's recount."""
    recount = agent.limits.recount
    if recount is None:
        return
    limits.record_held_parts(
        recount, envelope.sender, envelope.incarnation, envelope.body
    )
    if not limits.find_unreported_members(recount) & set(list_alive(agent.members)):
        await agent.limits.recount_reported.set()


async def handle_thaw(agent: Agent, envelope: Envelope) -> None:
    """Lend again after a recount was given up."""
    limits.thaw(agent.limits.holder, envelope.body)


async def handle_ledger_news(agent: Agent, envelope: Envelope) -> None:
    """Put a newer ledger in force."""
    body: LedgerNews = envelope.body
    ledger = limits.decode_ledger(body.data)
    if ledger is not None:
        adopt_ledger(agent, ledger)


async def handle_heartbeat_ledger(agent: Agent, envelope: Envelope) -> None:
    """Send the ledger to a peer that has an older one."""
    body: Heartbeat = envelope.body
    ledger = agent.limits.holder.ledger
    if body.ledger_generation < ledger.generation:
        news = LedgerNews(limits.encode_ledger(ledger))
        await send_to_peer(agent, envelope.sender, news)


def adopt_ledger(agent: Agent, ledger: Ledger) -> None:
    """Put a ledger in force if it is newer."""
    now = time.monotonic()
    if limits.install_ledger(agent.limits.holder, ledger, now):
        agent.limits.ledger_adopted_at = now
        logger.info(
            "ledger in force",
            extra={"generation": ledger.generation, "members": len(ledger.members)},
        )


async def keep_ledger(agent: Agent) -> None:
    """Run recounts where this agent is the one to do so, until cancelled."""
    while True:
        await curio.sleep(RECOUNT_CHECK_S)
        now = time.monotonic()
        if agent.is_stopping or now < agent.limits.next_recount_at:
            continue
        if _is_coordinator(agent) and is_recount_due(agent):
            await run_recount(agent)
            _back_off(agent)


def _is_coordinator(agent: Agent) -> bool:
    return agent.instance == min(list_alive(agent.members))


def _alive_incarnations(agent: Agent) -> dict[str, int]:
    alive = list_alive(agent.members)
    return {name: news.incarnation for name, news in alive.items()}


def is_recount_due(agent: Agent) -> bool:
    """Report whether the ledger lacks a living member or holds a dead one."""
    state = agent.limits
    if agent.config.revision == 0:
        return False
    return limits.is_recount_due(
        state.holder.ledger,
        _alive_incarnations(agent),
        agent.removed_instances,
        agent.tables.workspace_by_name,
    )


def _back_off(agent: Agent) -> None:
    """Wait longer before a recount that is due again at once."""
    state = agent.limits
    if is_recount_due(agent):
        doubled = max(RECOUNT_BACKOFF_MIN_S, 2 * state.recount_backoff_s)
        state.recount_backoff_s = min(RECOUNT_BACKOFF_MAX_S, doubled)
    else:
        state.recount_backoff_s = 0.0
    state.next_recount_at = time.monotonic() + state.recount_backoff_s


async def run_recount(agent: Agent) -> None:
    """Recount the shares and have the next generation accepted."""
    state = agent.limits
    match await get_object(agent.platform, LEDGER_NAME):
        case Success(found):
            version = found.version
            ledger = limits.decode_ledger(found.value)
            if ledger is None:
                logger.error("ledger is damaged", extra={"version": version})
                return
        case Failure(NotFound()):
            version, ledger = 0, Ledger()
        case _:
            agent.metrics.recounts.inc({"outcome": "platform_unavailable"})
            return
    adopt_ledger(agent, ledger)
    await send_to_all(agent, LedgerNews(limits.encode_ledger(ledger)))
    recount = limits.start_recount(
        agent.rng.getrandbits(62),
        ledger,
        _alive_incarnations(agent),
        agent.removed_instances,
    )
    state.recount = recount
    state.recount_reported.clear()
    await _collect_reports(agent, recount)
    state.recount = None
    new = limits.finish_recount(recount, agent.tables.workspace_by_name)
    is_accepted = await _put_ledger(agent, new, version)
    outcome = "accepted" if is_accepted else "given_up"
    agent.metrics.recounts.inc({"outcome": outcome})
    if is_accepted:
        adopt_ledger(agent, new)
        await send_to_all(agent, LedgerNews(limits.encode_ledger(new)))


async def _collect_reports(agent: Agent, recount: limits.Recount) -> None:
    message = Freeze(recount.ledger.generation, recount.id)
    own = limits.freeze(agent.limits.holder, message)
    if own is not None:
        limits.record_held_parts(recount, agent.instance, agent.incarnation, own)
    for instance in recount.members:
        if instance != agent.instance:
            await send_to_peer(agent, instance, message)
    alive = set(list_alive(agent.members))
    if limits.find_unreported_members(recount) & alive:
        await curio.ignore_after(RECOUNT_TIMEOUT_S, agent.limits.recount_reported.wait)


async def _put_ledger(agent: Agent, ledger: Ledger, version: int) -> bool:
    """Have a ledger accepted; thaw the holders only when it never can be."""
    data = limits.encode_ledger(ledger)
    is_maybe_written = False
    while True:
        match await put_object(agent.platform, LEDGER_NAME, data, version):
            case Success(_):
                return True
            case Failure(ResponseLost()):
                # The same conditional write can take effect only once.
                is_maybe_written = True
            case Failure(VersionMismatch()):
                verdict = await _find_winner(agent, ledger)
                if verdict is not None:
                    return verdict
            case _ if not is_maybe_written:
                await _thaw_all(agent, ledger)
                return False
        await curio.sleep(LEDGER_RETRY_S)


async def _find_winner(agent: Agent, ledger: Ledger) -> bool | None:
    """Report whether `ledger` was the accepted one; None while that is unknown."""
    match await get_object(agent.platform, LEDGER_NAME):
        case Success(found):
            kept = limits.decode_ledger(found.value)
        case _:
            return None
    if kept is None or kept.generation < ledger.generation:
        return None
    if kept.generation > ledger.generation:
        # It may have been accepted and followed since; holders must not thaw.
        adopt_ledger(agent, kept)
        return False
    if kept.recount == ledger.recount:
        return True
    await _thaw_all(agent, ledger)
    return False


async def _thaw_all(agent: Agent, ledger: Ledger) -> None:
    thaw = Thaw(ledger.generation - 1, ledger.recount)
    limits.thaw(agent.limits.holder, thaw)
    await send_to_all(agent, thaw)


RECOUNT_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    Freeze: handle_freeze,
    Held: handle_held,
    Thaw: handle_thaw,
    LedgerNews: handle_ledger_news,
    Heartbeat: handle_heartbeat_ledger,
}
