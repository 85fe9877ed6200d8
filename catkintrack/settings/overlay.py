"""Read YAML files and merge overlays into a base."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import yaml
from returns.result import Failure, Result, Success

from .errors import SettingsError

Document = dict[str, Any]


def read_document(path: Path) -> Result[Document, SettingsError]:
    """Return the top-level mapping of a YAML file, empty for an empty file."""
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Failure(SettingsError(str(path), "", error.strerror or str(error)))
    # The library passes on the ValueError of a date that does not exist.
    except (yaml.YAMLError, ValueError) as error:
        return Failure(SettingsError(str(path), "", f"not valid YAML: {error}"))
    if document is None:
        return Success({})
    if not isinstance(document, dict):
        return Failure(SettingsError(str(path), "", "expected a mapping"))
    return Success(document)


def merge_documents(base: Mapping[str, Any], overlay: Mapping[str, Any]) -> Document:
    """Merge `overlay` into a copy of `base`; values other than mappings are replaced."""
    merged = dict(base)
    for key, value in overlay.items():
        base_value = merged.get(key)
        if isinstance(base_value, Mapping) and isinstance(value, Mapping):
            merged[key] = merge_documents(base_value, value)
        else:
            merged[key] = value
    return merged


def find_defining_file(
    documents: Sequence[tuple[Path, Document]], location: Sequence[str | int]
) -> str:
    """Return the last file that sets `location`, or else its closest parent."""
    for depth in range(len(location), 0, -1):
        for path, document in reversed(documents):
            if _is_set(document, location[:depth]):
                return str(path)
    return str(documents[-1][0]) if documents else ""


def _is_set(document: Any, location: Sequence[str | int]) -> bool:
    for key in location:
        if (
            isinstance(document, Mapping)
            and key in document
            or (
                isinstance(document, list)
                and isinstance(key, int)
                and key < len(document)
            )
        ):
            document = document[key]
        else:
            return False
    return True
