"""Change single keys, workspaces, tiers and upstreams."""

from __future__ import annotations

import json as json_library
import secrets

from fire.decorators import SetParseFn

from catkintrack.config import ConfigState, Put, hash_secret
from catkintrack.config.keys import SALT_BYTES, SECRET_BYTES

from .config_commands import DEFAULT_PLATFORM, Edit, submit_edit
from .output import ExitStatus, fail

KEY_ID_BYTES = 4

# Fire would otherwise parse a name such as 00012345 as a number.
parse_args_as_text = SetParseFn(str, "id", "name", "workspace", "tier", "platform")


def make_key_entity(workspace: str, secret: str) -> dict[str, object]:
    """Return the entity of a key, which holds its secret as a salted hash."""
    salt = secrets.token_bytes(SALT_BYTES).hex()
    return {
        "workspace": workspace,
        "salt": salt,
        "digest": hash_secret(secret, salt),
    }


@parse_args_as_text
def make_key(
    workspace: str, platform: str = DEFAULT_PLATFORM, json: bool = False
) -> None:
    """Create an API key for a workspace; it is shown once and stored as a hash."""
    key_id = secrets.token_bytes(KEY_ID_BYTES).hex()
    secret = secrets.token_urlsafe(SECRET_BYTES)
    value = make_key_entity(workspace, secret)
    submit_edit(platform, lambda state: ([Put("key", key_id, value)], []), None, json)
    key = f"ck_{key_id}_{secret}"
    print(json_library.dumps({"id": key_id, "key": key}) if json else f"key: {key}")


@parse_args_as_text
def withdraw_key(id: str, platform: str = DEFAULT_PLATFORM, json: bool = False) -> None:
    """Withdraw an API key; all instances reject it within seconds."""
    _update_entity("key", id, {"is_withdrawn": True}, platform, json)


@parse_args_as_text
def set_workspace(
    name: str,
    tier: str | None = None,
    rate: int | None = None,
    burst: int | None = None,
    platform: str = DEFAULT_PLATFORM,
    json: bool = False,
) -> None:
    """Change a workspace's tier, rate (tokens a second) or burst (tokens)."""
    fields = {"tier": tier, "rate_tokens_per_s": rate, "burst_tokens": burst}
    _update_entity("workspace", name, fields, platform, json)


@parse_args_as_text
def set_tier(
    name: str,
    weight: int | None = None,
    priority: int | None = None,
    queue_timeout_s: float | None = None,
    platform: str = DEFAULT_PLATFORM,
    json: bool = False,
) -> None:
    """Change a tier's weight, priority or queue timeout (seconds)."""
    fields = {
        "weight": weight,
        "priority": priority,
        "queue_timeout_s": queue_timeout_s,
    }
    _update_entity("tier", name, fields, platform, json)


@parse_args_as_text
def drain_upstream(
    name: str, platform: str = DEFAULT_PLATFORM, json: bool = False
) -> None:
    """Send no new requests to an upstream; its running requests finish."""
    _update_entity("upstream", name, {"state": "leaving"}, platform, json)


@parse_args_as_text
def resume_upstream(
    name: str, platform: str = DEFAULT_PLATFORM, json: bool = False
) -> None:
    """Send requests to a drained upstream again."""
    _update_entity("upstream", name, {"state": "active"}, platform, json)


def _update_entity(
    kind: str, name: str, fields: dict[str, object], platform: str, as_json: bool
) -> None:
    new_fields = {key: value for key, value in fields.items() if value is not None}

    def make_edit(state: ConfigState) -> Edit:
        value = state.find(kind, name)
        if value is None:
            fail(ExitStatus.REFUSED, [f"{kind}/{name}: no such entity"], as_json)
        return [Put(kind, name, {**value, **new_fields})], []

    submit_edit(platform, make_edit, None, as_json)
