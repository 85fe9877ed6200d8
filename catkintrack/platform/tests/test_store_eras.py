"""Decode the store's era and discard answers of an earlier one."""

import json
import socket
import threading
import unittest

import curio
from returns.result import Failure, Success

from catkintrack.http import Address
from catkintrack.platform import (
    HistoryGone,
    ObjectMissing,
    StoreClient,
    StoreConflict,
    StoreOutcomeUnknown,
    StoreUnavailable,
    get_object,
    list_objects,
    observe_era,
    replace_object,
    watch_objects,
)

HOST = "127.0.0.1"
OBJECT = {"metadata": {"name": "main", "revision": 5}, "spec": {}}
PAGE = {"store_revision": 7, "items": [OBJECT]}
CHANGES = {"store_revision": 7, "events": [{"object": OBJECT}]}


class ScriptedStore:
    """Send the given answers in order: an era's text (None: no header), status, body."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0
        self.listener = socket.create_server((HOST, 0))
        self.address = Address(HOST, self.listener.getsockname()[1])
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        while sock.recv(65536):
            era, status, value = self.answers.pop(0)
            body = json.dumps(value).encode()
            header = b"" if era is None else b"Store-Era: %s\r\n" % era.encode()
            head = b"HTTP/1.1 %d X\r\n%scontent-length: %d\r\n\r\n"
            sock.sendall(head % (status, header, len(body)) + body)


class StoreEraTest(unittest.TestCase):
    def open(self, *answers):
        self.store = ScriptedStore(*answers)
        self.addCleanup(self.store.listener.close)
        self.eras = []
        self.client = StoreClient(
            self.store.address, on_new_era=lambda era, _source: self.eras.append(era)
        )
        return self.client

    def test_all_typed_outcomes_carry_the_era(self):
        client = self.open(
            ("1", 200, PAGE),
            ("2", 200, CHANGES),
            ("3", 200, OBJECT),
            ("4", 404, {}),
            ("5", 410, {}),
            ("6", 409, OBJECT),
            ("7", 200, OBJECT),
        )

        async def run():
            listing = (await list_objects(client, "config")).unwrap()
            self.assertEqual((listing.era, listing.objects[0].era), (1, 1))
            changes = (await watch_objects(client, "config", 1, 0.1)).unwrap()
            self.assertEqual((changes.era, changes.events[0].object.era), (2, 2))
            row = (await get_object(client, "config", "main")).unwrap()
            self.assertEqual(row.era, 3)
            missing = (await get_object(client, "config", "main")).failure()
            self.assertEqual(missing, ObjectMissing("main", 4))
            gone = (await watch_objects(client, "config", 9, 0.1)).failure()
            self.assertEqual(gone, HistoryGone(9, 5))
            conflict = (await replace_object(client, "k", "main", {}, 1)).failure()
            self.assertEqual(conflict, StoreConflict(5, {}, 6))
            row = (await replace_object(client, "k", "main", {}, 1)).unwrap()
            self.assertEqual(row.era, 7)

        curio.run(run)
        self.assertEqual(self.eras, [1, 2, 3, 4, 5, 6, 7])

    def test_unknown_era_counts_as_the_last_seen(self):
        texts = (None, "", "soon", "-4", "2.5", "0x9", "9" * 40)
        client = self.open(("3", 200, OBJECT), *((t, 200, OBJECT) for t in texts))

        async def run():
            for _ in range(1 + len(texts)):
                row = (await get_object(client, "config", "main")).unwrap()
                self.assertEqual(row.era, 3)

        curio.run(run)
        self.assertEqual(self.eras, [3])

    def test_store_without_eras(self):
        client = self.open((None, 200, PAGE))

        async def run():
            return (await list_objects(client, "config")).unwrap().era

        self.assertEqual(curio.run(run), 0)
        self.assertEqual(self.eras, [])

    def test_read_of_an_earlier_era_is_repeated_on_a_new_connection(self):
        client = self.open(
            ("2", 200, OBJECT), ("1", 200, OBJECT), ("2", 200, OBJECT | {"spec": 9})
        )

        async def run():
            await get_object(client, "config", "main")
            return (await get_object(client, "config", "main")).unwrap()

        row = curio.run(run)
        self.assertEqual((row.era, row.spec), (2, 9))
        self.assertEqual(self.store.connections, 2)

    def test_read_that_stays_in_an_earlier_era_fails(self):
        client = self.open(("1", 200, PAGE), ("1", 200, PAGE))
        observe_era(client, 2, "n2")

        async def run():
            return await list_objects(client, "config")

        match curio.run(run):
            case Failure(StoreUnavailable()):
                pass
            case other:
                self.fail(other)

    def test_outcome_of_a_write_from_an_earlier_era_is_unknown(self):
        """A write accepted in the earlier era is lost, one of the new era may exist."""
        client = self.open(("1", 200, OBJECT))
        observe_era(client, 2, "n2")

        async def run():
            return await replace_object(client, "leases", "weights", {}, 1)

        match curio.run(run):
            case Failure(StoreOutcomeUnknown()):
                pass
            case other:
                self.fail(other)
        self.assertEqual(client.era, 2)

    def test_list_whose_pages_are_of_two_eras_starts_again(self):
        old = {"store_revision": 90, "items": [OBJECT], "has_more": True}
        client = self.open(
            ("1", 200, old), ("2", 200, PAGE), ("2", 200, PAGE), ("2", 200, PAGE)
        )

        async def run():
            return await list_objects(client, "config")

        match curio.run(run):
            case Success(listing):
                self.assertEqual((listing.era, listing.revision), (2, 7))
                self.assertEqual(len(listing.objects), 1)
            case Failure(error):
                self.fail(error)

    def test_era_learned_elsewhere_only_rises(self):
        client = self.open()
        observe_era(client, 4, "n2")
        observe_era(client, 3, "n3")
        observe_era(client, 4, "n4")
        self.assertEqual((client.era, self.eras), (4, [4]))


if __name__ == "__main__":
    unittest.main()
