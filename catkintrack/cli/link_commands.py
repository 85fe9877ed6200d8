"""Generate the CURVE keys of the links between processes."""

from __future__ import annotations

import yaml
import zmq


def make_link_keys() -> None:
    """Print a new CURVE key pair as a settings file."""
    public, secret = zmq.curve_keypair()
    keys = {"public_key": public.decode(), "secret_key": secret.decode()}
    print(yaml.safe_dump({"links": keys}), end="")
