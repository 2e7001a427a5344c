"""
soak.record
~~~~~~~~~~~

Record of a run: its faults, the checks of the promises, and the breaches.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from datetime import UTC, datetime

__all__ = ["Breach", "Record", "log_lines_around"]

#: Log lines within this time of a breach are reported, up to `MAX_LOG_LINES`.
CONTEXT_SECONDS = 1.0
MAX_LOG_LINES = 40

#: Limit of the breaches of one promise that are reported with details.
MAX_REPORTED = 5


@dataclass(frozen=True)
class Breach:
    """A broken promise; `at` is in seconds since the epoch."""

    promise: str
    detail: str
    at: float


class Record:
    """Record of one run; safe to use from several threads.

    `checks_by_promise`
        Number of checks of each promise.
    `timeline`
        Faults and other events of the run: `(seconds since the start, text)`.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.timeline = []
        self.checks_by_promise = Counter()
        self.breaches = []

    def add_event(self, what):
        """Record a fault or another event of the run."""
        with self.lock:
            self.timeline.append((time.monotonic() - self.began, what))

    def check(self, promise, is_kept, detail=""):
        """Count one check of a promise, record a breach; return whether it is kept."""
        with self.lock:
            self.checks_by_promise[promise] += 1
            if not is_kept:
                self.breaches.append(Breach(promise, detail, time.time()))
        return is_kept

    def lines(self, logs):
        """Yield the lines of the report; `logs` is the folder of the log files."""
        for seconds, what in self.timeline:
            yield f"  {seconds:7.3f} {what}"
        broken = Counter(breach.promise for breach in self.breaches)
        for promise, count in sorted(self.checks_by_promise.items()):
            yield f"  {promise}: {count} checks, {broken[promise]} broken"
        reported = Counter()
        for breach in self.breaches:
            reported[breach.promise] += 1
            if reported[breach.promise] <= MAX_REPORTED:
                yield f"  BROKEN {breach.promise}: {breach.detail}"
                yield from log_lines_around(logs, breach.at)


def log_lines_around(logs, at):
    """Yield the log lines around a time, and all lines that contain an error."""
    times = (at - CONTEXT_SECONDS, at + CONTEXT_SECONDS)
    first, last = (f"time={datetime.fromtimestamp(one, UTC):%FT%T}" for one in times)
    found = []
    for path in sorted(logs.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            is_event = line.startswith("time=")
            if (is_event and first <= line[: len(first)] <= last) or "Error" in line:
                found.append(f"    {path.stem} {line[:300]}")
    yield from found[-MAX_LOG_LINES:]
