"""Ask peers for what the store does not tell."""

import unittest

import curio

from catkintrack.instance import hearsay
from catkintrack.instance.messages import Pull
from catkintrack.instance.peers import meet_peer
from catkintrack.instance.state import Feed
from catkintrack.platform import UPSTREAM_KIND
from testkit.states import RecordingLink, make_instance, make_news

NOW = 1000.0


class PullTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        self.peer = meet_peer(self.instance, "n2", "z1", "127.0.0.1", 9000)
        self.peer.link = RecordingLink()

    def pulls(self, news):
        curio.run(hearsay.pull_newer, self.instance, self.peer, news, NOW)
        return [m for m in self.peer.link.sent if isinstance(m, Pull)]

    def test_a_starting_process_asks_while_the_store_is_away_for_all(self):
        """Found by a whole run: it stayed without replicas for the outage."""
        (pull,) = self.pulls(make_news(is_store_heard=False))
        self.assertTrue(pull.wants_config)
        self.assertTrue(pull.wants_upstreams)

    def test_what_is_known_gives_way_only_to_a_peer_that_hears_the_store(self):
        self.instance.config_object_revision = 7
        feed = self.instance.feed_by_kind[UPSTREAM_KIND] = Feed(UPSTREAM_KIND, 4, 4)
        feed.heard_at, feed.broken_at = NOW - 10.0, NOW - 5.0
        self.assertEqual(self.pulls(make_news(is_store_heard=False)), [])
        (pull,) = self.pulls(make_news())
        self.assertTrue(pull.wants_upstreams)

    def test_who_hears_the_store_asks_nobody(self):
        self.instance.config_object_revision = 7
        feed = self.instance.feed_by_kind[UPSTREAM_KIND] = Feed(UPSTREAM_KIND, 4, 4)
        feed.heard_at = NOW - 0.1
        self.assertEqual(self.pulls(make_news()), [])
