"""Define the errors of the run-time configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InvalidEntity:
    """Report an entity's field that is invalid."""

    kind: str
    name: str
    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}: {self.path}: {self.reason}"


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """Report that another change was accepted since the expected revision."""

    expected: int
    found: int

    def __str__(self) -> str:
        return f"expected revision {self.expected}, found {self.found}"


@dataclass(frozen=True, slots=True)
class OutOfOrderChange:
    """Report a change that is not the next revision after the one in force."""

    current_revision: int
    offered_revision: int

    def __str__(self) -> str:
        return (
            f"revision {self.offered_revision} does not follow {self.current_revision}"
        )


@dataclass(frozen=True, slots=True)
class CorruptConfigObject:
    """Report a stored head or snapshot that is malformed, corrupt or of unknown format."""

    reason: str

    def __str__(self) -> str:
        return f"corrupt configuration object: {self.reason}"
