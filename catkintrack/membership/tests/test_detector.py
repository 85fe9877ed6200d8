"""Test the failure detector in virtual time: deaths, pauses, partitions, restarts."""

import unittest
from dataclasses import dataclass, field
from random import Random

import hypothesis.strategies as st
from hypothesis import given, settings

from catkintrack.links import MemberNews, Probe, Vouch, VouchRequest
from catkintrack.membership import (
    MemberTable,
    answer_vouch_request,
    dequeue_news,
    list_alive,
    list_all_news,
    merge_news,
    needs_full_table,
    record_liveness,
    run_detector,
)
from testkit.profiles import DETERMINISTIC

TICK_S = 0.1
DETECTION_BOUND_S = 3.0


def make_news(name, incarnation=1):
    return MemberNews(name, incarnation, 0, True, "z1", "127.0.0.1", 1, "127.0.0.1", 2)


@dataclass
class Network:
    """Simulate members and a network that keeps messages to paused members."""

    members: dict = field(default_factory=dict)
    in_flight: list = field(default_factory=list)
    paused: set = field(default_factory=set)
    dead: set = field(default_factory=set)
    cut_links: set = field(default_factory=set)
    now: float = 100.0
    rng: Random = field(default_factory=lambda: Random(1))
    sent: int = 0

    def start(self, name, incarnation=1):
        self.dead.discard(name)
        self.members[name] = MemberTable(make_news(name, incarnation))
        for other, table in self.members.items():
            if other != name and other not in self.dead:
                news = [make_news(name, incarnation)]
                merge_news(table, news, self.now)
                merge_news(self.members[name], list_all_news(table), self.now)

    def send(self, sender, receiver, message):
        self.sent += 1
        if frozenset((sender, receiver)) not in self.cut_links:
            incarnation = self.members[sender].own.incarnation
            self.in_flight.append((self.now, sender, incarnation, receiver, message))

    def heartbeat(self, name):
        table = self.members[name]
        return (table.own, *dequeue_news(table))

    def run_tick(self):
        self.now += TICK_S
        due, self.in_flight = self.in_flight, []
        for message in due:
            receiver = message[3]
            if receiver in self.paused:
                self.in_flight.append(message)
            elif receiver in self.members and receiver not in self.dead:
                self.receive(*message[1:])
        for name, table in self.members.items():
            if name in self.dead or name in self.paused:
                continue
            for outgoing in run_detector(table, self.now, self.rng):
                message = outgoing.message or self.heartbeat(name)
                self.send(name, outgoing.receiver, message)

    def receive(self, sender, incarnation, receiver, message):
        table = self.members[receiver]
        record_liveness(table, sender, incarnation, self.now)
        if isinstance(message, tuple):
            if needs_full_table(table, sender):
                self.send(receiver, sender, list_all_news(table))
            merge_news(table, message, self.now)
        elif isinstance(message, Probe):
            self.send(receiver, sender, self.heartbeat(receiver))
        elif isinstance(message, VouchRequest):
            vouch = answer_vouch_request(table, message.instance, self.now)
            if vouch is not None:
                self.send(receiver, sender, vouch)
        elif isinstance(message, Vouch):
            last_alive_at = self.now - message.age_s
            record_liveness(table, message.instance, message.incarnation, last_alive_at)

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.run_tick()

    def list_observers_seeing_alive(self, name):
        """Return the running members that believe `name` to be alive."""
        return {
            other
            for other, table in self.members.items()
            if other not in self.dead | self.paused
            and other != name
            and name in list_alive(table)
        }


def make_network(count):
    network = Network()
    for number in range(count):
        network.start(f"i{number}")
    network.run(3.0)
    return network


class DetectorTest(unittest.TestCase):
    def test_dead_member_is_detected_by_all_within_the_bound(self):
        for count in (3, 8, 64):
            network = make_network(count)
            network.dead.add("i1")
            network.run(DETECTION_BOUND_S)
            self.assertEqual(network.list_observers_seeing_alive("i1"), set(), count)

    @given(st.integers(0, 7), st.integers(0, 30), st.integers(0, 1000))
    @settings(DETERMINISTIC, max_examples=100)
    def test_mutual_vouching_does_not_keep_a_dead_member_alive(
        self, index, phase, seed
    ):
        network = make_network(8)
        network.rng = Random(seed)
        network.run(phase * TICK_S)
        network.dead.add(f"i{index}")
        network.run(DETECTION_BOUND_S)
        self.assertEqual(network.list_observers_seeing_alive(f"i{index}"), set())

    def test_simultaneous_death_of_a_zone_is_detected(self):
        network = make_network(12)
        network.dead |= {"i1", "i2", "i3", "i4"}
        network.run(2 * DETECTION_BOUND_S)
        for name in network.dead:
            self.assertEqual(network.list_observers_seeing_alive(name), set())

    @given(st.integers(0, 7), st.floats(0.1, 2.0), st.integers(0, 4))
    @settings(DETERMINISTIC, max_examples=40)
    def test_short_pause_causes_no_false_death(self, index, seconds, phase):
        network = make_network(8)
        network.run(phase * TICK_S)
        name = f"i{index}"
        network.paused.add(name)
        network.run(seconds)
        self.assertEqual(len(network.list_observers_seeing_alive(name)), 7)
        network.paused.clear()
        network.run(3.0)
        for other in network.members:
            self.assertEqual(len(network.list_observers_seeing_alive(other)), 7)

    def test_long_pause_is_declared_dead_and_refuted(self):
        network = make_network(8)
        network.paused.add("i2")
        network.run(6.0)
        self.assertEqual(network.list_observers_seeing_alive("i2"), set())
        network.paused.clear()
        network.run(6.0)
        for other in network.members:
            self.assertEqual(len(network.list_observers_seeing_alive(other)), 7, other)

    def test_single_cut_link_causes_no_false_death(self):
        network = make_network(8)
        network.cut_links.add(frozenset(("i0", "i1")))
        network.run(10.0)
        self.assertEqual(len(network.list_observers_seeing_alive("i0")), 7)
        self.assertEqual(len(network.list_observers_seeing_alive("i1")), 7)

    def test_partitioned_zone_rejoins(self):
        network = make_network(8)
        zone = {"i0", "i1"}
        network.cut_links = {
            frozenset((a, b)) for a in zone for b in network.members if b not in zone
        }
        network.run(8.0)
        self.assertEqual(network.list_observers_seeing_alive("i0"), {"i1"})
        network.cut_links = set()
        network.run(15.0)
        for name in network.members:
            self.assertEqual(len(network.list_observers_seeing_alive(name)), 7, name)

    def test_simultaneous_restarts_converge(self):
        network = make_network(16)
        for number in range(0, 16, 2):
            network.start(f"i{number}", incarnation=2)
        network.run(4.0)
        for table in network.members.values():
            incarnations = {
                name: news.incarnation for name, news in list_alive(table).items()
            }
            self.assertEqual(len(incarnations), 16)
            self.assertEqual(incarnations["i2"], 2)

    def test_older_incarnation_is_ignored(self):
        network = make_network(4)
        network.start("i1", incarnation=5)
        for table in network.members.values():
            merge_news(table, [make_news("i1", 3)], network.now)
            self.assertEqual(list_alive(table)["i1"].incarnation, 5)

    def test_message_rate_per_member_is_independent_of_fleet_size(self):
        rates = []
        for count in (8, 64):
            network = make_network(count)
            network.run(5.0)
            network.sent = 0
            network.run(10.0)
            rates.append(network.sent / count / 10.0)
        self.assertLessEqual(rates[1], rates[0] * 1.05)


if __name__ == "__main__":
    unittest.main()
