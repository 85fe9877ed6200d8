"""Check where admission is switched on, and what callers and peers see of it."""

import time
import unittest

import curio
import zmq

from catkintrack.decisions.admission import AdmissionTable
from catkintrack.decisions.scheduler import record_remote_prefill
from catkintrack.decisions.tables import UpstreamRow, add_upstream
from catkintrack.instance import mesh
from catkintrack.instance.attempts import CallProgress
from catkintrack.instance.dump import dump_instance
from catkintrack.instance.model_calls import serve_model_call
from catkintrack.instance.process import make_instance as make_process_instance
from catkintrack.instance.refusals import NotServed
from catkintrack.platform import decode_site
from testkit.instances import SETTINGS_LINES, make_call, make_prompt
from testkit.states import make_gossip, make_instance

BACKLOG_S = 60.0


def make_full_instance():
    instance = make_instance()
    tables = instance.decisions
    tables.admission = AdmissionTable()
    tables.retry_budget = None
    row = UpstreamRow("i1", 0, "z1", frozenset({"m1"}), 8)
    add_upstream(tables, row)
    tokens = round(BACKLOG_S * row.prefill_tokens_per_s)
    record_remote_prefill(tables, "p1", "i1", (), tokens, 0, time.monotonic())
    return instance


class AdmissionTest(unittest.TestCase):
    def test_settings_switch_admission_on(self):
        """Guards all other deployments against decisions that they didn't ask for."""
        with zmq.Context() as context:
            for contracts, is_on in (("base", False), ("base,pressure", True)):
                lines = f"{SETTINGS_LINES}\ncontracts={contracts}\n"
                site = decode_site(lines).unwrap()
                instance = make_process_instance(site, context)
                tables = instance.decisions
                self.assertEqual(tables.admission is not None, is_on)
                self.assertEqual(tables.late_queue is None, is_on)
                self.assertEqual(
                    dump_instance(instance)["admission"] is None, not is_on
                )

    def test_call_that_cannot_be_finished_is_refused_at_once(self):
        async def main():
            instance = make_full_instance()
            now = time.monotonic()
            call = make_call(
                prompt=make_prompt(2_000), arrived_at=now, deadline_at=now + 2.0
            )
            progress = CallProgress(now)
            with self.assertRaises(NotServed) as caught:
                await serve_model_call(instance, call, progress, None)
            self.assertLess(time.monotonic() - now, 1.0)
            self.assertEqual(caught.exception.message, "admission")
            self.assertLess(caught.exception.retry_after_s, 2.0 / 3)
            self.assertGreater(progress.expected_wait_s, 2.0)
            self.assertFalse(progress.may_have_run)
            metric = instance.metrics.admission_refusals
            self.assertEqual(sum(metric.values.store.values()), 1)

        curio.run(main)

    def test_usage_in_gossip_counts_towards_shares(self):
        instance = make_full_instance()
        for total in (5_000, 9_000):
            gossip = make_gossip(used_by_workspace={"w1": total})
            mesh._apply_gossiped_state(instance, gossip, time.monotonic())
        dump = dump_instance(instance)["admission"]
        self.assertEqual(list(dump["usage"]), ["w1"])
        self.assertAlmostEqual(dump["usage"]["w1"], 4_000, delta=100)
