"""Test that a process starts while its settings files are being rewritten in place."""

import tempfile
import unittest
from contextlib import suppress
from pathlib import Path
from unittest import mock

import curio
import yaml

from catkintrack.instance import process as instance_process
from catkintrack.processes import startup, watch_files
from testkit.instances import SETTINGS_LINES

BASE = yaml.safe_dump(
    {
        "instance": {"id": "i1", "zone": "z1"},
        "links": {"public_key": "p" * 40, "secret_key": "s" * 40},
    }
)


class StartTestCase(unittest.TestCase):
    def setUp(self):
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = directory / "settings"

    def start_instance(self):
        """Return the arguments with which an instance runs, its site first."""
        with (
            mock.patch.object(instance_process, "get_settings_path", lambda: self.path),
            mock.patch.object(instance_process, "configure_logging"),
            mock.patch.object(instance_process.curio, "run") as run,
        ):
            instance_process.main()
        return run.call_args.args[1:]

    def start_router(self):
        """Return the arguments with which a router or an agent runs."""
        with (
            mock.patch.object(startup, "configure_logging"),
            mock.patch.object(startup.curio, "run") as run,
        ):
            startup.run_process(str(self.path), "router", mock.Mock())
        return run.call_args.args[1:]


class StartDuringRewriteTest(StartTestCase):
    def setUp(self):
        super().setUp()
        self.wait = self.enterContext(mock.patch("time.sleep"))

    def write_rest_during_the_first_wait(self, text):
        self.wait.side_effect = lambda _: self.path.write_text(text)

    def test_instance_starts_with_the_rest_of_an_empty_file(self):
        self.path.write_text("")
        self.write_rest_during_the_first_wait(SETTINGS_LINES)
        self.assertEqual(self.start_instance()[0].instance, "n1")

    def test_instance_starts_with_the_rest_of_a_cut_file(self):
        self.path.write_text(SETTINGS_LINES[: len(SETTINGS_LINES) // 2])
        self.write_rest_during_the_first_wait(SETTINGS_LINES)
        self.assertEqual(self.start_instance()[0].store.port, 8601)

    def test_router_starts_with_the_rest_of_an_empty_file(self):
        self.path.write_text("")
        self.write_rest_during_the_first_wait(BASE)
        self.assertEqual(self.start_router()[0].instance.id, "i1")

    def test_file_that_stays_invalid_ends_the_process(self):
        self.path.write_text("")
        for start in (self.start_instance, self.start_router):
            with self.subTest(start.__name__), self.assertRaises(SystemExit) as ended:
                start()
            self.assertEqual(ended.exception.code, 2)


class ChangeDuringStartTest(StartTestCase):
    def change_after_loading(self, module, name):
        """Change the file as soon as the function of a module has loaded it."""
        load = getattr(module, name)

        def load_and_change(*arguments):
            loaded = load(*arguments)
            self.path.write_text(self.path.read_text() + "# changed\n")
            return loaded

        self.enterContext(mock.patch.object(module, name, load_and_change))

    def count_reloads(self, files):
        """Return how often the files are loaded again without a further change."""
        pauses = iter([None, None, None, TimeoutError()])
        reload = mock.Mock()
        with (
            mock.patch.object(curio, "sleep", mock.AsyncMock(side_effect=pauses)),
            suppress(TimeoutError),
        ):
            curio.run(watch_files, files, reload)
        return reload.call_count

    def test_instance_loads_settings_that_changed_while_it_started(self):
        self.path.write_text(SETTINGS_LINES)
        self.change_after_loading(instance_process, "load_site")
        self.assertEqual(self.count_reloads(self.start_instance()[-1]), 1)

    def test_router_loads_settings_that_changed_while_it_started(self):
        self.path.write_text(BASE)
        self.change_after_loading(startup, "load_settings")
        self.assertEqual(self.count_reloads(self.start_router()[-1]), 1)

    def test_unchanged_settings_are_not_loaded_again(self):
        self.path.write_text(BASE)
        self.assertEqual(self.count_reloads(self.start_router()[-1]), 0)
