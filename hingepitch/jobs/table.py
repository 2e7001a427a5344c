"""
hingepitch.jobs.table
~~~~~~~~~~~~~~~~~~~~~

The replicated state of jobs, with the indices that scheduling needs. Like
the rest of the state machine it is deterministic: it reads neither the clock
nor random numbers.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter, deque
from dataclasses import replace

from hingepitch.jobs.accounts.account import AccountIndex
from hingepitch.jobs.accounts.ledger import AccountLedger
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.crashes.crash import CrashRegistry
from hingepitch.jobs.halls.cordon import HallCordons
from hingepitch.jobs.queue import QueueIndex
from hingepitch.jobs.record import (
    JobStatus,
    Round,
    Run,
    RunResult,
    TaskStatus,
    UpkeepStage,
)
from hingepitch.jobs.spec import format_task
from hingepitch.jobs.tombstone import TombstoneRegistry
from hingepitch.jobs.usage import ResourceUsage

__all__ = ["JobTable", "StepKey", "lost_run_end"]

#: How long an ended job is kept for status requests, in milliseconds: twice the
#: 120 s that callers may count on, to allow for clock differences. Above
#: `MAX_ENDED_JOBS` the oldest ended jobs are deleted earlier.
ENDED_JOB_RETENTION_MS = 240_000
MAX_ENDED_JOBS = 20_000

#: Arrived jobs that are kept for the leader's measurement of the arrival rate.
MAX_ARRIVED_JOBS = 256

#: Ended minion incarnations that are kept so that a delayed message cannot
#: register one of them again.
MAX_ENDED_INCARNATIONS = 4096

#: A long-running task that has run for this long, in milliseconds, is no longer
#: suspected of crashing minions.
STABLE_RUN_MS = 10_000

#: Job id, round number and step number.
StepKey = tuple[str, int, int]


class JobTable:
    """Jobs, runs, minions and maintenance waves, with their indices.

    `queues`, `accounts`
        The `QueueIndex` and the `AccountIndex` of the current configuration.
    `ledger`
        The `AccountLedger` of all runs.
    `ready_steps`
        Steps whose predecessors are done and that have waiting tasks, in the
        order in which they became ready.
    `repeated_jobs`
        Open jobs with rounds that have not been opened.
    `minion_by_id`
        The present incarnation of each minion.
    `runs_by_job`
        The runs by task, by job.
    `lasting_runs`
        The runs of long-running tasks, by task.
    `usage_by_minion`
        The `ResourceUsage` that runs use, by minion.
    `run_counts_by_step`
        The number of runs by minion, by step.
    `changed_minions`
        Minions whose runs, or the jobs of their runs, have changed; the leader
        empties it.
    `ended_lives`
        The time of birth of the last incarnation of each ended minion, by id, in
        the order of their ends; 0 if unknown.
    `move_by_vm`
        The target pool of each VM that is being moved.
    `pending_by_route`
        The number of jobs that no minion has begun, by host and path prefix of the
        queue.
    `arrived_jobs`
        Jobs accepted since the last `take_arrived_jobs`, at most the latest
        `MAX_ARRIVED_JOBS`.
    `crashes`
        The `CrashRegistry`.
    `cordons`
        The `HallCordons`: halls in which no run may start.
    `tombstones`
        The `TombstoneRegistry`: jobs that were cancelled while they were not known.
    `has_seen_batch_job`
        Whether a job with tasks that are not long-running was ever accepted.
    """

    def __init__(self):
        self.config = None
        self.queues = QueueIndex()
        self.accounts = AccountIndex()
        self.ledger = AccountLedger()
        self.job_by_id = {}
        self.minion_by_id = {}
        self.life_by_vm = {}
        self.run_by_task = {}
        self.runs_by_minion = {}
        self.runs_by_job = {}
        self.lasting_runs = {}
        self.usage_by_minion = {}
        self.run_counts_by_step = {}
        self.wave_by_number = {}
        self.move_by_vm = {}
        self.ended_lives = {}
        self.ended_jobs = {}
        self.ready_steps = {}
        self.repeated_jobs = {}
        self.changed_minions = set()
        self.pending_by_route = Counter()
        self.arrived_jobs = deque(maxlen=MAX_ARRIVED_JOBS)
        self.crashes = CrashRegistry()
        self.cordons = HallCordons()
        self.tombstones = TombstoneRegistry()
        self.has_seen_batch_job = False

    def put_config(self, config):
        """Set the configuration; None before the first one."""
        self.config = config
        self.queues = QueueIndex(config.queues if config is not None else ())
        accounts = config.accounts if config is not None else ()
        self.accounts = AccountIndex(accounts)
        self.ledger.put_accounts(accounts)

    @property
    def has_accounts(self):
        """Whether the configuration in force has client accounts."""
        return self.config is not None and self.config.has_accounts

    def add_job(self, job):
        """Add an accepted job; open its first round unless it has due times."""
        self.job_by_id[job.id] = job
        self.note_batch_job(job)
        self.arrived_jobs.append(job.id)
        self.pending_by_route[job.queue.route] += 1
        if job.spec.times:
            self.repeated_jobs[job.id] = None
        else:
            self.open_round(job)

    def note_batch_job(self, job):
        """Set `has_seen_batch_job` if `job` has tasks that are not long-running."""
        if not self.has_seen_batch_job:
            self.has_seen_batch_job = any(not step.lasts for step in job.spec.steps)

    def take_arrived_jobs(self):
        """Return the ids of the jobs accepted since the last call."""
        arrived = list(self.arrived_jobs)
        self.arrived_jobs.clear()
        return arrived

    def open_round(self, job):
        """Open the next round of `job`."""
        number = job.rounds_opened
        job.rounds_opened += 1
        job.round_by_number[number] = Round.of(job.spec.steps)
        if job.rounds_opened == job.rounds_wanted:
            self.repeated_jobs.pop(job.id, None)
        self.index_round(job, number)

    def index_round(self, job, number):
        """Update the index of ready steps for one round."""
        for step in range(len(job.spec.steps)):
            self.index_step(job, number, step)

    def index_steps(self, step_keys):
        """Update the index of ready steps for steps of jobs that are kept."""
        for job_id, number, step in step_keys:
            self.index_step(self.job_by_id[job_id], number, step)

    def index_step(self, job, number, step):
        """Update the index of ready steps for one step of a round."""
        key = (job.id, number, step)
        if self.is_ready(job, number, step):
            self.ready_steps.setdefault(key)
        else:
            self.ready_steps.pop(key, None)

    def is_ready(self, job, number, step):
        """Whether a step has waiting tasks and all earlier steps are done."""
        opened = job.round_by_number.get(number)
        if not job.is_open or opened is None or not opened.left_by_step[step]:
            return False
        if any(opened.left_by_step[earlier] for earlier in job.spec.steps[step].after):
            return False
        tasks = opened.tasks_by_step[step]
        return any(task.status is TaskStatus.WAITING for task in tasks)

    def end_job(self, job, status, at_ms):
        """End `job`; its runs stay recorded until each is confirmed ended."""
        self.mark_running(job)
        job.status = status
        job.ended_ms = at_ms
        for number in job.round_by_number:
            self.index_round(job, number)
        job.round_by_number = {}
        self.repeated_jobs.pop(job.id, None)
        self.crashes.forget_job(job.id)
        self.ended_jobs[job.id] = at_ms
        self.changed_minions.update(
            run.minion for run in self.runs_by_job.get(job.id, {}).values()
        )

    def note_begun(self, job_id):
        """Note that a minion has begun a task of a job; ignore an unknown job."""
        job = self.job_by_id.get(job_id)
        if job is not None:
            self.mark_running(job)

    def mark_running(self, job):
        """Mark a pending `job` as running."""
        if job.status is JobStatus.PENDING:
            job.status = JobStatus.RUNNING
            self.pending_by_route[job.queue.route] -= 1

    def forget_ended_jobs(self, now_ms):
        """Delete the ended jobs whose retention has expired, the oldest first."""
        while self.ended_jobs:
            job_id, ended_ms = next(iter(self.ended_jobs.items()))
            too_many = len(self.ended_jobs) > MAX_ENDED_JOBS
            if now_ms - ended_ms < ENDED_JOB_RETENTION_MS and not too_many:
                return
            del self.ended_jobs[job_id]
            del self.job_by_id[job_id]

    def current_queue(self, job):
        """Return the queue of `job` as configured now.

        A queue that is no longer configured applies as it was at acceptance.
        """
        return self.queues.queue_by_route.get(job.queue.route, job.queue)

    def task(self, key):
        """Return the task `key`, or None if its round is not open."""
        job = self.job_by_id.get(key.job)
        opened = job and job.round_by_number.get(key.round)
        return opened.tasks_by_step[key.step][key.index] if opened else None

    def add_run(self, run):
        """Add a run that may be active."""
        step = run.task[:3]
        self.run_by_task[run.task] = run
        self.ledger.add(run)
        self.changed_minions.add(run.minion)
        self.runs_by_minion.setdefault(run.minion, {})[run.task] = run
        self.runs_by_job.setdefault(run.task.job, {})[run.task] = run
        if self.is_lasting(run):
            self.lasting_runs[run.task] = run
        self.usage_by_minion.setdefault(run.minion, ResourceUsage()).add(run)
        self.run_counts_by_step.setdefault(step, Counter())[run.minion] += 1

    def is_lasting(self, run):
        """Whether a run is of a long-running task of a job that is kept."""
        job = self.job_by_id.get(run.task.job)
        return job is not None and job.spec.steps[run.task.step].lasts

    def drop_run(self, run):
        """Remove a run that is confirmed ended."""
        step = run.task[:3]
        del self.run_by_task[run.task]
        self.lasting_runs.pop(run.task, None)
        self.ledger.remove(run)
        self.changed_minions.add(run.minion)
        del self.runs_by_minion[run.minion][run.task]
        job_runs = self.runs_by_job[run.task.job]
        del job_runs[run.task]
        if not job_runs:
            del self.runs_by_job[run.task.job]
        self.usage_by_minion[run.minion].add(run, -1)
        counts = self.run_counts_by_step[step]
        counts[run.minion] -= 1
        if not counts[run.minion]:
            del counts[run.minion]
        if not counts:
            del self.run_counts_by_step[step]

    def start_run(self, start, number, at_ms):
        """Record a new run of a task, which its minion has not begun yet.

        The caller updates the index of ready steps, once for all runs of a step.
        """
        job = self.job_by_id[start.task.job]
        step = job.spec.steps[start.task.step]
        task = self.task(start.task)
        task.status = TaskStatus.PLACED
        task.run = number
        self.add_run(
            Run(
                task=start.task,
                number=number,
                minion=start.minion,
                counted_millicores=step.counted_millicores,
                memory_mb=step.memory_mb,
                accelerators=step.accelerators,
                started_ms=at_ms,
                cpu_millicores=step.cpu_millicores,
                account=job.account,
            )
        )

    def end_run(self, end, at_ms):
        """Record the end of a run; ignore a run that is not recorded."""
        run = self.run_by_task.get(end.task)
        if run is None or (run.number, run.minion) != (end.number, end.minion):
            return
        self.drop_run(run)
        job = self.job_by_id.get(end.task.job)
        task = self.task(end.task)
        if job is None or task is None or task.status is not TaskStatus.PLACED:
            return
        task.status = TaskStatus.WAITING
        if end.shows_beginning(job.spec.steps[end.task.step]):
            self.mark_running(job)
        self.forget_crashes_if_stable(job, run, end, at_ms)
        if end.checkpoint:
            self.keep_checkpoint(job, end)
        if end.result is RunResult.DONE:
            self.finish_task(job, end)
        elif end.result is RunResult.FAILED:
            self.record_failure(job, end, at_ms)
        if job.is_open:
            self.index_step(job, end.task.round, end.task.step)
            self.finish_job(job, at_ms)

    def forget_crashes_if_stable(self, job, run, end, at_ms):
        """Delete the crash record of a long-running task that ran long enough.

        The age of a run counts from its record, so that of a refused one says nothing.
        """
        step = job.spec.steps[run.task.step]
        has_run = end.result is not RunResult.REFUSED
        if step.lasts and has_run and at_ms - run.started_ms >= STABLE_RUN_MS:
            self.crashes.forget_task(run.task)

    def gang_tasks(self, job, key):
        """Return the tasks of the gang of `key`, or just the task itself."""
        tasks = job.round_by_number[key.round].tasks_by_step[key.step]
        return tasks if job.spec.steps[key.step].gang else [tasks[key.index]]

    def keep_checkpoint(self, job, end):
        """Store the checkpoint from which the task, or its gang, continues."""
        for task in self.gang_tasks(job, end.task):
            task.checkpoint = end.checkpoint

    def finish_task(self, job, end):
        """Mark a task or its gang as done; a long-running task waits again."""
        if job.spec.steps[end.task.step].lasts:
            return
        opened = job.round_by_number[end.task.round]
        self.crashes.forget_task(end.task)
        for task in self.gang_tasks(job, end.task):
            if task.run == end.number and task.status is not TaskStatus.DONE:
                task.status = TaskStatus.DONE
                opened.left_by_step[end.task.step] -= 1
        if not opened.left_by_step[end.task.step]:
            self.index_round(job, end.task.round)

    def record_failure(self, job, end, at_ms):
        """Count a failure, once per gang; fail the job after too many."""
        step = job.spec.steps[end.task.step]
        if step.lasts:
            return
        counted = (
            self.gang_tasks(job, end.task)[0] if step.gang else self.task(end.task)
        )
        counted.failures += 1
        if counted.failures >= self.current_queue(job).attempts:
            job.failure = f"{format_task(end.task)} failed {counted.failures} times"
            self.end_job(job, JobStatus.FAILED, at_ms)

    def finish_job(self, job, at_ms):
        """Close the rounds that are done, and the job after its last round."""
        done = [
            number
            for number, opened in job.round_by_number.items()
            if not any(opened.left_by_step)
        ]
        for number in done:
            del job.round_by_number[number]
            job.rounds_done += 1
        if job.rounds_done == job.rounds_wanted:
            self.end_job(job, JobStatus.SUCCEEDED, at_ms)

    def put_minion(self, minion, at_ms):
        """Add a minion, or update what its incarnation reports about itself."""
        if minion.id in self.ended_lives:
            return
        known = self.minion_by_id.get(minion.id)
        if known is not None and minion.sequence < known.sequence:
            # A delayed report: the capacity may have shrunk since.
            return
        if known is not None and not known.is_same_incarnation(minion):
            return
        if known is not None:
            # Draining is final for an incarnation: a report without it was delayed.
            minion = replace(
                minion,
                is_draining=minion.is_draining or known.is_draining,
                born_ms=minion.born_ms or known.born_ms,
                is_successor=known.is_successor,
            )
        self.store_minion(minion, at_ms)

    def begin_incarnation(self, minion, at_ms):
        """Put another incarnation in the place of the one that had its id.

        Its runs stay. The one before has crashed, unless it was leaving.
        """
        known = self.minion_by_id.get(minion.id)
        if known is None:
            if self.ended_lives.pop(minion.id, None) is None:
                return
        elif known.born_ms == minion.born_ms:
            return
        else:
            minion = self.succeed(known, minion, at_ms)
        self.store_minion(replace(minion, is_successor=True), at_ms)

    def succeed(self, known, minion, at_ms):
        """Return the record of the incarnation after `known`; count its crash."""
        blame = self.crashes.clear_suspicion(known.id)
        if not known.born_ms:
            # It may be the same incarnation, and the report may be delayed.
            is_draining = minion.is_draining or known.is_draining
            return replace(minion, is_draining=is_draining)
        if not self.is_leaving(known):
            self.record_crash(blame, known.vm, at_ms)
        return minion

    def store_minion(self, minion, at_ms):
        """Store the record of a minion; end another minion on its VM."""
        known = self.minion_by_id.get(minion.id)
        if known is not None and self.life_by_vm.get(known.vm) == known.id:
            # The report may name another VM; a leftover index entry of the old VM
            # would not be removed when the incarnation ends.
            del self.life_by_vm[known.vm]
        before = self.life_by_vm.get(minion.vm)
        if before is not None and before != minion.id:
            self.remove_minion(before, at_ms)
        self.minion_by_id[minion.id] = minion
        self.life_by_vm[minion.vm] = minion.id
        if self.move_by_vm.get(minion.vm) == minion.pool:
            del self.move_by_vm[minion.vm]
        self.runs_by_minion.setdefault(minion.id, {})
        self.usage_by_minion.setdefault(minion.id, ResourceUsage())

    def remove_minion(self, life, at_ms):
        """End a minion incarnation and its runs; record a crash unless planned."""
        minion = self.minion_by_id.pop(life, None)
        if minion is None:
            return
        blame = self.crashes.clear_suspicion(life)
        is_planned = self.is_leaving(minion)
        for run in list(self.runs_by_minion.get(life, {}).values()):
            self.end_run(lost_run_end(run), at_ms)
        self.runs_by_minion.pop(life, None)
        self.usage_by_minion.pop(life, None)
        if self.life_by_vm.get(minion.vm) == life:
            del self.life_by_vm[minion.vm]
        self.ended_lives[life] = minion.born_ms
        while len(self.ended_lives) > MAX_ENDED_INCARNATIONS:
            del self.ended_lives[next(iter(self.ended_lives))]
        if not is_planned:
            self.record_crash(blame, minion.vm, at_ms)

    def record_crash(self, blame, vm, at_ms):
        """Count a crash against exposed tasks; fail the jobs that reach a crash limit.

        Nothing else bounds the restarts of a task that crashes its minions: a
        lost run does not count as a failure, as most are lost for other reasons.
        """
        for key in blame.exposed:
            if self.task(key) is None:
                continue
            record = self.crashes.add_crash(key, blame, vm)
            if record.is_conclusive:
                job = self.job_by_id[key.job]
                job.failure = f"{format_task(key)} {record}"
                self.end_job(job, JobStatus.FAILED, at_ms)

    def vms_in_upkeep(self):
        """Return the VMs whose maintenance has begun and is not over."""
        waves = self.wave_by_number.values()
        return {vm for wave in waves for vm in wave.vms_down}

    def vms_due(self):
        """Return the VMs of all waves whose maintenance has not begun."""
        waves = self.wave_by_number.values()
        return {vm for wave in waves for vm in wave.vms_waiting}

    def is_leaving(self, minion):
        """Whether a minion drains or its VM is reserved for a move or maintenance."""
        if minion.is_draining or minion.vm in self.move_by_vm:
            return True
        return any(
            wave.stage_by_vm.get(minion.vm) is UpkeepStage.BEGUN
            for wave in self.wave_by_number.values()
        )

    def restore_job(self, job):
        """Add a job of a snapshot and its index entries."""
        self.job_by_id[job.id] = job
        self.note_batch_job(job)
        if job.status is JobStatus.PENDING:
            self.pending_by_route[job.queue.route] += 1
        if job.is_open and job.rounds_opened < job.rounds_wanted:
            self.repeated_jobs[job.id] = None
        for number in job.round_by_number:
            self.index_round(job, number)


def lost_run_end(run):
    """Return the `RunEnd` of a run whose result is not known."""
    return RunEnd(run.task, run.number, run.minion, RunResult.LOST)
