"""Eject engines that send a right head and no valid event after it (issue 48)."""

import time
import unittest

import curio

from catkintrack.calls import run_ticks
from catkintrack.decisions.ejection import FAILURES_TO_EJECT, is_ejected
from catkintrack.instance.attempts import CallProgress
from catkintrack.instance.model_calls import serve_model_call
from catkintrack.instance.refusals import OutcomeUnknown
from testkit.instances import make_call, make_prompt, make_route
from testkit.raw_upstreams import make_chunk, send_endless, send_once
from testkit.recording import RecordingConnection
from testkit.silent_replicas import STREAM_END, STREAM_HEAD, open_instance

DRAFT = make_route(max_attempts=1, is_resumable=False)
SCRIPT_BY_NAME = {
    "body": send_endless(STREAM_HEAD, make_chunk(b":\n" * 20_000)),
    "event": send_endless(STREAM_HEAD, make_chunk(b"data: x\n" * 5_000)),
    "chunk extension": send_endless(STREAM_HEAD + b"5;", b"x" * 5_000),
    "trailer": send_endless(STREAM_HEAD + b"0\r\n", b"x: " + b"y" * 5_000),
    "no event": send_once(STREAM_HEAD + STREAM_END),
}


class InvalidAnswerTest(unittest.TestCase):
    def call_repeatedly(self, instance):
        """Send the calls that eject a replica if each of them fails there."""

        async def run():
            await curio.spawn(run_ticks, instance.call_queue, daemon=True)
            for _ in range(FAILURES_TO_EJECT):
                now = time.monotonic()
                call = make_call(
                    DRAFT,
                    prompt=make_prompt(100, 10),
                    arrived_at=now,
                    deadline_at=now + 5.0,
                )
                connection = RecordingConnection()
                with self.assertRaises(OutcomeUnknown):
                    await serve_model_call(
                        instance, call, CallProgress(now), connection
                    )

        curio.run(run)

    def test_engine_without_a_valid_event_is_ejected(self):
        """Stayed in use: each right head counted as a success."""
        for name, script in SCRIPT_BY_NAME.items():
            with self.subTest(name), open_instance({"i1": script}) as instance:
                self.call_repeatedly(instance)
                row = instance.decisions.upstream_by_name["i1"]
                self.assertTrue(is_ejected(row, time.monotonic()))


if __name__ == "__main__":
    unittest.main()
