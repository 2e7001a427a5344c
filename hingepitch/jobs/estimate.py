"""
hingepitch.jobs.estimate
~~~~~~~~~~~~~~~~~~~~~~~~

Estimates how long a new job waits for the work ahead of it, by two methods.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import heapq
from dataclasses import dataclass, replace
from math import inf

__all__ = ["BoundEstimator", "QueueSimulator", "Supply"]


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


class QueueSimulator:
    """Simulates the queue: each job starts in its turn once what it uses is free.

    The simulation runs at most once for each value of `arriving`; a wait is then
    looked up by rank. Jobs that were accepted since count as work by capacity.

    `start_ms_by_arriving`
        When the job at each place of the queue starts, by the work that arrives.
    """

    def __init__(self, backlog, supply):
        self.backlog = backlog
        self.supply = supply
        self.start_ms_by_arriving = {}

    def wait_ms(self, rank, arriving):
        """Return the wait of a new job with a `Rank`, as `BoundEstimator` does."""
        if self.backlog.free > 0:
            return 0.0
        starts = self.start_ms_by_arriving.get(arriving)
        if starts is None:
            starts = list(self.simulate(arriving))
            self.start_ms_by_arriving[arriving] = starts
        rate = self.supply.room - arriving
        recent = self.backlog.recent_ahead(rank)
        extra = (1000 * recent / rate if rate > 0 else inf) if recent else 0.0
        return starts[self.backlog.place(rank)] + extra

    def simulate(self, arriving):
        """Yield when the job at each place starts, and when one more would."""
        events = [*self.backlog.runs, *self.supply.coming]
        heapq.heapify(events)
        free = self.supply.room - arriving - self.backlog.running
        now_ms = 0.0
        for job in self.backlog.waiting:
            while free < job.millicores and events:
                now_ms, amount = heapq.heappop(events)
                free += amount
            if free < job.millicores:
                now_ms = inf
            yield now_ms
            free -= job.millicores
            heapq.heappush(events, (now_ms + job.run_ms, job.millicores))
        while free <= 0 and events:
            now_ms, amount = heapq.heappop(events)
            free += amount
        yield now_ms if free > 0 else inf
