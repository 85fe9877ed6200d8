"""Define the platform's wire names: headers, paths, object kinds, field values."""

from __future__ import annotations

# HTTP header names, in lower case.
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
PROMPT_PARTS = b"x-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# The request ID of the attempt that brought a resumed stream's first event.
RESUMES = b"resumes"
RESPONSE_SIGNATURE = b"x-response-signature"
WORKSPACE = b"x-tenant"
# The ID of a replica, not of an instance of the router.
EXPECTED_UPSTREAM = b"x-expect-instance"
SERVER_LOAD = b"x-server-load"
NOT_RUN = b"x-not-executed"
# The ID of the replica that answers.
ANSWERING_UPSTREAM = b"x-instance-id"
SERVER_LEAVING = b"server-leaving"
# Requests a second that a replica takes from all instances together.
SERVER_LIMIT = b"server-limit"
# Rejections for want of room in a second, of all instances together, above which a
# replica ends.
SERVER_BRITTLE = b"server-brittle"
RETRY_AFTER = b"retry-after"
MODEL = b"x-model"
# Prompt tokens and maximum output tokens of a request, separated by a comma.
TOKEN_USAGE = b"x-token-usage"
CACHE_SALT = b"x-cache-salt"
PRIORITY = b"x-request-priority"
FETCH_FROM = b"x-kv-fetch-from"
SAVE_TO = b"x-kv-save-to"
WEIGHTS_VERSION = b"x-weight-versions"
EXPECTED_VERSION = b"x-expect-version"
PIN_MS = b"x-pin-ms"
HOLD = b"x-kv-hold"
BACKUP_TO = b"x-kv-backup"
CONTINUE_FROM = b"kv-from"
API_KEY = b"x-credential"
WAIT_MS = b"wait-ms"
# Set by an instance on a call that it relays to another one.
RELAYED = b"x-catkintrack-relayed"
# Rises by one when the store has come back from an older copy of itself.
STORE_ERA = b"store-era"

# Headers that only the router may set on requests to replicas; a caller's own are
# dropped.
ROUTER_HEADERS = frozenset(
    {
        DEADLINE_MS,
        WORKSPACE,
        EXPECTED_UPSTREAM,
        EXPECTED_VERSION,
        CACHE_SALT,
        PRIORITY,
        FETCH_FROM,
        SAVE_TO,
        PIN_MS,
        HOLD,
        BACKUP_TO,
        CONTINUE_FROM,
        API_KEY,
        RELAYED,
    }
)

READY_PATH = "/-/ready"
REPORT_PATH = b"/-/report"
ORDER_PATH = b"/-/order"
CACHE_EVENTS_PATH = b"/-/kv-events"
OBJECTS_PATH = "/-/objects"

# Object kinds and names in the platform's store.
CONFIG_KIND = "config"
CONFIG_NAME = "main"
UPSTREAM_KIND = "servers"
WEIGHTS_KIND = "versions"
ROLLOUT_KIND = "rollouts"

# Values of fields in stored objects.
UPSTREAM_STATE_READY = "ready"
UPSTREAM_STATE_DRAINING = "draining"
ROUTE_KIND_IDEMPOTENT = "idempotent"
ROUTE_KIND_STREAMING = "streaming"
LIMIT_UNIT_TOKENS = "tokens"
