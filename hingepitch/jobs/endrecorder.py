"""
hingepitch.jobs.endrecorder
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records the ends of runs in the log, several with one command.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

import gevent
from gevent.event import AsyncResult, Event

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.jobs.cause import EndCause
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import format_task
from hingepitch.log import log_event

__all__ = ["EndRecorder"]

#: Longest time for which ends are collected before they are proposed, in seconds:
#: about the time of a sync, for which the log would wait anyway.
MAX_GATHER_SECONDS = 0.005

#: Limit of the failed runs of gangs that are kept; the oldest are dropped first.
MAX_FAILED_GANG_RUNS = 4096


@dataclass(slots=True)
class PendingEnds:
    """Ends that one caller waits to have recorded.

    `is_recorded`
        `AsyncResult`: whether they are committed.
    """

    ends: tuple[RunEnd, ...]
    cause: EndCause
    is_recorded: AsyncResult = field(default_factory=AsyncResult)


class EndRecorder:
    """Records the ends of runs during one leadership.

    `session`
        The `Session` of the leadership.
    `pending`
        The `PendingEnds` that are not proposed yet.
    `failed_member_by_gang_run`
        The member whose failure counts, by step and run number of a gang.
    """

    def __init__(self, session):
        self.session = session
        self.pending = []
        self.failed_member_by_gang_run = {}
        self.has_pending = Event()

    def record(self, ends, cause):
        """Record that runs ended, with the `EndCause`; return whether committed."""
        waiting = PendingEnds(ends, cause)
        self.pending.append(waiting)
        self.has_pending.set()
        return waiting.is_recorded.get()

    def run(self):
        """Propose the collected ends until killed.

        Those of one round of the event loop go together, and more if the leader lacks
        processor time.
        """
        while True:
            self.has_pending.wait()
            gevent.sleep(min(MAX_GATHER_SECONDS, self.session.batch_seconds))
            self.has_pending.clear()
            batch, self.pending = self.pending, []
            self.session.spawn(self.propose, batch)

    def propose(self, batch):
        """Propose the ends of a batch of `PendingEnds`; tell its callers."""
        at_ms = wall_ms()
        for waiting in batch:
            waiting.ends = tuple(map(self.count_gang_once, waiting.ends))
        ends = tuple(end for waiting in batch for end in waiting.ends)
        for end in ends:
            self.note_duration(end, at_ms)
            self.note_restart(end, at_ms)
        is_committed = self.session.beginnings.propose_with(ends, at_ms)
        if is_committed:
            self.note_recorded(batch, ends, at_ms)
        for waiting in batch:
            waiting.is_recorded.set(is_committed)

    def count_gang_once(self, end):
        """Return an end, as `BROKEN` if another member's failure counts already.

        A gang fails as a whole: each of its failed runs counts as one failure, however
        many members end `FAILED`.
        """
        run = self.session.table.run_by_task.get(end.task)
        step = run and self.session.step_of(run)
        if end.result is not RunResult.FAILED or not step or not step.gang:
            return end
        gang_run = *end.task[:3], end.number
        member = self.failed_member_by_gang_run.setdefault(gang_run, end.task)
        if len(self.failed_member_by_gang_run) > MAX_FAILED_GANG_RUNS:
            oldest = next(iter(self.failed_member_by_gang_run))
            del self.failed_member_by_gang_run[oldest]
        return end if member == end.task else replace(end, result=RunResult.BROKEN)

    def note_recorded(self, batch, ends, at_ms):
        """Count and log ends that are committed."""
        counts = Counter()
        for waiting in batch:
            counts[waiting.cause] += len(waiting.ends)
            for end in waiting.ends:
                log_end(end, waiting.cause)
        self.session.gauge.note_ends(ends, counts, at_ms)

    def note_restart(self, end, at_ms):
        """Note that a long-running task ended by itself, for its restart backoff."""
        session = self.session
        run = session.table.run_by_task.get(end.task)
        step = run and session.step_of(run)
        if step and step.lasts and end.result in (RunResult.DONE, RunResult.FAILED):
            ran_seconds = (at_ms - run.started_ms) / 1000
            session.restarts.note_end(end.task, ran_seconds, lease_seconds())

    def note_duration(self, end, at_ms):
        """Record the duration of a task that ran from start to end in one run.

        A run that began on a cold minion says nothing about the others of its queue.
        The task of a gang member is missing if the end of another member closed
        the round.
        """
        session, table = self.session, self.session.table
        run = table.run_by_task.get(end.task)
        step = run and session.step_of(run)
        task = table.task(end.task)
        if end.result is not RunResult.DONE or step is None or task is None:
            return
        if run.number != end.number or task.checkpoint:
            return
        if not session.began_cold(run, at_ms):
            queue = table.current_queue(table.job_by_id[end.task.job])
            session.durations.note(queue.route, step, at_ms - run.started_ms)


def log_end(end, cause):
    """Log the recorded end of a run."""
    log_event(
        "run_ended",
        job=end.task.job,
        task=format_task(end.task),
        run=end.number,
        minion=end.minion,
        result=end.result.value,
        cause=cause.value,
    )
