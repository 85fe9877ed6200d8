"""Serve calls through a peer while this instance reaches no replica.

The peer treats a relayed call as its caller's own: it checks the key, charges the limits
and chooses the replica, so that nothing is counted twice.  A relayed call is not relayed
again.
"""

from __future__ import annotations

import time

from catkintrack.decisions.ejection import is_ejected
from catkintrack.fleet import Call
from catkintrack.http import (
    Address,
    Connection,
    Exchange,
    UpstreamDisconnected,
    UpstreamExchangeError,
    UpstreamUnreachable,
    open_exchange,
)
from catkintrack.platform import (
    is_relayed,
    make_relayed_request,
    make_response_headers,
    parse_response_headers,
)

from .attempts import CallProgress, check_response
from .late_calls import check_caller_waits, check_time_left
from .peers import list_live_peers
from .refusals import OutcomeUnknown
from .state import Instance, Peer

# Peers that are tried for one call, each before anything was sent to it.
MAX_PEERS = 2
# The peer's deadline is this much before the call's, so that its answer arrives.
DEADLINE_MARGIN_S = 0.03
MIN_REMAINING_S = 0.05
REFUSED_STATUS = 503
# After a peer's refusal, how long calls to that service are not relayed unless this
# instance reaches no replica at all, or peers have served such calls just before.
REFUSED_PAUSE_S = 0.5
# How long a peer that has refused a call to a service is asked after the others.
PEER_REFUSED_MEMORY_S = 2.0
# How long an answer through a peer shows that peers reach the service's replicas.
SERVED_MEMORY_S = 1.0


def may_relay(instance: Instance, call: Call, progress: CallProgress) -> bool:
    """Report whether a call may be relayed: it has not run, and no replica is reached."""
    if progress.may_have_run or is_relayed(call):
        return False
    if instance.partition.is_cut_off:
        return True
    now = time.monotonic()
    if _are_peers_refusing(instance, call.service, now):
        return False
    return progress.unreachable_attempts > 0 or is_out_of_reach(instance, call, now)


def _are_peers_refusing(instance: Instance, service: str, now: float) -> bool:
    """Report whether peers seem to refuse all calls to a service.

    Replicas that are lost to all instances would double the refusals' cost.
    """
    refused_at = instance.relay_refused_at_by_service.get(service, -1e9)
    served_at = instance.relay_served_at_by_service.get(service, -1e9)
    is_served = now - served_at < SERVED_MEMORY_S
    return now - refused_at < REFUSED_PAUSE_S and not is_served


def is_out_of_reach(instance: Instance, call: Call, now: float) -> bool:
    """Report whether no replica that a call may get can be reached from here.

    Those that accepted no connection are ejected, so that no call tries them meanwhile.
    """
    if instance.partition.is_cut_off:
        return True
    has_replica = False
    for upstream in instance.upstream_by_id.values():
        if upstream.service != call.service or upstream.is_draining:
            continue
        row = instance.decisions.upstream_by_name.get(
            upstream.id
        ) or instance.services.row_by_name.get(upstream.id)
        if row is None or not (row.is_unreachable and is_ejected(row, now)):
            return False
        has_replica = True
    return has_replica


def should_relay(instance: Instance, call: Call, progress: CallProgress) -> bool:
    """Report whether a peer may serve a call for which no replica is in reach."""
    return (
        may_relay(instance, call, progress)
        and is_out_of_reach(instance, call, time.monotonic())
        and bool(choose_peers(instance, call.service))
    )


async def relay_call(
    instance: Instance, call: Call, progress: CallProgress, connection: Connection
) -> bool:
    """Serve a call through a peer; report False if nothing was sent to any.

    Raise OutcomeUnknown if the peer broke off: the call may have run.
    """
    for peer in choose_peers(instance, call.service)[:MAX_PEERS]:
        remaining_s = call.deadline_at - time.monotonic() - DEADLINE_MARGIN_S
        if remaining_s < MIN_REMAINING_S:
            return False
        port = peer.callers_port or instance.site.callers.port
        progress.record_attempt(peer.instance, is_relay=True)
        try:
            async with open_exchange(
                instance.pool, Address(peer.host, port), force_new=True
            ) as exchange:
                check_caller_waits(connection)
                check_time_left(call, progress.may_have_run, time.monotonic())
                progress.may_have_run = True
                remaining_s = call.deadline_at - time.monotonic() - DEADLINE_MARGIN_S
                await exchange.send(make_relayed_request(call, remaining_s))
                status = await _forward_answer(call, progress, exchange, connection)
        except UpstreamUnreachable as error:
            progress.record_outcome(f"peer unreachable: {error}")
            continue
        except UpstreamExchangeError as error:
            progress.record_outcome(f"peer broke off: {error}")
            raise OutcomeUnknown("the answer through a peer was cut") from error
        if status == REFUSED_STATUS:
            refused_at = time.monotonic()
            instance.relay_refused_at_by_service[call.service] = refused_at
            peer.refused_at_by_service[call.service] = refused_at
        elif status < 300:
            instance.relay_served_at_by_service[call.service] = time.monotonic()
        instance.metrics.relayed_calls.inc({"peer": peer.instance})
        progress.record_outcome("relayed")
        return True
    return False


def choose_peers(instance: Instance, service: str) -> list[Peer]:
    """Return the peers that reach replicas, those of the own availability zone first.

    Those that have just refused a call to the service come after the others.
    """
    now = time.monotonic()
    peers = [
        peer
        for peer in list_live_peers(instance, now)
        if not peer.is_cut_off and not peer.is_leaving
    ]
    instance.rng.shuffle(peers)

    def sort_key(peer: Peer) -> tuple[bool, bool]:
        refused_at = peer.refused_at_by_service.get(service, -1e9)
        has_refused = now - refused_at < PEER_REFUSED_MEMORY_S
        return has_refused, peer.zone != instance.site.zone

    return sorted(peers, key=sort_key)


def _find_remaining_s(call: Call) -> float:
    return max(0.0, call.deadline_at - time.monotonic())


async def _forward_answer(
    call: Call, progress: CallProgress, exchange: Exchange, connection: Connection
) -> int:
    """Forward a peer's answer as it arrives, and return its status.

    Raise UpstreamExchangeError if it is incomplete, or a success that is not to this call.
    """
    head = await exchange.read_head(_find_remaining_s(call) + DEADLINE_MARGIN_S)
    if head.status < 300:
        check_response(call, parse_response_headers(head))
    progress.first_byte_at = time.monotonic()
    headers = make_response_headers(head)
    if not call.route.is_stream or head.status != 200:
        body = await exchange.read_body(_find_remaining_s(call) + DEADLINE_MARGIN_S)
        if head.is_close_delimited:
            raise UpstreamDisconnected("the answer has no length")
        await connection.respond(head.status, headers, body)
        return head.status
    if head.is_close_delimited:
        raise UpstreamDisconnected("the stream has no end of its own")
    await connection.start_response(head.status, headers)
    while True:
        part = await exchange.read_body_part(
            _find_remaining_s(call) + DEADLINE_MARGIN_S
        )
        if part is None:
            break
        await connection.send_body(part)
    await connection.finish_response()
    return head.status
