"""Keep in the store where streams began while versions of the software are mixed.

Any instance can then resume a stream at the version that began it, also after all
instances were killed at once.  While each service has one version nothing is stored.
"""

from __future__ import annotations

import itertools
import logging
import time

import curio
import msgspec
from returns.result import Failure, Success

from catkintrack.decisions.stream_origins import (
    DEFAULT_LIFETIME_S,
    Origin,
    UnknownOrigin,
    find_software_version,
    forget_versions,
    hash_origin,
    is_mixed,
    is_origin_known,
    list_origins_to_store,
    name_unknown_version,
    observe_versions,
    record_origin,
    replace_origin,
)
from catkintrack.fleet import Call, Configuration, Upstream
from catkintrack.platform import (
    ObjectMissing,
    StoreConflict,
    StoredObject,
    create_object,
    delete_object,
    list_objects,
    replace_object,
)
from catkintrack.timeouts import ignore_after

from .attempts import CallProgress
from .lives import is_version_unconfirmed
from .peers import find_rank, list_live_peers
from .refusals import NotServed, OutcomeUnknown
from .state import Instance
from .version_choice import is_version_over

logger = logging.getLogger(__name__)

ORIGINS_KIND = "catkintrack-streams"
# A stream is resumed until its caller's deadline, which lies a little after its route's
# timeout at most.
LIFETIME_MARGIN_S = 5.0
# Delay of a write, in which further streams begin, and between reads for unknown streams.
MIN_WRITE_INTERVAL_S = 0.2
MIN_READ_INTERVAL_S = 0.05
# Shares of the store's rates that all instances together use.
WRITE_RATE_SHARE = 0.25
READ_RATE_SHARE = 0.1
CHECK_INTERVAL_S = 0.25
LOAD_RETRY_S = 0.3
# Longest wait for what the store knows of a stream, before the caller is refused.
LOOK_UP_MAX_S = 0.5
# Longest delay of a cut answer until its origin is stored.
FLUSH_MAX_S = 0.1
UNKNOWN_RETRY_S = 0.5
GONE_RETRY_S = 1.0
# Objects are deleted this long after the last stream in them could be resumed.
CLEANUP_DELAY_S = 10.0


class OriginsSpec(msgspec.Struct):
    """Represent the stored origins of one instance: hashes by service and version.

    The hashes are hexadecimal, since not all readers of JSON keep numbers of 64 bits.
    """

    streams: dict[str, dict[str, list[str]]] = {}


async def find_resumption_version(instance: Instance, call: Call) -> str | None:
    """Return the software version at which a call may run, None if any.

    Raise NotServed if the stream that it continues is unknown.
    """
    if call.last_event_id is None:
        return None
    key = None
    if call.resumed_id is not None:
        key = hash_origin(_get_workspace(call), call.resumed_id)
    until = min(time.monotonic() + LOOK_UP_MAX_S, call.deadline_at)
    if not instance.origin_store.is_loaded.is_set():
        await ignore_after(
            until - time.monotonic(), instance.origin_store.is_loaded.wait
        )
    found = find_software_version(instance.stream_origins, call.service, key)
    is_sure = is_origin_known(instance.stream_origins, call.service, key)
    if not is_sure and not (isinstance(found, UnknownOrigin) and key is None):
        # An instance that stood still, or was cut off, may know one of several versions.
        asked_at = time.monotonic()
        await ignore_after(max(0.0, until - asked_at), _look_up, instance)
        found = find_software_version(instance.stream_origins, call.service, key)
        is_sure = instance.origin_store.listed_at >= asked_at or _is_in_step(instance)
    if isinstance(found, UnknownOrigin) or not is_sure:
        raise NotServed("the stream's software version is unknown", UNKNOWN_RETRY_S)
    return found


def _is_in_step(instance: Instance) -> bool:
    """Report whether no live peer can know more of the fleet than this instance.

    While the store is away for all of them, none learns of another replica.
    """
    store = instance.origin_store
    peers = list_live_peers(instance, time.monotonic())
    if not store.is_loaded.is_set() or not peers:
        return False
    return not any(peer.is_store_heard for peer in peers)


def check_version_served(
    instance: Instance, call: Call, version: str | None, progress: CallProgress
) -> None:
    """Raise CallError if no replica serves at the software version of a stream."""
    if version is None or _is_version_served(instance, call.service, version):
        return
    reason = "no replica of the stream's software version serves"
    if progress.may_have_run:
        raise OutcomeUnknown(reason)
    raise NotServed(reason, GONE_RETRY_S)


def is_version_awaited(instance: Instance, call: Call, version: str | None) -> bool:
    """Report whether a stream's version serves nowhere, but a replica may turn out to.

    The entry of a replica that has started again tells its version soon.
    """
    if version is None or is_version_over(instance, call.service, version):
        return False
    return not _is_version_served(instance, call.service, version) and any(
        is_version_unconfirmed(upstream)
        for upstream in _list_serving(instance, call.service)
    )


def _is_version_served(instance: Instance, service: str, version: str) -> bool:
    return not is_version_over(instance, service, version) and any(
        upstream.software_version == version
        for upstream in _list_serving(instance, service)
    )


def _list_serving(instance: Instance, service: str) -> list[Upstream]:
    return [
        upstream
        for upstream in instance.upstream_by_id.values()
        if upstream.service == service and not upstream.is_draining
    ]


async def record_begun_stream(
    instance: Instance, call: Call, upstream: Upstream
) -> None:
    """Remember at which software version a stream's first event was written."""
    now = time.monotonic()
    key = hash_origin(_get_workspace(call), call.resumed_id or call.id)
    expires_at = now + instance.origin_store.lifetime_s
    version = upstream.software_version
    origin = Origin(call.service, version, expires_at, is_own=True)
    record_origin(instance.stream_origins, key, origin)
    if is_mixed(instance.stream_origins, call.service):
        instance.origin_store.has_changes = True
        await instance.origin_store.wake.set()


async def forget_origin(instance: Instance, call: Call) -> str:
    """Store that the version which began a stream is unknown; return its name."""
    key = hash_origin(_get_workspace(call), call.resumed_id or call.id)
    version = name_unknown_version(key)
    expires_at = time.monotonic() + instance.origin_store.lifetime_s
    origin = Origin(call.service, version, expires_at, is_own=True)
    replace_origin(instance.stream_origins, key, origin)
    instance.origin_store.has_changes = True
    _observe(instance)
    await flush_origins(instance, call)
    return version


def _get_workspace(call: Call) -> str:
    return call.workspace.name if call.workspace else ""


def find_lifetime_s(config: Configuration | None) -> float:
    """Return how long after its first event a stream may be resumed, in seconds."""
    if config is None:
        return DEFAULT_LIFETIME_S
    routes = itertools.chain.from_iterable(config.routes_by_host.values())
    timeouts_s = (route.timeout_s for route in routes if route.is_resumable)
    return max(timeouts_s, default=DEFAULT_LIFETIME_S) + LIFETIME_MARGIN_S


async def flush_origins(instance: Instance, call: Call) -> None:
    """Store the begun streams before the caller of a broken one can come back."""
    if is_mixed(instance.stream_origins, call.service):
        await ignore_after(FLUSH_MAX_S, _write_changes, instance)


async def run_origin_keeper(instance: Instance) -> None:
    """Load the stored origins, then store this instance's while versions are mixed."""
    await _load(instance)
    store = instance.origin_store
    while True:
        await ignore_after(CHECK_INTERVAL_S, store.wake.wait)
        store.wake.clear()
        was_mixed = store.is_mixed
        _observe(instance)
        if store.era < instance.store.era:
            # The store may have come back from an older copy, without them.
            store.era = instance.store.era
            store.has_changes = True
        if store.is_mixed:
            if store.has_changes or not was_mixed:
                await curio.sleep(_find_write_interval_s(instance))
                store.has_changes = True
                await _write_changes(instance)
        elif store.has_objects:
            await _clean_up(instance)


def _observe(instance: Instance) -> None:
    """Update which services have several software versions."""
    now = time.monotonic()
    origins = instance.stream_origins
    store = instance.origin_store
    store.lifetime_s = find_lifetime_s(instance.config)
    upstreams = [u for u in instance.upstream_by_id.values() if u.weights]
    observe_versions(origins, ((u.service, u.software_version) for u in upstreams), now)
    forget_versions(origins, store.lifetime_s, now)
    services = sorted(s for s in origins.seen_at_by_version if is_mixed(origins, s))
    if bool(services) != store.is_mixed:
        logger.info("software versions mixed", extra={"services": services})
    store.is_mixed = bool(services)
    if services:
        store.mixed_at = now
        store.has_objects = True


def _find_write_interval_s(instance: Instance) -> float:
    rate = WRITE_RATE_SHARE * instance.site.store_writes_per_s
    return max(MIN_WRITE_INTERVAL_S, _count_instances(instance) / max(1.0, rate))


def _find_read_interval_s(instance: Instance) -> float:
    rate = READ_RATE_SHARE * instance.site.store_reads_per_s
    return max(MIN_READ_INTERVAL_S, _count_instances(instance) / max(1.0, rate))


def _count_instances(instance: Instance) -> int:
    return len(list_live_peers(instance, time.monotonic())) + 1


async def _write_changes(instance: Instance) -> None:
    """Write this instance's origins, if there are new ones; one write at a time."""
    store = instance.origin_store
    async with store.write_lock:
        if not store.has_changes:
            return
        store.has_changes = False
        found = list_origins_to_store(instance.stream_origins, time.monotonic())
        if not found and not store.revision:
            return
        streams = {
            service: {
                version: [f"{key:016x}" for key in keys]
                for version, keys in by_version.items()
            }
            for service, by_version in found.items()
        }
        spec = msgspec.to_builtins(OriginsSpec(streams))
        is_written = False
        try:
            is_written = await _write(instance, spec)
        finally:
            # Also after a failure, or if the caller did not wait for the outcome.
            store.has_changes = store.has_changes or not is_written


async def _write(instance: Instance, spec: dict) -> bool:
    store = instance.origin_store
    name = f"{instance.site.instance}-{instance.incarnation}"
    if store.revision:
        outcome = await replace_object(
            instance.store, ORIGINS_KIND, name, spec, store.revision
        )
    else:
        outcome = await create_object(instance.store, ORIGINS_KIND, name, spec)
    match outcome:
        case Success(written):
            store.revision = written.revision
            return True
        case Failure(StoreConflict(revision=revision)):
            store.revision = revision
        case Failure(ObjectMissing()):
            store.revision = 0
        case Failure(error):
            logger.warning("begun streams not stored", extra={"reason": repr(error)})
    return False


async def _load(instance: Instance) -> None:
    """Learn the stored origins and the versions in them, retrying until it works."""
    while not await _read(instance):
        await curio.sleep(LOAD_RETRY_S * (0.5 + instance.rng.random()))
    _observe(instance)
    await instance.origin_store.is_loaded.set()


async def _look_up(instance: Instance) -> None:
    """Read the stored origins again, with a read that begins after this call."""
    store = instance.origin_store
    asked_at = time.monotonic()
    async with store.read_lock:
        if store.listed_at > asked_at:
            return
        due_at = store.read_at + _find_read_interval_s(instance)
        await curio.sleep(max(0.0, due_at - time.monotonic()))
        await _read(instance)


async def _read(instance: Instance) -> bool:
    store = instance.origin_store
    store.read_at = asked_at = time.monotonic()
    match await list_objects(instance.store, ORIGINS_KIND):
        case Success(listing):
            # An unchanged object may be of an instance that has ended.
            known = store.revision_by_object
            for row in listing.objects:
                if known.get(row.name) != row.revision:
                    _learn(instance, row)
            store.revision_by_object = {r.name: r.revision for r in listing.objects}
            store.listed_at = asked_at
            return True
        case Failure(error):
            logger.warning("begun streams not read", extra={"reason": repr(error)})
            return False


def _learn(instance: Instance, row: StoredObject) -> None:
    """Learn the origins in an object, and that their versions served."""
    try:
        spec = msgspec.convert(row.spec, OriginsSpec)
        keys = [
            (service, version, int(key, 16))
            for service, by_version in spec.streams.items()
            for version, texts in by_version.items()
            for key in texts
        ]
    except (msgspec.ValidationError, ValueError) as error:
        extra = {"object": row.name, "reason": str(error)}
        logger.error("stored streams invalid; they are not used", extra=extra)
        return
    now = time.monotonic()
    instance.origin_store.has_objects = True
    expires_at = now + instance.origin_store.lifetime_s
    for service, version, key in keys:
        record_origin(
            instance.stream_origins, key, Origin(service, version, expires_at)
        )
    pairs = {(service, version) for service, version, _ in keys}
    observe_versions(instance.stream_origins, pairs, now)


async def _clean_up(instance: Instance) -> None:
    """Delete all stored origins some time after versions were mixed.

    Only the first live instance does so.  Another one that still has streams to store
    creates its object again.
    """
    store = instance.origin_store
    now = time.monotonic()
    if now - store.mixed_at < CLEANUP_DELAY_S:
        return
    store.has_objects = False
    store.revision = 0
    if find_rank(instance, now) != 0:
        return
    match await list_objects(instance.store, ORIGINS_KIND):
        case Success(listing):
            for row in listing.objects:
                await delete_object(
                    instance.store, ORIGINS_KIND, row.name, row.revision
                )
        case Failure(error):
            store.has_objects = True
            logger.warning("begun streams not deleted", extra={"reason": repr(error)})
