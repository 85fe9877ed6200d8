"""Change settings files and send signals while calls are in progress."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from contextlib import contextmanager
from pathlib import Path

import yaml

from standins.replica import EVENTS_PER_STREAM
from testkit.cases import FleetTestCase, make_long_answer_chat
from testkit.fleet import START_TIMEOUT_S, wait_until
from testkit.site import count_events, open_site

INVALID_SETTINGS = "invalid settings; the previous ones stay in force"
# Signals of service managers and log rotation that must not end a process.
HARMLESS_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2, signal.SIGCONT)
EARLY_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)
PROCESS_MODULES = (
    "catkintrack.instance.main",
    "catkintrack.router.main",
    "catkintrack.agent.main",
)
HELD_IMPORT_STATUS = 3
# Takes the place of a library: says that it is imported, and goes on when told to.
HELD_IMPORT = f"""
import sys
print("importing", flush=True)
sys.stdin.read()
raise SystemExit({HELD_IMPORT_STATUS})
"""


def find_records(process, message):
    """Return the log records of a process that have this message."""
    records = []
    for line in process.read_log().splitlines():
        if line.startswith("{") and line.endswith("}"):
            records.append(json.loads(line))
    return [record for record in records if record["message"] == message]


class InstanceReloadTest(unittest.TestCase):
    def setUp(self):
        context = open_site(nodes=1)
        self.site = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.process = self.site.node_by_name["n0"].process
        self.path = self.site.directory / "n0.conf"

    def change_settings(self, old, new):
        text = self.path.read_text()
        self.assertIn(old, text)
        self.path.write_text(text.replace(old, new))

    def wait_for_record(self, message, field):
        wait_until(
            lambda: any(
                row["field"] == field for row in find_records(self.process, message)
            ),
            5,
            f"{message}: {field}",
        )

    def test_signals_end_no_stream_and_no_process(self):
        answers = []

        def stream():
            answers.append(self.site.stream("n0"))

        threads = [threading.Thread(target=stream) for _ in range(4)]
        for thread in threads:
            thread.start()
        for number in HARMLESS_SIGNALS * 2:
            time.sleep(0.02)
            self.process.send_signal(number)
        for thread in threads:
            thread.join()
        counts = [(status, count_events(body)) for status, _, body in answers]
        self.assertEqual(counts, [(200, EVENTS_PER_STREAM)] * 4)
        self.assertIsNone(self.process.popen.poll())
        wait_until(
            lambda: find_records(self.process, "settings reloaded without a change"), 5
        )

    def test_file_that_is_no_text_ends_no_stream_and_no_process(self):
        answers = []
        threads = [
            threading.Thread(target=lambda: answers.append(self.site.stream("n0")))
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        self.path.write_bytes(self.path.read_bytes() + b"# caf\xe9\n")
        self.process.send_signal(signal.SIGHUP)
        for thread in threads:
            thread.join()
        counts = [(status, count_events(body)) for status, _, body in answers]
        self.assertEqual(counts, [(200, EVENTS_PER_STREAM)] * 4)
        wait_until(lambda: find_records(self.process, INVALID_SETTINGS), 5)
        self.assertIsNone(self.process.popen.poll())

    def test_changed_file_is_applied_after_the_signal(self):
        self.change_settings("bounds.budget_extra=56", "bounds.budget_extra=80")
        self.process.send_signal(signal.SIGHUP)
        self.wait_for_record("setting changed", "bounds.retry_extra")

    def test_changed_file_is_applied_without_a_signal(self):
        self.change_settings("bounds.budget_extra=56", "bounds.budget_extra=80")
        self.wait_for_record("setting changed", "bounds.retry_extra")

    def test_invalid_file_changes_nothing(self):
        self.change_settings("bounds.budget_extra=56", "bounds.budget_extra=many")
        self.process.send_signal(signal.SIGHUP)
        wait_until(lambda: find_records(self.process, INVALID_SETTINGS), 5)
        record = find_records(self.process, INVALID_SETTINGS)[0]
        self.assertIn("budget_extra", record["reason"])
        self.assertEqual(self.site.stream("n0")[0], 200)

    def test_new_address_is_logged_as_needing_a_restart(self):
        self.change_settings("zone=z", "zone=other-z")
        self.process.send_signal(signal.SIGHUP)
        self.wait_for_record("setting needs a restart", "zone")

    def test_each_stop_signal_ends_the_process_in_order(self):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT):
            self.process.send_signal(number)
            self.assertEqual(self.process.wait(), 0)
            self.site.start_nodes("n0")


class StartReloadTest(unittest.TestCase):
    def test_signal_during_the_imports_ends_no_process(self):
        cases = [(m, n) for m in PROCESS_MODULES for n in EARLY_SIGNALS]
        statuses = {case: send_early_signal(*case) for case in cases}
        self.assertEqual(statuses, dict.fromkeys(cases, HELD_IMPORT_STATUS))


def send_early_signal(module, number):
    """Return the exit status of a module that gets a signal during its imports."""
    with (
        tempfile.TemporaryDirectory() as directory,
        start_with_held_import(module, directory) as process,
    ):
        process.send_signal(number)
        process.stdin.close()
        return process.wait(START_TIMEOUT_S)


@contextmanager
def start_with_held_import(module, directory):
    """Start a module and yield its process while it imports a library."""
    Path(directory, "zmq.py").write_text(HELD_IMPORT)
    process = subprocess.Popen(
        [sys.executable, "-m", module],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": directory},
    )
    try:
        process.stdout.readline()
        yield process
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


class FleetReloadTest(FleetTestCase):
    instances = 1

    def change_base(self, **sections):
        path = self.fleet.directory / "base.yaml"
        document = yaml.safe_load(path.read_text()) or {}
        path.write_text(yaml.safe_dump(document | sections))

    def test_router_and_agent_reload_while_a_stream_runs(self):
        node = self.nodes[0]
        chat = make_long_answer_chat()
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(self.chat(0, chat, max_tokens=60))
        )
        thread.start()
        self.change_base(
            router={"callers": {"max_body_bytes": 4096}}, agent={"poll_interval_s": 2.0}
        )
        for process in (node.router, node.agent):
            for number in HARMLESS_SIGNALS:
                process.send_signal(number)
        thread.join()
        self.assertTrue(answers[0].is_complete, answers)
        for process in (node.router, node.agent):
            wait_until(lambda p=process: find_records(p, "setting changed"), 5)
            self.assertIsNone(process.popen.poll())
        large = self.chat(0, [{"role": "user", "content": "x" * 5000}])
        self.assertEqual(large.status, 413)

    def test_invalid_file_changes_nothing(self):
        node = self.nodes[0]
        self.change_base(router={"callers": {"max_body_bytes": "many"}})
        for process in (node.router, node.agent):
            process.send_signal(signal.SIGHUP)
            wait_until(lambda p=process: find_records(p, INVALID_SETTINGS), 5)
            reason = find_records(process, INVALID_SETTINGS)[0]["reason"]
            self.assertIn("router.callers.max_body_bytes", reason)
        self.assertEqual(self.chat(0, make_long_answer_chat()).status, 200)


if __name__ == "__main__":
    unittest.main()
