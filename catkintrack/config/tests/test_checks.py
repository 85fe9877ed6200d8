"""Find what is wrong in a configuration before it is sent (issue 52)."""

import unittest
from copy import deepcopy
from pathlib import Path

import yaml

from catkintrack.config import ConfigState, Severity, check_state, has_errors
from testkit.configs import make_config, make_workspace

EXAMPLE = Path(__file__).parents[3] / "examples/kinds.yaml"
KEY_OF_W2 = "ab12cd34"


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.entities = make_config(
            {"w1": make_workspace("free"), "w2": make_workspace("paid")},
            {"e1": 8050},
            {"s1": 8060},
        )

    def check(self):
        return check_state(ConfigState(1, self.entities), 4)

    def assert_finds(self, severity, path, words):
        found = [finding for finding in self.check() if finding.path == path]
        self.assertEqual([finding.severity for finding in found], [severity])
        self.assertIn(words, found[0].message)

    def test_sound_configuration_has_no_findings(self):
        self.assertEqual(self.check(), [])

    def test_example_has_no_errors(self):
        entities = yaml.safe_load(EXAMPLE.read_text())
        self.assertFalse(has_errors(check_state(ConfigState(1, entities), 4)))

    def test_invalid_entities_and_unknown_references_are_errors(self):
        for kind, name, value, path, words in (
            ("tier", "free", {"weight": 0, "priority": 1}, ".weight", "greater"),
            ("tier", "free", None, "", "valid"),
            ("workspace", "w1", make_workspace("gold"), ".tier", "no such tier"),
            ("river", "r1", {}, ".kind", "unknown kind"),
        ):
            entities = deepcopy(self.entities)
            self.entities.setdefault(kind, {})[name] = value
            self.assert_finds(Severity.ERROR, f"{kind}/{name}{path}", words)
            self.entities = entities

    def test_entries_that_never_serve(self):
        for kind, name, changes, severity, path, words in (
            ("route", "other", {"prefix": "/v1/"}, "error", ".prefix", "never matches"),
            (
                "route",
                "m",
                {"prefix": "/m/", "is_open": True},
                "error",
                ".is_open",
                "key",
            ),
            (
                "route",
                "m",
                {"prefix": "/m/", "workspaces": []},
                "error",
                ".workspaces",
                "",
            ),
            (
                "route",
                "m",
                {"prefix": "/m/", "service": "x"},
                "error",
                ".service",
                "'x'",
            ),
            (
                "route",
                "m",
                {
                    "prefix": "/m/",
                    "service": "app",
                    "is_open": True,
                    "workspaces": ["w1"],
                },
                "warning",
                ".workspaces",
                "no effect",
            ),
            ("upstream", "u", {"service": "x"}, "warning", ".service", "no route"),
            ("upstream", "u", {}, "warning", ".models", "neither"),
            ("upstream", "u", {"port": 8050, "service": "app"}, "error", ".port", "e1"),
            (
                "upstream",
                "u",
                {"instance": "e1", "zone": "z9", "service": "app"},
                "error",
                ".zone",
                "z1",
            ),
            ("model", "m2", {"weights_version": "v1"}, "error", "", "no upstream"),
            (
                "tier",
                "gold",
                {"weight": 1, "priority": 1},
                "warning",
                "",
                "no workspace",
            ),
            ("workspace", "w3", make_workspace(), "warning", "", "no key"),
        ):
            entities = deepcopy(self.entities)
            base = {"host": "127.0.0.1", "port": 9, "zone": "z1", "instance": name}
            value = (base if kind == "upstream" else {}) | changes
            self.entities[kind][name] = value
            with self.subTest(kind=kind, changes=changes):
                self.assert_finds(Severity(severity), f"{kind}/{name}{path}", words)
            self.entities = entities

    def test_key_in_two_workspaces(self):
        key = next(k for k in self.entities["key"].values() if k["workspace"] == "w1")
        self.entities["key"][KEY_OF_W2] = key | {"workspace": "w2"}
        path = f"key/{KEY_OF_W2}.digest"
        self.assert_finds(Severity.ERROR, path, "another workspace")

    def test_key_that_cannot_be_presented(self):
        key = next(iter(self.entities["key"].values()))
        self.entities["key"]["a-key"] = key | {"digest": "0" * 64}
        self.assert_finds(Severity.ERROR, "key/a-key", "never matches")

    def test_workspace_that_may_call_no_route(self):
        for route in self.entities["route"].values():
            route["workspaces"] = ["w1"]
        self.assert_finds(Severity.WARNING, "workspace/w2", "no route")

    def test_model_without_a_route_or_with_leaving_upstreams_only(self):
        self.entities["upstream"]["e1"]["state"] = "leaving"
        self.assert_finds(Severity.WARNING, "model/m1", "leaving")
        self.entities["upstream"]["e1"]["state"] = "active"
        del self.entities["route"]["models"]
        self.assert_finds(Severity.ERROR, "model/m1", "no route")

    def test_limits_that_contradict_each_other(self):
        path = "workspace/w1.burst_tokens"
        self.entities["workspace"]["w1"]["burst_tokens"] = 256
        self.assert_finds(Severity.ERROR, path, "257 tokens")
        self.entities["workspace"]["w1"]["burst_tokens"] = 1000
        self.assertEqual(self.check(), [])
        self.entities["model"]["m1"]["max_prompt_bytes"] = 4000
        self.assert_finds(Severity.WARNING, path, "1256 tokens")
        self.entities["tier"]["paid"]["queue_timeout_s"] = 90
        self.assert_finds(Severity.WARNING, "tier/paid.queue_timeout_s", "60 s")


if __name__ == "__main__":
    unittest.main()
