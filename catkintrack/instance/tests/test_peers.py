"""Choose receivers: the own zone directly, each other zone through one relay."""

import unittest

from catkintrack.instance.peers import (
    choose_receivers,
    find_rank,
    get_or_add_peer,
    list_limit_sharers,
)
from testkit.states import make_instance

NOW = 1000.0


def add_peer(instance, name, zone, heard_s_ago=0.1, is_leaving=False):
    port = 9000 + len(instance.peer_by_address)
    peer = get_or_add_peer(instance, name, zone, "127.0.0.1", port)
    peer.incarnation = 1
    peer.heard_at = NOW - heard_s_ago
    peer.is_leaving = is_leaving
    peer.link_mbps = instance.site.link_mbps
    return peer


class ReceiverTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        self.instance.started_at = NOW - 100.0

    def receivers(self):
        rows = choose_receivers(self.instance, NOW)
        return {peer.instance: is_relay for peer, is_relay in rows}

    def test_one_peer_of_each_other_zone_relays(self):
        for zone in ("z1", "z2", "z3"):
            for number in range(3):
                add_peer(self.instance, f"{zone}-{number}", zone)
        receivers = self.receivers()
        direct = {name for name, is_relay in receivers.items() if not is_relay}
        self.assertEqual(direct, {"z1-0", "z1-1", "z1-2"})
        relays = {name[:2] for name, is_relay in receivers.items() if is_relay}
        self.assertEqual((len(receivers), relays), (5, {"z2", "z3"}))

    def test_another_peer_relays_when_the_relay_leaves(self):
        peers = [add_peer(self.instance, f"z2-{n}", "z2") for n in range(3)]
        chosen = {name for name, is_relay in self.receivers().items() if is_relay}
        next(p for p in peers if p.instance in chosen).is_leaving = True
        others = {name for name, is_relay in self.receivers().items() if is_relay}
        self.assertEqual(len(others), 1)
        self.assertNotEqual(chosen, others)

    def test_silent_peer_is_sent_to_directly_until_it_times_out(self):
        add_peer(self.instance, "z2-0", "z2", heard_s_ago=3.0)
        add_peer(self.instance, "z2-1", "z2", heard_s_ago=10.0)
        self.assertEqual(self.receivers(), {"z2-0": False})

    def test_rank_ignores_leaving_and_silent_peers(self):
        add_peer(self.instance, "a", "z2")
        add_peer(self.instance, "b", "z2", is_leaving=True)
        add_peer(self.instance, "c", "z2", heard_s_ago=5.0)
        self.assertEqual(find_rank(self.instance, NOW), 1)

    def test_own_address_is_not_a_peer(self):
        mesh = self.instance.site.mesh
        self.assertIsNone(
            get_or_add_peer(self.instance, "x", "z", mesh.host, mesh.port)
        )


class LimitSharerTest(unittest.TestCase):
    def list_names(self, **states):
        instance = make_instance()
        for name, (heard_s_ago, is_leaving) in states.items():
            add_peer(instance, name, "z1", heard_s_ago, is_leaving)
        get_or_add_peer(instance, "seed", "z1", "127.0.0.1", 8999)
        return {peer.instance for peer in list_limit_sharers(instance, NOW)}

    def test_silent_peer_keeps_its_share_for_a_while(self):
        found = self.list_names(
            live=(0.1, False), silent=(5.0, False), gone=(20.0, False)
        )
        self.assertEqual(found, {"live", "silent"})

    def test_stopping_peer_keeps_its_share_until_it_ends(self):
        found = self.list_names(stopping=(0.1, True), ended=(2.0, True))
        self.assertEqual(found, {"stopping"})
