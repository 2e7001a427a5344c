"""The alternative to the bound of `hingepitch.jobs.estimate`: simulate the queue."""

import heapq
from math import inf


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
            run_ms = 1000 * job.core_ms / job.millicores if job.millicores else 0.0
            heapq.heappush(events, (now_ms + run_ms, job.millicores))
        while free <= 0 and events:
            now_ms, amount = heapq.heappop(events)
            free += amount
        yield now_ms if free > 0 else inf
