"""Validate the body of a model call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from catkintrack.config import Model
from catkintrack.decisions import CacheScope, estimate_tokens, hash_prefix

from .refusals import BadCall, UnknownRoute
from .state import Router

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
COMPLETION_PATHS = frozenset({CHAT_PATH, COMPLETION_PATH})
MODELS_PATH = "/v1/models"
MAX_OUTPUT_TOKENS = 1_000_000


@dataclass(frozen=True, slots=True)
class ModelCallBody:
    """Hold the validated body of a model call; counts are in tokens."""

    fields: dict[str, Any]
    model: Model
    is_chat: bool
    is_stream: bool
    wants_usage: bool
    prompt: bytes
    prompt_tokens: int
    max_tokens: int

    @property
    def reserved_tokens(self) -> int:
        """Return the maximum number of tokens that the call can use."""
        return self.prompt_tokens + self.max_tokens


def read_model_body(router: Router, path: str, body: bytes) -> ModelCallBody:
    """Return the validated body of a call to `path`.

    Raise BadCall, or UnknownRoute for an unknown model.
    """
    fields = _decode_json_object(body)
    model = router.tables.model_by_name.get(_read_model_name(fields))
    if model is None:
        raise UnknownRoute("the model does not exist")
    if fields.get("n") not in (None, 1):
        raise BadCall("unsupported_n", "only one choice per call is served")
    is_chat = path == CHAT_PATH
    prompt = _read_chat_prompt(fields) if is_chat else _read_completion_prompt(fields)
    if len(prompt) > model.max_prompt_bytes:
        raise BadCall("prompt_too_large", "the prompt is too large", 413)
    stream_options = fields.get("stream_options")
    wants_usage = isinstance(stream_options, dict) and bool(
        stream_options.get("include_usage")
    )
    return ModelCallBody(
        fields=fields,
        model=model,
        is_chat=is_chat,
        is_stream=fields.get("stream") is True,
        wants_usage=wants_usage,
        prompt=prompt,
        prompt_tokens=max(1, estimate_tokens(len(prompt))),
        max_tokens=_read_max_tokens(fields, model),
    )


def hash_prompt_blocks(workspace: str, body: ModelCallBody) -> tuple[int, ...]:
    """Return the hashes of the prompt's blocks in the workspace's cache scope."""
    scope = CacheScope(workspace, body.model.name, body.model.weights_version)
    return hash_prefix(scope, body.prompt)


def encode_upstream_body(body: ModelCallBody, delivered: str) -> bytes:
    """Return the request body for an engine.

    A resumed stream continues after the text `delivered` to the caller.
    """
    fields = dict(body.fields)
    fields.pop("max_completion_tokens", None)
    fields["max_tokens"] = body.max_tokens
    if body.is_stream:
        fields["stream_options"] = {"include_usage": True}
    if delivered:
        fields["continue_text"] = delivered
    return msgspec.json.encode(fields)


def _decode_json_object(body: bytes) -> dict[str, Any]:
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadCall("invalid_json", f"the body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise BadCall("invalid_json", "the body is not a JSON object")
    return fields


def _read_model_name(fields: dict[str, Any]) -> str:
    name = fields.get("model")
    if not isinstance(name, str):
        raise BadCall("missing_model", "the field `model` is missing")
    return name


def _read_max_tokens(fields: dict[str, Any], model: Model) -> int:
    max_tokens = fields.get("max_completion_tokens", fields.get("max_tokens"))
    if max_tokens is None:
        return model.default_max_tokens
    is_number = isinstance(max_tokens, int) and not isinstance(max_tokens, bool)
    if not is_number or not 1 <= max_tokens <= MAX_OUTPUT_TOKENS:
        raise BadCall("invalid_max_tokens", "`max_tokens` must be a positive integer")
    return max_tokens


def _read_chat_prompt(fields: dict[str, Any]) -> bytes:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadCall("missing_messages", "`messages` must be a non-empty list")
    parts = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise BadCall("invalid_message", "each message needs a `role`")
        content = message.get("content")
        if not isinstance(content, str):
            # Content other than plain text is hashed as its JSON encoding.
            content = msgspec.json.encode(content).decode()
        parts.append(f"{message['role']}\n{content}\n")
    return "".join(parts).encode("utf-8", "surrogatepass")


def _read_completion_prompt(fields: dict[str, Any]) -> bytes:
    prompt = fields.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise BadCall("missing_prompt", "`prompt` must be a non-empty string")
    return prompt.encode("utf-8", "surrogatepass")
