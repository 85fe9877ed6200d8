"""Count whose usage of a limit is known."""

import unittest

from catkintrack.pooling import PeerReports, find_reporting

REPORTING = PeerReports(True, False)
SILENT = PeerReports(False, False)
STOPPING = PeerReports(True, True)
ENDED = PeerReports(False, True)


class ReportingTest(unittest.TestCase):
    def test_silent_peer_may_use_a_limit_unnoticed(self):
        self.assertEqual(find_reporting([REPORTING, SILENT]), (2, 3))

    def test_stopping_peer_reports(self):
        self.assertEqual(find_reporting([REPORTING, STOPPING]), (3, 3))

    def test_peer_that_ended_as_announced_uses_nothing(self):
        self.assertEqual(find_reporting([REPORTING, ENDED]), (2, 2))
