"""Hold calls to the share in force, and follow orders through stores, eras and peers."""

import time
import unittest
from dataclasses import replace
from unittest.mock import patch

import curio
from returns.result import Failure, Success

from catkintrack.fleet import Feature, RolloutState, RolloutStatus
from catkintrack.http import UpstreamDisconnected
from catkintrack.instance import rollout_news, rollouts, version_choice
from catkintrack.instance.feeds import list_watched_kinds
from catkintrack.instance.fleet_state import apply_upstream
from catkintrack.instance.messages import decode_peer_message, encode_peer_message
from catkintrack.instance.rollout_news import handle_rollout_news, send_rollout_news
from catkintrack.instance.rollout_orders import (
    apply_rollout,
    apply_rollout_list,
    withdraw_rollouts,
)
from catkintrack.instance.rollouts import tick_rollout
from catkintrack.instance.version_answers import count_answer
from catkintrack.instance.version_choice import (
    NO_CHOICE,
    admit_version,
    allows,
    choose_version,
    is_version_over,
    release,
)
from catkintrack.platform import (
    ROLLOUT_KIND,
    ObjectList,
    ObjectMissing,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
    decode_cold_s,
    decode_rollout,
    decode_rollout_status,
    decode_site,
    encode_rollout_status,
)
from catkintrack.rollouts import AnswerCounts, Phase, Verdict, add_answer
from testkit.instances import SETTINGS_LINES, make_call, make_entry_spec, make_route
from testkit.states import make_instance

OLD, NEW = ("a0", "a1"), ("a2", "a3")


def make_order(to="v2", revision=10, era=1, created=10, status=None, **changes):
    spec = {"service": "app", "to": to, "duration_s": 30.0} | changes
    return StoredObject("app", revision, spec, False, era, created, status)


def make_rollout_instance(name="n1"):
    instance = make_instance()
    features = frozenset({Feature.VERSION_ROLLOUTS})
    instance.site = replace(instance.site, features=features, instance=name)
    for ids, version in ((OLD, "v1"), (NEW, "v2")):
        for id in ids:
            fields = {"service": "app", "models": [], "version": version}
            apply_upstream(instance, id, make_entry_spec(**fields), time.monotonic())
    return instance


class RolloutTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_rollout_instance()
        self.now = time.monotonic()

    def apply(self, **changes):
        apply_rollout(self.instance, make_order(**changes), self.now)
        return self.instance.rollouts.rollout_by_service["app"]

    def grant(self, phase=Phase.PROVING):
        rollout = self.instance.rollouts.rollout_by_service["app"]
        rollout.granted_at = time.monotonic()
        rollout.plan.phase, rollout.plan.phase_since = phase, time.monotonic() - 1.5
        return rollout

    def send(self, count=1):
        """Choose and send calls; return how many the new version got."""
        exposed = 0
        for _ in range(count):
            choice = choose_version(self.instance, "app", None)
            upstreams = self.instance.upstream_by_id.values()
            target = next(u for u in upstreams if allows(choice, u))
            self.assertTrue(
                admit_version(self.instance, "app", target, False, self.now)
            )
            exposed += target.software_version == "v2"
            release(choice)
        return exposed

    def admits(self, id, is_pinned=False):
        upstream = self.instance.upstream_by_id[id]
        return admit_version(
            self.instance, "app", upstream, is_pinned, time.monotonic()
        )


class OrderTest(RolloutTest):
    def test_without_an_order_versions_serve_side_by_side(self):
        self.assertEqual(choose_version(self.instance, "app", None), NO_CHOICE)
        self.assertTrue(self.admits("a0") and self.admits("a2"))

    def test_version_that_joins_gets_nothing_until_its_order_may_be_known(self):
        for features, is_held in ((self.instance.site.features, True), ((), False)):
            instance = make_rollout_instance()
            instance.site = replace(instance.site, features=features)
            seen_at = instance.rollouts.seen_at_by_service["app"]
            seen_at.update({"v1": self.now - 9, "v2": self.now - 9})
            spec = make_entry_spec(service="app", models=[], version="v3")
            apply_upstream(instance, "a4", spec, time.monotonic())
            upstream = instance.upstream_by_id["a4"]
            choice = choose_version(instance, "app", None)
            self.assertEqual(allows(choice, upstream), not is_held)
            args = (instance, "app", upstream, False)
            pinned = (instance, "app", upstream, True, time.monotonic())
            self.assertTrue(admit_version(*pinned))
            self.assertEqual(admit_version(*args, time.monotonic()), not is_held)
            self.assertTrue(admit_version(*args, time.monotonic() + 3.0))
            self.assertTrue(allows(choose_version(instance, "app", "v3"), upstream))
            for id in (*OLD, *NEW):
                del instance.upstream_by_id[id]
            self.assertTrue(allows(choose_version(instance, "app", None), upstream))

    def test_kind_is_watched_only_where_switched_on(self):
        self.assertIn(ROLLOUT_KIND, list_watched_kinds(self.instance))
        self.assertNotIn(ROLLOUT_KIND, list_watched_kinds(make_instance()))

    def test_unproven_version_gets_its_share_of_calls_and_one_replica(self):
        rollout = self.apply()
        self.assertEqual(self.send(20), 0)
        self.grant()
        exposed = self.send(200)
        self.assertLessEqual(exposed, 0.1 * rollout.exposure.sent)
        self.assertGreater(exposed, 10)
        self.assertFalse(self.admits("a3") and self.admits("a3"))

    def test_grant_runs_out(self):
        rollout = self.apply()
        self.send(100)
        self.grant()
        self.assertTrue(self.admits("a2"))
        rollout.granted_at -= 2.0
        self.assertFalse(self.admits("a2"))
        self.assertEqual(self.send(50), 0)

    def test_bad_version_gets_nothing_more_also_without_a_holder(self):
        rollout = self.apply()
        rollout.total_counts["lookup", False] = AnswerCounts(
            0, [0] * 10 + [900] + [0] * 22
        )
        rollout.total_counts["lookup", True] = AnswerCounts(30)
        self.send(100)
        self.grant()
        for second in range(4):
            at = time.monotonic() + second
            curio.run(tick_rollout, self.instance, "app", at)
        self.assertIs(rollout.plan.verdict, Verdict.BAD)
        self.assertFalse(self.admits("a2"))

    def test_while_draining_only_begun_streams_go_to_the_old_version(self):
        self.apply()
        self.grant(Phase.DRAINING)
        self.assertEqual(self.send(20), 20)
        self.assertFalse(self.admits("a0"))
        self.assertTrue(self.admits("a0", is_pinned=True))

    def test_old_version_serves_on_if_no_new_replica_is_left(self):
        self.apply()
        self.grant(Phase.DRAINING)
        for id in NEW:
            del self.instance.upstream_by_id[id]
        self.assertEqual(self.send(20), 0)

    def test_calls_that_are_sent_again_do_not_widen_the_share(self):
        rollout = self.apply()
        self.grant()
        old = self.instance.upstream_by_id["a0"]
        for is_first in (True, False, False) * 20:
            self.assertTrue(
                admit_version(self.instance, "app", old, False, self.now, is_first)
            )
        self.assertEqual(rollout.exposure.sent, 20)
        self.assertEqual([self.admits("a2") for _ in range(2)], [True, False])

    def test_streams_of_an_unproven_version_are_taken_up_within_the_bound(self):
        rollout = self.apply()
        self.grant()
        self.send(500)
        self.assertFalse(self.admits("a2"))
        taken = [self.admits("a2", is_pinned=True) for _ in range(40)]
        self.assertGreaterEqual(sum(taken), 5)
        self.assertLessEqual(rollout.exposure.exposed, 0.1 * rollout.exposure.sent)

    def test_resting_replica_of_the_new_version_does_not_fail_calls(self):
        self.apply()
        self.grant()
        self.send(50)
        with patch.object(version_choice, "may_choose", lambda *args: False):
            self.assertEqual(self.send(20), 0)

    def test_other_replica_takes_the_calls_of_one_that_is_ill(self):
        self.apply()
        self.grant().exposure.sent = 50

        def may_choose(instance, upstream, now):
            return upstream.id != "a2"

        with patch.object(version_choice, "may_choose", may_choose):
            choice = choose_version(self.instance, "app", None)
        upstreams = self.instance.upstream_by_id.values()
        self.assertEqual([u.id for u in upstreams if allows(choice, u)], ["a3"])

    def test_begun_streams_do_not_go_to_stopped_replicas(self):
        self.apply(status={"state": "completed", "to": "v2"})
        self.assertTrue(is_version_over(self.instance, "app", "v1"))
        self.assertFalse(is_version_over(self.instance, "app", "v2"))

    def test_rolled_back_version_gets_not_even_begun_streams(self):
        self.apply(status={"state": "rolled_back", "to": "v2"})
        self.grant()
        self.assertEqual(self.send(20), 0)
        self.assertFalse(self.admits("a2", is_pinned=True))
        self.assertTrue(is_version_over(self.instance, "app", "v2"))

    def test_completed_version_gets_all_calls(self):
        self.apply(status={"state": "completed", "to": "v2"})
        self.assertEqual(self.send(20), 20)

    def test_withdrawn_order_stops_the_version(self):
        self.apply()
        self.send(100)
        self.grant()
        withdraw_rollouts(self.instance, ["app"], (1, 12), self.now)
        self.assertEqual(self.send(50), 0)
        self.assertFalse(self.admits("a2"))

    def test_garbled_entry_stops_the_version_until_it_is_readable(self):
        self.apply()
        self.send(100)
        self.grant()
        for changes in ({"to": 7}, {"duration_s": -1}, {"service": "other"}):
            self.apply(revision=11, **changes)
            self.assertFalse(self.admits("a2"))
        rollout = self.apply(revision=12)
        self.assertIs(rollout.plan.state, RolloutState.RUNNING)
        self.assertTrue(self.admits("a2"))

    def test_second_order_replaces_the_first_whose_version_stays_unproven(self):
        self.apply()
        fields = {"service": "app", "models": [], "version": "v3"}
        apply_upstream(self.instance, "a4", make_entry_spec(**fields), self.now)
        rollout = self.apply(to="v3", revision=20)
        self.send(100)
        self.grant()
        self.assertEqual(rollout.order.version, "v3")
        self.assertFalse(self.admits("a2"))
        self.assertTrue(self.admits("a4"))
        # A delayed copy of the first order changes nothing.
        self.assertEqual(self.apply(revision=10).order.version, "v3")

    def test_new_era_that_lacks_the_entry_for_a_while_keeps_the_order(self):
        rollout = self.apply()
        apply_rollout_list(self.instance, ObjectList((), 5, era=2), self.now)
        self.assertIs(rollout.plan.state, RolloutState.RUNNING)
        self.assertIs(self.apply(revision=6, era=2, created=6), rollout)
        apply_rollout_list(self.instance, ObjectList((), 9, era=2), self.now)
        self.assertIs(rollout.plan.state, RolloutState.WITHDRAWN)

    def test_entry_that_stays_away_in_a_new_era_is_withdrawn(self):
        rollout = self.apply()
        apply_rollout_list(self.instance, ObjectList((), 5, era=2), self.now)
        curio.run(tick_rollout, self.instance, "app", self.now + 10)
        self.assertIs(rollout.plan.state, RolloutState.WITHDRAWN)

    def test_times_of_cold_replicas_do_not_count_but_failures_do(self):
        rollout = self.apply()
        fields = {"service": "app", "models": [], "version": "v2"}
        spec = make_entry_spec(**fields) | {"cold_remaining_ms": 5000}
        apply_upstream(self.instance, "a2", spec, time.monotonic())
        call = make_call(route=make_route(name="lookup"), service="app")
        for id in ("a2", "a3"):
            upstream = self.instance.upstream_by_id[id]
            with count_answer(self.instance, call, upstream, 0) as answer:
                answer.sent_at = time.monotonic()
            with (
                self.assertRaises(UpstreamDisconnected),
                count_answer(self.instance, call, upstream, 0) as answer,
            ):
                answer.sent_at = time.monotonic()
                raise UpstreamDisconnected("cut")
        found = rollout.total_counts["lookup", True]
        self.assertEqual((found.whole, found.failed), (1, 2))

    def test_replica_of_an_unknown_version_counts_as_new(self):
        self.apply()
        upstream = self.instance.upstream_by_id["a0"]
        name = f"a0/{upstream.incarnation}"
        self.instance.upstream_by_id["a0"] = replace(upstream, software_version=name)
        self.assertFalse(self.admits("a0"))


class NewsTest(RolloutTest):
    """Pass grants, counts and ends between instances."""

    def exchange(self, sender, receiver):
        sent = []

        async def record(instance, message):
            sent.append(decode_peer_message(encode_peer_message(message)))

        with patch.object(rollout_news, "broadcast", record):
            curio.run(send_rollout_news, sender)
        for message in sent:
            curio.run(handle_rollout_news, receiver, message)
        return sent

    def test_nothing_is_sent_without_an_order(self):
        self.assertEqual(self.exchange(self.instance, make_rollout_instance()), [])

    def test_peer_learns_order_grant_and_counts_only_once(self):
        rollout = self.apply()
        add_answer(rollout.own_counts, "lookup", True, 0.02)
        peer = make_rollout_instance("n2")
        with patch.object(rollout_news, "holds_lease", lambda instance: True):
            self.instance.lease.record = replace(self.instance.lease.record, fencing=4)
            self.exchange(self.instance, peer)
            self.exchange(self.instance, peer)
        found = peer.rollouts.rollout_by_service["app"]
        self.assertEqual(found.order, rollout.order)
        self.assertEqual(found.total_counts["lookup", True].total, 1)
        self.assertEqual(found.fencing, 4)
        self.assertLess(time.monotonic() - found.granted_at, 1.0)

    def test_peer_that_is_not_the_holder_grants_nothing(self):
        self.apply()
        peer = make_rollout_instance("n2")
        self.exchange(self.instance, peer)
        self.assertLess(peer.rollouts.rollout_by_service["app"].granted_at, 0)

    def test_holder_that_has_started_anew_keeps_the_phase(self):
        self.apply()
        self.grant(Phase.DRAINING)
        holder = make_rollout_instance("n2")
        self.exchange(self.instance, holder)
        with patch.object(rollout_news, "holds_lease", lambda instance: True):
            self.exchange(holder, self.instance)
        for instance in (holder, self.instance):
            plan = instance.rollouts.rollout_by_service["app"].plan
            self.assertIs(plan.phase, Phase.DRAINING)

    def test_holder_that_knows_a_later_token_takes_no_step(self):
        rollout = self.apply()
        rollout.fencing = 7
        self.instance.lease.record = replace(self.instance.lease.record, fencing=6)
        with patch.object(rollouts, "holds_lease", lambda instance: True):
            curio.run(tick_rollout, self.instance, "app", self.now)
        self.assertEqual((rollout.fencing, rollout.is_writing), (7, False))

    def test_roll_back_reaches_peers_before_the_store_knows(self):
        rollout = self.apply()
        peer = make_rollout_instance("n2")
        rollout.plan.state, rollout.ended_at = RolloutState.ROLLED_BACK, self.now
        self.exchange(self.instance, peer)
        state = peer.rollouts.rollout_by_service["app"].plan.state
        self.assertIs(state, RolloutState.ROLLED_BACK)

    def test_completion_that_is_not_stored_is_not_passed_on(self):
        rollout = self.apply()
        peer = make_rollout_instance("n2")
        rollout.plan.state = RolloutState.COMPLETED
        self.exchange(self.instance, peer)
        state = peer.rollouts.rollout_by_service["app"].plan.state
        self.assertIs(state, RolloutState.RUNNING)

    def test_roll_back_is_repeated_until_it_is_stored(self):
        rollout = self.apply()
        rollout.plan.state, rollout.ended_at = RolloutState.ROLLED_BACK, self.now - 60
        later = make_rollout_instance("n2")
        self.exchange(self.instance, later)
        state = later.rollouts.rollout_by_service["app"].plan.state
        self.assertIs(state, RolloutState.ROLLED_BACK)
        self.apply(status={"state": "rolled_back", "to": "v2"}, revision=11)
        rollout.ended_at = self.now - 60
        self.assertEqual(self.exchange(self.instance, later), [])


class StatusTest(RolloutTest):
    """Write an order's status to a store that fails."""

    def setUp(self):
        super().setUp()
        self.stored = make_order()
        self.writes = []
        self.failures = []
        self.missing_era = None

    async def get(self, store, kind, name):
        if self.missing_era is not None:
            return Failure(ObjectMissing(self.missing_era))
        return Success(self.stored)

    async def put(self, store, kind, name, status, revision):
        self.assertEqual(status, {"state": status["state"], "to": "v2"})
        fencing = self.instance.lease.record.fencing
        self.writes.append((status["state"], fencing, revision))
        if self.failures:
            return Failure(self.failures.pop())
        if revision != self.stored.revision:
            return Failure(StoreConflict(self.stored.revision, None, 1))
        self.stored = replace(self.stored, revision=revision + 1, status=status)
        return Success(self.stored)

    def write(self, fencing=4, holds=True):
        rollout = self.instance.rollouts.rollout_by_service["app"]
        self.instance.lease.record = replace(
            self.instance.lease.record, fencing=fencing
        )
        with (
            patch.object(rollouts, "get_object", self.get),
            patch.object(rollouts, "replace_status", self.put),
            patch.object(rollouts, "holds_lease", lambda instance: holds),
        ):
            curio.run(rollouts._write_status, self.instance, rollout)
        return rollout

    def test_status_is_written_once_by_each_holder(self):
        self.apply()
        self.write()
        self.write()
        self.write(fencing=5)
        self.assertEqual(self.writes, [("running", 4, 10), ("running", 5, 11)])

    def test_instance_without_the_lease_writes_nothing(self):
        self.apply()
        self.write(holds=False)
        self.assertEqual(self.writes, [])

    def test_write_that_failed_is_repeated(self):
        self.apply()
        self.failures = [StoreUnavailable("status 503")]
        rollout = self.write()
        self.assertIsNone(rollout.stored)
        self.write()
        self.assertEqual(rollout.stored.state, RolloutState.RUNNING)

    def test_end_that_another_holder_has_written_is_adopted(self):
        rollout = self.apply()
        rollout.plan.state = RolloutState.COMPLETED
        status = RolloutStatus(RolloutState.ROLLED_BACK, "v2")
        fields = encode_rollout_status(status)
        self.stored = replace(self.stored, revision=15, status=fields)
        self.write()
        self.assertIs(rollout.plan.state, RolloutState.ROLLED_BACK)
        self.assertEqual(self.writes, [])

    def test_deleted_entry_of_an_ended_order_is_not_read_again(self):
        for era in (1, 2):
            with self.subTest(era=era):
                rollout = self.apply(revision=10 + era, created=10 + era)
                rollout.plan.state = RolloutState.ROLLED_BACK
                self.missing_era = era
                self.write()
                curio.run(tick_rollout, self.instance, "app", time.monotonic() + 3.0)
                self.assertFalse(rollouts._is_write_due(self.instance, rollout))
                self.instance.store.era = 2
        self.assertEqual(self.writes, [])

    def test_garbled_entry_gets_no_status(self):
        self.apply(status={"state": "running", "to": "v2", "fence": 3})
        self.stored = make_order(revision=11, to=7)
        self.write()
        self.assertEqual(self.writes, [])

    def test_completion_is_written_again_to_a_copy_that_lacks_it(self):
        rollout = self.apply(status={"state": "completed", "to": "v2"})
        self.instance.store.era = 2
        self.stored = make_order(revision=4, era=2, created=3)
        self.write()
        self.assertEqual(self.writes, [("completed", 4, 4)])
        self.assertTrue(rollout.is_completed)
        self.assertEqual(rollout.stored_era, 2)

    def test_new_order_is_not_ended_by_the_status_of_the_one_before(self):
        ended = {"state": "rolled_back", "to": "v2", "fence": 3}
        self.apply(status=ended)
        again = {"duration_s": 60.0, "revision": 20, "status": ended}
        rollout = self.apply(**again)
        self.assertIs(rollout.plan.state, RolloutState.RUNNING)
        self.stored = make_order(**again)
        self.write()
        self.assertEqual(self.writes, [("running", 4, 20)])


class FormatTest(unittest.TestCase):
    def test_orders_of_other_writers_are_refused(self):
        good = {"service": "app", "to": "v2", "duration_s": 30}
        self.assertEqual(decode_rollout("app", good, 3).unwrap().version, "v2")
        bad = ({"to": ""}, {"to": None}, {"duration_s": 0}, {"duration_s": 1e12})
        for changes in (*bad, {"service": "b"}, {"duration_s": float("nan")}):
            self.assertIsInstance(decode_rollout("app", good | changes, 3), Failure)
        for spec in (None, [], "x", {}):
            self.assertIsInstance(decode_rollout("app", spec, 3), Failure)

    def test_bounds_come_from_the_settings(self):
        lines = (
            "contracts=rollout\nbounds.exposure_share=0.2\nbounds.rollback_ms=4000\n"
        )
        site = decode_site(SETTINGS_LINES + lines).unwrap()
        self.assertEqual(
            (site.bounds.exposure_share, site.bounds.rollback_s), (0.2, 4.0)
        )
        self.assertIn(Feature.VERSION_ROLLOUTS, site.features)

    def test_odd_cold_times_count_as_none(self):
        self.assertEqual(decode_cold_s({"cold_remaining_ms": 1500}), 1.5)
        for odd in (
            None,
            [],
            {},
            {"cold_remaining_ms": "5"},
            {"cold_remaining_ms": -1},
        ):
            self.assertEqual(decode_cold_s(odd), 0.0)

    def test_status_is_read_as_written(self):
        status = RolloutStatus(RolloutState.ROLLED_BACK, "v2")
        self.assertEqual(decode_rollout_status(encode_rollout_status(status)), status)
        for odd in (None, 3, {}, {"state": "odd", "to": "v2"}, {"state": "running"}):
            self.assertIsNone(decode_rollout_status(odd))


if __name__ == "__main__":
    unittest.main()
