"""Authenticate calls by API key and remove the keys from forwarded requests."""

from __future__ import annotations

import re

from catkintrack.config import Key, Route, is_secret_valid, parse_key
from catkintrack.http import Headers, Request

from .refusals import BadCall, Forbidden, Unauthenticated
from .state import Router

KEY_HEADERS = frozenset({b"authorization", b"x-api-key"})
KEY_BYTES_PATTERN = re.compile(rb"ck_[a-z0-9]{8}_[A-Za-z0-9_-]{32,64}")
BEARER_PREFIX = b"bearer "
# Compared for an unknown key ID, so that response times do not reveal which IDs exist.
DUMMY_SALT = "00" * 16
DUMMY_DIGEST = "00" * 32


def find_presented_keys(headers: Headers) -> set[bytes]:
    """Return the distinct API keys in the authorization and x-api-key headers."""
    found = set()
    for name, value in headers:
        if name == b"authorization" and value[:7].lower() == BEARER_PREFIX:
            found.add(value[7:].strip())
        elif name == b"x-api-key":
            found.add(value.strip())
    return found


def authenticate(router: Router, request: Request, route: Route) -> Key | None:
    """Return a call's API key; None on a route that needs no key.

    Raise BadCall, Unauthenticated or Forbidden.
    """
    presented = find_presented_keys(request.headers)
    if route.is_open:
        return None
    if not presented:
        raise Unauthenticated("no API key was given")
    if len(presented) > 1:
        raise BadCall("ambiguous_key", "two different API keys were given")
    key = verify_key(router, presented.pop())
    if not route.is_allowed(key.workspace.name):
        raise Forbidden("the workspace may not use this route")
    return key


def verify_key(router: Router, presented: bytes) -> Key:
    """Return the valid key that `presented` names, or raise Unauthenticated."""
    parsed = parse_key(presented.decode("ascii", "replace"))
    key = router.tables.key_by_id.get(parsed.id) if parsed else None
    secret = parsed.secret if parsed else ""
    salt = key.salt if key else DUMMY_SALT
    digest = key.digest if key else DUMMY_DIGEST
    is_valid = is_secret_valid(secret, salt, digest)
    if key is None or not is_valid or key.is_withdrawn:
        raise Unauthenticated("the API key is not valid")
    return key


def reject_misplaced_keys(request: Request) -> None:
    """Raise BadCall for an API key in the target, the body or another header.

    From there the key would be forwarded to an upstream.
    """
    searched = [request.target, request.body]
    searched += [value for name, value in request.headers if name not in KEY_HEADERS]
    if any(b"ck_" in part and KEY_BYTES_PATTERN.search(part) for part in searched):
        raise BadCall("misplaced_key", "an API key was found outside its header")


def strip_keys(headers: Headers, route: Route) -> Headers:
    """Return `headers` without API keys.

    On a route that needs no key, other credentials in these headers are forwarded:
    they authenticate the caller to the service.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if name not in KEY_HEADERS
        or (route.is_open and not KEY_BYTES_PATTERN.search(value))
    )
