"""
soak.record
~~~~~~~~~~~

What happened in a run: faults, promises that were checked, and breaches.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from datetime import UTC, datetime

__all__ = ["Breach", "Record", "lines_around"]

#: Log lines within so many seconds of a breach are shown, and how many at most.
AROUND_SECONDS = 1.0
MAX_LINES = 40

#: Breaches of one promise that are told one by one.
MAX_TOLD = 5


@dataclass(frozen=True)
class Breach:
    """A promise that broke; `at` is the time of day, in seconds."""

    promise: str
    detail: str
    at: float


class Record:
    """Timeline of one run; every thread may write to it.

    `checks_by_promise`
        How often each promise was looked at.
    `faults`
        `(seconds since the start, what)`.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.faults = []
        self.checks_by_promise = Counter()
        self.breaches = []

    def note(self, what):
        """Note a fault, or another event of the run."""
        with self.lock:
            self.faults.append((time.monotonic() - self.began, what))

    def check(self, promise, is_kept, detail=""):
        """Count one look at a promise; note a breach."""
        with self.lock:
            self.checks_by_promise[promise] += 1
            if not is_kept:
                self.breaches.append(Breach(promise, detail, time.time()))
        return is_kept

    def lines(self, logs):
        """Yield the lines of the report; `logs` is a folder."""
        for seconds, what in self.faults:
            yield f"  {seconds:7.3f} {what}"
        broken = Counter(breach.promise for breach in self.breaches)
        for promise, count in sorted(self.checks_by_promise.items()):
            yield f"  {promise}: {count} checks, {broken[promise]} broken"
        told = Counter()
        for breach in self.breaches:
            told[breach.promise] += 1
            if told[breach.promise] <= MAX_TOLD:
                yield f"  BROKEN {breach.promise}: {breach.detail}"
                yield from lines_around(logs, breach.at)


def lines_around(logs, at):
    """Yield the lines of all logs around a time of day, and of their tracebacks."""
    times = (at - AROUND_SECONDS, at + AROUND_SECONDS)
    first, last = (f"time={datetime.fromtimestamp(one, UTC):%FT%T}" for one in times)
    found = []
    for path in sorted(logs.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            is_event = line.startswith("time=")
            if (is_event and first <= line[: len(first)] <= last) or "Error" in line:
                found.append(f"    {path.stem} {line[:300]}")
    yield from found[-MAX_LINES:]
