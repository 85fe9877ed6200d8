"""Stop an instance so that all calls it still takes can end within the grace time."""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

import curio

from catkintrack.http import DRAIN_READ_S
from catkintrack.instance import process
from testkit.states import make_instance

# Calls that are sent later than this after the stop signal must all be served.
MAX_ACCEPTING_S = 3.0
# The load balancer has then seen two failed checks, one a second.
MIN_ACCEPTING_S = 2.0


class StopTest(unittest.TestCase):
    def stop(self, release_s):
        """Return how long after the signal the instance begins to drain, in seconds.

        The lease takes `release_s` to release.
        """
        now = 100.0
        drained_at = []

        async def sleep(seconds):
            nonlocal now
            now += seconds

        async def release_lease(_instance):
            await sleep(release_s)

        async def drain_server(_server):
            drained_at.append(now)

        instance = make_instance()
        server = SimpleNamespace(active_requests=0)
        with (
            mock.patch.object(time, "monotonic", lambda: now),
            mock.patch.object(curio, "sleep", sleep),
            mock.patch.multiple(
                process,
                release_lease=release_lease,
                drain_server=drain_server,
                disable_keep_alive=lambda _server: None,
                send_gossip=mock.AsyncMock(),
            ),
        ):
            curio.run(process._stop, instance, server)
        return drained_at[0] - 100.0

    def test_calls_are_taken_no_longer_when_the_lease_is_released_late(self):
        """Guards against a call that was sent 3.05 s after the signal and cut."""
        for release_s in (0.0, 0.2, process.RELEASE_TIMEOUT_S):
            accepting_s = self.stop(release_s) + DRAIN_READ_S
            self.assertLess(accepting_s, MAX_ACCEPTING_S, release_s)
            self.assertGreater(self.stop(release_s), MIN_ACCEPTING_S)
