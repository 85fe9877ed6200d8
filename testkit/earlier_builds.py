"""Lay out an earlier build of this repository, to run beside the current one."""

from __future__ import annotations

import ast
import inspect
import io
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from .site import SiteNode

REPOSITORY = Path(__file__).parent.parent
# The build that ran before the changes that came after it.
EARLIER_COMMIT = "ea22ca5c9efafce7fef00752b5e73d436e1ff5c6"

# Decodes a message of a peer from each line; prints its fields, and encodes it again.
_READ_PROGRAM = """
import sys
from catkintrack.instance.messages import decode_peer_message, encode_peer_message
{describe}
for line in sys.stdin:
    message = decode_peer_message(bytes.fromhex(line))
    print(encode_peer_message(message).hex(), repr(describe(message)))
"""


def describe(value: Any) -> Any:
    """Return a message with each structure in it as a dictionary by field name."""
    if hasattr(value, "__struct_fields__"):
        fields = {name: getattr(value, name) for name in value.__struct_fields__}
        return {name: describe(field) for name, field in fields.items()}
    if isinstance(value, list | tuple):
        return [describe(item) for item in value]
    if isinstance(value, dict):
        return {key: describe(item) for key, item in value.items()}
    return value


@contextmanager
def open_earlier_build(commit: str = EARLIER_COMMIT) -> Iterator[Path]:
    """Yield a folder with the product as it was at a commit."""
    command = ["git", "-C", str(REPOSITORY), "archive", commit, "catkintrack"]
    archive = subprocess.run(command, check=True, capture_output=True).stdout
    with tempfile.TemporaryDirectory(prefix="catkintrack-earlier-") as directory:
        with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
            tar.extractall(directory, filter="data")
        yield Path(directory)


def _make_command(arguments: list[str]) -> list[str]:
    # Without the current folder, which has the current build.
    return [sys.executable, "-P", *arguments]


def read_messages(build: Path, messages: list[bytes]) -> list[tuple[bytes, Any]]:
    """Return each message as a build encodes it again, and the fields that it read."""
    program = _READ_PROGRAM.format(describe=inspect.getsource(describe))
    program = program.replace(": Any) -> Any", ")")
    lines = "".join(f"{message.hex()}\n" for message in messages)
    reading = subprocess.run(
        _make_command(["-c", program]),
        input=lines,
        env={"PYTHONPATH": str(build)},
        check=True,
        capture_output=True,
        text=True,
    )
    found = [line.split(" ", 1) for line in reading.stdout.splitlines()]
    return [(bytes.fromhex(data), ast.literal_eval(text)) for data, text in found]


def use_build(node: SiteNode, build: Path | None) -> None:
    """Let an instance run an earlier build from its next start, or the current one."""
    arguments = ["-m", "catkintrack.instance.main"]
    node.process.arguments = (
        [sys.executable, *arguments] if build is None else _make_command(arguments)
    )
    node.process.env.pop("PYTHONPATH", None)
    if build is not None:
        node.process.env["PYTHONPATH"] = str(build)
