"""Keep the newest configuration in force when the store comes back from a copy."""

import time
import unittest
from dataclasses import asdict
from unittest.mock import patch

import curio

from catkintrack.fleet import RateLimit
from catkintrack.instance import anti_entropy
from catkintrack.instance.config_history import record_superseded
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.feeds import make_stored_config
from catkintrack.instance.gossip import make_gossip
from catkintrack.instance.messages import Pull
from catkintrack.instance.peers import get_or_add_peer
from catkintrack.instance.process import keep_house
from catkintrack.instance.state import Feed
from catkintrack.platform import CONFIG_KIND, observe_era
from catkintrack.pooling import PooledLimits, take
from testkit.instances import make_config_spec
from testkit.states import RecordingLink, make_instance

NOW = 1000.0
LIMIT = RateLimit(1.0, 1000.0, True, 10.0)


def make_known(version=5, revision=105, is_written=True):
    """Return an instance with a configuration of era 1."""
    instance = make_instance()
    observe_era(instance.store, 1, "store")
    spec = make_config_spec(version)
    apply_configuration(instance, revision, spec, "store", 1, is_written)
    return instance


class ConfigEraTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_known()

    def offer(self, era, revision, version, is_written=False, **changes):
        """Offer a configuration and return the version that is in force then."""
        spec = make_config_spec(version, **changes)
        apply_configuration(self.instance, revision, spec, "store", era, is_written)
        return self.instance.config.revision

    def test_configuration_of_the_copy_does_not_come_into_force(self):
        with self.assertLogs("catkintrack.instance.config_state", "WARNING"):
            self.assertEqual(self.offer(2, 95, 4), 5)
        self.assertEqual(self.instance.config_stamp, (1, 105))
        self.assertEqual(self.offer(2, 95, 4), 5)

    def test_key_withdrawn_since_the_copy_stays_withdrawn(self):
        without_key = [{"name": "w1", "api_keys": ["key-9"]}]
        self.assertEqual(self.offer(1, 106, 6, True, tenants=without_key), 6)
        self.offer(2, 95, 4)
        keys = self.instance.config.workspace_by_key
        self.assertEqual(list(keys), ["key-9"])

    def test_newest_configuration_written_again_is_confirmed(self):
        self.offer(2, 95, 4)
        self.offer(2, 97, 5, True)
        self.assertEqual(self.instance.config_stamp, (2, 97))
        self.assertTrue(self.instance.is_config_written)
        self.assertEqual(self.offer(2, 98, 6, True), 6)

    def test_lower_revision_and_version_written_in_the_new_era_take_effect(self):
        self.assertEqual(self.offer(2, 96, 3, True), 3)

    def test_change_after_the_one_of_the_copy_takes_effect(self):
        """A list shows it if the change itself was missed."""
        self.offer(2, 95, 4)
        self.assertEqual(self.offer(2, 96, 3), 3)

    def test_newer_version_in_the_first_list_takes_effect(self):
        self.assertEqual(self.offer(2, 96, 6), 6)

    def test_higher_revision_than_a_copy_can_have_takes_effect(self):
        self.assertEqual(self.offer(2, 106, 3), 3)

    def test_copy_that_has_the_newest_configuration(self):
        self.offer(2, 105, 5)
        self.assertEqual(self.instance.config_stamp, (2, 105))
        self.assertEqual(self.offer(2, 106, 4, True), 4)

    def test_second_copy_of_the_first_era(self):
        self.offer(2, 95, 4)
        self.offer(2, 97, 6, True)
        self.assertEqual(self.offer(3, 95, 4), 6)
        self.assertEqual(self.offer(3, 96, 7, True), 7)

    def test_late_one_of_an_earlier_era_is_ignored(self):
        self.offer(2, 96, 6, True)
        self.assertEqual(self.offer(1, 109, 9, True), 6)

    def test_revisions_decide_within_an_era(self):
        self.assertEqual(self.offer(1, 104, 6, True), 5)
        self.assertEqual(self.offer(1, 106, 4, True), 4)

    def test_higher_version_of_a_copy_is_older_after_a_lower_one_was_written(self):
        """Guards against the version that an operator has taken back."""
        self.offer(2, 96, 3, True)
        self.assertEqual(self.offer(3, 95, 5), 3)
        self.assertEqual(self.offer(3, 96, 3, True), 3)
        self.assertEqual(self.offer(3, 97, 4, True), 4)


class ConfigPullTest(unittest.TestCase):
    """Let instances tell each other what they have, in one era or in two."""

    def exchange(self, receiver, sender):
        """Gossip from sender to receiver; return the receiver's pulls."""
        site = sender.site
        peer = get_or_add_peer(receiver, "n2", "z1", site.mesh.host, 9000)
        peer.link = RecordingLink()
        gossip = make_gossip(sender, NOW, True)
        observe_era(receiver.store, gossip.era, "n2")
        curio.run(anti_entropy.pull_newer, receiver, peer, gossip, NOW)
        pulls = [m for m in peer.link.sent if isinstance(m, Pull) and m.wants_config]
        for _ in pulls:
            message = make_stored_config(sender)
            curio.run(anti_entropy.handle_stored_config, receiver, message)
        return len(pulls)

    def test_instance_out_of_touch_learns_what_was_written_in_the_new_era(self):
        cut_off, in_touch = make_known(), make_known()
        observe_era(in_touch.store, 2, "store")
        apply_configuration(in_touch, 97, make_config_spec(4), "store", 2, True)
        self.assertEqual(self.exchange(cut_off, in_touch), 1)
        self.assertEqual(cut_off.config.revision, 4)
        self.assertEqual(cut_off.store.era, 2)
        self.assertEqual(self.exchange(cut_off, in_touch), 0)

    def test_instance_that_starts_with_the_copy_learns_the_newer_one(self):
        newcomer, other = make_instance(), make_known()
        observe_era(newcomer.store, 2, "store")
        observe_era(other.store, 2, "store")
        apply_configuration(newcomer, 95, make_config_spec(4), "store", 2)
        replaced = make_config_spec(4)
        record_superseded(other.config_history, replaced, other.config_spec)
        apply_configuration(other, 95, replaced, "store", 2)
        self.assertEqual(self.exchange(newcomer, other), 1)
        self.assertEqual(newcomer.config.revision, 5)
        apply_configuration(newcomer, 95, make_config_spec(4), "store", 2)
        self.assertEqual(newcomer.config.revision, 5)
        apply_configuration(newcomer, 96, make_config_spec(4), "store", 2, True)
        self.assertEqual(newcomer.config.revision, 4)

    def test_peer_tells_what_its_configuration_has_replaced(self):
        newcomer, other = make_instance(), make_known()
        apply_configuration(other, 96, make_config_spec(3), "store", 2, True)
        self.exchange(newcomer, other)
        apply_configuration(newcomer, 95, make_config_spec(5), "store", 3)
        self.assertEqual(newcomer.config.revision, 3)

    def test_instance_that_starts_does_not_take_one_that_was_replaced(self):
        """Guards against a peer that has not heard of the new era yet."""
        newcomer, other = make_instance(), make_known()
        observe_era(newcomer.store, 2, "store")
        apply_configuration(newcomer, 96, make_config_spec(4), "store", 2)
        self.exchange(newcomer, other)
        self.assertEqual(newcomer.config.revision, 4)

    def test_one_that_may_be_the_copys_stays_held_back_until_written_again(self):
        instance = make_known()
        observe_era(instance.store, 2, "store")
        spec = make_config_spec(4)
        with self.assertLogs("catkintrack.instance.config_state", "WARNING"):
            apply_configuration(instance, 95, spec, "store", 2)
        held_back = instance.metrics.config_held_back
        self.assertEqual(held_back.get({}), 1)
        feed = instance.feed_by_kind[CONFIG_KIND] = Feed(CONFIG_KIND)
        feed.last_success_at = 3.0
        now = time.monotonic()
        for later_s in (6.5, 60.0, 86_400.0):
            with patch.object(time, "monotonic", lambda s=later_s: now + s):
                curio.run(keep_house, instance)
                apply_configuration(instance, 95, spec, "store", 2)
            self.assertEqual(instance.config.revision, 5)
        apply_configuration(instance, 96, spec, "store", 2, True)
        self.assertEqual(instance.config.revision, 4)
        self.assertEqual(held_back.get({}), 0)

    def test_one_that_was_replaced_here_or_at_a_peer_never_applies_by_itself(self):
        here, other = make_instance(), make_known()
        observe_era(here.store, 1, "store")
        for version, revision in ((4, 95), (5, 105)):
            spec = make_config_spec(version)
            apply_configuration(here, revision, spec, "store", 1, True)
        for instance in (here, other):
            observe_era(instance.store, 2, "store")
            apply_configuration(instance, 95, make_config_spec(4), "store", 2)
        self.exchange(other, here)
        for instance in (here, other):
            feed = instance.feed_by_kind[CONFIG_KIND] = Feed(CONFIG_KIND)
            feed.last_success_at = 3.0
            now = time.monotonic()
            with patch.object(time, "monotonic", lambda now=now: now + 3600.0):
                curio.run(keep_house, instance)
            self.assertEqual(instance.config.revision, 5)

    def test_one_newer_than_what_was_known_is_not_certainly_written_again(self):
        """Guards against a peer that has the copy's and calls it the newest."""
        behind, ahead = make_known(5, 105), make_known(7, 110)
        record_superseded(ahead.config_history, make_config_spec(6), ahead.config_spec)
        for instance in (behind, ahead):
            observe_era(instance.store, 2, "store")
        apply_configuration(behind, 107, make_config_spec(6), "store", 2)
        self.assertEqual(behind.config.revision, 6)
        self.exchange(ahead, behind)
        self.assertEqual(ahead.config.revision, 7)

    def test_instance_that_starts_learns_what_its_configuration_has_replaced(self):
        newcomer, other = make_instance(), make_known()
        for instance in (newcomer, other):
            spec = make_config_spec(3)
            apply_configuration(instance, 96, spec, "store", 2, instance is other)
        self.exchange(newcomer, other)
        apply_configuration(newcomer, 95, make_config_spec(5), "store", 3)
        self.assertEqual(newcomer.config.revision, 3)

    def test_copy_that_a_peer_has_does_not_come_into_force(self):
        newcomer, other = make_instance(), make_known()
        observe_era(newcomer.store, 2, "store")
        apply_configuration(newcomer, 95, make_config_spec(4), "store", 2)
        self.exchange(other, newcomer)
        self.assertEqual(other.config.revision, 5)
        self.assertEqual(self.exchange(other, newcomer), 0)

    def test_peer_that_saw_the_write_settles_what_a_list_left_open(self):
        unsure, sure = make_known(), make_known()
        for instance in (unsure, sure):
            observe_era(instance.store, 2, "store")
        apply_configuration(unsure, 96, make_config_spec(3), "store", 2)
        apply_configuration(sure, 96, make_config_spec(3), "store", 2, True)
        self.assertEqual(unsure.config.revision, 5)
        self.exchange(unsure, sure)
        self.assertEqual(unsure.config.revision, 3)


class LimitEraTest(unittest.TestCase):
    def test_limits_are_neither_refilled_nor_emptied_by_a_new_era(self):
        instance = make_known()
        instance.limits = PooledLimits(1000.0, NOW)
        take(instance.limits, "w1", LIMIT, 600.0, NOW)
        before = asdict(instance.limits.bucket_by_workspace["w1"])
        observe_era(instance.store, 2, "store")
        self.assertEqual(asdict(instance.limits.bucket_by_workspace["w1"]), before)
        self.assertIsNone(take(instance.limits, "w1", LIMIT, 300.0, NOW))
        self.assertIsNotNone(take(instance.limits, "w1", LIMIT, 600.0, NOW))


if __name__ == "__main__":
    unittest.main()
