"""Test that a process starts while its settings files are being rewritten in place."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import yaml

from catkintrack.instance import process as instance_process
from catkintrack.processes import startup
from testkit.instances import SETTINGS_LINES

BASE = yaml.safe_dump(
    {
        "instance": {"id": "i1", "zone": "z1"},
        "links": {"public_key": "p" * 40, "secret_key": "s" * 40},
    }
)


class StartDuringRewriteTest(unittest.TestCase):
    def setUp(self):
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = directory / "settings"
        self.wait = self.enterContext(mock.patch("time.sleep"))

    def write_rest_during_the_first_wait(self, text):
        self.wait.side_effect = lambda _: self.path.write_text(text)

    def start_instance(self):
        """Return the site with which an instance starts."""
        with (
            mock.patch.object(instance_process, "get_settings_path", lambda: self.path),
            mock.patch.object(instance_process, "configure_logging"),
            mock.patch.object(instance_process.curio, "run") as run,
        ):
            instance_process.main()
        return run.call_args.args[1]

    def start_router(self):
        """Return the settings with which a router or an agent starts."""
        with (
            mock.patch.object(startup, "configure_logging"),
            mock.patch.object(startup.curio, "run") as run,
        ):
            startup.run_process(str(self.path), "router", mock.Mock())
        return run.call_args.args[1]

    def test_instance_starts_with_the_rest_of_an_empty_file(self):
        self.path.write_text("")
        self.write_rest_during_the_first_wait(SETTINGS_LINES)
        self.assertEqual(self.start_instance().instance, "n1")

    def test_instance_starts_with_the_rest_of_a_cut_file(self):
        self.path.write_text(SETTINGS_LINES[: len(SETTINGS_LINES) // 2])
        self.write_rest_during_the_first_wait(SETTINGS_LINES)
        self.assertEqual(self.start_instance().store.port, 8601)

    def test_router_starts_with_the_rest_of_an_empty_file(self):
        self.path.write_text("")
        self.write_rest_during_the_first_wait(BASE)
        self.assertEqual(self.start_router().instance.id, "i1")

    def test_file_that_stays_invalid_ends_the_process(self):
        self.path.write_text("")
        for start in (self.start_instance, self.start_router):
            with self.subTest(start.__name__), self.assertRaises(SystemExit) as ended:
                start()
            self.assertEqual(ended.exception.code, 2)
