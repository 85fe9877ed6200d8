"""Run an instance process: its servers, background tasks and graceful shutdown."""

from __future__ import annotations

import logging
import math
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import curio
import zmq
from returns.result import Failure, Success

from catkintrack.calls import run_ticks
from catkintrack.decisions.admission import AdmissionTable, forget_old_rows
from catkintrack.decisions.fleet_shares import forget_peer_totals
from catkintrack.decisions.shedding import LateQueue
from catkintrack.decisions.speeds import enable_speeds
from catkintrack.fleet import Feature, Site
from catkintrack.http import (
    DRAIN_READ_S,
    ByteBudget,
    ClientLimits,
    Connection,
    Pool,
    Request,
    Server,
    close_unsolicited,
    disable_keep_alive,
    drain_server,
    open_server,
)
from catkintrack.leases import Lease
from catkintrack.platform import ROLLOUT_KIND, StoreClient, get_settings_path, load_site
from catkintrack.pooling import PeerReports, PooledLimits, find_reporting
from catkintrack.processes import (
    EXIT_BAD_SETTINGS,
    DroppingHandler,
    RateLimitFilter,
    SettingsFiles,
    catch_signals,
    configure_logging,
    load_after_rewrite,
    log_suppressed_lines,
    observe_files,
    open_ops_server,
    run_restarting,
    wait_for_stop_signal,
    watch_files,
)
from catkintrack.timeouts import ignore_after
from catkintrack.transport import open_context

from .brittle_replicas import share_brittle_room
from .cache_store_feed import run_cache_store_feed
from .calls import handle_call
from .clocks import read_boot_clock
from .dump import dump_instance
from .ending_calls import bound_calls, end_calls
from .eras import follow_eras
from .feeds import list_watched_kinds, run_feed
from .fleet_state import remove_lapsed_upstreams
from .gossip import send_gossip
from .lease_keeper import release_lease, run_lease_keeper
from .mesh import estimate_report_delay_s, run_mesh
from .metrics import make_instance_metrics
from .partitions import probe_while_cut_off
from .pauses import limit_after_own_pause
from .peers import is_peer_live, list_limit_sharers, list_live_peers
from .probing import probe_suspects
from .quarantining import load_quarantine, store_quarantine_of_new_era
from .readiness import is_ready, open_readiness_server
from .refusals import respond_to_bad_request
from .reload import make_site_reload
from .replica_loads import observe_replicas
from .replica_signals import end_returned_rests, share_limits
from .retry_budgets import share_retry_budgets
from .rollout_news import send_rollout_news
from .rollout_orders import has_rollouts
from .rollouts import run_rollouts
from .slow_readers import make_server_limits, make_slow_readers
from .state import Instance
from .stream_origins import run_origin_keeper
from .weights_rollout import run_weights_rollout
from .zone_choices import report_zone_shares, switch_on_zones

logger = logging.getLogger(__name__)

# Replaces the longer default in decisions/tables.py, which routers use. A fraction of
# the shortest target for a first token: requests beyond this prefill backlog queue in
# the instance, where more urgent ones can overtake them.
MAX_PREFILL_WAIT_S = 0.2
CONNECT_TIMEOUT_S = 0.15
# Many calls wait in an instance where engines' queues are kept short, and each is placed
# again at each tick: longer than the default, and far below the shortest target.
ADMISSION_TICK_S = 0.03
# Share of the memory limit that one complete response may take.
MAX_BODY_MEMORY_SHARE = 1 / 32
# Share of the memory limit that all responses together may take, and all requests.  A
# body is copied when it is complete, and the system's buffers count too.
MAX_HELD_MEMORY_SHARE = 1 / 6
HOUSEKEEPING_INTERVAL_S = 0.25
LOG_SUMMARY_INTERVAL_S = 1.0
# Fraction of the operators' slack over a limit that a bucket holds after a restart.
RESTART_SLACK_SHARE = 0.5
# From the stop signal until no more calls are taken.  The load balancer checks readiness
# each second and removes an instance after two failed checks; calls that are sent
# later than 3 s after the signal are all to be served within the grace period.
ACCEPTING_S = 2.9
# Replicas respond to outstanding orders within this time.
ORDER_RESPONSE_S = 0.05
RELEASE_TIMEOUT_S = 0.5
# End of the grace period, reserved for the last responses after the drain and the end
# of the process.
STOP_MARGIN_S = 1.0


def make_instance(site: Site, context: zmq.Context) -> Instance:
    """Return an instance in its initial state, which knows only its site."""
    incarnation = time.time_ns() // 1_000_000
    name = f"{site.instance}/{incarnation}"
    limits = PooledLimits(
        _initial_level(site),
        time.monotonic(),
        known_instances=len(site.seeds) + 1,
        incarnation=incarnation,
        rng=Random(f"{name}/limits"),
    )
    instance = Instance(
        site=site,
        incarnation=incarnation,
        started_at=time.monotonic(),
        context=context,
        store=StoreClient(site.store),
        pool=Pool(
            ClientLimits(
                connect_timeout_s=CONNECT_TIMEOUT_S,
                max_body_bytes=round(site.memory_mb * 1e6 * MAX_BODY_MEMORY_SHARE),
            ),
            budget=_make_budget(site),
        ),
        rng=Random(name),
        metrics=make_instance_metrics(),
        limits=limits,
        lease=Lease(
            site.instance,
            incarnation,
            site.bounds.lease_s,
            started_at=read_boot_clock(),
        ),
    )
    follow_eras(instance)
    instance.decisions.zone = site.zone
    # An instance limits retries per service instead.
    instance.decisions.retry_budget = None
    instance.decisions.max_prefill_wait_s = MAX_PREFILL_WAIT_S
    switch_on_zones(instance)
    if Feature.ADMISSION in site.features:
        instance.decisions.admission = AdmissionTable()
        instance.call_queue.tick_s = ADMISSION_TICK_S
        enable_speeds(instance.decisions)
    else:
        instance.decisions.late_queue = LateQueue()
    if Feature.SLOW_READERS in site.features:
        instance.slow_readers = make_slow_readers(site)
    return instance


def _make_budget(site: Site) -> ByteBudget:
    """Return a bound for all responses together, or for all requests."""
    return ByteBudget(round(site.memory_mb * 1e6 * MAX_HELD_MEMORY_SHARE))


def _initial_level(site: Site) -> float:
    """Return what the fleet may use at first of a limit whose past usage is unknown.

    After a restart the burst may just have been spent, so the level is a share of the
    slack that the operators allow over the limit. The rest of the slack covers usage
    that peers have not reported yet.
    """
    if site.is_bootstrap:
        return math.inf
    return RESTART_SLACK_SHARE * site.bounds.limit_slack


Logs = tuple[RateLimitFilter, DroppingHandler]


async def run_instance(site: Site, logs: Logs, files: SettingsFiles) -> None:
    """Run an instance until a stop signal, then drain its calls."""
    with catch_signals() as signals, open_context() as context:
        instance = make_instance(site, context)
        logger.info("instance started", extra={"incarnation": instance.incarnation})
        async with _open_servers(instance) as server:
            await _spawn_tasks(instance)
            reload = make_site_reload(instance, files.paths[0])
            await curio.spawn(watch_files, files, reload, daemon=True)
            await curio.spawn(_log_suppressed_lines, logs, daemon=True)
            await wait_for_stop_signal(signals, reload)
            await _stop(instance, server)
        logger.info("instance stopped")


@asynccontextmanager
async def _open_servers(instance: Instance) -> AsyncIterator[Server]:
    site = instance.site

    async def handle(request: Request, connection: Connection) -> None:
        await handle_call(instance, request, connection)

    async with (
        open_server(
            site.callers.host,
            site.callers.port,
            handle,
            make_server_limits(site),
            respond_to_bad_request,
            cancels_on_disconnect=True,
            budget=_make_budget(site),
        ) as server,
        open_readiness_server(instance),
        open_ops_server(
            site.callers.host,
            site.metrics_port,
            instance.metrics.registry,
            lambda: is_ready(instance),
            lambda: dump_instance(instance),
        ),
    ):
        instance.server = server
        yield server


async def _spawn_tasks(instance: Instance) -> None:
    wake = curio.Event()

    async def on_change(kind: str) -> None:
        await wake.set()
        await send_gossip(instance)
        if kind == ROLLOUT_KIND:
            await send_rollout_news(instance)

    tasks: list[tuple[Any, ...]] = [
        (run_feed, instance, kind, on_change) for kind in list_watched_kinds(instance)
    ]
    tasks += [
        (run_mesh, instance),
        (load_quarantine, instance),
        (run_origin_keeper, instance),
        (run_ticks, instance.call_queue),
        (run_lease_keeper, instance),
        (run_weights_rollout, instance, wake),
        (run_cache_store_feed, instance),
        (probe_while_cut_off, instance),
        (_run_housekeeping, instance),
    ]
    if has_rollouts(instance.site):
        tasks.append((run_rollouts, instance))
    for task in tasks:
        await curio.spawn(run_restarting, *task, daemon=True)


async def _log_suppressed_lines(logs: Logs) -> None:
    """Log how many log lines were suppressed, at intervals, until cancelled."""
    while True:
        await curio.sleep(LOG_SUMMARY_INTERVAL_S)
        log_suppressed_lines(*logs)


async def _run_housekeeping(instance: Instance) -> None:
    while True:
        await curio.sleep(HOUSEKEEPING_INTERVAL_S)
        await keep_house(instance)


async def keep_house(instance: Instance) -> None:
    """Drop lapsed upstreams, probe silent ones, close odd connections, count peers."""
    now = time.monotonic()
    limit_after_own_pause(instance, read_boot_clock(), now)
    remove_lapsed_upstreams(instance, now)
    await store_quarantine_of_new_era(instance)
    end_returned_rests(instance, now)
    await probe_suspects(instance)
    await close_unsolicited(instance.pool)
    sharers = list_limit_sharers(instance, now)
    share_limits(instance, [peer.instance for peer in sharers], now)
    share_brittle_room(instance, now)
    live_peers = [p for p in list_live_peers(instance, now) if not p.is_leaving]
    instance.decisions.router_count = len(live_peers) + 1
    instance.services.router_count = instance.decisions.router_count
    reporting_count, known_count = find_reporting(
        PeerReports(is_peer_live(peer, now), peer.is_leaving)
        for peer in instance.peer_by_address.values()
    )
    instance.limits.reporting_fraction = reporting_count / known_count
    instance.limits.known_instances = known_count
    instance.limits.report_delay_s = estimate_report_delay_s(instance)
    share_retry_budgets(instance, now)
    switch_on_zones(instance)
    report_zone_shares(instance)
    if instance.decisions.admission is not None:
        known = {peer.instance for peer in instance.peer_by_address.values()}
        forget_peer_totals(instance.decisions.admission.shares, known)
        forget_old_rows(instance.decisions, now)
    observe_replicas(instance, now)


async def _stop(instance: Instance, server: Server) -> None:
    """Announce the stop, serve calls until the load balancer reacts, then drain.

    Calls that still run at the end of the drain are answered, since a connection that
    closes without an answer does not say whether the call ran.
    """
    started_at = time.monotonic()
    end_at = started_at + instance.site.bounds.grace_s - STOP_MARGIN_S
    instance.is_stopping = True
    bound_calls(instance, end_at)
    logger.info("instance stopping", extra={"calls": server.active_requests})
    disable_keep_alive(server)
    await curio.sleep(ORDER_RESPONSE_S)
    await ignore_after(RELEASE_TIMEOUT_S, release_lease, instance)
    instance.full_gossip_at = -1e9
    await send_gossip(instance)
    server.accepts_until = started_at + ACCEPTING_S
    accepting_s = ACCEPTING_S - DRAIN_READ_S - (time.monotonic() - started_at)
    await curio.sleep(max(0.0, accepting_s))
    remaining_s = end_at - time.monotonic()
    await ignore_after(max(0.1, remaining_s), drain_server, server)
    await end_calls(instance)


def main() -> None:
    """Run an instance with the settings file that the platform wrote."""
    # A write to a closed connection fails with an error instead of ending the process.
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    path = get_settings_path()
    files = observe_files([path])
    match load_after_rewrite(lambda: load_site(path)):
        case Success(site):
            logs = configure_logging("INFO", "instance", site.instance, sys.stdout)
            curio.run(run_instance, site, logs, files)
        case Failure(error):
            print(f"{error.subject}: {error.reason}", file=sys.stderr)
            raise SystemExit(EXIT_BAD_SETTINGS)
