"""Distinguish an exhausted limit from a share that awaits a recount."""

import unittest

from catkintrack.agent.borrowing import is_ledger_entry_stale


class LedgerEntryStaleTest(unittest.TestCase):
    def test_entry_of_an_earlier_incarnation_is_stale(self):
        self.assertTrue(is_ledger_entry_stale({"n1": 5, "n2": 7}, "n1", 6))

    def test_own_incarnation_or_missing_entry_is_not_stale(self):
        self.assertFalse(is_ledger_entry_stale({"n1": 6, "n2": 7}, "n1", 6))
        self.assertFalse(is_ledger_entry_stale({"n2": 7}, "n1", 6))
