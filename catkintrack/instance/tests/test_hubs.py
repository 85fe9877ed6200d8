"""Pass messages through the zones' hubs in a fleet of 78 instances."""

import time
import unittest
from collections import Counter
from dataclasses import replace

import curio

from catkintrack.decisions.tables import UpstreamRow
from catkintrack.http import Address
from catkintrack.instance import mesh
from catkintrack.instance.broadcasting import broadcast
from catkintrack.instance.hubs import (
    HUB_SILENCE_S,
    find_hub,
    mute_silent_hubs,
    send_gathered,
)
from catkintrack.instance.messages import LoadBegun
from catkintrack.instance.peers import meet_peer
from testkit.states import make_instance

ZONES = ("z1", "z2", "z3", "z4")
FLEET_SIZE = 78


class Wire:
    """Bring what is sent to one instance to it, and count it."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def send(self, data):
        if self.name in self.fleet.dead:
            return True
        self.fleet.received[self.name] += 1
        await mesh._take(self.fleet.instance_by_name[self.name], data)
        return True


class Fleet:
    """Hold instances that know each other and pass messages without sockets."""

    def __init__(self, size):
        self.received = Counter()
        self.dead = set()
        self.instance_by_name = {}
        for number in range(size):
            instance = make_instance()
            name = f"n{number:02}"
            instance.site = replace(
                instance.site,
                instance=name,
                zone=ZONES[number % len(ZONES)],
                mesh=Address(f"10.0.0.{number + 1}", 7600),
            )
            self.instance_by_name[name] = instance
        for instance in self.instance_by_name.values():
            self.introduce(instance)

    def introduce(self, instance):
        now = time.monotonic()
        for name, other in self.instance_by_name.items():
            site = other.site
            peer = meet_peer(instance, name, site.zone, site.mesh.host, site.mesh.port)
            if peer is not None:
                peer.incarnation, peer.heard_at = 1, now
                peer.link = Wire(self, name)

    async def flush(self):
        """Let each hub send its batches, and the hubs of other zones theirs."""
        for _ in range(2):
            for name, instance in self.instance_by_name.items():
                if name not in self.dead:
                    await send_gathered(instance, time.monotonic())

    def find_hub(self, instance, zone):
        hub = find_hub(instance, zone, time.monotonic())
        return instance.site.instance if hub is None else hub.instance


class HubTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(FLEET_SIZE)
        self.instances = list(self.fleet.instance_by_name.values())
        for instance in self.instances:
            row = UpstreamRow("r1", 0, "z1", frozenset({"m"}), 4)
            instance.decisions.upstream_by_name["r1"] = row

    def tell(self, *senders):
        async def run():
            for sender in senders:
                await broadcast(sender, LoadBegun("r1", "m", 9, 30.0))
            await self.fleet.flush()

        curio.run(run)

    def knowing(self):
        now = time.monotonic()
        return {
            instance.site.instance
            for instance in self.instances
            if instance.decisions.upstream_by_name["r1"].loading_until > now
        }

    def test_all_agree_on_the_hub_of_a_zone(self):
        for zone in ZONES:
            hubs = {self.fleet.find_hub(i, zone) for i in self.instances}
            self.assertEqual(len(hubs), 1, zone)

    def test_what_one_says_reaches_all(self):
        sender = self.instances[5]
        self.tell(sender)
        others = set(self.fleet.instance_by_name) - {sender.site.instance}
        self.assertEqual(self.knowing() - {sender.site.instance}, others)

    def test_when_all_speak_at_once_each_is_woken_a_few_times(self):
        """Load pattern: each of 78 instances begins a prefill in the same moment."""
        self.tell(*self.instances)
        hubs = {self.fleet.find_hub(i, i.site.zone) for i in self.instances}
        woken = [n for name, n in self.fleet.received.items() if name not in hubs]
        self.assertLessEqual(max(woken), 4)
        # A hub hears its zone once each and the other hubs.
        for hub in hubs:
            self.assertLess(self.fleet.received[hub], FLEET_SIZE / 2)

    def test_silent_hub_is_replaced_and_messages_go_on(self):
        sender = self.instances[5]
        dead = self.fleet.find_hub(sender, sender.site.zone)
        self.fleet.dead.add(dead)
        now = time.monotonic()
        self.assertEqual(mute_silent_hubs(sender, now), [])
        self.assertEqual(mute_silent_hubs(sender, now + HUB_SILENCE_S + 0.1), [dead])
        self.assertNotEqual(self.fleet.find_hub(sender, sender.site.zone), dead)
        self.tell(sender)
        others = set(self.fleet.instance_by_name) - {sender.site.instance, dead}
        self.assertEqual(self.knowing() - {sender.site.instance}, others)

    def test_hub_that_sends_is_kept(self):
        sender = self.instances[5]
        hub = self.fleet.find_hub(sender, sender.site.zone)
        now = time.monotonic()
        mute_silent_hubs(sender, now)
        for peer in sender.peer_by_address.values():
            if peer.instance == hub:
                peer.batch_at = now + HUB_SILENCE_S
        self.assertEqual(mute_silent_hubs(sender, now + HUB_SILENCE_S + 0.1), [])

    def test_stopping_instance_is_no_hub(self):
        sender = self.instances[5]
        hub = self.fleet.find_hub(sender, sender.site.zone)
        instance = self.fleet.instance_by_name[hub]
        instance.is_stopping = True
        self.assertNotEqual(self.fleet.find_hub(instance, instance.site.zone), hub)


if __name__ == "__main__":
    unittest.main()
