"""Name the parts of a prompt as the decisions and the replicas' caches know them."""

from __future__ import annotations

import hashlib

from catkintrack.decisions.prefix import HASH_BYTES
from catkintrack.fleet import Call, Prompt

SALT_SEPARATOR = "/"


def get_cache_scope(call: Call) -> str:
    """Return the workspace that a prompt's cache belongs to, or none if shared."""
    workspace = call.workspace
    return workspace.name if workspace is not None and workspace.is_isolated else ""


def make_cache_salt(call: Call, model: str, weights_version: int) -> str:
    """Return the name under which replicas keep the prompt's parts.

    It covers all that a cached part depends on besides the text.
    """
    return SALT_SEPARATOR.join((model, str(weights_version), get_cache_scope(call)))


def hash_cached_block(salt: str, part: str) -> tuple[int, int] | None:
    """Return the weights' version and the block of a part that a cache reports.

    None for a part that was kept under another kind of name.
    """
    fields = salt.split(SALT_SEPARATOR)
    if len(fields) != 3 or not fields[1].isdigit():
        return None
    model, version, scope = fields
    return int(version), _name_block(scope, model, part)


def hash_prompt_blocks(
    call: Call, prompt: Prompt
) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return the block of each part, and the tokens up to its end.

    The weights are not covered: a replica's change of weights empties its cache.
    """
    scope = get_cache_scope(call)
    blocks = []
    ends = []
    end = 0
    for part in prompt.parts:
        blocks.append(_name_block(scope, prompt.model, part.id))
        end += part.tokens
        ends.append(end)
    return tuple(blocks), tuple(ends)


def _name_block(scope: str, model: str, part: str) -> int:
    data = f"{scope}\0{model}\0{part}".encode()
    digest = hashlib.blake2b(data, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
