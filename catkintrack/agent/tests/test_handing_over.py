"""Hand the shares over at a planned stop, also while a recount has frozen them."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

import curio

from catkintrack import limits
from catkintrack.agent import lending
from catkintrack.limits import Ledger, LimitSpec, ShareHolder
from catkintrack.links import Freeze, GrantAck

PARTS = 1_000_000
MEMBERS = {"n0": 1, "n1": 1}
WORKSPACE = "w1"


class HandOverTest(unittest.TestCase):
    def setUp(self):
        self.holder = ShareHolder("n1", 1)
        limits.set_limit_specs(
            self.holder.shares, {WORKSPACE: LimitSpec(400.0, 4000.0)}, 0.0
        )
        self.install(1, {WORKSPACE: {"n1": PARTS}})
        self.alive = ["n0", "n1"]
        self.received_parts = 0

    def install(self, generation, bonus=None, members=MEMBERS):
        ledger = Ledger(
            generation,
            members=members,
            fresh=(WORKSPACE,),
            bonus_by_instance_by_workspace=bonus or {},
        )
        limits.install_ledger(self.holder, ledger, 0.0)

    async def receive(self, agent, peer, grant):
        """Take a grant as the peer does, and acknowledge it."""
        self.received_parts += grant.parts
        ack = GrantAck(agent.incarnation, grant.sequence)
        limits.drop_acknowledged_grants(self.holder, peer, ack)

    def hand_over(self, then=None, after_s=0.0):
        """Hand over while `then` happens after some seconds; return the seconds taken."""
        agent = SimpleNamespace(
            instance="n1",
            incarnation=1,
            limits=SimpleNamespace(holder=self.holder),
            members=None,
        )

        def list_lenders(agent):
            return [
                n for n in self.alive if n != "n1" and n in self.holder.ledger.members
            ]

        async def run():
            async def change():
                await curio.sleep(after_s)
                if then is not None:
                    then()

            task = await curio.spawn(change)
            started_at = await curio.clock()
            await lending.hand_over_shares(agent)
            taken_s = await curio.clock() - started_at
            await task.join()
            return taken_s

        with patch.multiple(
            lending,
            list_lenders=list_lenders,
            list_alive=lambda members: self.alive,
            send_to_peer=self.receive,
        ):
            return curio.run(run)

    def test_shares_are_handed_over(self):
        self.hand_over()
        self.assertEqual(self.received_parts, PARTS)

    def test_shares_that_a_recount_froze_are_handed_over_after_it(self):
        limits.freeze(self.holder, Freeze(1, 7))
        self.hand_over(lambda: self.install(2), lending.LATE_GRANT_S + 0.2)
        self.assertEqual(self.received_parts, PARTS)

    def test_peer_that_the_ledger_lacks_yet_is_waited_for(self):
        self.holder.ledger = Ledger(1, members={"n1": 1})
        self.hand_over(lambda: self.install(2), lending.LATE_GRANT_S + 0.2)
        self.assertEqual(self.received_parts, PARTS)

    def test_recount_without_an_end_holds_the_stop_up_for_a_limited_time(self):
        limits.freeze(self.holder, Freeze(1, 7))
        self.assertLess(self.hand_over(), lending.HANDOVER_TIMEOUT_S + 0.5)
        self.assertEqual(self.received_parts, 0)

    def test_single_agent_stops_at_once(self):
        self.alive = ["n1"]
        self.assertLess(self.hand_over(), lending.LATE_GRANT_S)


if __name__ == "__main__":
    unittest.main()
