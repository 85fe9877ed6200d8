"""Pass messages through the zones' hubs in a fleet of 78 instances."""

import time
import unittest
from collections import Counter
from dataclasses import replace
from unittest.mock import patch

import curio
from returns.result import Success

from catkintrack.decisions.tables import UpstreamRow
from catkintrack.http import Address
from catkintrack.instance import anti_entropy, feeds, mesh
from catkintrack.instance.broadcasting import broadcast
from catkintrack.instance.gossip import send_gossip
from catkintrack.instance.hubs import (
    HUB_TIMEOUT_S,
    exclude_silent_hub,
    find_hub,
    has_watching_hub,
    send_batches,
)
from catkintrack.instance.messages import LoadBegun, PeerRow
from catkintrack.instance.peers import get_or_add_peer
from catkintrack.instance.state import Feed
from catkintrack.platform import (
    UPSTREAM_KIND,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    StoredObject,
)
from testkit.instances import make_entry_spec
from testkit.states import RecordingLink, make_gossip, make_instance

ZONES = ("z1", "z2", "z3", "z4")
FLEET_SIZE = 78
NARROW_MBPS, WIDE_MBPS = 5.0, 100.0
WIDE = frozenset({20, 30, 41, 51, 62, 72, 63, 73})


class Wire:
    """Bring what is sent to one instance to it, and count it."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def send(self, data):
        if self.name in self.fleet.dead:
            return True
        self.fleet.received[self.name] += 1
        await mesh._handle_message(self.fleet.instance_by_name[self.name], data)
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
                link_mbps=WIDE_MBPS if number in WIDE else NARROW_MBPS,
                mesh=Address(f"10.0.0.{number + 1}", 7600),
            )
            self.instance_by_name[name] = instance
        for instance in self.instance_by_name.values():
            self.introduce(instance)

    def introduce(self, instance):
        now = time.monotonic()
        for name, other in self.instance_by_name.items():
            site = other.site
            peer = get_or_add_peer(
                instance, name, site.zone, site.mesh.host, site.mesh.port
            )
            if peer is not None:
                peer.incarnation, peer.heard_at = 1, now
                peer.link_mbps = site.link_mbps
                peer.link = Wire(self, name)

    async def flush(self):
        """Let each hub send its batches, and the hubs of other zones theirs."""
        for _ in range(2):
            for name, instance in self.instance_by_name.items():
                if name not in self.dead:
                    await send_batches(instance, time.monotonic())

    def find_hub(self, instance, zone):
        hub = find_hub(instance, zone, time.monotonic())
        return instance.site.instance if hub is None else hub.instance


def address_of(instance):
    mesh_address = instance.site.mesh
    return mesh_address.host, mesh_address.port


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

    def test_all_instances_agree_on_the_hub_of_a_zone(self):
        for zone in ZONES:
            hubs = {self.fleet.find_hub(i, zone) for i in self.instances}
            self.assertEqual(len(hubs), 1, zone)

    def test_hubs_are_instances_with_wide_links(self):
        """Found by a grown day: a hub on 5 Mbit/s held up all of its zone."""
        for zone in ZONES:
            hub = self.fleet.instance_by_name[
                self.fleet.find_hub(self.instances[0], zone)
            ]
            self.assertEqual(hub.site.link_mbps, WIDE_MBPS, zone)

    def test_broadcast_reaches_all_instances(self):
        sender = self.instances[5]
        self.tell(sender)
        others = set(self.fleet.instance_by_name) - {sender.site.instance}
        self.assertEqual(self.knowing() - {sender.site.instance}, others)

    def test_simultaneous_broadcasts_wake_each_instance_a_few_times(self):
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
        self.assertIsNone(exclude_silent_hub(sender, now))
        self.assertEqual(exclude_silent_hub(sender, now + HUB_TIMEOUT_S + 0.1), dead)
        self.assertNotEqual(self.fleet.find_hub(sender, sender.site.zone), dead)
        self.tell(sender)
        others = set(self.fleet.instance_by_name) - {sender.site.instance, dead}
        self.assertEqual(self.knowing() - {sender.site.instance}, others)

    def test_hub_that_sends_is_kept(self):
        sender = self.instances[5]
        hub = self.fleet.find_hub(sender, sender.site.zone)
        now = time.monotonic()
        exclude_silent_hub(sender, now)
        for peer in sender.peer_by_address.values():
            if peer.instance == hub:
                peer.last_batch_at = now + HUB_TIMEOUT_S
        self.assertIsNone(exclude_silent_hub(sender, now + HUB_TIMEOUT_S + 0.1))

    def test_hubs_of_two_zones_find_each_other_after_a_silence(self):
        """Found by a grown day: each waited for the other's batches, for good."""
        first, second = (
            self.fleet.instance_by_name[self.fleet.find_hub(self.instances[0], zone)]
            for zone in ZONES[:2]
        )
        for passed_s in range(1, 20):
            now = time.monotonic() + passed_s
            self.introduce_all(now)
            for hub, other in ((first, second), (second, first)):
                exclude_silent_hub(hub, now)
                found = find_hub(hub, other.site.zone, now)
                self.assertEqual(found.instance, other.site.instance)

    def test_sender_of_a_zones_batches_serves_as_its_hub(self):
        hub = self.fleet.instance_by_name[self.fleet.find_hub(self.instances[0], "z1")]
        now = time.monotonic()
        stand_in = next(p for p in hub.peer_by_address.values() if p.zone == "z2")
        self.assertNotEqual(find_hub(hub, "z2", now), stand_in)
        stand_in.last_batch_at = now
        self.assertEqual(find_hub(hub, "z2", now), stand_in)

    def introduce_all(self, now):
        """Let everybody have heard of everybody at `now`."""
        for instance in self.instances:
            for peer in instance.peer_by_address.values():
                peer.heard_at = now

    def test_stopping_instance_is_not_a_hub(self):
        sender = self.instances[5]
        hub = self.fleet.find_hub(sender, sender.site.zone)
        instance = self.fleet.instance_by_name[hub]
        instance.is_stopping = True
        self.assertNotEqual(self.fleet.find_hub(instance, instance.site.zone), hub)


class FleetStartTest(unittest.TestCase):
    """Load pattern: 78 instances start at once and know only addresses."""

    def setUp(self):
        self.fleet = Fleet(FLEET_SIZE)
        self.instance = self.fleet.instance_by_name["n05"]

    def test_unconfirmed_peers_get_an_announcement_only(self):
        stranger = self.find_peer("n06")
        stranger.incarnation = 0
        stranger.link = RecordingLink()
        site = self.instance.site
        gossip = make_gossip(
            instance="n05",
            zone=site.zone,
            incarnation=1,
            host=site.mesh.host,
            port=site.mesh.port,
            peers=(PeerRow("n07", "z4", "10.0.0.8", 7600),),
        )
        curio.run(broadcast, self.instance, gossip)
        (greeting,) = stranger.link.sent
        self.assertEqual((greeting.instance, greeting.peers), ("n05", ()))

    def test_unconfirmed_peers_get_no_other_messages(self):
        stranger = self.find_peer("n06")
        stranger.incarnation = 0
        stranger.link = RecordingLink()
        curio.run(broadcast, self.instance, LoadBegun("r1", "m", 9, 30.0))
        self.assertEqual(stranger.link.sent, [])

    def test_only_hubs_send_a_new_instance_full_state(self):
        telling = set()
        for name, instance in self.fleet.instance_by_name.items():
            site = self.fleet.instance_by_name["n06"].site
            peer = get_or_add_peer(instance, "", "", site.mesh.host, site.mesh.port)
            if peer is None:
                continue
            peer.link = RecordingLink()
            gossip = make_gossip(
                instance="n06",
                zone=site.zone,
                host=site.mesh.host,
                link_mbps=site.link_mbps,
                port=site.mesh.port,
                config_revision=0,
                upstreams_revision=0,
            )
            curio.run(mesh._handle_gossip, instance, gossip)
            if peer.link.sent:
                telling.add(name)
        hubs = {self.fleet.find_hub(self.instance, zone) for zone in ZONES}
        self.assertEqual(telling, hubs - {"n06"})

    def test_new_instance_learns_all_peers_from_its_seeds(self):
        """Found by a grown day: it met the fleet ten seconds after its start."""
        seeds = [self.fleet.instance_by_name[name] for name in ("n00", "n01", "n02")]
        newcomer = make_instance()
        newcomer.site = replace(
            newcomer.site,
            instance="n99",
            zone="z3",
            mesh=Address("10.0.0.99", 7600),
        )
        self.fleet.instance_by_name["n99"] = newcomer
        for seed in seeds:
            peer = get_or_add_peer(newcomer, "", "", *address_of(seed))
            peer.link = Wire(self.fleet, seed.site.instance)
            peer = get_or_add_peer(seed, "", "", *address_of(newcomer))
            peer.link = Wire(self.fleet, "n99")
        newcomer.started_at = time.monotonic()
        curio.run(send_gossip, newcomer)
        self.assertEqual(len(newcomer.peer_by_address), FLEET_SIZE)

    def find_peer(self, name):
        site = self.fleet.instance_by_name[name].site
        return get_or_add_peer(self.instance, "", "", site.mesh.host, site.mesh.port)


class HubStoreWatchTest(unittest.TestCase):
    """Let one instance a zone read the store for all of its zone."""

    def setUp(self):
        self.fleet = Fleet(FLEET_SIZE)
        self.hub_name = self.fleet.find_hub(self.fleet.instance_by_name["n05"], "z2")
        self.hub = self.fleet.instance_by_name[self.hub_name]
        self.members = [
            instance
            for name, instance in self.fleet.instance_by_name.items()
            if instance.site.zone == "z2" and name != self.hub_name
        ]
        for instance in self.fleet.instance_by_name.values():
            instance.feed_by_kind[UPSTREAM_KIND] = Feed(UPSTREAM_KIND, 10, 10)
            for peer in instance.peer_by_address.values():
                peer.is_store_heard = peer.instance == self.hub_name

    def see_change(self, revision):
        """Let the hub's watch see an entry change."""
        row = StoredObject("i-1", revision, make_entry_spec())
        events = ObjectEvents((ObjectEvent(row, False),), revision)

        async def watch(*_arguments):
            return Success(events)

        async def run():
            feed = self.hub.feed_by_kind[UPSTREAM_KIND]
            with patch.object(feeds, "watch_objects", watch):
                await feeds._watch(self.hub, feed, lambda kind: self.fleet.flush())

        curio.run(run)

    def test_only_the_hub_of_a_zone_watches_the_store(self):
        now = time.monotonic()
        self.assertFalse(has_watching_hub(self.hub, now))
        reading = [m for m in self.members if not has_watching_hub(m, now)]
        self.assertEqual(reading, [])

    def test_members_watch_the_store_when_their_hub_lost_it(self):
        for peer in self.members[0].peer_by_address.values():
            peer.is_store_heard = False
        self.assertFalse(has_watching_hub(self.members[0], time.monotonic()))

    def test_starting_fleet_reads_changes_in_batches(self):
        """Load pattern: 78 instances start, and 34 replicas register meanwhile."""
        starting = self.members[0]
        starting.started_at = time.monotonic()
        calls = []

        async def watch(_store, _kind, revision, _wait_s):
            calls.append(revision)
            row = StoredObject("i-1", revision + 1, make_entry_spec())
            return Success(ObjectEvents((ObjectEvent(row, False),), revision + 1))

        async def listing(_store, _kind):
            return Success(ObjectList((), 10))

        async def on_change(_kind):
            return None

        async def run():
            feed = feeds.run_feed(starting, UPSTREAM_KIND, on_change)
            await curio.ignore_after(3 * feeds.JOIN_PAUSE_S, feed)

        for peer in starting.peer_by_address.values():
            peer.is_store_heard = False
        with (
            patch.object(feeds, "watch_objects", watch),
            patch.object(feeds, "list_objects", listing),
        ):
            curio.run(run)
        self.assertLessEqual(len(calls), 3)

    def test_small_fleet_watches_the_store_directly(self):
        small = Fleet(8)
        for instance in small.instance_by_name.values():
            for peer in instance.peer_by_address.values():
                peer.is_store_heard = True
            self.assertFalse(has_watching_hub(instance, time.monotonic()))

    def test_hub_passes_store_changes_to_its_zone(self):
        for member in self.members:
            member.feed_by_kind[UPSTREAM_KIND].is_delegated = True
        self.see_change(12)
        for member in self.members:
            self.assertIn("i-1", member.spec_by_upstream)
            self.assertEqual(member.feed_by_kind[UPSTREAM_KIND].changed_revision, 12)

    def test_missed_change_is_pulled_after_a_delay(self):
        member = self.members[0]
        feed = member.feed_by_kind[UPSTREAM_KIND]
        feed.is_delegated = True
        self.hub.feed_by_kind[UPSTREAM_KIND].changed_revision = 11
        self.see_change(12)
        self.assertNotIn("i-1", member.spec_by_upstream)
        gossip = make_gossip(
            instance=self.hub_name, config_revision=0, upstreams_revision=12
        )
        site = self.hub.site
        peer = get_or_add_peer(member, "", "", site.mesh.host, site.mesh.port)
        now = time.monotonic()
        curio.run(anti_entropy.pull_newer, member, peer, gossip, now)
        self.assertNotIn("i-1", member.spec_by_upstream)
        later = now + anti_entropy.PULL_DELAY_S + 0.01
        curio.run(anti_entropy.pull_newer, member, peer, gossip, later)
        self.assertIn("i-1", member.spec_by_upstream)


if __name__ == "__main__":
    unittest.main()
