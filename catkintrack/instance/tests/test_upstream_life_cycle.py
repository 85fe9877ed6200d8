"""Use an upstream that leaves and returns as if it were new, whichever way it left."""

import unittest
from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from typing import Any

import curio

from catkintrack.decisions.prefills import Prefill, add_prefill
from catkintrack.fleet import ModelWeights, UpstreamReport
from catkintrack.instance.anti_entropy import (
    handle_stored_upstreams,
    handle_upstream_changes,
)
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import (
    LAPSE_GRACE_S,
    apply_replica_weights,
    apply_upstream,
    apply_upstreams,
    remove_lapsed_upstreams,
    remove_upstreams,
)
from catkintrack.instance.messages import StoredUpstreams, UpstreamsChanged
from catkintrack.instance.reports import record_report
from catkintrack.instance.state import Feed, Instance
from catkintrack.platform import UPSTREAM_KIND
from catkintrack.weights import record_load_sent
from testkit.instances import make_config_spec, make_entry_spec
from testkit.states import make_instance


def find_keyed_tables(owner: Any, key: str, path: str = "") -> Iterator[str]:
    """Yield the paths of all tables below `owner` that hold an entry for `key`."""
    if isinstance(owner, dict):
        if key in owner:
            yield path
        for name, value in owner.items():
            yield from find_keyed_tables(value, key, f"{path}[{name}]")
    elif is_dataclass(owner):
        for field in fields(owner):
            value = getattr(owner, field.name)
            yield from find_keyed_tables(value, key, f"{path}.{field.name}")


def make_report(incarnation: int) -> UpstreamReport:
    return UpstreamReport((ModelWeights("m1", 2),), False, 4, 0, 0, incarnation)


class UpstreamLifeCycleTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        self.feed = Feed(UPSTREAM_KIND)
        self.instance.feed_by_kind[UPSTREAM_KIND] = self.feed
        apply_configuration(self.instance, 5, make_config_spec(7), "store")
        self.put(1.0)

    def put(self, now: float, version: int = 2, **changes: Any) -> None:
        models = [{"name": "m1", "version": version, "adapters": []}]
        spec = make_entry_spec(models=models, **changes)
        apply_upstream(self.instance, "i1", spec, now)

    def drop(self) -> None:
        remove_upstreams(self.instance, ["i1"], 2.0)
        remove_lapsed_upstreams(self.instance, 2.0 + LAPSE_GRACE_S)
        self.assertNotIn("i1", self.instance.upstream_by_id)

    def assert_usable(self, version: int = 2) -> None:
        row = self.instance.decisions.upstream_by_name["i1"]
        self.assertEqual(row.weights_version, version)
        self.assertFalse(row.is_leaving)

    def test_removed_entry_that_returns(self):
        self.drop()
        self.put(3.0)
        self.assert_usable()

    def test_lapsed_entry_that_returns_after_the_grace_period(self):
        apply_upstreams(self.instance, {}, 2.0, LAPSE_GRACE_S)
        remove_lapsed_upstreams(self.instance, 2.0 + LAPSE_GRACE_S)
        self.put(9.0)
        self.assert_usable()

    def test_drained_replica_that_returns(self):
        self.put(2.0, state="draining")
        self.drop()
        self.put(3.0)
        self.assert_usable()

    def test_restarted_replica_that_returns(self):
        self.drop()
        self.put(3.0, born=2000)
        self.assert_usable()

    def test_unreadable_entry_that_is_readable_again(self):
        with self.assertLogs("catkintrack.instance.fleet_state", "WARNING"):
            apply_upstream(self.instance, "i1", None, 2.0)
        self.put(3.0)
        self.assert_usable()

    def test_listed_again(self):
        apply_upstreams(self.instance, {}, 2.0, LAPSE_GRACE_S)
        remove_lapsed_upstreams(self.instance, 2.0 + LAPSE_GRACE_S)
        models = [{"name": "m1", "version": 2, "adapters": []}]
        apply_upstreams(self.instance, {"i1": make_entry_spec(models=models)}, 9.0)
        self.assert_usable()

    def test_returned_through_a_hub(self):
        spec = self.instance.spec_by_upstream["i1"]
        self.drop()
        message = UpstreamsChanged(0, 9, {"i1": spec}, (), False)
        curio.run(handle_upstream_changes, self.instance, message)
        self.assert_usable()

    def test_returned_through_a_peer(self):
        spec = self.instance.spec_by_upstream["i1"]
        self.drop()
        curio.run(
            handle_stored_upstreams, self.instance, StoredUpstreams(9, {"i1": spec})
        )
        self.assert_usable()

    def test_dropped_and_returned_while_its_weights_load(self):
        weights = ModelWeights("m1", 3)
        record_load_sent(self.instance.weights, "i1", weights, 1.5)
        self.drop()
        self.put(3.0)
        self.assert_usable()
        apply_replica_weights(self.instance, "i1", weights, 3.5)
        self.assert_usable(3)

    def test_report_of_a_dropped_replica_is_not_recorded(self):
        upstream = self.instance.upstream_by_id["i1"]
        self.drop()
        report = make_report(upstream.incarnation)
        record_report(self.instance, upstream, report, 2.5)
        self.assertEqual(list(find_keyed_tables(self.instance, "i1")), [])

    def test_report_of_an_earlier_incarnation_is_not_recorded(self):
        earlier = self.instance.upstream_by_id["i1"]
        self.put(2.0, born=2000)
        record_report(self.instance, earlier, make_report(earlier.incarnation), 2.5)
        self.assertNotIn("i1", self.instance.weights.order_count_by_upstream)

    def test_nothing_is_kept_of_a_dropped_replica(self):
        instance = self.instance
        record_load_sent(instance.weights, "i1", ModelWeights("m1", 3), 1.5)
        instance.weights.order_count_by_upstream["i1"] = 4
        instance.report_requested_at_by_upstream["i1"] = 1.5
        instance.probed_at_by_upstream["i1"] = 1.5
        prefill = Prefill("r1", "i1", (7,), 500, 9.0)
        add_prefill(instance.decisions.prefills, prefill)
        self.drop()
        self.assertEqual(list(find_keyed_tables(instance, "i1")), [])
        self.assertEqual(instance.decisions.prefills.prefill_by_id, {})


class MassRemovalTest(unittest.TestCase):
    """The store is back after an outage that this instance did not notice."""

    def setUp(self):
        self.instance: Instance = make_instance()
        apply_configuration(self.instance, 5, make_config_spec(7), "store")
        self.specs = {
            f"i{n}": make_entry_spec(address=f"127.0.0.1:{8080 + n}") for n in range(6)
        }
        apply_upstreams(self.instance, self.specs, 1.0)

    def test_list_without_most_replicas_keeps_them_for_a_while(self):
        apply_upstreams(self.instance, {"i0": self.specs["i0"]}, 2.0)
        self.assertEqual(len(self.instance.upstream_by_id), 6)
        apply_upstreams(self.instance, self.specs, 3.4)
        remove_lapsed_upstreams(self.instance, 9.0)
        self.assertEqual(len(self.instance.upstream_by_id), 6)

    def test_replicas_that_stay_away_leave_within_the_bound_for_leaving_ones(self):
        apply_upstreams(self.instance, {}, 2.0)
        bound_s = self.instance.site.bounds.drain_s
        remove_lapsed_upstreams(self.instance, 2.0 + bound_s)
        self.assertEqual(self.instance.upstream_by_id, {})

    def test_few_missing_replicas_leave_at_once(self):
        remaining = {id: self.specs[id] for id in ("i0", "i1", "i2", "i3")}
        apply_upstreams(self.instance, remaining, 2.0)
        self.assertEqual(set(self.instance.upstream_by_id), set(remaining))

    def test_draining_replicas_leave_at_once(self):
        for id, spec in self.specs.items():
            apply_upstream(self.instance, id, spec | {"state": "draining"}, 1.5)
        apply_upstreams(self.instance, {}, 2.0)
        self.assertEqual(self.instance.upstream_by_id, {})


if __name__ == "__main__":
    unittest.main()
