"""Keep the lease over eras of the store, with each answer that it may give."""

import unittest
from unittest.mock import patch

import curio
import msgspec
from returns.result import Failure, Success

from catkintrack.instance import lease_keeper, mesh
from catkintrack.instance.gossip import make_gossip
from catkintrack.instance.lease_keeper import (
    LeaseSpec,
    holds_lease,
    release_lease,
    update_lease,
)
from catkintrack.instance.messages import (
    LeaseRow,
    decode_peer_message,
    encode_peer_message,
)
from catkintrack.instance.peers import get_or_add_peer
from catkintrack.platform import (
    ObjectMissing,
    StoreConflict,
    StoredObject,
    observe_era,
)
from testkit.states import RecordingLink, make_instance
from testkit.states import make_gossip as make_peer_gossip

LEASE_S = 3.0


class ModelStore:
    """Hold the lease record and answer calls as the store's client would."""

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.row = None

    def answer(self, client):
        observe_era(client, self.era, "store")

    def put(self, spec):
        self.revision += 1
        fields = msgspec.to_builtins(spec)
        self.row = StoredObject("weights", self.revision, fields, era=self.era)
        return self.row

    async def get(self, client, _kind, name):
        self.answer(client)
        return Success(self.row) if self.row else Failure(ObjectMissing(name, self.era))

    async def create(self, client, _kind, _name, spec):
        self.answer(client)
        if self.row:
            return Failure(StoreConflict(self.row.revision, self.row.spec, self.era))
        return Success(self.put(spec))

    async def replace(self, client, _kind, name, spec, revision):
        self.answer(client)
        if not self.row:
            return Failure(ObjectMissing(name, self.era))
        if self.row.revision != revision:
            return Failure(StoreConflict(self.row.revision, self.row.spec, self.era))
        return Success(self.put(spec))

    def restore(self, revision, row):
        """Go back to a copy in a new era."""
        self.era += 1
        self.revision = revision
        self.row = row and StoredObject(row.name, row.revision, row.spec, era=self.era)


class LeaseKeeperEraTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.store = ModelStore()
        self.instance = self.make("n1")
        for name, value in (
            ("get_object", self.store.get),
            ("create_object", self.store.create),
            ("replace_object", self.store.replace),
            ("read_boot_clock", lambda: self.now),
            ("find_rank", lambda *_: 0),
        ):
            patcher = patch.object(lease_keeper, name, value)
            patcher.start()
            self.addCleanup(patcher.stop)
        clock = patch("catkintrack.instance.eras.read_boot_clock", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)

    def make(self, name):
        instance = make_instance()
        instance.lease.owner = name
        return instance

    def hear(self, instance, gossip):
        peer = get_or_add_peer(instance, "n2", "z1", gossip.host, gossip.port)
        peer.link = RecordingLink()
        curio.run(mesh._handle_gossip, instance, gossip)

    def run_until(self, until, *instances):
        while self.now < until:
            for instance in instances or (self.instance,):
                curio.run(update_lease, instance)
            self.now += 0.1

    def hold(self):
        self.run_until(104.0)
        self.assertTrue(holds_lease(self.instance))

    def test_first_holder_waits_because_the_era_may_have_just_begun(self):
        self.run_until(103.0)
        self.assertFalse(holds_lease(self.instance))
        self.run_until(104.0)
        self.assertTrue(holds_lease(self.instance))

    def test_era_heard_from_a_peer_voids_the_lease(self):
        self.hold()
        gossip = make_peer_gossip(era=2, config_revision=0, upstreams_revision=0)
        with self.assertLogs("catkintrack.instance.eras", "INFO") as logs:
            self.hear(self.instance, gossip)
        self.assertFalse(holds_lease(self.instance))
        self.assertEqual((logs.records[0].source, logs.records[0].era), ("n2", 2))

    def test_lease_lost_by_the_copy_is_taken_again_above_its_token(self):
        self.hold()
        old = self.instance.lease.record.fencing
        self.store.restore(5, None)
        while self.instance.store.era == 1:
            self.run_until(self.now + 0.1)
        seen_at = self.now
        self.run_until(seen_at + LEASE_S)
        self.assertFalse(holds_lease(self.instance))
        self.run_until(seen_at + LEASE_S + 0.5)
        self.assertTrue(holds_lease(self.instance))
        self.assertGreater(self.instance.lease.record.fencing, old)

    def test_record_of_the_copy_is_neither_own_nor_released(self):
        for spec in (LeaseSpec("n1", 1, 3, era=1), LeaseSpec("", 0, 3, era=1)):
            with self.subTest(holder=spec.holder):
                self.setUp()
                self.store.restore(9, self.store.put(spec))
                self.run_until(103.0)
                self.assertFalse(holds_lease(self.instance))
                self.run_until(104.0)
                self.assertTrue(holds_lease(self.instance))

    def test_renewal_that_a_new_era_accepts_by_chance_does_not_count(self):
        """Guards against two holders at once.

        The new era has given out the revision that the old holder expects, to the
        record of another one.
        """
        self.hold()
        revision = self.instance.lease.record.revision
        self.store.restore(revision - 1, None)
        other = self.make("n2")
        observe_era(other.store, 2, "store")
        record = self.store.put(LeaseSpec("n2", 1, 2_000_001, era=2))
        self.assertEqual(record.revision, revision)
        self.now += 1.1
        curio.run(update_lease, self.instance)
        self.assertNotEqual(self.store.row.revision, revision)
        self.assertFalse(holds_lease(self.instance))
        self.run_until(self.now + LEASE_S)
        self.assertFalse(holds_lease(self.instance))

    def test_release_that_a_new_era_accepts_by_chance_releases_nothing(self):
        self.hold()
        self.store.restore(self.instance.lease.record.revision - 1, None)
        self.store.put(LeaseSpec("n2", 1, 2_000_001, era=2))
        curio.run(release_lease, self.instance)
        self.assertEqual(self.store.row.spec["holder"], "")
        other = self.make("n3")
        self.run_until(self.now + LEASE_S, other)
        self.assertFalse(holds_lease(other))

    def test_lease_released_in_this_era_is_taken_at_once(self):
        self.hold()
        curio.run(release_lease, self.instance)
        other = self.make("n3")
        self.run_until(self.now + 0.5, other)
        self.assertTrue(holds_lease(other))

    def test_record_that_vanishes_is_created_again(self):
        self.hold()
        self.store.row = None
        self.run_until(self.now + 2.0)
        self.run_until(self.now + 2 * LEASE_S)
        self.assertTrue(holds_lease(self.instance))

    def test_second_era_within_the_wait(self):
        self.hold()
        self.store.restore(5, None)
        self.run_until(self.now + 2.0)
        self.store.restore(5, None)
        seen_at = self.now
        self.run_until(seen_at + LEASE_S)
        self.assertFalse(holds_lease(self.instance))

    def test_highest_fencing_token_is_gossiped(self):
        observe_era(self.instance.store, 2, "store")
        self.instance.lease.highest_fencing = 77
        row = make_gossip(self.instance, 1.0, True).lease
        self.assertEqual((row.revision, row.era, row.highest_fencing), (0, 2, 77))
        other = self.make("n3")
        gossip = make_peer_gossip(
            lease=row, era=2, config_revision=0, upstreams_revision=0
        )
        self.hear(other, gossip)
        self.assertEqual(other.lease.highest_fencing, 77)

    def test_message_of_an_earlier_build_decodes(self):
        gossip = make_peer_gossip(lease=LeaseRow("n2", 5, 4, 9))
        fields = msgspec.msgpack.decode(encode_peer_message(gossip))
        position = fields.index(["n2", 5, 4, 9, 0, 0])
        old = [*fields[:position], ["n2", 5, 4, 9]]
        decoded = decode_peer_message(msgspec.msgpack.encode(old))
        self.assertEqual((decoded.era, decoded.lease.era), (0, 0))


if __name__ == "__main__":
    unittest.main()
