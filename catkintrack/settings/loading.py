"""Load the settings of a process from a base file and its overlays."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from .errors import SettingsError
from .models import Settings
from .overlay import Document, find_defining_file, merge_documents, read_document


def load_settings(paths: Sequence[Path]) -> Result[Settings, list[SettingsError]]:
    """Return the settings in `paths`; each file overrides the ones before it."""
    documents: list[tuple[Path, Document]] = []
    merged: Document = {}
    for path in paths:
        match read_document(path):
            case Success(document):
                documents.append((path, document))
                merged = merge_documents(merged, document)
            case Failure(error):
                return Failure([error])
    try:
        return Success(Settings.model_validate(merged))
    except ValidationError as error:
        return Failure(_make_settings_errors(error, documents))


def _make_settings_errors(
    error: ValidationError, documents: Sequence[tuple[Path, Document]]
) -> list[SettingsError]:
    return [
        SettingsError(
            find_defining_file(documents, entry["loc"]),
            ".".join(str(part) for part in entry["loc"]),
            entry["msg"],
        )
        for entry in error.errors()
    ]
