"""Relay messages through the hubs of the zones in a fleet of 78 instances."""

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
    READER_COUNT,
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
SLOW_LINK_MBPS, FAST_LINK_MBPS = 5.0, 100.0
FAST_LINK_NUMBERS = frozenset({20, 30, 41, 51, 62, 72, 63, 73})


class DeliveringLink:
    """Deliver messages to one instance directly and count them."""

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
    """Hold instances that know each other and exchange messages without sockets."""

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
                link_mbps=FAST_LINK_MBPS
                if number in FAST_LINK_NUMBERS
                else SLOW_LINK_MBPS,
                mesh=Address(f"10.0.0.{number + 1}", 7600),
            )
            self.instance_by_name[name] = instance
        for instance in self.instance_by_name.values():
            self.add_all_peers(instance)

    def add_all_peers(self, instance):
        now = time.monotonic()
        for name, other in self.instance_by_name.items():
            site = other.site
            peer = get_or_add_peer(
                instance, name, site.zone, site.mesh.host, site.mesh.port
            )
            if peer is not None:
                peer.incarnation, peer.heard_at = 1, now
                peer.link_mbps = site.link_mbps
                peer.link = DeliveringLink(self, name)

    async def flush(self):
        """Send the batches of all hubs, then those that the receiving hubs queued."""
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

    def broadcast_load_begun(self, *senders):
        async def run():
            for sender in senders:
                await broadcast(sender, LoadBegun("r1", "m", 9, 30.0))
            await self.fleet.flush()

        curio.run(run)

    def list_informed(self):
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

    def test_hubs_are_instances_with_fast_links(self):
        """Guards against a hub whose link of 5 Mbit/s delays all messages of its zone."""
        for zone in ZONES:
            hub = self.fleet.instance_by_name[
                self.fleet.find_hub(self.instances[0], zone)
            ]
            self.assertEqual(hub.site.link_mbps, FAST_LINK_MBPS, zone)

    def test_broadcast_reaches_all_instances(self):
        sender = self.instances[5]
        self.broadcast_load_begun(sender)
        others = set(self.fleet.instance_by_name) - {sender.site.instance}
        self.assertEqual(self.list_informed() - {sender.site.instance}, others)

    def test_simultaneous_broadcasts_wake_each_instance_a_few_times(self):
        """Guards against a wakeup per message, whose cost grows with the fleet.

        Each of 78 instances broadcasts at the same moment, as when all begin a prefill.
        """
        self.broadcast_load_begun(*self.instances)
        hubs = {self.fleet.find_hub(i, i.site.zone) for i in self.instances}
        woken = [n for name, n in self.fleet.received.items() if name not in hubs]
        self.assertLessEqual(max(woken), 4)
        # A hub gets one message from each instance of its zone and one from each hub.
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
        self.broadcast_load_begun(sender)
        others = set(self.fleet.instance_by_name) - {sender.site.instance, dead}
        self.assertEqual(self.list_informed() - {sender.site.instance}, others)

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
        """Guards against two hubs that each wait for the other's batches.

        They never chose each other again.
        """
        first, second = (
            self.fleet.instance_by_name[self.fleet.find_hub(self.instances[0], zone)]
            for zone in ZONES[:2]
        )
        for passed_s in range(1, 20):
            now = time.monotonic() + passed_s
            self.mark_all_heard(now)
            for hub, other in ((first, second), (second, first)):
                exclude_silent_hub(hub, now)
                found = find_hub(hub, other.site.zone, now)
                self.assertEqual(found.instance, other.site.instance)

    def test_sender_of_a_zones_batches_serves_as_its_hub(self):
        hub = self.fleet.instance_by_name[self.fleet.find_hub(self.instances[0], "z1")]
        now = time.monotonic()
        batch_sender = next(p for p in hub.peer_by_address.values() if p.zone == "z2")
        self.assertNotEqual(find_hub(hub, "z2", now), batch_sender)
        batch_sender.last_batch_at = now
        self.assertEqual(find_hub(hub, "z2", now), batch_sender)

    def mark_all_heard(self, now):
        """Mark every instance as heard by every other at `now`."""
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
    """Load pattern: 78 instances start at once and know only each other's addresses."""

    def setUp(self):
        self.fleet = Fleet(FLEET_SIZE)
        self.instance = self.fleet.instance_by_name["n05"]

    def test_unconfirmed_peers_get_an_announcement_only(self):
        unconfirmed = self.find_peer("n06")
        unconfirmed.incarnation = 0
        unconfirmed.link = RecordingLink()
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
        (announcement,) = unconfirmed.link.sent
        self.assertEqual((announcement.instance, announcement.peers), ("n05", ()))

    def test_unconfirmed_peers_get_no_other_messages(self):
        unconfirmed = self.find_peer("n06")
        unconfirmed.incarnation = 0
        unconfirmed.link = RecordingLink()
        curio.run(broadcast, self.instance, LoadBegun("r1", "m", 9, 30.0))
        self.assertEqual(unconfirmed.link.sent, [])

    def test_only_hubs_send_a_new_instance_full_state(self):
        senders = set()
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
                senders.add(name)
        hubs = {self.fleet.find_hub(self.instance, zone) for zone in ZONES}
        self.assertEqual(senders, hubs - {"n06"})

    def test_new_instance_learns_all_peers_from_its_seeds(self):
        """Guards against seeds that do not answer a new instance at once.

        It then knew its peers only after 10 s.
        """
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
            peer.link = DeliveringLink(self.fleet, seed.site.instance)
            peer = get_or_add_peer(seed, "", "", *address_of(newcomer))
            peer.link = DeliveringLink(self.fleet, "n99")
        newcomer.started_at = time.monotonic()
        curio.run(send_gossip, newcomer)
        self.assertEqual(len(newcomer.peer_by_address), FLEET_SIZE)

    def find_peer(self, name):
        site = self.fleet.instance_by_name[name].site
        return get_or_add_peer(self.instance, "", "", site.mesh.host, site.mesh.port)


class FleetReaderTest(unittest.TestCase):
    """Let two hubs watch the store for the hubs of all zones."""

    def setUp(self):
        self.fleet = Fleet(FLEET_SIZE)
        any_instance = self.fleet.instance_by_name["n05"]
        names = {self.fleet.find_hub(any_instance, zone) for zone in ZONES}
        self.hub_by_name = {n: self.fleet.instance_by_name[n] for n in names}
        now = time.monotonic()
        # A slow machine must not let peers fall silent during the test.
        stopped_clock = patch("time.monotonic", lambda: now)
        stopped_clock.start()
        self.addCleanup(stopped_clock.stop)
        for instance in self.fleet.instance_by_name.values():
            instance.feed_by_kind[UPSTREAM_KIND] = Feed(UPSTREAM_KIND, 10, 10)
            for peer in instance.peer_by_address.values():
                peer.last_batch_at = now if peer.instance in names else -1e9
        self.set_readers(names)

    def set_readers(self, names):
        for instance in self.fleet.instance_by_name.values():
            for peer in instance.peer_by_address.values():
                peer.is_store_heard = peer.instance in names

    def list_watching(self):
        now = time.monotonic()
        return {
            name
            for name, instance in self.fleet.instance_by_name.items()
            if not has_watching_hub(instance, now)
        }

    def test_two_hubs_watch_for_the_fleet(self):
        watching = self.list_watching()
        self.assertEqual(len(watching), READER_COUNT)
        self.assertLessEqual(watching, set(self.hub_by_name))

    def test_the_same_hubs_go_on_when_only_they_watch(self):
        watching = self.list_watching()
        self.set_readers(watching)
        self.assertEqual(self.list_watching(), watching)

    def test_another_hub_watches_when_one_loses_the_store(self):
        lost = min(self.list_watching())
        self.set_readers(set(self.hub_by_name) - {lost})
        watching = self.list_watching()
        self.assertEqual(len(watching - {lost}), READER_COUNT)
        self.assertLessEqual(watching, set(self.hub_by_name))

    def test_all_hubs_watch_when_the_readers_fall_silent(self):
        watching = self.list_watching()
        for hub in self.hub_by_name.values():
            for peer in hub.peer_by_address.values():
                if peer.instance in watching:
                    peer.last_batch_at -= 2 * HUB_TIMEOUT_S
        remaining = set(self.hub_by_name) - watching
        self.assertLessEqual(remaining, self.list_watching())

    def test_change_reaches_the_whole_fleet(self):
        reader = self.hub_by_name[min(self.list_watching())]
        row = StoredObject("i-1", 12, make_entry_spec())
        events = ObjectEvents((ObjectEvent(row, False),), 12)

        async def watch(*_arguments):
            return Success(events)

        async def run():
            feed = reader.feed_by_kind[UPSTREAM_KIND]
            with patch.object(feeds, "watch_objects", watch):
                await feeds._watch(reader, feed, lambda kind: self.fleet.flush())

        curio.run(run)
        for name, instance in self.fleet.instance_by_name.items():
            self.assertIn("i-1", instance.spec_by_upstream, name)


class HubStoreWatchTest(unittest.TestCase):
    """Let one instance per zone watch the store for the whole zone."""

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

    def deliver_change(self, revision):
        """Let the hub's watch return a changed entry."""
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
        watching = [m for m in self.members if not has_watching_hub(m, now)]
        self.assertEqual(watching, [])

    def test_members_watch_the_store_when_their_hub_lost_it(self):
        for peer in self.members[0].peer_by_address.values():
            peer.is_store_heard = False
        self.assertFalse(has_watching_hub(self.members[0], time.monotonic()))

    def test_starting_fleet_reads_changes_in_batches(self):
        """Guards against a read of the store for each change while a fleet starts.

        78 instances start while 34 replicas register.
        """
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
        self.deliver_change(12)
        for member in self.members:
            self.assertIn("i-1", member.spec_by_upstream)
            self.assertEqual(member.feed_by_kind[UPSTREAM_KIND].changed_revision, 12)

    def test_missed_change_is_pulled_after_a_delay(self):
        member = self.members[0]
        feed = member.feed_by_kind[UPSTREAM_KIND]
        feed.is_delegated = True
        self.hub.feed_by_kind[UPSTREAM_KIND].changed_revision = 11
        self.deliver_change(12)
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
