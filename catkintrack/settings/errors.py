"""Define the failures of reading settings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsError:
    """Name the file, the path inside it and the reason of a refused setting."""

    file: str
    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.reason}"
