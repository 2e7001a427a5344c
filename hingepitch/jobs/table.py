"""
hingepitch.jobs.table
~~~~~~~~~~~~~~~~~~~~~

The replicated state of jobs, with the indices that decisions need. Like
the rest of the state machine it reads no clock and no randomness.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter, deque
from dataclasses import dataclass, replace

import msgspec

from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.crash import CrashBook, CrashRecord, LifeBlame
from hingepitch.jobs.queue import QueueConfig, QueueIndex
from hingepitch.jobs.record import (
    JobRecord,
    JobStatus,
    Minion,
    Round,
    Run,
    RunResult,
    TaskStatus,
    UpkeepStage,
    Wave,
)
from hingepitch.jobs.spec import format_task

__all__ = ["JobTable", "Room", "StepKey", "TableContent", "lost_end"]

#: Ended jobs are kept at least so long, for their callers' questions, and
#: then only so many of them, in milliseconds: twice the 120 s that callers may
#: count on, for clocks that differ.
ENDED_JOB_RETENTION_MS = 240_000
MAX_ENDED_JOBS = 20_000

#: Jobs remembered for the leader's measure of what arrives.
MAX_ARRIVED_JOBS = 256

#: Lives of minions that are over and must not come back by a late message.
MAX_ENDED_LIVES = 4096

#: A task that lasts and ran for so long does not crash its minions, in
#: milliseconds.
PROVEN_MS = 10_000

#: Job, round and step.
StepKey = tuple[str, int, int]


@dataclass(slots=True)
class Room:
    """What the runs on a minion take."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, run, sign=1):
        """Count a run in, or out with `sign` -1."""
        self.cpu_millicores += sign * run.counted_millicores
        self.memory_mb += sign * run.memory_mb
        self.accelerators += sign * run.accelerators

    def fits(self, minion, step):
        """Whether one more task of `step` fits on `minion`."""
        return (
            self.cpu_millicores + step.counted_millicores <= minion.cpu_millicores
            and self.memory_mb + step.memory_mb <= minion.memory_mb
            and self.accelerators + step.accelerators <= minion.accelerators
        )

    def exceeds(self, minion):
        """Whether the runs take more than `minion` has now."""
        return (
            self.cpu_millicores > minion.cpu_millicores
            or self.memory_mb > minion.memory_mb
            or self.accelerators > minion.accelerators
        )


class TableContent(msgspec.Struct):
    """What a snapshot holds of a `JobTable`."""

    config: QueueConfig | None
    jobs: list[JobRecord]
    minions: list[Minion]
    runs: list[Run]
    waves: list[Wave]
    ended_lives: list[str]
    moves: dict[str, str] = {}
    crashes: list[CrashRecord] = []
    silent_lives: list[LifeBlame] = []


class JobTable:
    """Jobs, runs, minions and waves.

    `queues`
        The `QueueIndex` of the configuration in force.
    `ready_steps`
        Steps whose predecessors are done and that have waiting tasks, in the
        order in which they became ready.
    `repeated_jobs`
        Open jobs with due times that were not begun.
    `taken_by_minion`
        The room that runs take, by life of a minion.
    `touched_minions`
        Lives whose runs, or the jobs of their runs, have changed; the leader
        empties it.
    `move_by_vm`
        The pool to which a VM is being moved.
    `arrived_jobs`
        Jobs accepted since the leader last asked, the latest ones only.
    `crashes`
        The `CrashBook`.
    `has_had_work`
        Whether a job with tasks that end by themselves was seen.
    """

    def __init__(self):
        self.config = None
        self.queues = QueueIndex()
        self.job_by_id = {}
        self.minion_by_id = {}
        self.life_by_vm = {}
        self.run_by_task = {}
        self.runs_by_minion = {}
        self.taken_by_minion = {}
        self.carried_by_step = {}
        self.wave_by_number = {}
        self.move_by_vm = {}
        self.ended_lives = {}
        self.ended_jobs = {}
        self.ready_steps = {}
        self.repeated_jobs = {}
        self.touched_minions = set()
        self.pending_by_place = Counter()
        self.arrived_jobs = deque(maxlen=MAX_ARRIVED_JOBS)
        self.crashes = CrashBook()
        self.has_had_work = False

    # Queues.

    def put_config(self, config):
        """Take a configuration, or None before the first one."""
        self.config = config
        self.queues = QueueIndex(config.queues if config is not None else ())

    # Jobs.

    def add_job(self, job):
        """Add an accepted job; its first round opens unless it has due times."""
        self.job_by_id[job.id] = job
        self.note_work(job)
        self.arrived_jobs.append(job.id)
        self.pending_by_place[job.queue.place] += 1
        if job.spec.times:
            self.repeated_jobs[job.id] = None
        else:
            self.open_round(job)

    def note_work(self, job):
        """Note whether `job` has tasks that end by themselves."""
        if not self.has_had_work:
            self.has_had_work = any(not step.lasts for step in job.spec.steps)

    def take_arrived_jobs(self):
        """Return the ids of the jobs that came since the last call."""
        arrived = list(self.arrived_jobs)
        self.arrived_jobs.clear()
        return arrived

    def open_round(self, job):
        """Begin the next round of `job`."""
        number = job.rounds_opened
        job.rounds_opened += 1
        job.round_by_number[number] = Round.of(job.spec.steps)
        if job.rounds_opened == job.rounds_wanted:
            self.repeated_jobs.pop(job.id, None)
        self.index_round(job, number)

    def index_round(self, job, number):
        """Refresh the index of ready steps for one round."""
        for step in range(len(job.spec.steps)):
            self.index_step(job, number, step)

    def index_step(self, job, number, step):
        """Refresh the index of ready steps for one step of a round."""
        key = (job.id, number, step)
        if self.is_ready(job, number, step):
            self.ready_steps.setdefault(key)
        else:
            self.ready_steps.pop(key, None)

    def is_ready(self, job, number, step):
        """Whether a step has waiting tasks whose turn has come."""
        opened = job.round_by_number.get(number)
        if not job.is_open or opened is None or not opened.left_by_step[step]:
            return False
        if any(opened.left_by_step[earlier] for earlier in job.spec.steps[step].after):
            return False
        tasks = opened.tasks_by_step[step]
        return any(task.status is TaskStatus.WAITING for task in tasks)

    def end_job(self, job, status, at_ms):
        """End `job`; its runs stay until each is over."""
        self.note_begun(job)
        job.status = status
        job.ended_ms = at_ms
        for number in job.round_by_number:
            self.index_round(job, number)
        job.round_by_number = {}
        self.repeated_jobs.pop(job.id, None)
        self.crashes.forget_job(job.id)
        self.ended_jobs[job.id] = at_ms
        self.touched_minions.update(
            run.minion for run in self.run_by_task.values() if run.task.job == job.id
        )

    def note_begun(self, job):
        """Count `job` as begun, once."""
        if job.status is JobStatus.PENDING:
            job.status = JobStatus.RUNNING
            self.pending_by_place[job.queue.place] -= 1

    def forget_ended_jobs(self, now_ms):
        """Forget the jobs that ended long ago, the oldest first."""
        while self.ended_jobs:
            job_id, ended_ms = next(iter(self.ended_jobs.items()))
            too_many = len(self.ended_jobs) > MAX_ENDED_JOBS
            if now_ms - ended_ms < ENDED_JOB_RETENTION_MS and not too_many:
                return
            del self.ended_jobs[job_id]
            del self.job_by_id[job_id]

    def policy(self, job):
        """Return the queue of `job` as configured now, or as it was."""
        return self.queues.queue_by_place.get(job.queue.place, job.queue)

    def task(self, key):
        """Return the task `key`, or None if its round is not open."""
        job = self.job_by_id.get(key.job)
        opened = job and job.round_by_number.get(key.round)
        return opened.tasks_by_step[key.step][key.index] if opened else None

    # Runs.

    def add_run(self, run):
        """Add a run that may be going on."""
        step = run.task[:3]
        self.run_by_task[run.task] = run
        self.touched_minions.add(run.minion)
        self.runs_by_minion.setdefault(run.minion, {})[run.task] = run
        self.taken_by_minion.setdefault(run.minion, Room()).add(run)
        self.carried_by_step.setdefault(step, Counter())[run.minion] += 1

    def drop_run(self, run):
        """Remove a run that is surely over."""
        step = run.task[:3]
        del self.run_by_task[run.task]
        self.touched_minions.add(run.minion)
        del self.runs_by_minion[run.minion][run.task]
        self.taken_by_minion[run.minion].add(run, -1)
        carried = self.carried_by_step[step]
        carried[run.minion] -= 1
        if not carried[run.minion]:
            del carried[run.minion]
        if not carried:
            del self.carried_by_step[step]

    def start_run(self, start, number, at_ms):
        """Record one more run of a task."""
        job = self.job_by_id[start.task.job]
        step = job.spec.steps[start.task.step]
        task = self.task(start.task)
        task.status = TaskStatus.PLACED
        task.run = number
        self.note_begun(job)
        self.add_run(
            Run(
                task=start.task,
                number=number,
                minion=start.minion,
                counted_millicores=step.counted_millicores,
                memory_mb=step.memory_mb,
                accelerators=step.accelerators,
                started_ms=at_ms,
            )
        )
        self.index_step(job, start.task.round, start.task.step)

    def end_run(self, end, at_ms):
        """Record that a run is over; one that is not recorded is ignored."""
        run = self.run_by_task.get(end.task)
        if run is None or (run.number, run.minion) != (end.number, end.minion):
            return
        self.drop_run(run)
        job = self.job_by_id.get(end.task.job)
        task = self.task(end.task)
        if job is None or task is None or task.status is not TaskStatus.PLACED:
            return
        task.status = TaskStatus.WAITING
        self.note_proven(job, run, at_ms)
        if end.checkpoint:
            self.keep_checkpoint(job, end)
        if end.result is RunResult.DONE:
            self.finish_task(job, end)
        elif end.result is RunResult.FAILED:
            self.note_failure(job, end, at_ms)
        if job.is_open:
            self.index_step(job, end.task.round, end.task.step)
            self.finish_job(job, at_ms)

    def note_proven(self, job, run, at_ms):
        """Forget the crashes under a task that lasts and was at work for long."""
        step = job.spec.steps[run.task.step]
        if step.lasts and at_ms - run.started_ms >= PROVEN_MS:
            self.crashes.forget_task(run.task)

    def siblings(self, job, key):
        """Return the tasks that share the fate of `key`: its gang, or itself."""
        tasks = job.round_by_number[key.round].tasks_by_step[key.step]
        return tasks if job.spec.steps[key.step].gang else [tasks[key.index]]

    def keep_checkpoint(self, job, end):
        """Keep where the task, or its whole gang, continues."""
        for task in self.siblings(job, end.task):
            task.checkpoint = end.checkpoint

    def finish_task(self, job, end):
        """Mark a task as done, or its whole gang; one that lasts waits again."""
        if job.spec.steps[end.task.step].lasts:
            return
        opened = job.round_by_number[end.task.round]
        self.crashes.forget_task(end.task)
        for task in self.siblings(job, end.task):
            if task.run == end.number and task.status is not TaskStatus.DONE:
                task.status = TaskStatus.DONE
                opened.left_by_step[end.task.step] -= 1
        if not opened.left_by_step[end.task.step]:
            self.index_round(job, end.task.round)

    def note_failure(self, job, end, at_ms):
        """Count a failure, once for a gang; too many of them fail the job."""
        step = job.spec.steps[end.task.step]
        if step.lasts:
            return
        counted = self.siblings(job, end.task)[0] if step.gang else self.task(end.task)
        counted.failures += 1
        if counted.failures >= self.policy(job).attempts:
            job.failure = f"{format_task(end.task)} failed {counted.failures} times"
            self.end_job(job, JobStatus.FAILED, at_ms)

    def finish_job(self, job, at_ms):
        """Close the rounds that are done, and the job after its last one."""
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

    # Minions.

    def put_minion(self, minion, at_ms):
        """Add a life of a minion; it ends the life before on the same VM."""
        if minion.id in self.ended_lives:
            return
        known = self.minion_by_id.get(minion.id)
        if known is not None and minion.sequence < known.sequence:
            # Held back on its way: its room may have shrunk since.
            return
        if known is not None and known.is_draining:
            # Final for a life: a message that says otherwise was held back.
            minion = replace(minion, is_draining=True)
        if known is not None and self.life_by_vm.get(known.vm) == known.id:
            # It may name another VM now, and is not found there once it ends.
            del self.life_by_vm[known.vm]
        before = self.life_by_vm.get(minion.vm)
        if before is not None and before != minion.id:
            self.remove_minion(before, at_ms)
        self.minion_by_id[minion.id] = minion
        self.life_by_vm[minion.vm] = minion.id
        if self.move_by_vm.get(minion.vm) == minion.pool:
            del self.move_by_vm[minion.vm]
        self.runs_by_minion.setdefault(minion.id, {})
        self.taken_by_minion.setdefault(minion.id, Room())

    def remove_minion(self, life, at_ms):
        """End a life of a minion, and all its runs; count the crash under them."""
        minion = self.minion_by_id.pop(life, None)
        if minion is None:
            return
        blame = self.crashes.acquit(life)
        is_planned = self.is_leaving(minion)
        for run in list(self.runs_by_minion.get(life, {}).values()):
            self.end_run(lost_end(run), at_ms)
        self.runs_by_minion.pop(life, None)
        self.taken_by_minion.pop(life, None)
        if self.life_by_vm.get(minion.vm) == life:
            del self.life_by_vm[minion.vm]
        self.ended_lives[life] = None
        while len(self.ended_lives) > MAX_ENDED_LIVES:
            del self.ended_lives[next(iter(self.ended_lives))]
        if not is_planned:
            self.charge_crash(blame, minion.vm, at_ms)

    def charge_crash(self, blame, vm, at_ms):
        """Count a crash under the tasks of open jobs; give up those that did it.

        Nothing else bounds how often a task is started that takes its minion
        away: a lost run is no failure of the task, for most are lost by chance.
        """
        for key in blame.exposed:
            if self.task(key) is None:
                continue
            record = self.crashes.charge(key, blame, vm)
            if record.is_proof:
                job = self.job_by_id[key.job]
                job.failure = f"{format_task(key)} {record}"
                self.end_job(job, JobStatus.FAILED, at_ms)

    def vms_in_upkeep(self):
        """Return the VMs whose upkeep has begun and is not over."""
        waves = self.wave_by_number.values()
        return {vm for wave in waves for vm in wave.vms_down}

    def vms_due(self):
        """Return the VMs whose upkeep has not begun."""
        waves = self.wave_by_number.values()
        return {vm for wave in waves for vm in wave.vms_waiting}

    def is_leaving(self, minion):
        """Whether a minion drains, or its VM is being taken from it."""
        if minion.is_draining or minion.vm in self.move_by_vm:
            return True
        return any(
            wave.stage_by_vm.get(minion.vm) is UpkeepStage.BEGUN
            for wave in self.wave_by_number.values()
        )

    # Snapshots.

    def to_content(self):
        """Return what a snapshot holds."""
        crashes, silent_lives = self.crashes.to_content()
        return TableContent(
            config=self.config,
            jobs=list(self.job_by_id.values()),
            minions=list(self.minion_by_id.values()),
            runs=list(self.run_by_task.values()),
            waves=list(self.wave_by_number.values()),
            ended_lives=list(self.ended_lives),
            moves=self.move_by_vm,
            crashes=crashes,
            silent_lives=silent_lives,
        )

    @classmethod
    def from_content(cls, content):
        """Return the table that a snapshot holds."""
        table = cls()
        table.put_config(content.config)
        for minion in content.minions:
            table.put_minion(minion, 0)
        table.ended_lives = dict.fromkeys(content.ended_lives)
        table.move_by_vm = content.moves
        table.wave_by_number = {wave.number: wave for wave in content.waves}
        for job in content.jobs:
            table.restore_job(job)
        ended = [job for job in content.jobs if not job.is_open]
        ended.sort(key=lambda job: job.ended_ms)
        table.ended_jobs = {job.id: job.ended_ms for job in ended}
        for run in content.runs:
            table.add_run(run)
        table.crashes = CrashBook.from_content(content.crashes, content.silent_lives)
        return table

    def restore_job(self, job):
        """Add a job of a snapshot, with its indices."""
        self.job_by_id[job.id] = job
        self.note_work(job)
        if job.status is JobStatus.PENDING:
            self.pending_by_place[job.queue.place] += 1
        if job.is_open and job.rounds_opened < job.rounds_wanted:
            self.repeated_jobs[job.id] = None
        for number in job.round_by_number:
            self.index_round(job, number)


def lost_end(run):
    """Return the end of a run of which nobody told how it ended."""
    return RunEnd(run.task, run.number, run.minion, RunResult.LOST)
