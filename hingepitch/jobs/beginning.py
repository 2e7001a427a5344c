"""
hingepitch.jobs.beginning
~~~~~~~~~~~~~~~~~~~~~~~~~

Notes which jobs have begun, as far as the leader hears it from minions, and has it
recorded in the log.

The record of a run is only the intention to start it: its minion may refuse the order,
or never get it. A job has begun once a minion executes one of its tasks. Most jobs
need no entry of their own for that, since the ends of runs are recorded anyway.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.clock import wall_ms
from hingepitch.jobs.command import EndRuns
from hingepitch.jobs.record import JobStatus

__all__ = ["BeginningTracker"]

#: Longest time for which the beginning of a job waits to be recorded with the next ends
#: of runs, in seconds.
RECORD_SECONDS = 0.5


class BeginningTracker:
    """Tracks the jobs that have begun during one leadership.

    `session`
        The `Session` of the leadership.
    `is_proposed_by_job`
        The ids of the jobs that have begun and are not recorded as such, and whether
        a command that records it is on its way.
    """

    def __init__(self, session):
        self.session = session
        self.is_proposed_by_job = {}

    def note_run(self, run, percent=0):
        """Note that a minion executes a run.

        Members of a gang wait for each other on their minions, and begin together.

        `percent`
            The progress of the run, as far as known.
        """
        job = self.pending_job(run.task)
        if job is None:
            return
        if percent or not job.spec.steps[run.task.step].gang:
            self.add(job)

    def note_ends(self, ends):
        """Note the jobs of which a minion lists ends that show that they have begun."""
        for end in ends:
            job = self.pending_job(end.task)
            if job is not None and end.shows_beginning(job.spec.steps[end.task.step]):
                self.add(job)

    def pending_job(self, task):
        """Return the job of a task if it is not known to have begun, or None."""
        job = self.session.table.job_by_id.get(task.job)
        if job is None or job.status is not JobStatus.PENDING:
            return None
        return job if job.id not in self.is_proposed_by_job else None

    def add(self, job):
        """Add a job that has begun."""
        self.is_proposed_by_job[job.id] = False
        self.session.gauge.note_begun(job)

    def run(self):
        """Record the beginnings that no end has taken along, until killed."""
        while True:
            gevent.sleep(RECORD_SECONDS)
            if not all(self.is_proposed_by_job.values()):
                self.propose_with((), wall_ms())

    def propose_with(self, ends, at_ms):
        """Propose ends of runs together with the beginnings; return if accepted."""
        begun_jobs = tuple(self.take_unproposed())
        is_accepted = self.session.propose(EndRuns(ends, at_ms, begun_jobs))
        for job_id in begun_jobs:
            if is_accepted:
                del self.is_proposed_by_job[job_id]
            else:
                self.is_proposed_by_job[job_id] = False
        return is_accepted

    def take_unproposed(self):
        """Yield the jobs whose beginning is to be proposed, and mark them so."""
        for job_id, is_proposed in self.is_proposed_by_job.items():
            if not is_proposed:
                self.is_proposed_by_job[job_id] = True
                yield job_id
