"""Define a call, independent of the platform's request format."""

from __future__ import annotations

from dataclasses import dataclass

from catkintrack.http import Headers

from .configuration import Route, Workspace


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identify a part of a prompt, which other prompts may share, and its size."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Describe a prompt: its model, its parts in order and its sizes in tokens."""

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int

    @property
    def total_tokens(self) -> int:
        """Return the cost of the prompt towards a workspace's limit."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(slots=True)
class Call:
    """Represent a caller's request; times are in seconds of the monotonic clock.

    `asked_at` is the estimated time of the caller's first attempt: a shorter deadline
    than usual indicates a retry.  `resumed_id` is the ID of the attempt that began the
    stream that the caller continues.
    """

    id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    route: Route
    workspace: Workspace | None
    arrived_at: float
    deadline_at: float
    prompt: Prompt | None = None
    last_event_id: int | None = None
    resumed_id: bytes | None = None
    service: str = ""
    asked_at: float = 0.0

    @property
    def priority(self) -> int:
        """Return the priority of the call; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def target_at(self) -> float:
        """Return the time at which the response or its first event is due."""
        return self.asked_at + self.route.target_s
