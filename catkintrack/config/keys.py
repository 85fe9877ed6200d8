"""Parse API keys and verify their secrets against salted hashes."""

from __future__ import annotations

import hashlib
import hmac
import re
from dataclasses import dataclass

KEY_PATTERN = re.compile(r"^ck_([a-z0-9]{8})_([A-Za-z0-9_-]{32,64})$")
SALT_BYTES = 16
SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """Hold a presented API key, split into its public ID and its secret."""

    id: str
    secret: str

    def __repr__(self) -> str:
        return f"PresentedKey(id={self.id!r})"


def parse_key(text: str) -> PresentedKey | None:
    """Split an API key into ID and secret; return None if it is malformed."""
    match = KEY_PATTERN.match(text)
    return PresentedKey(match[1], match[2]) if match else None


def hash_secret(secret: str, salt: str) -> str:
    """Return the salted hash of a secret as hexadecimal digits."""
    # A secret has 256 random bits, so one HMAC suffices instead of a slow password hash.
    return hmac.new(bytes.fromhex(salt), secret.encode(), hashlib.sha256).hexdigest()


def is_secret_valid(secret: str, salt: str, digest: str) -> bool:
    """Report whether `secret` hashes to `digest`, comparing in constant time."""
    return hmac.compare_digest(hash_secret(secret, salt), digest)
