"""Access the platform's object API, which stores the configuration, claims and ledger."""

from .client import (
    InstanceRow,
    PlatformClient,
    VersionedObject,
    get_object,
    list_instances,
    put_object,
    watch_object,
)
from .config_store import ConfigChangeError, read_head, read_state, submit_change
from .errors import (
    NotFound,
    PlatformError,
    Rejected,
    ResponseLost,
    Unavailable,
    VersionMismatch,
)

__all__ = [
    "ResponseLost",
    "ConfigChangeError",
    "InstanceRow",
    "NotFound",
    "VersionedObject",
    "PlatformClient",
    "PlatformError",
    "Rejected",
    "Unavailable",
    "VersionMismatch",
    "get_object",
    "list_instances",
    "put_object",
    "read_head",
    "read_state",
    "submit_change",
    "watch_object",
]
