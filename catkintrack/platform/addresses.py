"""Parse the platform's IP:PORT addresses."""

from __future__ import annotations

from ipaddress import IPv4Address

from catkintrack.http import Address


def parse_address(text: str) -> Address | None:
    """Return the IPv4 address and port in `text`, or None if it is invalid."""
    host, _, port = text.partition(":")
    try:
        IPv4Address(host)
        number = int(port)
    except ValueError:
        return None
    if not port.isdecimal() or not 0 < number < 65536:
        return None
    return Address(host, number)
