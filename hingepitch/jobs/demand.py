"""
hingepitch.jobs.demand
~~~~~~~~~~~~~~~~~~~~~~

Estimates how many minions each pool wants, from the running, waiting and
arriving work that one leader has seen, and from the recent peak.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

from hingepitch.jobs.arrival import ArrivalRate, work_core_ms
from hingepitch.jobs.pool import wanted_minions

__all__ = ["Demand"]

#: A pool in which tasks have waited for this time wants one more minion, in
#: seconds.
STARVING_SECONDS = 0.4

#: A leader moves no idle VMs to spare pools for this time after the first work
#: that it sees, in seconds: until then it does not know the demand. A burst shows
#: its full size within the duration of its longest jobs, about 2 s.
LEARNING_SECONDS = 2.0

#: A pool wants as many minions as at its peak within this time, in seconds.
#: With 2 s, pools would stay at twice the size that they use, for seconds after
#: each burst.
PEAK_SECONDS = 0.5


@dataclass(slots=True)
class Peak:
    """Highest number of minions that a pool wanted within `PEAK_SECONDS`."""

    wanted: int = 0
    at: float = 0.0

    def note(self, wanted, now):
        """Record the number wanted now; return the peak."""
        if wanted >= self.wanted or now - self.at > PEAK_SECONDS:
            self.wanted = wanted
            self.at = now
        return self.wanted


class Demand:
    """Demand of the pools, as seen during one leadership.

    `session`
        The `Session` of the leadership.
    `terms`
        A `PoolTerms`.
    `move_seconds`
        Duration of a move.
    `worked_since`
        When this leadership first saw work, or None.
    """

    def __init__(self, session, terms, move_seconds):
        self.session = session
        self.terms = terms
        self.move_seconds = move_seconds
        self.worked_since = None
        self.rate_by_pool = {}
        self.peak_by_pool = {}
        self.waiting_since_by_pool = {}
        # Jobs accepted under earlier leaders do not count as arriving now.
        session.table.take_arrived_jobs()

    def is_known(self, now):
        """Whether work has been seen for long enough to release idle VMs."""
        if self.worked_since is None and self.session.table.has_seen_batch_job:
            self.worked_since = now
        return (
            self.worked_since is not None and now - self.worked_since > LEARNING_SECONDS
        )

    def note_arrivals(self, now):
        """Record the work of the jobs that were accepted since the last call.

        Repeated jobs are left out.
        """
        table = self.session.table
        for job_id in table.take_arrived_jobs():
            job = table.job_by_id.get(job_id)
            if job is None or job.spec.times:
                continue
            queue = table.current_queue(job)
            rate = self.rate_by_pool.setdefault(queue.pool, ArrivalRate())
            expected_ms = self.session.durations.queue_estimator(queue.route)
            rate.note(work_core_ms(job.spec, expected_ms), now)

    def arriving(self, pool, now):
        """Return the millicores needed for the work that arrives at a pool."""
        rate = self.rate_by_pool.get(pool)
        return rate.millicores(now) if rate is not None else 0

    def wanted(self, pool, load, now):
        """Return how many minions a pool wants, given its `PoolLoad`.

        A pool without minions wants none until the demand is known: its first
        minions have not registered yet. Later it has lost all of its minions
        and wants replacements.
        """
        if not (load.minions or load.cordoned) and not self.is_known(now):
            return 0
        arriving = self.arriving(pool, now)
        wanted = wanted_minions(load, self.terms, arriving, self.move_seconds)
        if self.is_starving(pool, load, now):
            wanted = max(wanted, load.minions + 1)
        return self.peak_by_pool.setdefault(pool, Peak()).note(wanted, now)

    def is_starving(self, pool, load, now):
        """Whether tasks of a pool have waited for longer than `STARVING_SECONDS`.

        This also detects fragmentation: the free capacity may suffice in sum
        but fit no task on any single minion. Tasks that only a minion in a cordoned
        hall can hold do not count: the pool would want one more with each arrival.
        """
        if load.waiting_tasks == load.waiting_for_hall:
            self.waiting_since_by_pool.pop(pool, None)
            return False
        since = self.waiting_since_by_pool.setdefault(pool, now)
        return now - since > STARVING_SECONDS
