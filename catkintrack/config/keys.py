"""Make caller keys and check them against their salted hashes."""

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
    """Hold a caller's key split into its public id and its secret."""

    id: str
    secret: str

    def __repr__(self) -> str:
        return f"PresentedKey(id={self.id!r})"


def parse_key(text: str) -> PresentedKey | None:
    """Return the parts of a key, or None when it can't be one."""
    match = KEY_PATTERN.match(text)
    return PresentedKey(match[1], match[2]) if match else None


def hash_secret(secret: str, salt: str) -> str:
    """Return the salted hash of a secret, in hexadecimal."""
    # The secret has 256 random bits, so that one keyed hash suffices.
    return hmac.new(bytes.fromhex(salt), secret.encode(), hashlib.sha256).hexdigest()


def is_secret_valid(secret: str, salt: str, digest: str) -> bool:
    """Report whether `secret` has `digest`, in constant time."""
    return hmac.compare_digest(hash_secret(secret, salt), digest)
