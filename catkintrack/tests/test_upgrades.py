"""Run an earlier build of the instances beside the current one, both ways."""

import threading
import typing
import unittest

from catkintrack.instance.messages import (
    AnyPeerMessage,
    decode_peer_message,
    encode_peer_message,
)
from standins.replica import EVENTS_PER_STREAM
from testkit.earlier_builds import (
    describe,
    open_earlier_build,
    read_messages,
    use_build,
)
from testkit.fleet import wait_until
from testkit.instances import make_config_spec
from testkit.peer_messages import make_peer_messages
from testkit.site import count_events
from testkit.site_cases import MAX_CONFIG_APPLY_S, SiteTest

UNREADABLE = ("invalid message from a peer", "message failed")


class UpgradeTest(SiteTest):
    nodes = 3
    zones = 2

    def setUp(self):
        super().setUp()
        self.build = self.enterContext(open_earlier_build())

    def tearDown(self):
        for node in self.site.node_by_name.values():
            log = node.process.read_log()
            self.assertFalse([text for text in UNREADABLE if text in log], node.name)

    def restart(self, name, build):
        """Replace an instance by one of a build, as a planned restart does."""
        node = self.site.node_by_name[name]
        self.assertEqual(node.process.stop(), 0)
        use_build(node, build)
        self.site.start_nodes(name)

    def replace_all(self, build):
        """Replace the instances one after the other."""
        for name in self.site.node_by_name:
            self.restart(name, build)

    def read_config_version(self, name):
        """Return the version of the configuration in force at an instance."""
        return self.site.node_by_name[name].dump()["config"]

    def check_replacement_under_calls(self, build):
        """Replace the instances while others take orders and streams."""
        is_over = threading.Event()
        statuses, events, orders = [], [], []

        def call_remaining(name):
            while not is_over.is_set():
                order = f"{name}-{len(orders)}"
                orders.append(order)
                status = self.site.call(name, "/order/1", id=order)[0]
                statuses.append(status)
                status, _, body = self.site.stream(name)
                statuses.append(status)
                events.append(count_events(body))

        for name in self.site.node_by_name:
            others = [other for other in self.site.node_by_name if other != name]
            is_over.clear()
            threads = [
                threading.Thread(target=call_remaining, args=(other,))
                for other in others
            ]
            for thread in threads:
                thread.start()
            try:
                self.restart(name, build)
            finally:
                is_over.set()
                for thread in threads:
                    thread.join()
        self.assertGreater(len(statuses), 20)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(set(events), {EVENTS_PER_STREAM})
        self.assertEqual({self.count_runs(order) for order in orders}, {1})

    def test_upgrade_under_calls(self):
        self.replace_all(self.build)
        self.check_replacement_under_calls(None)

    def test_return_to_the_earlier_build_under_calls(self):
        self.check_replacement_under_calls(self.build)

    def check_start_without_the_store(self, first_build, second_build):
        """Start an instance of one build that has only a peer of the other to learn from."""
        for name in ("n0", "n2"):
            self.site.node_by_name[name].process.kill()
        self.restart("n1", first_build)
        self.site.write_object("config", "main", make_config_spec(9))
        wait_until(lambda: self.read_config_version("n1") == 9, MAX_CONFIG_APPLY_S)
        self.site.set_store_faults(is_down=True)
        node = self.site.node_by_name["n0"]
        use_build(node, second_build)
        self.site.start_nodes("n0")
        self.assertEqual(self.read_config_version("n0"), 9)
        self.assertEqual(self.site.call("n0", "/order/1")[0], 200)
        self.assertEqual(self.site.stream("n0")[0], 200)

    def test_current_build_learns_all_from_the_earlier_one(self):
        self.check_start_without_the_store(self.build, None)

    def test_earlier_build_learns_all_from_the_current_one(self):
        self.check_start_without_the_store(None, self.build)


class MessageTest(unittest.TestCase):
    def test_samples_have_each_type_of_message(self):
        known = set(typing.get_args(AnyPeerMessage))
        self.assertEqual({type(message) for message in make_peer_messages()}, known)

    def test_both_builds_read_the_same_fields(self):
        """Guards against a field in another place, which only hubs may notice."""
        messages = make_peer_messages()
        with open_earlier_build() as build:
            found = read_messages(build, [encode_peer_message(m) for m in messages])
        for message, (data, fields) in zip(messages, found, strict=True):
            with self.subTest(type=type(message).__name__):
                self.assertEqual(fields, describe(message))
                self.assertEqual(fields, describe(decode_peer_message(data)))


if __name__ == "__main__":
    unittest.main()
