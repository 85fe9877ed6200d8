"""Send calls to a router over HTTP and collect the answers."""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins.engine_batch import compute_completion_text

HOST = "127.0.0.1"


@dataclass
class Answer:
    """Hold the answer that a caller received; times are in seconds."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    text: str = ""
    is_complete: bool = False
    error: dict[str, Any] | None = None
    first_token_s: float | None = None
    duration_s: float = 0.0
    failure: str = ""

    @property
    def is_not_run(self) -> bool:
        """Report whether the answer is marked with the header `x-not-run`."""
        return self.headers.get("x-not-run") == "true"


def make_messages(*contents: str) -> list[dict[str, str]]:
    """Return a chat whose first message has the system role and others the user role."""
    roles = ["system", *["user"] * (len(contents) - 1)]
    return [
        {"role": role, "content": content}
        for role, content in zip(roles, contents, strict=True)
    ]


def build_prompt(messages: list[dict[str, str]]) -> bytes:
    """Return the prompt that engine stand-ins build from a chat."""
    return "".join(f"{m['role']}\n{m['content']}\n" for m in messages).encode()


def make_expected_text(messages: list[dict[str, str]], max_tokens: int) -> str:
    """Return the complete text with which an engine stand-in answers a chat."""
    return compute_completion_text(build_prompt(messages), max_tokens)


def call_chat(
    port: int,
    key: str,
    messages: list[dict[str, str]],
    max_tokens: int = 32,
    is_stream: bool = True,
    timeout_s: float = 60.0,
    model: str = "m1",
    on_event: Callable[[Answer], None] | None = None,
) -> Answer:
    """Send a chat and return the answer, which may be incomplete."""
    fields = {"model": model, "messages": messages, "max_tokens": max_tokens}
    body = json.dumps(fields | {"stream": is_stream}).encode()
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    return call_http(
        port, "POST", "/v1/chat/completions", body, headers, timeout_s, on_event
    )


def call_http(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
    on_event: Callable[[Answer], None] | None = None,
) -> Answer:
    """Send a call and return the answer; `failure` holds a connection error."""
    answer = Answer()
    started = time.monotonic()
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        answer.status = response.status
        answer.headers = {k.lower(): v for k, v in response.getheaders()}
        if answer.headers.get("content-type") == "text/event-stream":
            _read_stream(response, answer, started, on_event)
        else:
            answer.body = response.read()
            answer.is_complete = True
            _read_json(answer)
    except (OSError, http.client.HTTPException) as error:
        answer.failure = repr(error)
    finally:
        connection.close()
    answer.duration_s = time.monotonic() - started
    return answer


def _read_stream(
    response: http.client.HTTPResponse,
    answer: Answer,
    started: float,
    on_event: Callable[[Answer], None] | None,
) -> None:
    for line in response:
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == b"[DONE]":
            answer.is_complete = True
            continue
        event = json.loads(data)
        if "error" in event:
            answer.error = event["error"]
            continue
        for choice in event["choices"]:
            text = choice.get("delta", {}).get("content") or choice.get("text") or ""
            if text and answer.first_token_s is None:
                answer.first_token_s = time.monotonic() - started
            answer.text += text
        if on_event is not None:
            on_event(answer)


def _read_json(answer: Answer) -> None:
    try:
        value = json.loads(answer.body)
    except ValueError:
        return
    if isinstance(value, dict):
        answer.error = value.get("error")
        for choice in value.get("choices", []):
            message = choice.get("message") or {}
            answer.text = message.get("content") or choice.get("text") or ""


class BackgroundCall:
    """Run a call in a background thread and keep its answer."""

    def __init__(self, call: Callable[[], Answer]) -> None:
        self.answer = Answer()
        self.thread = threading.Thread(target=self._run, args=(call,), daemon=True)
        self.thread.start()

    def _run(self, call: Callable[[], Answer]) -> None:
        self.answer = call()

    def join(self, timeout_s: float = 60.0) -> Answer:
        """Wait until the call has ended and return its answer.

        Returns an empty answer if the call is still running after `timeout_s`.
        """
        self.thread.join(timeout_s)
        return self.answer
