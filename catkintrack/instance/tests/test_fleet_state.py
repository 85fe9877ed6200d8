"""Apply state from the store, peers and replicas, in any order and also if invalid."""

import unittest

from catkintrack.fleet import ModelWeights, Workspace
from catkintrack.http import Request, UpstreamExchangeError
from catkintrack.instance.calls import make_call
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import (
    LAPSE_GRACE_S,
    apply_replica_weights,
    apply_target_weights,
    apply_upstream,
    apply_upstreams,
    remove_lapsed_upstreams,
    remove_upstreams,
)
from catkintrack.instance.messages import decode_peer_message, encode_peer_message
from catkintrack.instance.prompts import (
    hash_cached_block,
    hash_prompt_blocks,
    make_cache_salt,
)
from catkintrack.instance.refusals import NotServed, UnknownKey, UnknownRoute
from catkintrack.instance.state import Feed, Instance
from catkintrack.instance.stream_events import EventSplitter
from catkintrack.platform import CONFIG_KIND, parse_request_headers
from testkit.instances import make_call as make_test_call
from testkit.instances import (
    make_config_spec,
    make_entry_spec,
    make_prompt,
)
from testkit.states import make_gossip, make_instance


def make_request(host=b"h1.example", key=b"key-1", path=b"/long/1") -> Request:
    headers = (
        (b"host", host),
        (b"x-request-id", b"r1"),
        (b"x-deadline-ms", b"9000"),
        (b"x-credential", key),
    )
    return Request(b"POST", path, headers)


def accept_call(instance: Instance, request: Request, now: float):
    return make_call(instance, request, parse_request_headers(request).unwrap(), now)


class ConfigurationTest(unittest.TestCase):
    def test_older_revisions_are_ignored(self):
        instance = make_instance()
        self.assertTrue(apply_configuration(instance, 5, make_config_spec(7), "store"))
        self.assertFalse(apply_configuration(instance, 4, make_config_spec(9), "peer"))
        self.assertFalse(apply_configuration(instance, 6, make_config_spec(6), "peer"))
        self.assertEqual(instance.config.revision, 7)

    def test_invalid_configuration_keeps_the_previous_one(self):
        instance = make_instance()
        apply_configuration(instance, 5, make_config_spec(7), "store")
        with self.assertLogs("catkintrack.instance.config_state", "ERROR"):
            apply_configuration(instance, 6, {"version": "x"}, "store")
        self.assertEqual(instance.config.revision, 7)

    def test_entries_received_before_their_service_is_configured_apply(self):
        instance = make_instance()
        apply_configuration(
            instance, 5, make_config_spec(7, services=[{"name": "app"}]), "store"
        )
        apply_upstream(instance, "i1", make_entry_spec(), 1.0)
        self.assertEqual(instance.upstream_by_id, {})
        apply_configuration(instance, 6, make_config_spec(8), "store")
        self.assertIn("i1", instance.upstream_by_id)


class RefusalTest(unittest.TestCase):
    def test_missing_configuration_is_not_a_denial(self):
        with self.assertRaises(NotServed):
            accept_call(make_instance(), make_request(), 1.0)

    def test_unknown_route_or_key_is_denied_only_with_a_current_configuration(self):
        instance = make_instance()
        apply_configuration(instance, 5, make_config_spec(7), "store")
        feed = instance.feed_by_kind[CONFIG_KIND] = Feed(CONFIG_KIND)
        feed.last_success_at = 10.0
        with self.assertRaises(UnknownRoute):
            accept_call(instance, make_request(host=b"h9.example"), 10.1)
        with self.assertRaises(UnknownKey):
            accept_call(instance, make_request(key=b"other"), 10.1)
        feed.last_failure_at = 11.0
        with self.assertRaises(NotServed):
            accept_call(instance, make_request(key=b"other"), 15.0)
        self.assertEqual(
            accept_call(instance, make_request(), 15.0).workspace.name, "w1"
        )

    def test_deadline_is_the_shorter_of_header_and_route_timeout(self):
        instance = make_instance()
        apply_configuration(instance, 5, make_config_spec(7), "store")
        self.assertEqual(accept_call(instance, make_request(), 10.0).deadline_at, 19.0)
        short = make_request(path=b"/long/short/1")
        self.assertEqual(accept_call(instance, short, 10.0).deadline_at, 12.5)


class UpstreamTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        apply_configuration(self.instance, 5, make_config_spec(7), "store")
        apply_upstream(self.instance, "i1", make_entry_spec(), 1.0)

    def test_invalid_discovery_entry_is_skipped(self):
        for number, spec in enumerate((None, 5, make_entry_spec(state="x"))):
            with self.assertLogs("catkintrack.instance.fleet_state", "WARNING"):
                apply_upstream(self.instance, f"bad{number}", spec, 1.0)
        self.assertEqual(set(self.instance.upstream_by_id), {"i1"})

    def test_removed_entry_drops_the_replica_at_once(self):
        remove_upstreams(self.instance, ["i1"], 2.0)
        self.assertEqual(self.instance.upstream_by_id, {})
        self.assertEqual(self.instance.decisions.upstream_by_name, {})

    def test_lapsed_entry_restored_in_time_keeps_the_replica(self):
        apply_upstreams(self.instance, {}, 2.0, LAPSE_GRACE_S)
        remove_lapsed_upstreams(self.instance, 3.0)
        self.assertIn("i1", self.instance.upstream_by_id)
        apply_upstreams(self.instance, {"i1": make_entry_spec()}, 3.5, LAPSE_GRACE_S)
        remove_lapsed_upstreams(self.instance, 9.0)
        self.assertIn("i1", self.instance.upstream_by_id)

    def test_lapsed_entry_not_restored_drops_the_replica(self):
        apply_upstreams(self.instance, {}, 2.0, LAPSE_GRACE_S)
        remove_lapsed_upstreams(self.instance, 4.6)
        self.assertNotIn("i1", self.instance.upstream_by_id)

    def test_draining_replica_is_marked_leaving(self):
        apply_upstream(self.instance, "i1", make_entry_spec(state="draining"), 2.0)
        self.assertTrue(self.instance.decisions.upstream_by_name["i1"].is_leaving)

    def test_restarted_replica_loses_its_cache_and_order_count(self):
        instance = self.instance
        row = instance.decisions.upstream_by_name["i1"]
        instance.weights.order_count_by_upstream["i1"] = 4
        instance.decisions.residency.holders_by_block[99] = 1 << row.bit_index
        apply_upstream(instance, "i1", make_entry_spec(born=2000), 2.0)
        self.assertEqual(instance.decisions.residency.holders_by_block, {})
        self.assertNotIn("i1", instance.weights.order_count_by_upstream)

    def test_new_weights_clear_the_cache_and_older_versions_are_ignored(self):
        instance = self.instance
        row = instance.decisions.upstream_by_name["i1"]
        instance.decisions.residency.holders_by_block[99] = 1 << row.bit_index
        apply_replica_weights(instance, "i1", ModelWeights("m1", 3), 2.0)
        self.assertEqual(instance.decisions.residency.holders_by_block, {})
        apply_replica_weights(instance, "i1", ModelWeights("m1", 2), 2.1)
        self.assertEqual(row.weights_version, 3)

    def test_target_weights_keep_the_age_reported_by_a_peer(self):
        instance = self.instance
        weights = ModelWeights("m1", 2)
        apply_target_weights(instance, weights, 4.0, 10.0, "peer")
        self.assertEqual(instance.decisions.target_by_model["m1"].set_at, 6.0)


class PromptTest(unittest.TestCase):
    def test_cache_salt_and_prompt_yield_the_same_block_name(self):
        isolated = Workspace("w2", frozenset(), is_isolated=True)
        for workspace in (None, Workspace("w1", frozenset()), isolated):
            call = make_test_call(workspace=workspace)
            prompt = make_prompt(100, 200)
            blocks, ends = hash_prompt_blocks(call, prompt)
            salt = make_cache_salt(call, "m1", 3)
            self.assertEqual(hash_cached_block(salt, "p1"), (3, blocks[1]))
            self.assertEqual(ends, (100, 300))

    def test_isolated_workspace_shares_no_cache_blocks(self):
        isolated = Workspace("w2", frozenset(), is_isolated=True)
        prompt = make_prompt(100)
        own, _ = hash_prompt_blocks(make_test_call(workspace=isolated), prompt)
        shared, _ = hash_prompt_blocks(make_test_call(), prompt)
        self.assertNotEqual(own, shared)
        salts = {
            make_cache_salt(make_test_call(workspace=isolated), "m1", 3),
            make_cache_salt(make_test_call(), "m1", 3),
            make_cache_salt(make_test_call(), "m1", 4),
        }
        self.assertEqual(len(salts), 3)

    def test_salts_of_other_writers_are_ignored(self):
        for salt in ("", "s1", "m1/x/", "a/b/c/d"):
            self.assertIsNone(hash_cached_block(salt, "p1"))


class EventTest(unittest.TestCase):
    def test_only_complete_events_pass(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a\n"), b"")
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual(splitter.feed(b"\nid: 2\nda"), b"id: 1\ndata: a\n\n")
        self.assertEqual(splitter.last_event_id, 1)

    def test_a_gap_or_a_repeat_breaks_the_stream(self):
        for second in (b"id: 3\ndata: c\n\n", b"id: 1\ndata: a\n\n"):
            splitter = EventSplitter()
            splitter.feed(b"id: 1\ndata: a\n\n")
            with self.assertRaises(UpstreamExchangeError):
                splitter.feed(second)

    def test_a_resumed_stream_goes_on_after_the_last_event(self):
        splitter = EventSplitter(4)
        self.assertEqual(splitter.feed(b"id: 5\n\n"), b"id: 5\n\n")
        with self.assertRaises(UpstreamExchangeError):
            EventSplitter(4).feed(b"id: 1\n\n")


class MessageTest(unittest.TestCase):
    def test_gossip_message_round_trip(self):
        gossip = make_gossip(
            named_weights={"m1": ((2, 0.5),)},
            version_by_upstream={"i1": ("m1", 2)},
            used_by_workspace={"w1": 5},
            level_by_workspace={"w1": -3},
            in_flight_by_upstream={"i1": 1},
        )
        self.assertEqual(decode_peer_message(encode_peer_message(gossip)), gossip)
