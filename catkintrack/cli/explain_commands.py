"""Explain the outcomes of requests from the logs of all instances."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
from fire.decorators import SetParseFn

from .output import ExitStatus, fail, print_result

CALL_ENDED_EVENT = "call ended"
# Events of an instance that often explain a request's outcome.
CONTEXT_EVENTS = frozenset(
    {
        "configuration in force",
        "instance started",
        "instance stopping",
        "kept cache emptied",
        "lease lost",
        "lease taken",
        "log lines left out",
        "order for a version seen",
        "order for a version withdrawn",
        "roll-out step",
        "silent upstream unreachable",
        "slow reader closed",
        "store lost",
        "store regained",
        "upstream draining",
        "upstream gone",
        "upstream restarted",
        "version found to be bad",
        "version rolled back by a peer",
        "weights named",
        "weights ordered",
    }
)
CONTEXT_LEAD_S = 3.0
# An instance that reads calls later than this lacks processor time or was stopped.
LATE_READ_S = 0.1


@SetParseFn(str)
def explain(request_id: str, *files: str, json: bool = False) -> None:
    """Print a request's outcome, its attempts and related events of the instance.

    Args:
        request_id: The request id that the caller sent.
        files: Log files of instances; standard input if none is given.
        json: Print JSON.
    """
    records = read_records(read_lines(files))
    trace = build_request_trace(records, request_id)
    if not trace["calls"]:
        fail(ExitStatus.REFUSED, [f"no line tells of request {request_id}"], json)
    print_result(trace, json, format_request_trace(trace))


@SetParseFn(str)
def summarize(*files: str, json: bool = False) -> None:
    """Print the number of requests by outcome and reason, most frequent first.

    Args:
        files: Log files of instances; standard input if none is given.
        json: Print JSON.
    """
    rows = count_outcomes(read_records(read_lines(files)))
    text = "\n".join(f"{row['count']:6}  {row['cause']}" for row in rows)
    print_result(rows, json, text or "(none)")


def read_lines(files: Iterable[str]) -> Iterable[str]:
    """Return the lines of the files, or of standard input if there are none."""
    paths = [Path(name) for name in files]
    for path in paths:
        yield from path.read_text(errors="replace").splitlines()
    if not paths:
        yield from sys.stdin


def read_records(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log records in the lines, ordered by time.

    Lines without a whole record and text before a record are ignored.
    """
    records = []
    for line in lines:
        start = line.find('{"at"')
        if start < 0:
            continue
        try:
            records.append(msgspec.json.decode(line[start:]))
        except msgspec.DecodeError:
            # The line was truncated when its process was killed.
            continue
    return sorted(records, key=lambda record: str(record["at"]))


def build_request_trace(
    records: list[dict[str, Any]], request_id: str
) -> dict[str, Any]:
    """Return a request's call records at all instances, with their context events."""
    calls = [record for record in records if record.get("request_id") == request_id]
    return {
        "request_id": request_id,
        "calls": [
            record | {"context": find_context_events(records, record)}
            for record in calls
        ],
    }


def find_context_events(
    records: list[dict[str, Any]], call: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return the context events of the call's instance during and shortly before it."""
    end = parse_time_of_day_s(call["at"])
    begin = end - float(call.get("duration_s") or 0.0) - CONTEXT_LEAD_S
    return [
        record
        for record in records
        if record.get("instance") == call.get("instance")
        and record.get("message") in CONTEXT_EVENTS
        and begin <= parse_time_of_day_s(record["at"]) <= end
    ]


def parse_time_of_day_s(at: str) -> float:
    """Return the seconds since midnight of a log record's timestamp."""
    clock, _, fraction = at.partition(" ")[2].partition(",")
    hours, minutes, seconds = (int(part) for part in clock.split(":"))
    return 3600 * hours + 60 * minutes + seconds + int(fraction or 0) / 1e3


def format_request_trace(trace: dict[str, Any]) -> str:
    """Return the trace as text, one line for each step."""
    lines = [f"request {trace['request_id']}"]
    for call in trace["calls"]:
        lines.append(
            f"{call['at']}  {call.get('instance')}: {call.get('outcome')}"
            f" after {call.get('duration_s')} s; route {call.get('route')},"
            f" workspace {call.get('workspace')}, configuration {call.get('config')}"
        )
        if call.get("reason"):
            lines.append(f"  reason: {call['reason']}")
        if call.get("read_after_s", 0.0) >= LATE_READ_S:
            lines.append(f"  read {call['read_after_s']} s after its arrival")
        lines.append(f"  waited {call.get('waited_s')} s for a place")
        for attempt in call.get("attempts") or ():
            inputs = ", ".join(
                f"{name}={value}"
                for name, value in attempt.items()
                if name not in ("upstream", "at_s", "outcome")
            )
            outcome = attempt.get("outcome", "answered")
            lines.append(
                f"  {attempt['at_s']} s: to {attempt['upstream']} ({inputs}): {outcome}"
            )
        for record in call["context"]:
            fields = ", ".join(
                f"{name}={record[name]}"
                for name in ("upstream", "reason", "version", "status", "config")
                if name in record
            )
            lines.append(f"  meanwhile {record['at']}: {record['message']} {fields}")
    return "\n".join(lines)


def count_outcomes(records: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the number of calls by outcome and reason, most frequent first."""
    count_by_cause: dict[str, int] = {}
    for record in records:
        if record.get("message") != CALL_ENDED_EVENT:
            continue
        cause = str(record.get("outcome"))
        if record.get("reason") and cause != "served":
            cause += f": {record['reason']}"
        count_by_cause[cause] = count_by_cause.get(cause, 0) + 1
    rows = [{"cause": cause, "count": count} for cause, count in count_by_cause.items()]
    return sorted(rows, key=lambda row: (-row["count"], row["cause"]))
