"""Define the error of loading settings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsError:
    """Describe an invalid setting by its file, the path inside it and the reason."""

    file: str
    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.reason}"
