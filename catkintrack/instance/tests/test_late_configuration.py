"""Apply changes in time at each instance of a fleet with hubs, in virtual time."""

import time
import unittest
from random import Random

import curio

from catkintrack.instance.anti_entropy import PULL_DELAY_S, pull_newer
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.gossip import make_gossip
from catkintrack.instance.hubs import BATCH_INTERVAL_S
from catkintrack.instance.peers import get_or_add_peer
from catkintrack.platform import CONFIG_KIND
from testkit.config_faults import find_late_members
from testkit.config_fleet import (
    TRANSIT_S,
    Path,
    cancel_tasks,
    list_stale,
    open_config_fleet,
)
from testkit.virtual_clock import run_virtually

FLEET_SIZE = 32
SETTLE_S = 10.0
RANDOM_SEEDS = (13, 32, 40, 41)


def run_in_fleet(check):
    """Run a check in a fleet that has settled."""

    async def run():
        async with open_config_fleet(FLEET_SIZE, Random(1)) as fleet:
            await curio.sleep(SETTLE_S)
            await check(fleet)

    run_virtually(run)


class LateConfigurationTest(unittest.TestCase):
    async def check_in_time(self, fleet, names):
        """Fail unless a change is in force at `names` within the operators' bound."""
        version = await fleet.change_config()
        await curio.sleep(fleet.member_by_name["n00"].site.bounds.config_apply_s)
        self.assertEqual(list_stale(fleet, names, version), {})

    def check_with_silent_store(self, choose):
        """Let the store fall silent for some hubs right after they began to watch."""

        async def check(fleet):
            await fleet.change_config()
            await curio.sleep(0.1)
            silent = choose(fleet)
            for name in silent:
                fleet.store.set_path(name, Path.SILENT)
            await self.check_in_time(fleet, set(fleet.member_by_name) - set(silent))

        run_in_fleet(check)

    def test_change_is_in_time_though_the_store_is_silent_for_the_reading_hubs(self):
        self.check_with_silent_store(lambda fleet: fleet.list_watching())

    def test_change_is_in_time_though_the_store_is_silent_for_all_hubs(self):
        self.check_with_silent_store(
            lambda fleet: {fleet.find_hub(name) for name in fleet.member_by_name}
        )

    def test_pull_and_its_answer_cross_links_that_are_not_connected_yet(self):
        """Guards against a pull, or its answer, that is dropped while a link connects."""

        async def run():
            async with open_config_fleet(2, Random(1)) as fleet:
                await fleet.change_config()
                behind, ahead = (m.instance for m in fleet.member_by_name.values())
                for member in fleet.member_by_name.values():
                    await cancel_tasks(member)
                spec = fleet.store.row_by_kind[CONFIG_KIND].spec
                apply_configuration(ahead, fleet.store.revision, spec, "store")
                mesh = ahead.site.mesh
                peer = get_or_add_peer(behind, "n01", "z2", mesh.host, mesh.port)
                now = time.monotonic()
                gossip = make_gossip(ahead, now, is_full=True)
                await pull_newer(behind, peer, gossip, now)
                await curio.sleep(PULL_DELAY_S)
                self.assertEqual(fleet.find_version("n00"), fleet.version)

        run_virtually(run)

    def test_missed_change_is_read_from_the_store_if_no_peer_answers(self):
        """Guards against instances that reach their hub and the store, and only pull."""

        async def check(fleet):
            names = set(fleet.member_by_name)
            hub_by_name = {name: fleet.find_hub(name) for name in names}
            members = names - set(hub_by_name.values())
            for name in members:
                fleet.cut_off(name)
            version = await fleet.change_config()
            await curio.sleep(2 * BATCH_INTERVAL_S + TRANSIT_S)
            for name in members:
                fleet.cut_pairs.discard(frozenset((name, hub_by_name[name])))
            bounds = fleet.member_by_name["n00"].site.bounds
            await curio.sleep(bounds.config_apply_s)
            self.assertEqual(list_stale(fleet, members, version), {})

        run_in_fleet(check)

    def test_sound_instances_are_in_time_whatever_happens_to_others(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtually(find_late_members, seed), {})


if __name__ == "__main__":
    unittest.main()
