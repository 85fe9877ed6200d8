"""Run the test modules in parallel processes and count the tests over all of them.

Tests listed in KNOWN-RED.txt may fail: they are run, and their failures are printed.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_PROCESSES = 4
MODULE_TIMEOUT_S = 280


def list_modules(patterns: list[str]) -> list[str]:
    """Return the test modules that match a pattern, slow integration tests first."""
    paths = sorted(ROOT.glob("catkintrack/**/tests/test_*.py"))
    paths += sorted(ROOT.glob("standins/tests/test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    if patterns:
        names = [name for name in names if any(p in name for p in patterns)]
    return sorted(names, key=lambda name: not name.startswith("catkintrack.tests"))


def run_module(name: str) -> dict:
    """Run one module in a subprocess and return its outcome."""
    started = time.monotonic()
    command = [sys.executable, str(Path(__file__)), "--module", name]
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=MODULE_TIMEOUT_S
        )
        lines = done.stdout.strip().splitlines()
        outcome = json.loads(lines[-1])
    except (subprocess.TimeoutExpired, IndexError, ValueError) as error:
        outcome = {"passed": [], "failed": {f"{name}.module": repr(error)}}
    outcome["module"] = name
    outcome["seconds"] = time.monotonic() - started
    return outcome


class RecordingResult(unittest.TestResult):
    """Record the ids of the tests that passed."""

    def __init__(self) -> None:
        super().__init__()
        self.passed: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Record a test that passed."""
        super().addSuccess(test)
        self.passed.append(test.id())


def run_in_process(name: str) -> None:
    """Run one module in this process and print its outcome as a JSON line."""
    result = RecordingResult()
    unittest.defaultTestLoader.loadTestsFromName(name).run(result)
    failed = {test.id(): text for test, text in result.failures + result.errors}
    failed |= {test.id(): "unexpected success" for test in result.unexpectedSuccesses}
    print(json.dumps({"passed": result.passed, "failed": failed}))


def read_known_red() -> set[str]:
    """Return the ids of the tests that may fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test:")}


def main(patterns: list[str]) -> int:
    """Run the modules and return the exit status."""
    known_red = read_known_red()
    passed = failed = 0
    with ThreadPoolExecutor(MAX_PROCESSES) as pool:
        for outcome in pool.map(run_module, list_modules(patterns)):
            known_failures = {
                t: text for t, text in outcome["failed"].items() if t in known_red
            }
            new_failures = {
                t: s for t, s in outcome["failed"].items() if t not in known_red
            }
            passed += len(outcome["passed"])
            failed += len(new_failures)
            count = len(outcome["passed"])
            print(f"{outcome['module']}: {count} passed, {outcome['seconds']:.1f} s")
            for test, text in new_failures.items():
                print(f"FAILED {test}\n{text}")
            for test, text in known_failures.items():
                print(f"KNOWN RED {test}: {text.strip().splitlines()[-1]}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    if sys.argv[1:2] == ["--module"]:
        sys.path.insert(0, str(ROOT))
        run_in_process(sys.argv[2])
    else:
        raise SystemExit(main(sys.argv[1:]))
