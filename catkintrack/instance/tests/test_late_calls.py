"""Keep calls from replicas whose caller has gone, or whose time is over, before a send.

The load: an instance that is busy for seconds between a decision and the send.
"""

import time
import unittest
from types import SimpleNamespace

import curio

from catkintrack.http import CallerDisconnected, Request
from catkintrack.instance.attempts import AttemptCallbacks, CallProgress, run_attempt
from catkintrack.instance.calls import make_call as make_arrived_call
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.late_calls import bound_dispatch, check_time_left
from catkintrack.instance.refusals import Expired, TimedOut
from catkintrack.platform import Dispatch, parse_request_headers
from testkit.instances import make_call, make_config_spec, make_route
from testkit.raw_upstreams import open_raw_upstream
from testkit.recording import RecordingConnection
from testkit.silent_replicas import make_whole_answer
from testkit.states import make_instance

LOOKUP = make_route(is_stream=False, is_idempotent=True, has_prompt=False)


class AbandonedConnection(RecordingConnection):
    """Stand for a caller that has closed its connection."""

    def is_abandoned(self):
        return True


class SendCheckTest(unittest.TestCase):
    def run_attempt(self, connection, deadline_s):
        """Return how many requests a replica gets from one attempt, and the error."""
        received = []

        def script(send):
            received.append(send)
            send(make_whole_answer())

        async def on_response_head(fields):
            pass

        now = time.monotonic()
        call = make_call(LOOKUP, arrived_at=now, deadline_at=now + deadline_s)
        with open_raw_upstream(script) as address:
            arguments = (
                make_instance(),
                call,
                CallProgress(now),
                SimpleNamespace(id="i1", address=address),
                Dispatch("i1", 5.0),
                connection,
                AttemptCallbacks(on_response_head),
                False,
            )
            try:
                curio.run(run_attempt, *arguments)
            except Exception as error:
                return len(received), type(error)
        return len(received), None

    def test_call_of_a_caller_who_waits_is_sent(self):
        self.assertEqual(self.run_attempt(RecordingConnection(), 5.0), (1, None))

    def test_call_of_a_caller_who_has_gone_is_not_sent(self):
        outcome = self.run_attempt(AbandonedConnection(), 5.0)
        self.assertEqual(outcome, (0, CallerDisconnected))

    def test_call_whose_deadline_has_passed_is_not_sent(self):
        outcome = self.run_attempt(RecordingConnection(), -0.1)
        self.assertEqual(outcome, (0, Expired))


class DeadlineTest(unittest.TestCase):
    def test_expired_call_says_whether_it_may_have_run(self):
        call = make_call(LOOKUP, arrived_at=1.0, deadline_at=2.0)
        check_time_left(call, False, 1.9)
        with self.assertRaises(Expired):
            check_time_left(call, False, 2.0)
        with self.assertRaises(TimedOut):
            check_time_left(call, True, 2.0)

    def test_replica_gets_no_more_time_than_is_left_at_the_send(self):
        call = make_call(LOOKUP, arrived_at=1.0, deadline_at=2.0)
        dispatch = Dispatch("i1", 0.9)
        self.assertAlmostEqual(bound_dispatch(dispatch, call, 1.5).deadline_s, 0.48)
        self.assertEqual(bound_dispatch(dispatch, call, 1.0).deadline_s, 0.9)

    def test_time_of_a_call_runs_from_its_arrival(self):
        instance = make_instance()
        apply_configuration(instance, 5, make_config_spec(), "store")
        headers = (
            (b"host", b"h2.example"),
            (b"x-credential", b"key-1"),
            (b"x-deadline-ms", b"800"),
        )
        request = Request(b"POST", b"/order/1", headers, b"{}", arrived_at=7.0)
        fields = parse_request_headers(request).unwrap()
        call = make_arrived_call(instance, request, fields, 9.0)
        self.assertEqual((call.arrived_at, call.deadline_at), (7.0, 7.8))


if __name__ == "__main__":
    unittest.main()
