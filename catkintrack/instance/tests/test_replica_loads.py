"""Test how instances share the loads that replicas name, without sockets."""

from __future__ import annotations

import unittest

from catkintrack.decisions import Dispatch, submit, tick
from catkintrack.decisions.scheduler import (
    put_upstream,
    record_first_token,
    record_remote_prefill,
)
from catkintrack.decisions.services import ensure_service_row
from catkintrack.decisions.speeds import enable_speeds
from catkintrack.fleet import ReplicaLoad
from catkintrack.instance.fleet_state import INITIAL_PREFILL_TOKENS_PER_S
from catkintrack.instance.messages import (
    PrefillEnded,
    SharedLoad,
    decode_peer_message,
    encode_peer_message,
)
from catkintrack.instance.replica_loads import (
    add_shared_load,
    apply_gossiped_loads,
    apply_prefill_ended,
    describe_replica,
    list_gossiped_loads,
    observe_replicas,
    record_load,
    record_service_load,
)
from testkit.loads import make_long_request
from testkit.states import make_instance


def make_instance_with_replica(is_shared=True):
    """Return an instance that knows one replica, and the replica's row."""
    instance = make_instance()
    if is_shared:
        enable_speeds(instance.decisions)
    models = frozenset({"m1"})
    rate = INITIAL_PREFILL_TOKENS_PER_S
    row = put_upstream(instance.decisions, "u0", "z1", models, 32, False, rate)
    row.incarnation = "life"
    return instance, row


def run_prefill(instance, row, now, prefill_s, slowdown):
    """Run a call until its first token; return the message that ends its prefill."""
    tables = instance.decisions
    submit(tables, make_long_request("r1", 7, now), now)
    (decision,) = tick(tables, now, instance.rng, "catkintrack")
    assert isinstance(decision, Dispatch)
    load = ReplicaLoad(4, 1, 32, slowdown)
    record_load(instance, row, load, now + prefill_s)
    record_first_token(tables, "r1", "life", now + prefill_s)
    return add_shared_load(instance, PrefillEnded("r1", "life"), load)


class SharedLoadTest(unittest.TestCase):
    """Guard against loads and speeds known only from an instance's own rare calls."""

    def test_load_and_speed_seen_by_one_instance_reach_another(self):
        sender, sender_row = make_instance_with_replica()
        message = run_prefill(sender, sender_row, 100.0, 0.5, 2.5)
        message = decode_peer_message(encode_peer_message(message))
        receiver, row = make_instance_with_replica()
        record_remote_prefill(receiver.decisions, "r1", "u0", (1,), 11_992, 1, 100.1)
        self.assertEqual(row.sent_since_report, 1)
        apply_prefill_ended(receiver, message, 100.6)
        self.assertEqual((row.reported_running, row.reported_waiting), (4, 1))
        self.assertEqual(row.sent_since_report, 0)
        self.assertTrue(receiver.decisions.has_uneven_replicas)
        # Settled by the next end of a prefill there.
        record_remote_prefill(receiver.decisions, "r2", "u0", (2,), 100, 1, 101.0)
        later = PrefillEnded("r2", "life", load=SharedLoad(3, 0, 1.0))
        apply_prefill_ended(receiver, later, 101.1)
        usual = 11_992 / 0.49 * 2.5
        self.assertAlmostEqual(row.prefill_tokens_per_s / usual, 1.0, delta=0.1)

    def test_message_of_an_earlier_build_and_one_for_an_unknown_call_are_ignored(self):
        instance, row = make_instance_with_replica()
        apply_prefill_ended(instance, PrefillEnded("gone", "life"), 100.0)
        load = SharedLoad(9, 9, 2.5, 0.1)
        apply_prefill_ended(instance, PrefillEnded("gone", "life", load=load), 100.0)
        self.assertEqual(row.reported_running, 0)

    def test_nothing_is_shared_where_it_is_not_switched_on(self):
        instance, row = make_instance_with_replica(is_shared=False)
        message = run_prefill(instance, row, 100.0, 0.5, None)
        self.assertIsNone(message.load)
        service_row = ensure_service_row(instance.services, "s1")
        record_service_load(instance, service_row, ReplicaLoad(1, 0, 6), 100.0)
        self.assertEqual(list_gossiped_loads(instance, 100.1), {})

    def test_load_of_a_replica_without_an_engine_is_gossiped_while_it_is_new(self):
        sender, _ = make_instance_with_replica()
        sender_row = ensure_service_row(sender.services, "s1")
        record_service_load(sender, sender_row, ReplicaLoad(5, 2, 6, 2.5), 100.0)
        loads = list_gossiped_loads(sender, 100.2)
        receiver, _ = make_instance_with_replica()
        row = ensure_service_row(receiver.services, "s1")
        apply_gossiped_loads(receiver, loads | {"unknown": (1, 1, 0.0, 0)}, 100.3)
        self.assertEqual((row.reported_running, row.reported_waiting), (5, 2))
        self.assertEqual(row.speed.slowdown, 2.5)
        self.assertEqual(list_gossiped_loads(sender, 101.0), {})

    def test_gossiped_load_of_a_negative_age_blocks_no_later_one(self):
        receiver, _ = make_instance_with_replica()
        row = ensure_service_row(receiver.services, "s0")
        apply_gossiped_loads(receiver, {"s0": (9, 0, 0.0, -(10**9))}, 100.0)
        record_service_load(receiver, row, ReplicaLoad(1, 0), 100.1)
        self.assertEqual(row.reported_running, 1)

    def test_operators_see_speeds_and_memory(self):
        instance, row = make_instance_with_replica()
        row.memory_tokens = 100_000
        run_prefill(instance, row, 100.0, 0.5, 2.5)
        described = describe_replica(row, 100.5)
        self.assertEqual(described["slowdown"], 2.5)
        self.assertEqual(described["held_tokens"], (4 + 1) * (512 + 4870 + 6610 + 160))
        observe_replicas(instance, 100.5)
        rates = instance.metrics.prefill_rates
        self.assertEqual(rates.get({"stat": "max"}), 85_000 / 2.5)


if __name__ == "__main__":
    unittest.main()
