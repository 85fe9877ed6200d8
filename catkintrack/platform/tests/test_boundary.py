"""Check that only the adapter uses wire names and that it makes no decisions.

The rest of the package must not depend on the platform's formats, nor the adapter
on packages that make decisions.
"""

import ast
import re
import unittest
from pathlib import Path

from catkintrack.platform import names

PACKAGE = Path(__file__).resolve().parents[2]
ADAPTER = PACKAGE / "platform"
# Common header names, which the interface to callers and engines uses too.
SHARED_HEADERS = {
    names.REQUEST_ID,
    names.RETRY_AFTER,
    names.LAST_EVENT_ID,
    names.CACHE_SALT,
}
WIRE_FIELDS = {
    "traffic_split",
    "allow_stale",
    "cold_remaining_ms",
    "path_prefix",
    "token_kv_bytes",
    "kv_store_addr",
    "target_latency_ms",
    "gap_aim_ms",
    "store_revision",
    "plain_tokens",
    "api_keys",
    "heartbeat_ms",
}
DECISION_PACKAGES = (
    "decisions",
    "limits",
    "claims",
    "pooling",
    "leases",
    "weights",
    "instance",
)


def list_sources(folder: Path) -> list[Path]:
    paths = folder.rglob("*.py")
    return [path for path in paths if "tests" not in path.parts]


def list_wire_names() -> set[str]:
    return {
        value.decode()
        for value in vars(names).values()
        if isinstance(value, bytes) and value not in SHARED_HEADERS
    }


class BoundaryTest(unittest.TestCase):
    def test_wire_names_appear_only_in_the_adapter(self):
        headers = re.compile("|".join(map(re.escape, list_wire_names())), re.IGNORECASE)
        fields = re.compile(rf"\b({'|'.join(WIRE_FIELDS)})\b")
        for path in list_sources(PACKAGE):
            if ADAPTER in path.parents:
                continue
            with self.subTest(path=path.relative_to(PACKAGE)):
                text = path.read_text()
                self.assertIsNone(headers.search(text))
                self.assertIsNone(fields.search(text))

    def test_checked_names_include_headers_and_paths(self):
        self.assertIn("x-prompt-prefix", list_wire_names())
        self.assertIn("/-/kv-events", list_wire_names())

    def test_adapter_imports_no_decision_package(self):
        for path in list_sources(ADAPTER):
            for node in ast.walk(ast.parse(path.read_text())):
                module = getattr(node, "module", None) or ""
                parts = module.split(".")
                with self.subTest(path=path.name, module=module):
                    is_own = parts[0] == "catkintrack" and len(parts) > 1
                    self.assertFalse(is_own and parts[1] in DECISION_PACKAGES)
