"""Define the data model of the fleet: configuration, upstreams, calls, caches."""

from .cache import CacheChange, CacheChangeBatch
from .calls import Call, Prompt, PromptPart
from .configuration import (
    CacheStore,
    CallerLimits,
    Configuration,
    EngineProfile,
    RateLimit,
    Route,
    Service,
    ServiceShare,
    Workspace,
    build_configuration,
    choose_service,
)
from .rollouts import RolloutOrder, RolloutState, RolloutStatus
from .site import Bounds, Feature, Site
from .upstreams import (
    ModelWeights,
    ReplicaLoad,
    SwapMode,
    Upstream,
    UpstreamReport,
    WeightsOrder,
)

__all__ = [
    "Bounds",
    "CacheChange",
    "CacheChangeBatch",
    "CacheStore",
    "Call",
    "CallerLimits",
    "Configuration",
    "EngineProfile",
    "Feature",
    "ModelWeights",
    "Prompt",
    "PromptPart",
    "ReplicaLoad",
    "RolloutOrder",
    "RolloutState",
    "RolloutStatus",
    "Route",
    "Service",
    "ServiceShare",
    "Site",
    "SwapMode",
    "RateLimit",
    "Upstream",
    "UpstreamReport",
    "WeightsOrder",
    "Workspace",
    "build_configuration",
    "choose_service",
]
