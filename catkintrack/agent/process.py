"""Run the agent, the process of an instance that coordinates with its peers."""

from __future__ import annotations

import logging
import time
from random import Random
from typing import Any

import curio
import fire
import zmq
from fire.decorators import SetParseFn

from catkintrack.http import Address, Pool
from catkintrack.limits import ShareHolder
from catkintrack.links import (
    MemberNews,
    bind_authenticator,
    bind_link,
    open_context,
    run_authenticator,
)
from catkintrack.membership import MemberTable, announce_leave, list_ring
from catkintrack.objects import PlatformClient
from catkintrack.processes import (
    PauseDetector,
    SettingsFiles,
    catch_signals,
    make_settings_reload,
    open_ops_server,
    run_restarting,
    wait_for_stop_signal,
    watch_files,
)
from catkintrack.processes.links import read_link_keys
from catkintrack.processes.startup import run_process
from catkintrack.settings import Settings

from .borrowing import rebalance_shares
from .config_feed import CONFIG_HANDLER_BY_TYPE, poll_instances, watch_config_head
from .dump import dump_agent, is_agent_ready
from .engine_feeds import push_load_reports
from .lending import (
    LENDING_HANDLER_BY_TYPE,
    hand_over_shares,
    resend_unacknowledged_grants,
)
from .mesh import (
    MEMBERSHIP_HANDLER_BY_TYPE,
    MeshHandler,
    make_heartbeat,
    make_mesh_receiver,
    run_membership,
    send_to_peer,
)
from .metrics import make_agent_metrics
from .recounting import RECOUNT_HANDLER_BY_TYPE, maintain_ledger
from .routers import (
    PREFILL_HANDLER_BY_TYPE,
    expire_router_sessions,
    make_router_receiver,
)
from .state import Agent, LimitState

logger = logging.getLogger(__name__)

# Leaves a new agent time to discover its peers, so that its recount includes them.
FIRST_RECOUNT_DELAY_S = 0.5

HANDLER_TABLES = (
    MEMBERSHIP_HANDLER_BY_TYPE,
    CONFIG_HANDLER_BY_TYPE,
    LENDING_HANDLER_BY_TYPE,
    RECOUNT_HANDLER_BY_TYPE,
    PREFILL_HANDLER_BY_TYPE,
)


def make_agent(settings: Settings, context: zmq.Context) -> Agent:
    """Return a new agent, without configuration or known peers."""
    incarnation = time.time_ns() // 1_000_000
    now = time.monotonic()
    own_news = MemberNews(
        instance=settings.instance.id,
        incarnation=incarnation,
        version=0,
        is_alive=True,
        zone=settings.instance.zone,
        mesh_host=str(settings.agent.mesh.host),
        mesh_port=settings.agent.mesh.port,
        routers_host=str(settings.agent.routers.host),
        routers_port=settings.agent.routers.port,
    )
    endpoint = settings.platform.endpoint
    platform = PlatformClient(
        Address(str(endpoint.host), endpoint.port), settings.platform.timeout_s
    )
    return Agent(
        settings=settings,
        incarnation=incarnation,
        context=context,
        keys=read_link_keys(settings),
        platform=platform,
        members=MemberTable(own_news),
        limits=LimitState(
            ShareHolder(settings.instance.id, incarnation),
            next_recount_at=now + FIRST_RECOUNT_DELAY_S,
        ),
        rng=Random(f"{settings.instance.id}/{incarnation}"),
        metrics=make_agent_metrics(),
        upstream_pool=Pool(),
        pause_detector=PauseDetector(now),
        started_at=now,
    )


def collect_mesh_handlers() -> dict[type, list[MeshHandler]]:
    """Return the handlers of each message type, in the order of the tables."""
    handlers_by_type: dict[type, list[MeshHandler]] = {}
    for table in HANDLER_TABLES:
        for message_type, handler in table.items():
            handlers_by_type.setdefault(message_type, []).append(handler)
    return handlers_by_type


async def run_agent(settings: Settings, files: SettingsFiles) -> None:
    """Run an agent until a stop signal, then shut down gracefully.

    The settings `files` are loaded again when they change.
    """
    with catch_signals() as signals, open_context() as context:
        agent = make_agent(settings, context)
        reload = make_settings_reload(
            files.paths, settings, lambda changed: apply_settings(agent, changed)
        )
        authenticator = bind_authenticator(context)
        _bind_links(agent)
        tasks: list[Any] = [
            (run_authenticator, authenticator, agent.keys),
            agent.mesh.run,
            agent.routers.run,
            (run_membership, agent),
            (watch_config_head, agent),
            (poll_instances, agent),
            (push_load_reports, agent),
            (resend_unacknowledged_grants, agent),
            (maintain_ledger, agent),
            (rebalance_shares, agent),
            (expire_router_sessions, agent),
            (watch_files, files, reload),
        ]
        for task in tasks:
            function_and_arguments = task if isinstance(task, tuple) else (task,)
            await curio.spawn(run_restarting, *function_and_arguments, daemon=True)
        ops = settings.agent.ops
        async with open_ops_server(
            str(ops.host),
            ops.port,
            agent.metrics.registry,
            lambda: is_agent_ready(agent),
            lambda: dump_agent(agent),
        ):
            logger.info("agent started", extra={"incarnation": agent.incarnation})
            await wait_for_stop_signal(signals, reload)
            await _shut_down(agent)
        logger.info("agent stopped")


def apply_settings(agent: Agent, settings: Settings) -> None:
    """Apply changed settings to a running agent."""
    agent.settings = settings
    agent.platform.timeout_s = settings.platform.timeout_s


def _bind_links(agent: Agent) -> None:
    mesh = agent.settings.agent.mesh
    routers = agent.settings.agent.routers
    agent.mesh = bind_link(
        agent.context,
        agent.keys,
        str(mesh.host),
        mesh.port,
        make_mesh_receiver(agent, collect_mesh_handlers()),
    )
    agent.routers = bind_link(
        agent.context,
        agent.keys,
        str(routers.host),
        routers.port,
        make_router_receiver(agent),
    )


async def _shut_down(agent: Agent) -> None:
    """Hand over the shares and announce the departure to all live peers."""
    agent.is_stopping = True
    await hand_over_shares(agent)
    announce_leave(agent.members)
    for instance in list_ring(agent.members):
        await send_to_peer(agent, instance, make_heartbeat(agent))
    await curio.sleep(0.1)


@SetParseFn(str, "settings")
def start(settings: str) -> None:
    """Run an agent.

    Args:
        settings: Comma-separated settings files; later files override earlier ones.
    """
    run_process(settings, "agent", run_agent)


def main() -> None:
    """Run the agent's command line."""
    fire.Fire(start)
