"""
hingepitch.jobs.retry
~~~~~~~~~~~~~~~~~~~~~

Tells refused callers when to return, at different times.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from math import ceil

__all__ = ["MAX_RETRY_MS", "MIN_RETRY_MS", "RetrySchedule"]

#: Shortest and longest time that a refused caller is told to wait, in milliseconds.
#: The header has whole seconds. A crest of demand lasts some seconds; after a longer
#: wait the caller would find idle minions.
MIN_RETRY_MS = 1000
MAX_RETRY_MS = 8000


class RetrySchedule:
    """Reserves capacity for refused callers: each gets the next time that is free.

    `free_ms_by_place`
        The next time that is not given to a caller, by what the callers wait for.
    """

    def __init__(self):
        self.free_ms_by_place = {}

    def reserve(self, place, wait_ms, spacing_ms, now_ms):
        """Return after how many milliseconds a refused caller may return.

        Once all times up to the longest are given, they are given again from the
        first one on.

        `place`
            What the caller waits for, such as a pool.
        `wait_ms`
            Estimated time until the first caller would be served.
        `spacing_ms`
            Time for which one caller uses what it waits for.
        `now_ms`
            A monotonic time.
        """
        # Half of the range stays to spread callers over if the wait is long.
        first_ms = now_ms + min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS / 2)
        at_ms = max(first_ms, self.free_ms_by_place.get(place, 0.0))
        if at_ms > now_ms + MAX_RETRY_MS:
            at_ms = first_ms
        self.free_ms_by_place[place] = at_ms + spacing_ms
        return ceil(at_ms - now_ms)
