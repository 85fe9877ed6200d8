"""Stop an instance for seconds while callers give up, and see what replicas get."""

import socket
import time
import unittest

from catkintrack.http import RESET_ON_CLOSE
from testkit.raw_callers import connect, make_order, make_stream, open_callers
from testkit.site_cases import SiteTest

PAUSE_S = 3.0
# When callers give up, of the pause.
GIVE_UP_AT_S = 1.0
CALLERS_OF_A_KIND = 6
SHORT_DEADLINE_MS = 1000
LONG_DEADLINE_MS = 9000
# Of the time that a call waited unread, which its replica's deadline must not include;
# the kernel counts in steps of some milliseconds.
TOLERANCE_MS = 100


class PausedInstanceTest(SiteTest):
    nodes = 1

    def setUp(self):
        super().setUp()
        self.node = self.site.node_by_name["n0"]

    def find_deadlines(self):
        """Return the deadline in ms of each request that reached a replica, by ID."""
        arrivals = [
            arrival
            for name in self.site.replica_port_by_id
            for arrival in self.site.read_counts(name)["arrivals"]
        ]
        return {id: deadline_s * 1e3 for _, id, deadline_s in arrivals}

    def send_while_paused(self, requests, give_up=None, warm_up=None):
        """Send each request on a connection while the instance is stopped.

        `give_up` is called for each caller midway, `warm_up` is a request to be served on
        its connection before.  Return the answers of those who waited.
        """
        with open_callers() as callers:
            for number in range(len(requests)):
                caller = connect(self.node.callers_port)
                callers.append(caller)
                if warm_up is not None:
                    caller.send(warm_up(f"warm-{number}"))
                    caller.read()
            self.node.process.freeze()
            stopped_at = time.monotonic()
            try:
                for caller, request in zip(callers, requests, strict=True):
                    caller.send(request)
                time.sleep(GIVE_UP_AT_S)
                for caller in callers:
                    if give_up is not None:
                        give_up(caller)
                    else:
                        caller.sock.settimeout(PAUSE_S + 2.0)
                        caller.read_in_background()
                time.sleep(stopped_at + PAUSE_S - time.monotonic())
            finally:
                self.node.process.unfreeze()
            # A call that comes after all others shows that these were read.
            self.assertEqual(self.site.call("n0", "/order/1", id="last")[0], 200)
            time.sleep(0.5)
            return [caller.answer for caller in callers]

    def assert_none_sent(self, name):
        self.assertEqual([id for id in self.find_deadlines() if name in id], [])

    def test_calls_of_callers_who_closed_go_nowhere(self):
        requests = [make_order(f"gone-o{n}") for n in range(CALLERS_OF_A_KIND)]
        requests += [make_stream(f"gone-s{n}") for n in range(CALLERS_OF_A_KIND)]
        self.send_while_paused(requests, lambda caller: caller.sock.close())
        self.assert_none_sent("gone")

    def test_calls_of_callers_who_reset_go_nowhere(self):
        def reset(caller):
            caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            caller.sock.close()

        requests = [make_order(f"gone-o{n}") for n in range(CALLERS_OF_A_KIND)]
        requests += [make_stream(f"gone-s{n}") for n in range(CALLERS_OF_A_KIND)]
        self.send_while_paused(requests, reset)
        self.assert_none_sent("gone")

    def test_calls_on_kept_connections_go_nowhere(self):
        requests = [make_order(f"gone-o{n}") for n in range(CALLERS_OF_A_KIND)]
        self.send_while_paused(requests, lambda c: c.sock.close(), make_order)
        self.assert_none_sent("gone")

    def test_pipelined_calls_before_the_close_go_nowhere(self):
        requests = [
            make_order(f"gone-a{n}") + make_order(f"gone-b{n}")
            for n in range(CALLERS_OF_A_KIND)
        ]
        self.send_while_paused(requests, lambda caller: caller.sock.close())
        self.assert_none_sent("gone")

    def test_calls_whose_deadline_has_passed_are_refused(self):
        requests = [
            make_order(f"past-o{n}", deadline_ms=SHORT_DEADLINE_MS)
            for n in range(CALLERS_OF_A_KIND)
        ] + [
            make_stream(f"past-s{n}", SHORT_DEADLINE_MS)
            for n in range(CALLERS_OF_A_KIND)
        ]
        answers = self.send_while_paused(requests)
        self.assert_none_sent("past")
        self.assertEqual({answer.status for answer in answers}, {503})
        self.assertIn('"outcome": "expired"', self.node.process.read_log())

    def test_calls_with_time_left_are_served_in_what_is_left(self):
        requests = [
            make_stream(f"late-{n}", LONG_DEADLINE_MS) for n in range(CALLERS_OF_A_KIND)
        ]
        answers = self.send_while_paused(requests)
        self.assertEqual({answer.status for answer in answers}, {200})
        deadlines = [ms for id, ms in self.find_deadlines().items() if "late" in id]
        self.assertEqual(len(deadlines), CALLERS_OF_A_KIND)
        left_ms = LONG_DEADLINE_MS - PAUSE_S * 1e3 + TOLERANCE_MS
        self.assertLess(max(deadlines), left_ms)


if __name__ == "__main__":
    unittest.main()
