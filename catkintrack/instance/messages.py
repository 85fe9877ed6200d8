"""Define the messages between instances; their delivery is not guaranteed."""

from __future__ import annotations

from typing import Any

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Encode a message as an array that starts with its type name.

    Earlier builds send fewer fields: new ones come last and have defaults.
    A class with an explicit `tag` has another type name on the wire.
    """


class PeerRow(msgspec.Struct, frozen=True, array_like=True):
    """Locate a live peer of the sender."""

    instance: str
    zone: str
    host: str
    port: int


class LeaseRow(msgspec.Struct, frozen=True, array_like=True):
    """Carry the lease record that the sender last saw and the highest token it knows.

    `revision` 0 means that it knows no record in the store's `era`.
    """

    holder: str
    incarnation: int
    fencing: int
    revision: int
    era: int = 0
    highest_fencing: int = 0


class SharedLoad(msgspec.Struct, frozen=True, array_like=True):
    """Carry the load that a replica named at the end of a prefill, and the prefill's time.

    `slowdown` is 0 if it named none.  `prefill_s` is 0 if the prefill shows no speed;
    otherwise it ran at `mean_slowdown`, whose logarithm has the standard error `error`.
    """

    running: int
    waiting: int
    slowdown: float = 0.0
    prefill_s: float = 0.0
    mean_slowdown: float = 1.0
    error: float = 0.0


# Running and waiting calls, the slowdown (0 if none is named), and the age in ms.
GossipedLoad = tuple[int, int, float, int]


class GossipMessage(PeerMessage, frozen=True, tag="News"):
    """Announce that the sender is alive, with its fleet state and its limits' usage.

    The dictionaries hold the changes since the last gossip, or everything if `is_full`.
    `named_weights` holds each model's target weights, as (version, age in seconds).
    `era` is the highest era of the store that the sender has seen, 0 if none.
    `config_revision` is of `config_era`, `upstreams_revision` of `upstreams_era`; `is_config_written` and
    `replaced_config` (there `replaced`) are as in StoredConfig.
    `superseded_configs` are those of StoredConfig, in full gossip only.
    `is_store_heard` says that the sender's own view of the store is current,
    `is_asking` that it has no live peers yet and requests their full state.
    `limited_upstreams` are the replicas with a limit in which the sender has a share.
    `quarantined` holds the remaining and the whole seconds of each part's quarantine,
    `quarantined_contents` those of each content's.  `callers_port` is where the sender takes
    calls, `is_cut_off` says that it reaches no replica.  `load_by_upstream` holds the loads
    that replicas without engines have named to the sender of late, `max_rejected_by_brittle`
    the rejections in a second that brittle replicas have named to it, `rejecting_brittle`
    those of them that have rejected its requests of late.
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
    quarantined: dict[int, tuple[float, float]] = {}
    era: int = 0
    config_era: int = 0
    upstreams_era: int = 0
    is_config_written: bool = False
    replaced_config: tuple[int, int] = (0, 0)
    superseded_configs: tuple[bytes, ...] = ()
    limited_upstreams: tuple[str, ...] = ()
    quarantined_contents: dict[int, tuple[float, float]] = {}
    callers_port: int = 0
    is_cut_off: bool = False
    load_by_upstream: dict[str, GossipedLoad] = {}
    max_rejected_by_brittle: dict[str, int] = {}
    rejecting_brittle: tuple[str, ...] = ()


class ZoneRelay(PeerMessage, frozen=True, tag="Relayed"):
    """Carry a message that the receiver relays within its availability zone."""

    data: bytes


class BatchedMessage(msgspec.Struct, frozen=True, array_like=True):
    """Hold an encoded message and the instance that it originates from."""

    origin: str
    data: bytes


class HubRelay(PeerMessage, frozen=True, tag="Handed"):
    """Carry a message to the hub of the sender's zone, which relays it to the fleet."""

    origin: str
    data: bytes


class Batch(PeerMessage, frozen=True):
    """Carry the messages queued by a hub to its zone or to the hub of another zone."""

    hub: str
    is_for_hub: bool
    messages: tuple[BatchedMessage, ...]


class Pull(PeerMessage, frozen=True):
    """Request the configuration or discovery entries that a peer has."""

    host: str
    port: int
    wants_config: bool
    wants_upstreams: bool


class StoredConfig(PeerMessage, frozen=True):
    """Carry the configuration as it is stored, in an era of the store.

    `is_written` says that it was certainly written in that era; `superseded` are digests
    of those that were in force before it.  `replaced` is the era and revision at which
    the sender has found one that this one has certainly replaced, (0, 0) if none.
    """

    revision: int
    spec: Any
    era: int = 0
    is_written: bool = False
    superseded: tuple[bytes, ...] = ()
    replaced: tuple[int, int] = (0, 0)


class StoredUpstreams(PeerMessage, frozen=True):
    """Carry all discovery entries at a revision of the store in an era."""

    revision: int
    spec_by_id: dict[str, Any]
    era: int = 0


class UpstreamsChanged(PeerMessage, frozen=True):
    """Carry the changes of the discovery entries between two revisions of an era.

    With `may_have_lapsed`, entries in `gone` may be missing only because they lapsed
    during a store outage.
    """

    since: int
    revision: int
    spec_by_id: dict[str, Any]
    gone: tuple[str, ...]
    may_have_lapsed: bool
    era: int = 0


class LoadBegun(PeerMessage, frozen=True):
    """Announce that a replica will be ordered to load weights.

    It takes no calls until LoadEnded, or for `ready_in_s` if that message is lost.
    `fencing` is the token of the holder that orders it.
    """

    upstream: str
    model: str
    version: int
    ready_in_s: float
    fencing: int = 0


class LoadEnded(PeerMessage, frozen=True):
    """Announce that a replica takes calls again, and the weights that it runs.

    `fencing` is that of the load's LoadBegun.
    """

    upstream: str
    model: str
    version: int
    fencing: int = 0


class PrefillBegun(PeerMessage, frozen=True):
    """Announce that a long prefill was sent to a replica.

    Its request holds `held_tokens` in the end, `max_tokens` of them output; 0 if unknown.
    """

    id: str
    upstream: str
    blocks: tuple[int, ...]
    tokens: int
    priority: int
    held_tokens: int = 0
    max_tokens: int = 0


class PrefillEnded(PeerMessage, frozen=True):
    """Announce that a prefill has ended; `incarnation` is empty if it failed.

    `kept` are the blocks that the replica saves to the cache store `store`, `version` is
    that of the weights that computed them, `load` is what the replica named at its end.
    """

    id: str
    incarnation: str
    version: int = 0
    kept: tuple[int, ...] = ()
    store: str = ""
    load: SharedLoad | None = None


class ReplicaLost(PeerMessage, frozen=True):
    """Announce that a replica was lost before it had answered a request.

    `replica` identifies the incarnation.  `parts` are those of the prompt if the answer
    had begun without an event, `content` is 0 if it is not held responsible.
    """

    replica: str
    parts: tuple[int, ...]
    content: int = 0


class PartsServed(PeerMessage, frozen=True):
    """Announce parts and contents under suspicion that a replica has answered."""

    parts: tuple[int, ...]


class CacheStoreCleared(PeerMessage, frozen=True, tag="StoreEmptied"):
    """Announce that a cache store has restarted empty, or is gone from its address."""

    is_absent: bool = False
    store: str = ""


class CacheStoreChanged(PeerMessage, frozen=True, tag="StoreChanged"):
    """Announce which blocks a cache store has gained or lost."""

    version: int
    is_stored: bool
    blocks: tuple[int, ...]
    store: str = ""
    incarnation: int | None = None


class RouteAnswers(msgspec.Struct, frozen=True, array_like=True):
    """Carry the sender's answers of the new or the old version on a route.

    `whole_by_bucket` counts the whole answers by their time, see rollouts/counts.py.
    """

    route: str
    is_new: bool
    failed: int
    whole_by_bucket: dict[int, int]


class RolloutRow(msgspec.Struct, frozen=True, array_like=True):
    """Carry an order for a software version as the sender knows it.

    `era` and `revision` are those at which it knows the entry.  `fencing` is its token if
    it holds the lease, which makes `phase` a grant, else 0.  `old_in_flight` are its calls
    under way at other versions.
    """

    service: str
    version: str
    duration_s: float
    created: int
    era: int
    revision: int
    age_s: float
    state: str
    phase: int
    phase_age_s: float
    fencing: int
    old_in_flight: int
    answers: tuple[RouteAnswers, ...]


class RolloutNews(PeerMessage, frozen=True):
    """Carry the orders that run or have ended lately, and what the sender's calls show."""

    instance: str
    incarnation: int
    rows: tuple[RolloutRow, ...]


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
    | LoadEnded
    | PrefillBegun
    | PrefillEnded
    | ReplicaLost
    | PartsServed
    | RolloutNews
)

_decoder = msgspec.msgpack.Decoder(AnyPeerMessage)


def encode_peer_message(message: PeerMessage) -> bytes:
    """Return the encoded message."""
    return msgspec.msgpack.encode(message)


def decode_peer_message(data: bytes) -> AnyPeerMessage:
    """Return the message in `data`; raise msgspec.DecodeError if it is invalid."""
    return _decoder.decode(data)
