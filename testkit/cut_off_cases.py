"""Provide the base class of tests that cut an instance off from its replicas."""

from __future__ import annotations

import logging
import time
import unittest

import curio

from .cut_links import Cut
from .cut_off_fleet import (
    SERVICES,
    TARGET_BY_KIND,
    call_at_intervals,
    join_callers,
    open_cut_off_fleet,
)

# The users' bound for the time until calls are served again.
STABLE_S = 3.0
MEASURED_S = 2.0
BEFORE_S = 1.0
CALL_INTERVAL_S = 0.2
MIN_SHARE = 0.95
# Kinds of call that no replica may run twice.
ONCE = ("stream", "non-idempotent call")


class CutOffCase(unittest.TestCase):
    """Play cuts beside calls of each kind."""

    def setUp(self):
        """Keep the log of the fleet from the output."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def play(self, cut, kinds, services):
        """Cut the instance off under load; return the fleet and when that was."""
        async with open_cut_off_fleet() as fleet:
            for_s = BEFORE_S + STABLE_S + MEASURED_S
            load = call_at_intervals(fleet, kinds, CALL_INTERVAL_S, for_s)
            task = await curio.spawn(load, daemon=True)
            await curio.sleep(BEFORE_S)
            cut_at = time.monotonic()
            await fleet.cut(cut, services)
            await task.join()
            await join_callers(fleet)
            return fleet, cut_at

    def check(self, cut, kinds=tuple(TARGET_BY_KIND), services=SERVICES):
        """Check that calls are served as often as elsewhere, and run at most once."""
        fleet, cut_at = curio.run(self.play, cut, kinds, services)
        shares = {}
        for kind in kinds:
            here, there = (
                fleet.find_share_served(kind, cut_at + STABLE_S, at_cut_off)
                for at_cut_off in (True, False)
            )
            self.assertGreater(there, 0.9)
            shares[kind] = round(here / there, 2)
        self.assertGreaterEqual(min(shares.values()), MIN_SHARE, shares)
        for outcome in fleet.outcomes:
            runs = fleet.runs_by_id.get(outcome.id, 0)
            if outcome.kind in ONCE:
                self.assertLessEqual(runs, 1, outcome)
            if outcome.status in (429, 503):
                self.assertEqual(runs, 0, outcome)

    def follow(self, silent_s, after_s):
        """Return the states of the instance beside a silence of all its links."""

        async def run():
            async with open_cut_off_fleet() as fleet:
                for_s = BEFORE_S + silent_s + after_s
                load = call_at_intervals(fleet, TARGET_BY_KIND, CALL_INTERVAL_S, for_s)
                task = await curio.spawn(load, daemon=True)
                await curio.sleep(BEFORE_S)
                await fleet.cut(Cut.SILENT)
                ends_at = time.monotonic() + silent_s
                states = [False]
                while time.monotonic() < ends_at + after_s:
                    if time.monotonic() >= ends_at and fleet.links[0][1].cut:
                        await fleet.mend()
                    if states[-1] != fleet.instance.partition.is_cut_off:
                        states.append(not states[-1])
                    await curio.sleep(0.01)
                await task.join()
                return states

        return curio.run(run)
