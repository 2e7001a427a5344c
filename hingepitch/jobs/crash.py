"""
hingepitch.jobs.crash
~~~~~~~~~~~~~~~~~~~~~

Under which tasks minions have crashed: replicated, and read by the planner.
Like the rest of the state machine it reads no clock and no randomness.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from collections import Counter
from dataclasses import dataclass

from hingepitch.jobs.spec import TaskKey

__all__ = ["NO_BLAME", "Blame", "CrashBook", "CrashRecord", "LifeBlame", "Suspicion"]

#: A task is given up after so many crashes that nothing else can have caused,
#: or after so many in all. The first one may be chance and the second one is
#: the proof; the bound in all holds where no crash can be put down to one task.
MAX_CRASHES_ALONE = 2
MAX_CRASHES = 5

#: From so many crashes on, a task has its minion for itself until it ends, so
#: that each further one can be put down to it.
ISOLATED_FROM_CRASHES = 3

#: Silent lives whose crash is not certain are remembered, the latest ones.
MAX_SILENT_LIVES = 1024


class Suspicion(enum.IntEnum):
    """How carefully a task is to be started.

    `STARTING`: nothing else may start beside it until it has settled.
    `RUNNING`: nothing else may start beside it until it ends. `BARRED`: not
    before it is known whether silent minions have crashed under it.
    """

    NONE = 0
    STARTING = 1
    RUNNING = 2
    BARRED = 3


@dataclass(frozen=True, slots=True)
class Blame:
    """The tasks that may have crashed one life of a minion.

    `exposed`
        Those that may have been running there.
    `starting`
        Those of them whose runs had just started, or were never confirmed.
    `alone`
        One task, or members of one gang, if nothing else can have done it.
    """

    exposed: tuple[TaskKey, ...] = ()
    starting: tuple[TaskKey, ...] = ()
    alone: tuple[TaskKey, ...] = ()

    def merged(self, other):
        """Return the `Blame` of what this one or another one names."""
        return Blame(
            tuple(dict.fromkeys(self.exposed + other.exposed)),
            tuple(dict.fromkeys(self.starting + other.starting)),
            self.alone or other.alone,
        )


NO_BLAME = Blame()


@dataclass(frozen=True, slots=True)
class LifeBlame:
    """A `Blame` that holds if the life `life` of a silent minion is over."""

    life: str
    blame: Blame


@dataclass(slots=True)
class CrashRecord:
    """How many minions have crashed under a task.

    `at_start`
        Crashes soon after it was started there.
    `alone`
        Crashes that nothing else on the minion can have caused.
    `vms`
        The VMs of these: one that crashes under whatever it starts is to blame
        itself, and counts once.
    """

    task: TaskKey
    crashes: int = 0
    at_start: int = 0
    alone: int = 0
    vms: tuple[str, ...] = ()

    def __str__(self):
        vms = f", alone on {', '.join(self.vms)}" if self.vms else ""
        return f"crashed {self.crashes} minions{vms}"

    @property
    def is_proof(self):
        """Whether the task is to be given up."""
        return self.alone >= MAX_CRASHES_ALONE or self.crashes >= MAX_CRASHES


NO_CRASHES = CrashRecord(TaskKey("", 0, 0, 0))


class CrashBook:
    """The crashes under the tasks of open jobs.

    `by_job`
        `CrashRecord` by task, by job; only tasks under which a minion crashed.
    `blame_by_life`
        `Blame` by life of a minion that fell silent until its lease was over:
        it has crashed, or is cut off and will answer again.
    `silent_exposed`
        Under how many of these lives each task was.
    """

    def __init__(self):
        self.by_job = {}
        self.blame_by_life = {}
        self.silent_exposed = Counter()

    def __bool__(self):
        return bool(self.by_job or self.blame_by_life)

    def jobs(self):
        """Return the jobs with tasks under which minions crashed or are silent."""
        return {*self.by_job, *(task.job for task in self.silent_exposed)}

    def record(self, task):
        """Return the `CrashRecord` of a task, or None."""
        return self.by_job.get(task.job, {}).get(task)

    def suspicion(self, task):
        """Return the `Suspicion` of a task, silent minions included.

        One silent minion raises none: most are cut off or have lost their power,
        and what ran there has waited for its lease already.
        """
        record = self.record(task) or NO_CRASHES
        crashes = record.crashes + self.silent_exposed[task]
        if crashes >= MAX_CRASHES:
            return Suspicion.BARRED
        if crashes >= ISOLATED_FROM_CRASHES:
            return Suspicion.RUNNING
        if crashes > 1 or record.at_start:
            return Suspicion.STARTING
        return Suspicion.NONE

    def crashed_vms(self, task):
        """Return the VMs whose minions crashed under a task and nothing else."""
        return (self.record(task) or NO_CRASHES).vms

    def suspects(self, job_id):
        """Yield the tasks of a job that are under suspicion."""
        tasks = {*self.by_job.get(job_id, ())}
        tasks |= {task for task in self.silent_exposed if task.job == job_id}
        return (task for task in tasks if self.suspicion(task))

    def charge(self, task, blame, vm):
        """Count a crash of a minion on `vm` under a task; return its record."""
        records = self.by_job.setdefault(task.job, {})
        record = records.setdefault(task, CrashRecord(task))
        record.crashes += 1
        record.at_start += task in blame.starting
        if task in blame.alone and vm not in record.vms:
            record.alone += 1
            record.vms += (vm,)
        return record

    def forget_task(self, task):
        """Forget the crashes under a task that has shown to be sound."""
        records = self.by_job.get(task.job, {})
        records.pop(task, None)
        if not records:
            self.by_job.pop(task.job, None)

    def forget_job(self, job_id):
        """Forget the crashes under the tasks of a job that has ended."""
        self.by_job.pop(job_id, None)

    def suspect(self, life, blame):
        """Remember what is to blame if a life turns out to be over.

        A blame of nothing takes back what was remembered.
        """
        before = self.acquit(life)
        if not blame.exposed:
            return
        blame = before.merged(blame)
        self.blame_by_life[life] = blame
        self.silent_exposed.update(blame.exposed)
        while len(self.blame_by_life) > MAX_SILENT_LIVES:
            self.acquit(next(iter(self.blame_by_life)))

    def acquit(self, life):
        """Forget, and return, what was to blame for the silence of a life."""
        blame = self.blame_by_life.pop(life, NO_BLAME)
        self.silent_exposed -= Counter(blame.exposed)
        return blame

    def to_content(self):
        """Return the lists of `CrashRecord` and `LifeBlame` for a snapshot."""
        records = [one for records in self.by_job.values() for one in records.values()]
        silent = [LifeBlame(*pair) for pair in self.blame_by_life.items()]
        return records, silent

    @classmethod
    def from_content(cls, records, silent):
        """Return the book that a snapshot holds."""
        book = cls()
        for record in records:
            book.by_job.setdefault(record.task.job, {})[record.task] = record
        for one in silent:
            book.suspect(one.life, one.blame)
        return book
