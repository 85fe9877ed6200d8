"""Read the CURVE keys of links from settings."""

from __future__ import annotations

from catkintrack.links import LinkKeys
from catkintrack.settings import Settings


def read_link_keys(settings: Settings) -> LinkKeys:
    """Return the CURVE keys in the settings; the own public key is always accepted."""
    links = settings.links
    accepted = {links.public_key, *links.accepted_public_keys}
    return LinkKeys(
        links.public_key.encode(),
        links.secret_key.encode(),
        frozenset(key.encode() for key in accepted),
    )
