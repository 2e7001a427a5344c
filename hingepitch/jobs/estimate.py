"""
hingepitch.jobs.estimate
~~~~~~~~~~~~~~~~~~~~~~~~

Estimates how long a new job waits for the work ahead of it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, replace
from math import inf

__all__ = ["BoundEstimator", "Supply"]


@dataclass(frozen=True, slots=True)
class Supply:
    """The capacity that a pool has and is going to have.

    `room`
        Millicores that are there.
    `coming`
        Delay in milliseconds and millicores of each group of VMs that is on its way
        or can still be ordered.
    `arriving`
        Millicores that work needs which will arrive and go ahead of the new job.
    """

    room: float
    coming: tuple[tuple[float, float], ...] = ()
    arriving: float = 0.0

    def drain_ms(self, core_ms):
        """Return the time in which this capacity does `core_ms` of work."""
        at_ms = 0.0
        rate = self.room - self.arriving
        for delay_ms, millicores in sorted(self.coming):
            done = max(0.0, rate) * (delay_ms - at_ms) / 1000
            if done >= core_ms:
                break
            core_ms -= done
            at_ms = delay_ms
            rate += millicores
        if core_ms <= 0:
            return at_ms
        return at_ms + 1000 * core_ms / rate if rate > 0 else inf


class BoundEstimator:
    """Lower bound of the wait: the work ahead divided by the capacity.

    `backlog`
        The `PoolBacklog`.
    `supply`
        The `Supply` without arriving work.
    """

    def __init__(self, backlog, supply):
        self.backlog = backlog
        self.supply = supply

    def wait_ms(self, rank, arriving):
        """Return the wait of a new job with a `Rank`, in milliseconds.

        `arriving`
            Millicores that work needs which will arrive and go ahead of the job.
        """
        if self.backlog.free > 0:
            return 0.0
        supply = replace(self.supply, arriving=arriving)
        return supply.drain_ms(self.backlog.work_ahead(rank))
