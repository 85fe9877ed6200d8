"""Load and validate the settings of a process."""

from .errors import SettingsError
from .loading import load_settings
from .models import EndpointSettings, Settings
from .overlay import merge_documents, read_document

__all__ = [
    "EndpointSettings",
    "Settings",
    "SettingsError",
    "load_settings",
    "merge_documents",
    "read_document",
]
