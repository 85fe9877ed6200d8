"""Test that overlays merge and that errors name the file, path and reason."""

import tempfile
import unittest
from pathlib import Path

import hypothesis.strategies as st
import yaml
from hypothesis import given, settings
from returns.result import Failure, Success

from catkintrack.settings import load_settings, merge_documents
from testkit.profiles import DETERMINISTIC

BASE = {
    "instance": {"id": "i1", "zone": "z1"},
    "links": {"public_key": "p" * 40, "secret_key": "s" * 40},
}
documents = st.recursive(
    st.integers() | st.text(max_size=3),
    lambda inner: st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
    max_leaves=8,
)
mappings = st.dictionaries(st.sampled_from("abc"), documents, max_size=3)


class LoadingTest(unittest.TestCase):
    def setUp(self):
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def load(self, *contents):
        paths = []
        for number, content in enumerate(contents):
            path = self.directory / f"{number}.yaml"
            text = content if isinstance(content, str) else yaml.safe_dump(content)
            path.write_text(text)
            paths.append(path)
        return load_settings(paths)

    def test_date_that_does_not_exist_is_reported(self):
        self.assertIsInstance(self.load("a: 2026-99-99\n"), Failure)

    def test_overlay_replaces_only_its_own_keys(self):
        overlay = {"router": {"listen": {"port": 9000}}, "instance": {"zone": "z2"}}
        loaded = self.load(BASE, overlay).unwrap()
        self.assertEqual(loaded.router.listen.port, 9000)
        self.assertEqual((loaded.instance.id, loaded.instance.zone), ("i1", "z2"))

    def assert_error(self, outcome, file, path, reason):
        match outcome:
            case Failure([error]):
                self.assertEqual(Path(error.file).name, file)
                self.assertEqual(error.path, path)
                self.assertIn(reason, error.reason)
            case _:
                self.fail(f"accepted: {outcome}")

    def test_errors_name_the_invalid_file(self):
        cases = [
            ({"router": {"listen": {"port": 99999}}}, "router.listen.port", "65535"),
            ({"router": {"listen": {"host": "example.org"}}}, "router.listen.host", ""),
            ({"router": {"unknown": 1}}, "router.unknown", "not permitted"),
            ({"agent": {"load_interval_s": 0}}, "agent.load_interval_s", "greater"),
            ("a: [", "", "not valid YAML"),
            ("- a", "", "expected a mapping"),
        ]
        for overlay, path, reason in cases:
            self.assert_error(self.load(BASE, overlay), "1.yaml", path, reason)

    def test_missing_file_is_reported(self):
        outcome = load_settings([self.directory / "none.yaml"])
        self.assert_error(outcome, "none.yaml", "", "No such file")

    def test_repr_hides_secret_key(self):
        self.assertNotIn("s" * 40, repr(self.load(BASE).unwrap()))

    @given(mappings, mappings)
    @settings(DETERMINISTIC)
    def test_overlay_replaces_values_and_keeps_other_keys(self, base, overlay):
        merged = merge_documents(base, overlay)
        self.assertEqual(set(merged), set(base) | set(overlay))
        for key, value in merged.items():
            if key not in overlay:
                self.assertEqual(value, base[key])
            elif isinstance(overlay[key], dict) and isinstance(base.get(key), dict):
                self.assertEqual(value, merge_documents(base[key], overlay[key]))
            else:
                self.assertEqual(value, overlay[key])

    def test_example_settings_are_valid(self):
        root = Path(__file__).parents[3] / "examples"
        outcome = load_settings([root / "base.yaml", root / "iceland-1.yaml"])
        self.assertIsInstance(outcome, Success, outcome)


if __name__ == "__main__":
    unittest.main()
