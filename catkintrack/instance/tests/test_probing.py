"""Probe only replicas that have requests in flight and are silent."""

import socket
import time
import unittest

import curio

from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import apply_upstream
from catkintrack.instance.probing import probe_suspects
from testkit.instances import make_config_spec, make_entry_spec
from testkit.states import make_instance

SETTLE_S = 0.5


class ProbeTest(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.instance = make_instance()
        apply_configuration(self.instance, 5, make_config_spec(), "store")
        spec = make_entry_spec(address=f"127.0.0.1:{port}")
        apply_upstream(self.instance, "i1", spec, 1.0)
        self.row = self.instance.decisions.upstream_by_name["i1"]

    def probe(self, silent_s, in_flight=1):
        self.row.in_flight = in_flight
        self.row.last_heard_at = time.monotonic() - silent_s

        async def run():
            await probe_suspects(self.instance)
            await curio.sleep(SETTLE_S)

        curio.run(run)
        return self.row.ejections > 0

    def test_unreachable_silent_replica_is_ejected(self):
        self.listener.close()
        self.assertTrue(self.probe(silent_s=1.0))

    def test_reachable_silent_replica_is_not_ejected(self):
        self.assertFalse(self.probe(silent_s=1.0))

    def test_replica_without_overdue_answers_is_not_probed(self):
        self.listener.close()
        self.assertFalse(self.probe(silent_s=1.0, in_flight=0))
        self.assertFalse(self.probe(silent_s=0.1))
