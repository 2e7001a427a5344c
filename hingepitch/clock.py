"""
hingepitch.clock
~~~~~~~~~~~~~~~~

Clocks: one for leases, one for people.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import time

__all__ = ["lease_seconds", "wall_seconds"]


def lease_seconds():
    """Seconds of a clock that also counts the time of a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds():
    """Seconds since the epoch, as an integer; for records, never for leases."""
    return int(time.time())
