"""Build a message of each type that instances send to each other."""

from __future__ import annotations

from catkintrack.instance.messages import (
    Batch,
    BatchedMessage,
    CacheStoreChanged,
    CacheStoreCleared,
    HubRelay,
    LeaseRow,
    LoadBegun,
    LoadEnded,
    PartsServed,
    PeerMessage,
    PeerRow,
    PrefillBegun,
    PrefillEnded,
    Pull,
    ReplicaLost,
    RolloutNews,
    RolloutRow,
    RouteAnswers,
    SharedLoad,
    StoredConfig,
    StoredUpstreams,
    UpstreamsChanged,
    ZoneRelay,
    encode_peer_message,
)

from .instances import make_config_spec, make_entry_spec
from .states import make_gossip


def make_peer_messages() -> list[PeerMessage]:
    """Return a message of each type, with a value in each field."""
    gossip = make_gossip(
        is_asking=True,
        peers=(PeerRow("n3", "z2", "127.0.0.1", 9001),),
        named_weights={"m1": ((2, 0.5), (1, 9.0))},
        version_by_upstream={"i-1": ("m1", 2)},
        used_by_workspace={"w1": 1200},
        level_by_workspace={"w1": 500},
        in_flight_by_upstream={"i-1": 3},
        lease=LeaseRow("n2", 5, 7, 11, 1, 8),
        quarantined={17: (3.0, 5.0)},
        era=1,
        config_era=1,
        upstreams_era=1,
        is_config_written=True,
        replaced_config=(1, 4),
        superseded_configs=(b"digest",),
        limited_upstreams=("i-2",),
        quarantined_contents={18: (2.0, 5.0)},
        callers_port=8606,
        is_cut_off=True,
        load_by_upstream={"i-3": (2, 1, 1.5, 40)},
        max_rejected_by_brittle={"i-3": 4},
        rejecting_brittle=("i-3",),
    )
    data = encode_peer_message(gossip)
    answers = RouteAnswers("long", True, 1, {3: 9})
    rollout = RolloutRow(
        "app", "v2", 8.0, 31, 1, 33, 2.0, "running", 2, 0.5, 7, 4, (answers,)
    )
    return [
        gossip,
        ZoneRelay(data),
        HubRelay("n2", data),
        Batch("n2", True, (BatchedMessage("n2", data),)),
        Pull("127.0.0.1", 9000, True, True),
        StoredConfig(12, make_config_spec(), 1, True, (b"digest",), (1, 4)),
        StoredUpstreams(13, {"i-1": make_entry_spec()}, 1),
        UpstreamsChanged(12, 13, {"i-1": make_entry_spec()}, ("i-2",), True, 1),
        LoadBegun("i-1", "m1", 2, 0.8, 7),
        LoadEnded("i-1", "m1", 2, 7),
        PrefillBegun("r1", "i-1", (1, 2), 800, 5, 900, 80),
        PrefillEnded("r1", "1000", 2, (1,), "kept", SharedLoad(2, 1, 1.5, 0.1, 1.2, 3)),
        ReplicaLost("i-1/1000", (17,), 18),
        PartsServed((17, 18)),
        CacheStoreCleared(True, "kept"),
        CacheStoreChanged(2, True, (1, 2), "kept", 1000),
        RolloutNews("n2", 5, (rollout,)),
    ]
