"""
hingepitch.jobs.queuemeter
~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts what becomes of the jobs of each queue, from one report to the next.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass
from itertools import takewhile

from hingepitch.jobs.due import due_ms
from hingepitch.jobs.record import JobStatus

__all__ = ["QueueCounts", "QueueMeter"]


@dataclass(slots=True)
class QueueCounts:
    """What became of the jobs of one queue since the last report.

    `accepted`, `refused`
        Jobs that were accepted, and refused by admission control.
    `started`
        Jobs of which a minion has begun a task.
    `in_time`, `late`
        Jobs that succeeded by their deadline, and after it. Jobs without a deadline,
        which are long-running or repeated, count as in time.
    `failed`, `cancelled`
        Jobs that ended otherwise.
    `oldest_wait_ms`
        How long the step that has waited longest has been ready, in milliseconds.
    """

    accepted: int = 0
    refused: int = 0
    started: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    cancelled: int = 0
    oldest_wait_ms: int = 0


class QueueMeter:
    """Counts the jobs of each queue during one leadership.

    `counts_by_queue`
        The `QueueCounts` since the last report, by name of the queue.
    `last_accepted`, `last_ended`
        Ids of the last jobs that were counted as accepted and as ended.
    """

    def __init__(self):
        self.counts_by_queue = {}
        self.last_accepted = None
        self.last_ended = None

    def skip(self, table):
        """Count none of the jobs that a `JobTable` holds by now."""
        self.last_accepted = next(reversed(table.job_by_id), None)
        self.last_ended = next(reversed(table.ended_jobs), None)

    def counts(self, queue):
        """Return the `QueueCounts` of a queue since the last report."""
        return self.counts_by_queue.setdefault(queue.name, QueueCounts())

    def note_refused(self, queue):
        """Count a job that admission control refused."""
        self.counts(queue).refused += 1

    def note_started(self, queue):
        """Count a job of which a minion has begun a task."""
        self.counts(queue).started += 1

    def take_counts(self, table, durations, ready_since_by_step, now):
        """Return the `QueueCounts` by queue since the last call.

        `durations`
            The expected run times, on which deadlines rest.
        `ready_since_by_step`
            Since when each ready step has been ready.
        `now`
            The time on the same clock, in seconds.
        """
        self.count_accepted(table)
        self.count_ended(table, durations)
        self.skip(table)
        self.measure_waits(table, ready_since_by_step, now)
        counts_by_queue, self.counts_by_queue = self.counts_by_queue, {}
        return counts_by_queue

    def count_accepted(self, table):
        """Count the jobs that were accepted since the last report."""
        for job_id in newest(table.job_by_id, self.last_accepted):
            queue = table.current_queue(table.job_by_id[job_id])
            self.counts(queue).accepted += 1

    def count_ended(self, table, durations):
        """Count the jobs that ended since the last report, by outcome."""
        for job_id in newest(table.ended_jobs, self.last_ended):
            job = table.job_by_id[job_id]
            self.count_outcome(job, table.current_queue(job), durations)

    def count_outcome(self, job, queue, durations):
        """Count one ended job."""
        counts = self.counts(queue)
        if job.status is JobStatus.FAILED:
            counts.failed += 1
        elif job.status is JobStatus.CANCELLED:
            counts.cancelled += 1
        elif job.spec.times or job.ended_ms <= due_ms(queue, job, 0, durations):
            counts.in_time += 1
        else:
            counts.late += 1

    def measure_waits(self, table, ready_since_by_step, now):
        """Measure how long the ready steps of each queue have waited."""
        for step_key, since in ready_since_by_step.items():
            if step_key not in table.ready_steps:
                continue
            counts = self.counts(table.current_queue(table.job_by_id[step_key[0]]))
            wait_ms = round(1000 * (now - since))
            counts.oldest_wait_ms = max(counts.oldest_wait_ms, wait_ms)


def newest(entries, last):
    """Yield the keys of a dict that came after the key `last`, the newest first."""
    return takewhile(lambda key: key != last, reversed(entries))
