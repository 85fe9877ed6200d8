"""Write logs as JSON lines, bounded and without ever blocking."""

from __future__ import annotations

import logging
import os
import re
import sys
import time
from collections import Counter
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

SECRET_PATTERN = re.compile(r"ck_([a-z0-9]{8})_[A-Za-z0-9_-]+")
# Lines a second of one kind, warnings and errors apart, and how many may come at once.
LINES_PER_S = 40.0
BURST_LINES = 200.0
SUMMARY_INTERVAL_S = 1.0


class RedactingFormatter(JsonFormatter):
    """Write a record as one JSON line without callers' secrets."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record's line."""
        return SECRET_PATTERN.sub(r"ck_\1_***", super().format(record))


class RateLimitFilter(logging.Filter):
    """Leave out lines of a kind that comes too often, and count them.

    A kind is a message and level; a line that says why a request failed is of another
    kind than one of a request that was served.
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        super().__init__()
        self.lines_per_s = lines_per_s
        self.burst = burst
        self.tokens_by_kind: dict[tuple[str, str], tuple[float, float]] = {}
        self.suppressed_by_kind: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Report whether the record is written."""
        now = time.monotonic()
        kind = (record.msg, str(getattr(record, "outcome", record.levelname)))
        level, at = self.tokens_by_kind.get(kind, (self.burst, now))
        level = min(self.burst, level + (now - at) * self.lines_per_s)
        if level < 1.0:
            self.suppressed_by_kind[" ".join(kind)] += 1
            self.tokens_by_kind[kind] = (level, now)
            return False
        self.tokens_by_kind[kind] = (level - 1.0, now)
        return True

    def take_suppressed_counts(self) -> dict[str, int]:
        """Return the counts of what was left out, and begin anew."""
        counts = dict(self.suppressed_by_kind)
        self.suppressed_by_kind.clear()
        return counts


class DroppingHandler(logging.Handler):
    """Write to a descriptor, and drop and count what does not fit into it at once."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self.fd = stream.fileno()
        self.dropped = 0
        self.rest = b""
        os.set_blocking(self.fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, after the rest of one that was written in part."""
        data = self.rest + self.format(record).encode() + b"\n"
        try:
            written = os.write(self.fd, data)
        except BlockingIOError:
            self.dropped += 1
            return
        except OSError:
            # Nobody reads the logs any more; the process does not depend on them.
            self.dropped += 1
            return
        self.rest = data[written:]


def configure_logging(
    level: str, process: str, instance: str, stream: TextIO = sys.stderr
) -> tuple[RateLimitFilter, DroppingHandler]:
    """Send all logs to `stream`, each line naming process and instance."""
    handler = DroppingHandler(stream)
    handler.setFormatter(
        RedactingFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"asctime": "at", "levelname": "level"},
            static_fields={"process": process, "instance": instance},
        )
    )
    bound = RateLimitFilter()
    handler.addFilter(bound)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # It warns of each deadline that ran out while its block was ending.
    logging.getLogger("curio.time").setLevel(logging.ERROR)
    return bound, handler


def log_suppressed_lines(bound: RateLimitFilter, handler: DroppingHandler) -> None:
    """Write one line about the lines that were left out, if there are any."""
    counts = bound.take_suppressed_counts()
    dropped, handler.dropped = handler.dropped, 0
    if counts or dropped:
        logging.getLogger(__name__).warning(
            "log lines left out", extra={"by_kind": counts, "dropped": dropped}
        )
