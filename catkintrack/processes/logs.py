"""Write logs as JSON lines, rate limited and without blocking."""

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
# Rate and burst of each kind of line; warnings and errors are kinds of their own.
LINES_PER_S = 40.0
BURST_LINES = 200.0
SUMMARY_INTERVAL_S = 1.0


class RedactingFormatter(JsonFormatter):
    """Format a record as one JSON line, with callers' key secrets redacted."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        return SECRET_PATTERN.sub(r"ck_\1_***", super().format(record))


class RateLimitFilter(logging.Filter):
    """Suppress and count log lines beyond a token bucket for each kind.

    A kind is a message with its outcome or, without one, its level.  So lines of served
    requests do not suppress lines that say why other requests failed.
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        super().__init__()
        self.lines_per_s = lines_per_s
        self.burst = burst
        self.tokens_by_kind: dict[tuple[str, str], tuple[float, float]] = {}
        self.suppressed_by_kind: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Report whether the record is to be written."""
        now = time.monotonic()
        kind = (record.msg, str(getattr(record, "outcome", record.levelname)))
        tokens, updated_at = self.tokens_by_kind.get(kind, (self.burst, now))
        tokens = min(self.burst, tokens + (now - updated_at) * self.lines_per_s)
        if tokens < 1.0:
            self.suppressed_by_kind[" ".join(kind)] += 1
            self.tokens_by_kind[kind] = (tokens, now)
            return False
        self.tokens_by_kind[kind] = (tokens - 1.0, now)
        return True

    def take_suppressed_counts(self) -> dict[str, int]:
        """Return and reset the number of suppressed lines by kind."""
        counts = dict(self.suppressed_by_kind)
        self.suppressed_by_kind.clear()
        return counts


class DroppingHandler(logging.Handler):
    """Write to a descriptor, and drop and count lines for which it would block."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__()
        self.fd = stream.fileno()
        self.dropped = 0
        self.unwritten = b""
        os.set_blocking(self.fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, after the unwritten end of the previous one."""
        data = self.unwritten + self.format(record).encode() + b"\n"
        try:
            written = os.write(self.fd, data)
        except BlockingIOError:
            self.dropped += 1
            return
        except OSError:
            # The reader has closed the pipe; the process must run on without logs.
            self.dropped += 1
            return
        self.unwritten = data[written:]


def configure_logging(
    level: str, process: str, instance: str, stream: TextIO = sys.stderr
) -> tuple[RateLimitFilter, DroppingHandler]:
    """Send all logs to `stream`; each line names the process and the instance."""
    handler = DroppingHandler(stream)
    handler.setFormatter(
        RedactingFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"asctime": "at", "levelname": "level"},
            static_fields={"process": process, "instance": instance},
        )
    )
    rate_limit = RateLimitFilter()
    handler.addFilter(rate_limit)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # curio warns of each deadline that expires while its block is ending.
    logging.getLogger("curio.time").setLevel(logging.ERROR)
    return rate_limit, handler


def log_suppressed_lines(rate_limit: RateLimitFilter, handler: DroppingHandler) -> None:
    """Log the number of suppressed and dropped lines since the last call, if any."""
    counts = rate_limit.take_suppressed_counts()
    dropped, handler.dropped = handler.dropped, 0
    if counts or dropped:
        logging.getLogger(__name__).warning(
            "log lines left out", extra={"by_kind": counts, "dropped": dropped}
        )
