"""Define the messages between instances; any may be lost."""

from __future__ import annotations

from typing import Any

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Name a message by its type when encoded."""


class PeerRow(msgspec.Struct, frozen=True, array_like=True):
    """Locate an instance that its sender hears."""

    instance: str
    zone: str
    host: str
    port: int


class LeaseRow(msgspec.Struct, frozen=True, array_like=True):
    """Carry the lease record that its holder, or a peer, last saw."""

    holder: str
    incarnation: int
    fencing: int
    revision: int


class GossipMessage(PeerMessage, frozen=True, tag="News"):
    """Tell peers that the sender lives, what it knows, and what it has used.

    The tables hold what has changed since the last news, or everything where
    `is_full`.  `is_store_heard` says that the sender's view of the store is current,
    `is_asking` that it hears nobody yet and wants to be told all.
    """

    instance: str
    zone: str
    incarnation: int
    host: str
    port: int
    is_store_heard: bool
    is_leaving: bool
    is_full: bool
    is_asking: bool
    link_mbps: float
    peers: tuple[PeerRow, ...]
    config_revision: int
    upstreams_revision: int
    named_weights: dict[str, tuple[tuple[int, float], ...]]
    version_by_upstream: dict[str, tuple[str, int]]
    used_by_workspace: dict[str, int]
    level_by_workspace: dict[str, int]
    in_flight_by_upstream: dict[str, int]
    lease: LeaseRow | None


class ZoneRelay(PeerMessage, frozen=True, tag="Relayed"):
    """Carry a message that the receiver passes on within its availability zone."""

    data: bytes


class BatchedMessage(msgspec.Struct, frozen=True, array_like=True):
    """Hold an encoded message and the instance that sent it first."""

    origin: str
    data: bytes


class HubRelay(PeerMessage, frozen=True, tag="Handed"):
    """Hand a message to the hub of one's zone, which passes it on to the fleet."""

    origin: str
    data: bytes


class Batch(PeerMessage, frozen=True):
    """Carry what a hub has gathered, to its zone or to the hub of another zone."""

    hub: str
    is_for_hub: bool
    messages: tuple[BatchedMessage, ...]


class Pull(PeerMessage, frozen=True):
    """Ask a peer for what it read from the store."""

    host: str
    port: int
    wants_config: bool
    wants_upstreams: bool


class StoredConfig(PeerMessage, frozen=True):
    """Carry the configuration as the store holds it."""

    revision: int
    spec: Any


class StoredUpstreams(PeerMessage, frozen=True):
    """Carry all discovery entries as of a revision of the store."""

    revision: int
    spec_by_id: dict[str, Any]


class UpstreamsChanged(PeerMessage, frozen=True):
    """Carry what changed in the discovery entries between two revisions.

    Entries in `gone` may have lapsed only because the store was away.
    """

    since: int
    revision: int
    spec_by_id: dict[str, Any]
    gone: tuple[str, ...]
    may_have_lapsed: bool


class LoadBegun(PeerMessage, frozen=True):
    """Tell that a replica was ordered to load weights, and how long it takes."""

    upstream: str
    model: str
    version: int
    ready_in_s: float


class PrefillBegun(PeerMessage, frozen=True):
    """Tell that a long prefill was sent to a replica."""

    id: str
    upstream: str
    blocks: tuple[int, ...]
    tokens: int
    priority: int


class PrefillEnded(PeerMessage, frozen=True):
    """Tell that a prefill has ended; no incarnation if it failed.

    `kept` are the blocks that the replica has sent to the store, with their weights.
    """

    id: str
    incarnation: str
    version: int = 0
    kept: tuple[int, ...] = ()


class CacheStoreCleared(PeerMessage, frozen=True, tag="StoreEmptied"):
    """Tell that the store of kept cache has restarted empty."""


class CacheStoreChanged(PeerMessage, frozen=True, tag="StoreChanged"):
    """Tell which blocks the store of kept cache has gained, or lost."""

    version: int
    is_stored: bool
    blocks: tuple[int, ...]


AnyPeerMessage = (
    CacheStoreCleared
    | CacheStoreChanged
    | GossipMessage
    | ZoneRelay
    | HubRelay
    | Batch
    | Pull
    | StoredConfig
    | StoredUpstreams
    | UpstreamsChanged
    | LoadBegun
    | PrefillBegun
    | PrefillEnded
)

_decoder = msgspec.msgpack.Decoder(AnyPeerMessage)


def encode_peer_message(message: PeerMessage) -> bytes:
    """Return the message's bytes."""
    return msgspec.msgpack.encode(message)


def decode_peer_message(data: bytes) -> AnyPeerMessage:
    """Return the message in `data`; raise msgspec.DecodeError."""
    return _decoder.decode(data)
