"""Define the failures of run-time configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InvalidEntity:
    """Name the entity and field that a change got wrong."""

    kind: str
    name: str
    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}: {self.path}: {self.reason}"


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """Report that another change was accepted first."""

    expected: int
    found: int

    def __str__(self) -> str:
        return f"expected revision {self.expected}, found {self.found}"


@dataclass(frozen=True, slots=True)
class OutOfOrderChange:
    """Report a change that does not follow the revision in force."""

    current_revision: int
    offered_revision: int

    def __str__(self) -> str:
        return (
            f"revision {self.offered_revision} does not follow {self.current_revision}"
        )


@dataclass(frozen=True, slots=True)
class CorruptConfigObject:
    """Report a snapshot that failed its check or has an unknown format."""

    reason: str

    def __str__(self) -> str:
        return f"damaged snapshot: {self.reason}"
