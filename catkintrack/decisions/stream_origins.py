"""Decide at which software version of a service a broken stream may be resumed.

What two versions write doesn't fit together.  While one version of a service is seen,
every stream began there.  Otherwise it depends on what is known of the attempt that
brought the stream's first event, its origin.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

# Origins known of, own and others'; far more than streams are resumable at a time.
MAX_ORIGINS = 32768
# Lives of replicas whose version is remembered under its unconfirmed name.
MAX_UNCONFIRMED = 4096
# How long after its first event a stream may be resumed, until routes are known.
DEFAULT_LIFETIME_S = 20.0


@dataclass(frozen=True, slots=True)
class Origin:
    """Hold the service and software version at which a stream began.

    `is_own` is set if this instance has relayed its first event.
    """

    service: str
    version: str
    expires_at: float
    is_own: bool = False


@dataclass(slots=True)
class StreamOrigins:
    """Hold the known origins by hash, and the versions seen of each service.

    `seen_at_by_version` holds by service when each version was last in discovery, in
    seconds.  `version_by_unconfirmed` holds the versions in the entries of replicas'
    incarnations whose version was unknown at first.
    """

    origin_by_hash: OrderedDict[int, Origin] = field(default_factory=OrderedDict)
    seen_at_by_version: dict[str, dict[str, float]] = field(default_factory=dict)
    version_by_unconfirmed: OrderedDict[str, str] = field(default_factory=OrderedDict)


@dataclass(frozen=True, slots=True)
class UnknownOrigin:
    """Report that a stream may have begun at any of several versions."""


def hash_origin(workspace: str, request_id: bytes) -> int:
    """Return the hash of an attempt's request ID, which is its workspace's own."""
    digest = hashlib.blake2b(digest_size=8, person=b"origin")
    digest.update(b"%d:" % len(workspace))
    digest.update(workspace.encode())
    digest.update(request_id)
    return int.from_bytes(digest.digest(), "big")


def name_unconfirmed_version(upstream: str, incarnation: int) -> str:
    """Return the name for the version of an incarnation that has no entry yet.

    It counts as a version of its own: a stream continues in that incarnation only.
    """
    return f"{upstream}/{incarnation}"


def name_unknown_version(key: int) -> str:
    """Return the name for a version of which nothing is known; no replica has it."""
    return f"unknown/{key:016x}"


def resolve_version(
    origins: StreamOrigins, service: str, unconfirmed: str, version: str
) -> None:
    """Record which version an unconfirmed one has turned out to be."""
    origins.seen_at_by_version.get(service, {}).pop(unconfirmed, None)
    origins.version_by_unconfirmed[unconfirmed] = version
    origins.version_by_unconfirmed.move_to_end(unconfirmed)
    while len(origins.version_by_unconfirmed) > MAX_UNCONFIRMED:
        origins.version_by_unconfirmed.popitem(last=False)


def observe_versions(
    origins: StreamOrigins, pairs: Iterable[tuple[str, str]], now: float
) -> None:
    """Record the (service, version) pairs that are in discovery now."""
    for service, version in pairs:
        version = origins.version_by_unconfirmed.get(version, version)
        origins.seen_at_by_version.setdefault(service, {})[version] = now


def forget_versions(origins: StreamOrigins, lifetime_s: float, now: float) -> None:
    """Forget versions and origins that no stream can have any more."""
    for service, seen_at in list(origins.seen_at_by_version.items()):
        for version in [v for v, at in seen_at.items() if now - at > lifetime_s]:
            del seen_at[version]
        if not seen_at:
            del origins.seen_at_by_version[service]
    rows = origins.origin_by_hash
    while rows:
        oldest = next(iter(rows))
        if rows[oldest].expires_at > now and len(rows) <= MAX_ORIGINS:
            return
        del rows[oldest]


def is_mixed(origins: StreamOrigins, service: str) -> bool:
    """Report whether several versions of a service serve or did so lately."""
    return len(origins.seen_at_by_version.get(service, ())) > 1


def record_origin(origins: StreamOrigins, key: int, origin: Origin) -> None:
    """Record where a stream began; what this instance knows by itself stays."""
    known = origins.origin_by_hash.get(key)
    if known is not None and known.is_own:
        return
    origins.origin_by_hash[key] = origin
    origins.origin_by_hash.move_to_end(key)


def replace_origin(origins: StreamOrigins, key: int, origin: Origin) -> None:
    """Record what has turned out to be the origin of a stream."""
    origins.origin_by_hash[key] = origin
    origins.origin_by_hash.move_to_end(key)


def find_software_version(
    origins: StreamOrigins, service: str, key: int | None
) -> str | UnknownOrigin | None:
    """Return the version at which a stream may be resumed, None if any.

    `key` is the hash of its origin, None if the caller names none.
    """
    if is_origin_known(origins, service, key):
        known = origins.origin_by_hash[key]
        return origins.version_by_unconfirmed.get(known.version, known.version)
    versions = origins.seen_at_by_version.get(service, {})
    if len(versions) > 1:
        return UnknownOrigin()
    return next(iter(versions), None)


def is_origin_known(origins: StreamOrigins, service: str, key: int | None) -> bool:
    """Report whether the attempt that began a stream is known."""
    known = None if key is None else origins.origin_by_hash.get(key)
    return known is not None and known.service == service


def list_origins_to_store(
    origins: StreamOrigins, now: float
) -> dict[str, dict[str, list[int]]]:
    """Return this instance's origins of mixed services, by service and version."""
    found: dict[str, dict[str, list[int]]] = {}
    for key, origin in origins.origin_by_hash.items():
        is_due = origin.is_own and origin.expires_at > now
        if is_due and is_mixed(origins, origin.service):
            by_version = found.setdefault(origin.service, {})
            by_version.setdefault(origin.version, []).append(key)
    return found
