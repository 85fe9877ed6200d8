"""Drill the stand-in of the object store: it returns from a copy some seconds old."""

import http.client
import json
import tempfile
import threading
import time
import unittest
from pathlib import Path

from testkit.fleet import HOST, call_json, wait_until
from testkit.site import Site

ERA_HEADER = "Store-Era"


class StoreDrillTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.site = Site(Path(directory.name))
        self.addCleanup(self.site.stop)
        self.site.start_store(1)
        self.port = self.site.store_ports[1]
        self.eras = []

    def call(self, path, method="GET", fields=None):
        connection = http.client.HTTPConnection(HOST, self.port, timeout=5)
        connection.request(method, path, json.dumps(fields) if fields else None)
        response = connection.getresponse()
        body = json.loads(response.read())
        connection.close()
        return response.status, response.getheader(ERA_HEADER), body

    def put_lease(self, fencing):
        """Write an object of the system's own kind and return its revision."""
        path = "/-/objects/leases"
        fields = {"metadata": {"name": "weights"}, "spec": {"fencing": fencing}}
        status, _, body = self.call(path, "POST", fields)
        if status == 409:
            _, _, body = self.call(f"{path}/weights", "PUT", fields)
        return body["metadata"]["revision"]

    def drill(self, **changes):
        call_json(self.port, "/faults", {"restore_seconds_old": 0.5} | changes)

    def test_all_answers_carry_the_era(self):
        for path, status in (
            ("/-/objects/config", 200),
            ("/-/objects/config/main", 404),
            ("/-/objects/config?watch=1&wait_ms=10", 200),
            ("/-/objects/config?watch=99&wait_ms=10", 410),
        ):
            self.assertEqual(self.call(path)[:2], (status, "1"))

    def test_drill_takes_back_what_was_written_since(self):
        old = self.put_lease(1)
        time.sleep(0.6)
        new = self.put_lease(2)
        self.drill()
        status, era, body = self.call("/-/objects/leases/weights")
        self.assertEqual((status, era, body["spec"]["fencing"]), (200, "2", 1))
        self.assertEqual(body["metadata"]["revision"], old)
        status, era, _ = self.call(f"/-/objects/leases?watch={new}&wait_ms=10")
        self.assertEqual((status, era), (410, "2"))
        self.assertEqual(self.put_lease(3), new)

    def test_drill_can_lose_all_leases(self):
        self.put_lease(1)
        time.sleep(0.6)
        self.drill(loses_system_objects=True)
        self.assertEqual(self.call("/-/objects/leases/weights")[:2], (404, "2"))

    def test_operators_and_replicas_write_again_after_a_delay(self):
        self.site.write_object("config", "main", {"version": 1})
        self.site.write_object("servers", "i1", {"state": "ready"})
        time.sleep(0.6)
        self.site.write_object("config", "main", {"version": 2})
        self.site.delete_object("servers", "i1")
        self.drill(rewrite_after_s=0.4)
        _, _, copy = self.call("/-/objects/config/main")
        self.assertEqual(copy["spec"]["version"], 1)
        self.assertEqual(self.call("/-/objects/servers/i1")[0], 200)
        wait_until(lambda: self.call("/-/objects/servers/i1")[0] == 404, 3.0)
        _, _, again = self.call("/-/objects/config/main")
        self.assertEqual(again["spec"]["version"], 2)
        self.assertGreater(again["metadata"]["revision"], copy["metadata"]["revision"])

    def test_entry_lost_before_a_second_drill_is_written_again_after_it(self):
        time.sleep(0.6)
        self.site.write_object("servers", "i1", {"state": "ready"})
        self.drill(rewrite_after_s=0.6)
        self.drill(rewrite_after_s=0.0)
        wait_until(lambda: self.call("/-/objects/servers/i1")[0] == 200, 2.0)

    def test_era_header_can_be_missing_or_unreadable(self):
        call_json(self.port, "/faults", {"era_text": ""})
        self.assertIsNone(self.call("/-/objects/config")[1])
        call_json(self.port, "/faults", {"era_text": "soon"})
        self.assertEqual(self.call("/-/objects/config")[1], "soon")

    def test_answers_of_an_earlier_era_can_come_late(self):
        call_json(self.port, "/faults", {"late_answers": 1, "late_s": 0.6})
        late = threading.Thread(target=self.record_era, daemon=True)
        late.start()
        time.sleep(0.2)
        self.drill()
        self.record_era()
        late.join()
        self.assertEqual(self.eras, ["2", "1"])

    def record_era(self):
        self.eras.append(self.call("/-/objects/config")[1])


if __name__ == "__main__":
    unittest.main()
