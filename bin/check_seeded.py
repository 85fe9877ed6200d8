"""Check that the test of each guarantee fails when its mechanism is disabled.

Writes build/seeded.json and exits with 1 if a test passes despite its seeded fault.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 150
MAX_PROCESSES = 4

# Guarantee, numbered as in the users' brief: (seeded fault, test).
CHECKS = {
    1: ("credit_dead_engines", "test_streams.CacheScopeTest.test_cached_blocks_of_a_crashed_engine_are_forgotten"),
    2: ("ignore_token_order", "test_streams.StreamTest.test_stream_that_breaks_twice_resumes_twice"),
    3: ("wait_for_the_platform", "test_restarts.RestartTest.test_killed_router_serves_while_the_platform_is_down"),
    4: ("accept_any_key", "test_end_to_end.EndToEndTest.test_keys_and_routes_are_checked"),
    5: ("keep_keys", "test_end_to_end.EndToEndTest.test_key_never_reaches_an_upstream"),
    6: ("cut_nothing", "test_key_withdrawal.KeyWithdrawalTest.test_withdrawn_key_cuts_its_streams_and_no_others"),
    7: ("lend_twice", "test_fleet_limits.FleetLimitTest.test_limit_without_failures"),
    8: ("trust_any_answer", "test_streams.MisroutedResponseTest.test_unsolicited_response_reaches_no_caller"),
    9: ("call_everything_not_run", "test_at_most_once.AtMostOnceTest.test_call_whose_response_is_lost_is_not_repeated"),
    10: ("claim_without_asking", "test_at_most_once.AtMostOnceTest.test_same_idempotency_key_on_all_instances_runs_once"),
    11: ("ignore_leaving", "test_draining.DrainingUpstreamTest.test_drained_upstream_finishes_and_gets_no_new_work"),
    12: ("stop_at_once", "test_draining.GracefulStopTest.test_router_stop_cuts_no_stream"),
    13: ("follow_any_head", "test_configuration.ConfigurationTest.test_older_head_never_takes_effect"),
}  # fmt: skip


def run_check(number: int) -> dict[str, object]:
    """Run the test of a guarantee under its seeded fault and return the result."""
    fault, test = CHECKS[number]
    environment = {**os.environ, "CATKINTRACK_SEEDED_FAULT": fault}
    command = [sys.executable, "-m", "unittest", f"catkintrack.tests.{test}"]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        lines = [line for line in done.stderr.splitlines() if "Error" in line]
        is_caught = done.returncode != 0
        seen = lines[-1] if lines else done.stderr.strip()[-200:]
    except subprocess.TimeoutExpired:
        is_caught, seen = True, "timed out"
    row = {"promise": number, "fault": fault, "test": test}
    return row | {"is_caught": is_caught, "seen": seen}


def main() -> int:
    """Run all checks and return the exit status."""
    with ThreadPoolExecutor(MAX_PROCESSES) as pool:
        rows = list(pool.map(run_check, CHECKS))
    (ROOT / "build").mkdir(exist_ok=True)
    (ROOT / "build" / "seeded.json").write_text(json.dumps(rows, indent=1) + "\n")
    for row in rows:
        verdict = "caught" if row["is_caught"] else "NOT CAUGHT"
        print(f"{row['promise']:2} {row['fault']}: {verdict}: {row['seen']}")
    return 0 if all(row["is_caught"] for row in rows) else 1


if __name__ == "__main__":
    raise SystemExit(main())
