"""Check configuration files from the command line."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import yaml
from returns.result import Success

from catkintrack.cli import check_commands
from catkintrack.config import ConfigState
from testkit.configs import make_config, make_workspace


class CheckCommandTest(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.entities = make_config(
            {"w1": make_workspace(), "w2": make_workspace("paid")}, {"e1": 1}, {"s1": 2}
        )
        self.base = Path(directory) / "base.yaml"
        self.overlay = Path(directory) / "site.yaml"
        self.base.write_text(yaml.safe_dump(self.entities))

    def check(self, overlay, **options):
        """Return the exit status and the JSON that is printed."""
        self.overlay.write_text(yaml.safe_dump(overlay))
        printed = io.StringIO()
        status = 0
        with contextlib.redirect_stdout(printed):
            try:
                files = f"{self.base},{self.overlay}"
                check_commands.check(files, json=True, **options)
            except SystemExit as exit:
                status = exit.code
        return status, json.loads(printed.getvalue())

    def test_errors_end_with_status_1_and_warnings_with_0(self):
        self.assertEqual(self.check({})[0], 0)
        status, outcome = self.check({"tier": {"gold": {"weight": 1, "priority": 1}}})
        self.assertEqual((status, outcome["findings"][0]["severity"]), (0, "warning"))
        status, outcome = self.check({"workspace": {"w1": {"tier": "none"}}})
        self.assertEqual(
            (status, outcome["findings"][0]["path"]), (1, "workspace/w1.tier")
        )
        self.assertIsNone(outcome["differences"])

    def test_differences_from_the_version_in_force(self):
        in_force = ConfigState(7, json.loads(json.dumps(self.entities)))
        with mock.patch.object(
            check_commands, "run_with_platform", return_value=Success(in_force)
        ):
            status, outcome = self.check(
                {"tier": {"free": {"weight": 3}}}, platform="127.0.0.1:1"
            )
        self.assertEqual((status, outcome["revision"]), (0, 7))
        self.assertEqual(outcome["differences"], ["~ tier/free.weight: 1 -> 3"])


if __name__ == "__main__":
    unittest.main()
