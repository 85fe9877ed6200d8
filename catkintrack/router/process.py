"""Run the router, the process of an instance that proxies callers' requests."""

from __future__ import annotations

import logging
import time
from random import Random

import curio
import fire
import zmq
from fire.decorators import SetParseFn

from catkintrack.calls import run_ticks
from catkintrack.http import (
    ByteBudget,
    ClientLimits,
    Connection,
    Pool,
    Request,
    ServerLimits,
    drain_server,
    find_max_held_bytes,
    open_server,
)
from catkintrack.links import open_context
from catkintrack.processes import (
    PauseDetector,
    SettingsFiles,
    catch_signals,
    make_settings_reload,
    open_ops_server,
    wait_for_stop_signal,
    watch_files,
)
from catkintrack.processes.links import read_link_keys
from catkintrack.processes.startup import run_process
from catkintrack.settings import Settings

from .agent_links import list_live_agents, run_agent_links
from .calls import handle_call
from .dump import dump_router, is_router_ready
from .metrics import make_router_metrics
from .refusals import answer_malformed
from .state import Router

logger = logging.getLogger(__name__)

READY_POLL_INTERVAL_S = 0.02


def make_router(settings: Settings, context: zmq.Context) -> Router:
    """Return a new router, without configuration or connected agents."""
    incarnation = time.time_ns() // 1_000_000
    name = f"{settings.instance.id}:{settings.router.listen.port}"
    return Router(
        settings=settings,
        name=name,
        incarnation=incarnation,
        context=context,
        keys=read_link_keys(settings),
        pool=Pool(
            make_client_limits(settings),
            budget=ByteBudget(
                find_max_held_bytes(settings.router.upstreams.max_body_bytes)
            ),
        ),
        rng=Random(f"{name}/{settings.router.placement.seed}"),
        metrics=make_router_metrics(),
        pause_detector=PauseDetector(time.monotonic()),
    )


async def run_router(settings: Settings, files: SettingsFiles) -> None:
    """Run a router until a stop signal, then drain its open calls.

    The settings `files` are loaded again when they change.
    """
    with catch_signals() as signals, open_context() as context:
        router = make_router(settings, context)
        reload = make_settings_reload(
            files.paths, settings, lambda changed: apply_settings(router, changed)
        )
        await curio.spawn(watch_files, files, reload, daemon=True)
        logger.info("router started", extra={"incarnation": router.incarnation})
        await curio.spawn(run_agent_links, router, daemon=True)
        await curio.spawn(run_ticks, router.call_queue, daemon=True)
        ops = settings.router.ops
        listen = settings.router.listen

        async def handle(request: Request, connection: Connection) -> None:
            await handle_call(router, request, connection)

        async with open_ops_server(
            str(ops.host),
            ops.port,
            router.metrics.registry,
            lambda: is_router_ready(router),
            lambda: dump_router(router),
        ):
            stop_task = await curio.spawn(wait_for_stop_signal, signals, reload)
            await _wait_until_ready(router, stop_task)
            if stop_task.terminated:
                return
            async with open_server(
                str(listen.host),
                listen.port,
                handle,
                make_server_limits(router.settings),
                answer_malformed,
                budget=ByteBudget(
                    find_max_held_bytes(settings.router.callers.max_body_bytes)
                ),
            ) as server:
                router.server = server
                logger.info("router ready", extra={"port": server.port})
                await stop_task.join()
                router.is_stopping = True
                await drain_server(server)
        logger.info("router stopped")


def apply_settings(router: Router, settings: Settings) -> None:
    """Apply changed settings to a running router; open calls keep their limits."""
    router.settings = settings
    limits = make_client_limits(settings)
    router.pool.limits = limits
    router.pool.budget.max_bytes = find_max_held_bytes(limits.max_body_bytes)
    router.call_queue.policy = settings.router.placement.policy
    if router.server is not None:
        server_limits = make_server_limits(settings)
        router.server.limits = server_limits
        max_body_bytes = server_limits.max_body_bytes
        router.server.budget.max_bytes = find_max_held_bytes(max_body_bytes)


def make_client_limits(settings: Settings) -> ClientLimits:
    """Return the time and size limits for upstreams' responses."""
    upstreams = settings.router.upstreams
    return ClientLimits(
        upstreams.connect_timeout_s,
        upstreams.head_timeout_s,
        upstreams.read_timeout_s,
        upstreams.max_body_bytes,
    )


def make_server_limits(settings: Settings) -> ServerLimits:
    """Return the size, count and time limits for callers' connections."""
    callers = settings.router.callers
    return ServerLimits(
        max_head_bytes=callers.max_head_bytes,
        max_body_bytes=callers.max_body_bytes,
        max_connections=callers.max_connections,
        head_timeout_s=callers.head_timeout_s,
        body_timeout_s=callers.body_timeout_s,
        idle_timeout_s=callers.idle_timeout_s,
        write_timeout_s=callers.write_timeout_s,
    )


async def _wait_until_ready(router: Router, stop_task: curio.Task) -> None:
    """Wait until calls can be served, so that no early call is refused.

    That needs configuration, current keys and token limits, all from an agent, and
    another agent for when the own one ends.
    """
    while not stop_task.terminated:
        if (
            _are_limits_ready(router)
            and _is_other_agent_known(router)
            and is_router_ready(router)
        ):
            return
        await curio.sleep(READY_POLL_INTERVAL_S)


def _is_other_agent_known(router: Router) -> bool:
    """Report whether the router can link to another agent, if there is any.

    Only agents name others: a router whose own agent ends before serves nobody.
    """
    views = [agent.view for agent in router.agents if agent.view is not None]
    return len(router.agents) > 1 or not any(view.is_meeting_others for view in views)


def _are_limits_ready(router: Router) -> bool:
    """Report whether the own agent can reserve tokens, or another one in its place."""
    views = [agent.view for agent in list_live_agents(router, time.monotonic())]
    own = views[0] if views else None
    if own is None or own.are_limits_ready:
        return own is not None
    others = [view for view in views[1:] if view is not None]
    return own.is_joining_blocked and any(view.are_limits_ready for view in others)


@SetParseFn(str, "settings")
def start(settings: str) -> None:
    """Run a router.

    Args:
        settings: Comma-separated settings files; later files override earlier ones.
    """
    run_process(settings, "router", run_router)


def main() -> None:
    """Run the router's command line."""
    fire.Fire(start)
