"""Compute the cache salt and the block hashes of a prompt.

Each part of a prompt is one block.
"""

from __future__ import annotations

import hashlib

from catkintrack.decisions.prefix import HASH_BYTES
from catkintrack.fleet import Call, Prompt

SALT_SEPARATOR = "/"


def get_cache_scope(call: Call) -> str:
    """Return the workspace that a prompt's KV cache is private to, "" if it is shared."""
    workspace = call.workspace
    return workspace.name if workspace is not None and workspace.is_isolated else ""


def make_cache_salt(call: Call, model: str, weights_version: int) -> str:
    """Return the salt under which replicas cache the parts of a prompt.

    It holds everything besides the text that the cached KV blocks depend on.
    """
    return SALT_SEPARATOR.join((model, str(weights_version), get_cache_scope(call)))


def hash_cached_block(salt: str, part: str) -> tuple[int, int] | None:
    """Return the weights version and block hash of a part that a cache reports.

    Return None for a salt that make_cache_salt did not produce.
    """
    fields = salt.split(SALT_SEPARATOR)
    if len(fields) != 3 or not fields[1].isdigit():
        return None
    model, version, scope = fields
    return int(version), _hash_block(scope, model, part)


def hash_prompt_blocks(
    call: Call, prompt: Prompt
) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return the block hash of each part, and the prompt tokens up to its end.

    The hash omits the weights version: a replica that changes weights empties its
    cache.
    """
    scope = get_cache_scope(call)
    blocks = []
    block_ends = []
    end = 0
    for part in prompt.parts:
        blocks.append(_hash_block(scope, prompt.model, part.id))
        end += part.tokens
        block_ends.append(end)
    return tuple(blocks), tuple(block_ends)


def _hash_block(scope: str, model: str, part: str) -> int:
    data = f"{scope}\0{model}\0{part}".encode()
    digest = hashlib.blake2b(data, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
