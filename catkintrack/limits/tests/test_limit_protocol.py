"""Test lending and recounts with lost, repeated, late messages, pauses and crashes."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from catkintrack import limits
from catkintrack.limits import lending
from catkintrack.links import Freeze, Thaw
from testkit.profiles import DETERMINISTIC

INSTANCES = ("a", "b", "c")
WORKSPACE = "w"
SPEC = limits.LimitSpec(rate=100.0, burst=1000.0)
instances = st.sampled_from(INSTANCES)
at_most_one_instance = st.sampled_from(
    [frozenset(), frozenset(), frozenset("a"), frozenset("b"), frozenset("c")]
)
headrooms = st.sampled_from([0, 0, 200, 1000])
pairs = st.permutations(INSTANCES).map(lambda names: tuple(names[:2]))


@dataclass
class Protocol:
    """Hold the functions under test, so that a test can replace one by a faulty one."""

    lend: Callable = limits.lend
    accept_grant: Callable = limits.accept_grant
    freeze: Callable = limits.freeze
    finish: Callable = limits.finish_recount
    install_ledger: Callable = limits.install_ledger


@dataclass
class Node:
    """Hold one instance's process and the recount that it coordinates."""

    holder: limits.ShareHolder
    recount: limits.Recount | None = None
    is_paused: bool = False
    is_removed: bool = False


@dataclass
class MessagesInFlight:
    """Hold the messages in flight; any may be lost, duplicated or reordered."""

    messages: list = field(default_factory=list)


class LimitMachine(RuleBasedStateMachine):
    """Interleave lending, recounts and failures of three instances."""

    protocol = Protocol()

    @initialize()
    def set_up(self):
        self.now = 0.0
        self.next_incarnation = 0
        self.admitted = 0.0
        self.ledger = limits.Ledger()
        self.in_flight = MessagesInFlight()
        self.node_by_instance = {name: self.start(name) for name in INSTANCES}
        self.run_whole_recount("a", set(), set())

    def start(self, name):
        self.next_incarnation += 1
        holder = limits.ShareHolder(name, self.next_incarnation)
        holder.shares.spec_by_workspace = {WORKSPACE: SPEC}
        return Node(holder)

    def running(self):
        return {
            name: node
            for name, node in self.node_by_instance.items()
            if not node.is_paused and not node.is_removed
        }

    def is_up(self, name):
        return name in self.running()

    @rule(seconds=st.sampled_from([0.01, 0.5, 5.0]))
    def advance_clock(self, seconds):
        self.now += seconds

    @rule(name=instances, tokens=st.integers(1, 500))
    def admit(self, name, tokens):
        if not self.is_up(name):
            return
        shares = self.node_by_instance[name].holder.shares
        if limits.debit(shares, WORKSPACE, tokens, self.now) == 0:
            self.admitted += tokens

    @rule(
        pair=pairs,
        tokens=st.integers(100, 800),
        copies=st.integers(0, 2),
        headroom=headrooms,
    )
    def lend(self, pair, tokens, copies, headroom=0):
        """Lend, and deliver the grant later (0 copies), once or twice."""
        lender, receiver = pair
        if not self.is_up(lender):
            return
        holder = self.node_by_instance[lender].holder
        grant = self.protocol.lend(
            holder, receiver, WORKSPACE, tokens, 0, self.now, headroom
        )
        if grant is not None and copies == 0:
            self.send(lender, holder.incarnation, receiver, grant)
        elif grant is not None:
            for _ in range(copies):
                self.receive(lender, holder.incarnation, receiver, grant)

    @rule(name=instances)
    def resend_unacknowledged_grants(self, name):
        if not self.is_up(name):
            return
        holder = self.node_by_instance[name].holder
        for peer, grant in limits.list_unacknowledged_grants(holder):
            self.send(name, holder.incarnation, peer, grant)

    def send(self, sender, incarnation, receiver, message):
        self.in_flight.messages.append((sender, incarnation, receiver, message))

    @rule(index=st.integers(0, 5), is_repeated=st.booleans())
    def deliver(self, index, is_repeated):
        if not self.in_flight.messages:
            return
        index %= len(self.in_flight.messages)
        message = self.in_flight.messages[index]
        if not is_repeated:
            del self.in_flight.messages[index]
        self.receive(*message)

    @rule(index=st.integers(0, 50))
    def drop_message(self, index):
        if self.in_flight.messages:
            del self.in_flight.messages[index % len(self.in_flight.messages)]

    def receive(self, sender, incarnation, receiver, message):
        if not self.is_up(receiver):
            return
        node = self.node_by_instance[receiver]
        holder = node.holder
        match message:
            case limits.lending.Grant():
                ack = self.protocol.accept_grant(
                    holder, sender, incarnation, message, self.now
                )
                if ack is not None:
                    self.send(receiver, holder.incarnation, sender, ack)
            case limits.lending.GrantAck():
                limits.drop_acknowledged_grants(holder, sender, message)
            case Freeze():
                held = self.protocol.freeze(holder, message)
                if held is not None:
                    self.send(receiver, holder.incarnation, sender, held)
            case Thaw():
                limits.thaw(holder, message)
            case _:
                if node.recount is not None:
                    limits.record_held_parts(node.recount, sender, incarnation, message)

    @rule(name=instances)
    def read_ledger(self, name):
        if self.is_up(name):
            holder = self.node_by_instance[name].holder
            self.protocol.install_ledger(holder, self.ledger, self.now)

    @rule(name=instances, silent=at_most_one_instance)
    def begin_recount(self, name, silent):
        """Freeze all members; the coordinator believes the `silent` ones to be dead."""
        if not self.is_up(name):
            return
        node = self.node_by_instance[name]
        alive = {
            other: peer.holder.incarnation
            for other, peer in self.running().items()
            if other not in silent or other == name
        }
        removed_instances = [
            n for n, peer in self.node_by_instance.items() if peer.is_removed
        ]
        recount_id = self.next_incarnation * 1000 + len(self.in_flight.messages)
        node.recount = limits.start_recount(
            recount_id, self.ledger, alive, removed_instances
        )
        message = Freeze(self.ledger.generation, recount_id)
        for other in node.recount.members:
            self.send(name, node.holder.incarnation, other, message)

    @rule(name=instances, silent=at_most_one_instance, late=at_most_one_instance)
    def run_whole_recount(self, name, silent, late):
        """Run a recount to its end before the messages in flight arrive.

        The `late` instances don't read the new ledger.
        """
        delayed, self.in_flight.messages = self.in_flight.messages, []
        self.begin_recount(name, silent)
        self.deliver_everything()
        self.end_recount(name)
        for other in INSTANCES:
            if other not in late:
                self.read_ledger(other)
        self.in_flight.messages += delayed

    @rule()
    def restore_all_instances(self):
        """Resume paused processes, replace removed ones and recount with all of them."""
        for name, node in self.node_by_instance.items():
            node.is_paused = False
            if node.is_removed:
                self.node_by_instance[name] = self.start(name)
        self.run_whole_recount("a", set(), set())

    @rule(pair=pairs, tokens=st.integers(100, 800))
    def deliver_grant_after_recount(self, pair, tokens):
        """Deliver a grant after its receiver has reported to a recount."""
        lender, receiver = pair
        self.restore_all_instances()
        before = len(self.in_flight.messages)
        self.lend(pair, tokens, 0)
        self.run_whole_recount(lender, set(), {receiver})
        for message in self.in_flight.messages[before:]:
            self.receive(*message)

    @rule(pair=pairs, tokens=st.integers(100, 800))
    def restart_after_lending(self, pair, tokens):
        """Restart a process that has lent; it reads the ledger of its earlier incarnation."""
        self.lend(pair, tokens, 1)
        self.inject_failure(pair[0], "restart")

    @rule()
    def deliver_everything(self):
        """Deliver all messages in order, and the responses that they cause."""
        for _ in range(3):
            messages, self.in_flight.messages = self.in_flight.messages, []
            for message in messages:
                self.receive(*message)

    @rule(name=instances)
    def end_recount(self, name):
        node = self.node_by_instance[name]
        if not self.is_up(name) or node.recount is None:
            return
        recount, node.recount = node.recount, None
        if self.ledger.generation != recount.ledger.generation:
            message = Thaw(recount.ledger.generation, recount.id)
            for other in recount.members:
                self.send(name, node.holder.incarnation, other, message)
            return
        self.ledger = self.protocol.finish(recount, [WORKSPACE])

    @rule(name=instances, kind=st.sampled_from(["pause", "restart", "remove"]))
    def inject_failure(self, name, kind):
        """Pause or resume a process, restart it, or remove its instance for good."""
        node = self.node_by_instance[name]
        if kind == "pause":
            node.is_paused = not node.is_paused
        elif kind == "restart":
            self.node_by_instance[name] = self.start(name)
            self.read_ledger(name)
        elif sum(not n.is_removed for n in self.node_by_instance.values()) > 1:
            node.is_removed = True

    @invariant()
    def parts_never_exceed_total(self):
        shares = [
            node.holder.shares.share_by_workspace.get(WORKSPACE)
            for node in getattr(self, "node_by_instance", {}).values()
            if not node.is_removed
        ]
        parts = sum(share.parts for share in shares if share is not None)
        assert parts <= limits.PARTS_TOTAL, f"{parts} parts"

    @invariant()
    def admission_stays_within_limit(self):
        if hasattr(self, "admitted"):
            allowed = SPEC.burst + SPEC.rate * self.now
            assert self.admitted <= allowed + 1e-6, f"{self.admitted} > {allowed}"


class LongRunSettings:
    """Set enough steps for a recount with failures during it."""

    settings = settings(DETERMINISTIC, max_examples=300, stateful_step_count=50)


def lend_without_subtracting(holder, peer, workspace, tokens, ticket, now, headroom):
    share = limits.refresh_share(holder.shares, workspace, now)
    before = (share.parts, share.tokens)
    grant = lending.lend(holder, peer, workspace, tokens, ticket, now, headroom)
    share.parts, share.tokens = before
    return grant


def accept_repeated_grants(holder, sender, incarnation, grant, now):
    channel = holder.incoming_channel_by_peer.get(sender)
    if channel is not None:
        channel.last_sequence = grant.sequence - 1
    return lending.accept_grant(holder, sender, incarnation, grant, now)


def freeze_without_stopping_lending(holder, message):
    held = limits.freeze(holder, message)
    holder.freezing_recount_ids.clear()
    return held


def finish_with_silent_members_as_empty(recount, workspaces):
    for name in limits.find_unreported_members(recount):
        recount.held_parts_by_instance[name] = {}
    return limits.finish_recount(recount, workspaces)


def install_ledger_with_previous_bonus(holder, ledger, now):
    """Give a restarted process the bonus of its previous incarnation."""
    members_with_restarted = {**ledger.members, holder.instance: holder.incarnation}
    return limits.install_ledger(
        holder, replace_members(ledger, members_with_restarted), now
    )


def replace_members(ledger, members):
    return type(ledger)(
        ledger.generation,
        ledger.recount,
        members,
        ledger.unresolved,
        ledger.workspaces,
        ledger.fresh,
        ledger.bonus_by_instance_by_workspace,
    )


def make_machine(protocol):
    return type("FaultyLimitMachine", (LimitMachine,), {"protocol": protocol})


class LimitProtocolTest(unittest.TestCase):
    def check(self, machine):
        run_state_machine_as_test(machine, settings=LongRunSettings.settings)

    def assert_caught(self, protocol):
        with self.assertRaises(AssertionError):
            self.check(make_machine(protocol))

    def test_limits_hold_under_every_failure(self):
        self.check(LimitMachine)

    def test_detects_lending_that_does_not_subtract(self):
        self.assert_caught(replace(Protocol(), lend=lend_without_subtracting))

    def test_detects_a_grant_applied_twice(self):
        self.assert_caught(replace(Protocol(), accept_grant=accept_repeated_grants))

    def test_detects_lending_during_a_recount(self):
        self.assert_caught(replace(Protocol(), freeze=freeze_without_stopping_lending))

    def test_detects_a_recount_that_counts_silent_members_as_empty(self):
        self.assert_caught(
            replace(Protocol(), finish=finish_with_silent_members_as_empty)
        )

    def test_detects_a_restart_that_claims_its_previous_bonus(self):
        self.assert_caught(
            replace(Protocol(), install_ledger=install_ledger_with_previous_bonus)
        )


if __name__ == "__main__":
    unittest.main()
