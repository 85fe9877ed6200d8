"""Pull state from peers while the store can't be read."""

import unittest

import curio

from catkintrack.instance import anti_entropy
from catkintrack.instance.messages import Pull
from catkintrack.instance.peers import get_or_add_peer
from catkintrack.instance.state import ConfigStamp, Feed
from catkintrack.platform import UPSTREAM_KIND
from testkit.states import RecordingLink, make_gossip, make_instance

NOW = 1000.0


class PullTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        self.peer = get_or_add_peer(self.instance, "n2", "z1", "127.0.0.1", 9000)
        self.peer.link = RecordingLink()

    def request_pulls(self, gossip):
        curio.run(anti_entropy.pull_newer, self.instance, self.peer, gossip, NOW)
        return [m for m in self.peer.link.sent if isinstance(m, Pull)]

    def test_empty_instance_pulls_everything_during_a_store_outage(self):
        """Guards against an instance without replicas after a start in a store outage."""
        (pull,) = self.request_pulls(make_gossip(is_store_heard=False))
        self.assertTrue(pull.wants_config)
        self.assertTrue(pull.wants_upstreams)

    def test_known_upstreams_yield_only_to_a_peer_with_a_current_store_view(self):
        self.instance.config_stamp = ConfigStamp(0, 7)
        feed = self.instance.feed_by_kind[UPSTREAM_KIND] = Feed(UPSTREAM_KIND, 4, 4)
        feed.last_success_at, feed.last_failure_at = NOW - 10.0, NOW - 5.0
        self.assertEqual(self.request_pulls(make_gossip(is_store_heard=False)), [])
        (pull,) = self.request_pulls(make_gossip())
        self.assertTrue(pull.wants_upstreams)

    def test_instance_with_a_current_store_view_pulls_nothing(self):
        self.instance.config_stamp = ConfigStamp(0, 7)
        feed = self.instance.feed_by_kind[UPSTREAM_KIND] = Feed(UPSTREAM_KIND, 4, 4)
        feed.last_success_at = NOW - 0.1
        self.assertEqual(self.request_pulls(make_gossip()), [])
