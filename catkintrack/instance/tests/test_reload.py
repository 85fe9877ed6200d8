"""Apply changed settings to an instance, as far as a running one can."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

from catkintrack.http import Address
from catkintrack.instance.reload import apply_site, make_site_reload
from catkintrack.instance.retry_budgets import find_retry_budget
from catkintrack.platform import observe_era
from testkit.instances import SETTINGS_LINES
from testkit.states import make_instance


class ReloadTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        self.site = self.instance.site

    def reload(self, text: str) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.conf"
            path.write_text(text)
            make_site_reload(self.instance, path)()

    def test_changed_bound_is_applied_and_logged_by_its_field(self):
        with self.assertLogs("catkintrack.processes.reload", "INFO") as logs:
            self.reload(SETTINGS_LINES + "bounds.drain_ms=9000\n")
        self.assertEqual(self.instance.site.bounds.drain_s, 9.0)
        self.assertEqual(logs.records[0].field, "bounds.drain_s")

    def test_invalid_file_changes_nothing_and_names_the_field(self):
        with self.assertLogs("catkintrack.processes.reload", "ERROR") as logs:
            self.reload(SETTINGS_LINES + "bounds.drain_ms=soon\nbounds.grace_s=1\n")
        self.assertEqual(self.instance.site, self.site)
        self.assertIn("drain_ms", logs.records[0].reason)

    def test_file_that_is_no_text_changes_nothing(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.conf"
            path.write_bytes(SETTINGS_LINES.encode() + b"# caf\xe9\n")
            with self.assertLogs("catkintrack.processes.reload", "ERROR"):
                make_site_reload(self.instance, path)()
        self.assertEqual(self.instance.site, self.site)

    def test_error_that_no_code_expects_is_logged(self):
        with (
            mock.patch("catkintrack.instance.reload.load_site", side_effect=KeyError),
            self.assertLogs("catkintrack.processes.reload", "ERROR"),
        ):
            make_site_reload(self.instance, Path("settings.conf"))()
        self.assertEqual(self.instance.site, self.site)

    def test_era_of_the_store_outlasts_a_change_of_its_address(self):
        observe_era(self.instance.store, 3, "store")
        self.reload(SETTINGS_LINES + "platform.address=10.200.1.8:8601\n")
        self.assertEqual(self.instance.store.address, Address("10.200.1.8", 8601))
        self.assertEqual(self.instance.store.era, 3)
        observe_era(self.instance.store, 4, "store")
        self.assertEqual(self.instance.lease.era, 4)

    def test_missing_file_changes_nothing(self):
        with self.assertLogs("catkintrack.processes.reload", "ERROR"):
            make_site_reload(self.instance, Path("/nonexistent/settings.conf"))()
        self.assertEqual(self.instance.site, self.site)

    def test_listen_address_and_lease_wait_for_a_restart(self):
        wanted = replace(
            self.site,
            callers=Address("127.0.0.1", 1),
            bounds=replace(self.site.bounds, lease_s=1.0),
        )
        with self.assertLogs("catkintrack.processes.reload", "WARNING") as logs:
            apply_site(self.instance, wanted)
        self.assertEqual(self.instance.site, self.site)
        fields = {record.field for record in logs.records}
        self.assertEqual(fields, {"callers.port", "bounds.lease_s"})

    def test_new_store_address_gets_a_new_client(self):
        apply_site(self.instance, replace(self.site, store=Address("10.0.0.9", 1)))
        self.assertEqual(self.instance.store.address, Address("10.0.0.9", 1))

    def test_new_seed_is_contacted(self):
        seed = Address("10.0.0.7", 8608)
        apply_site(self.instance, replace(self.site, seeds=(seed,)))
        self.assertIn((seed.host, seed.port), self.instance.peer_by_address)

    def test_larger_retry_bound_adds_no_credit(self):
        budget = find_retry_budget(self.instance, "models")
        level = budget.level
        bounds = replace(self.site.bounds, retry_extra=500.0)
        apply_site(self.instance, replace(self.site, bounds=bounds))
        self.assertEqual(budget.level, level)
        self.assertGreater(budget.cap, 100.0)


if __name__ == "__main__":
    unittest.main()
