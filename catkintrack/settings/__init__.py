"""Load and validate the settings of a process."""

from .changes import list_changes, merge_reloadable_settings
from .errors import SettingsError
from .loading import load_settings
from .models import EndpointSettings, Settings
from .overlay import merge_documents, read_document

__all__ = [
    "EndpointSettings",
    "Settings",
    "SettingsError",
    "list_changes",
    "load_settings",
    "merge_documents",
    "merge_reloadable_settings",
    "read_document",
]
