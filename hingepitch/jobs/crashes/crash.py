"""
hingepitch.jobs.crashes.crash
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated registry of tasks suspected of crashing minions. The planner
reads it to isolate them. Like the rest of the state machine it is
deterministic: it reads neither the clock nor random numbers.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from collections import Counter
from dataclasses import dataclass

from hingepitch.jobs.spec import TaskKey

__all__ = [
    "NO_BLAME",
    "Blame",
    "CrashRegistry",
    "CrashRecord",
    "IncarnationBlame",
    "Suspicion",
]

#: The job of a task fails after `MAX_CRASHES_ALONE` crashes on different VMs
#: that only this task can have caused: the first may be a coincidence, the second
#: is the proof. It also fails after `MAX_CRASHES` in all, for crashes that cannot
#: be attributed to a single task.
MAX_CRASHES_ALONE = 2
MAX_CRASHES = 5

#: From this number of crashes on, a task gets a minion to itself until it ends,
#: so that each further crash can be attributed to it.
MIN_CRASHES_FOR_ISOLATION = 3

#: Limit of unresponsive minion incarnations, not confirmed as crashed, whose
#: suspected tasks are kept; the oldest are dropped first.
MAX_UNRESPONSIVE_INCARNATIONS = 1024


class Suspicion(enum.IntEnum):
    """The restriction on starting a task suspected of crashing minions.

    `STARTING`: nothing else may start on its minion until its start has settled.
    `RUNNING`: nothing else may start on its minion until it ends. `BARRED`: it
    may not start until it is known whether unresponsive minions have crashed
    under it.
    """

    NONE = 0
    STARTING = 1
    RUNNING = 2
    BARRED = 3


@dataclass(frozen=True, slots=True)
class Blame:
    """The tasks suspected of crashing one minion incarnation.

    `exposed`
        Tasks that may have been running on the minion.
    `starting`
        Exposed tasks whose runs had just started or were never confirmed.
    `alone`
        The one task, or the members of one gang, that are the only possible
        cause; empty if there are several.
    """

    exposed: tuple[TaskKey, ...] = ()
    starting: tuple[TaskKey, ...] = ()
    alone: tuple[TaskKey, ...] = ()

    def merged(self, other):
        """Return the union of two `Blame` objects; the first non-empty `alone` wins."""
        return Blame(
            tuple(dict.fromkeys(self.exposed + other.exposed)),
            tuple(dict.fromkeys(self.starting + other.starting)),
            self.alone or other.alone,
        )


NO_BLAME = Blame()


@dataclass(frozen=True, slots=True)
class IncarnationBlame:
    """The `Blame` that applies if the unresponsive incarnation `life` has ended."""

    life: str
    blame: Blame


@dataclass(slots=True)
class CrashRecord:
    """The minion crashes that a task was exposed to.

    `crashes`
        Number of all crashes while the task may have been running.
    `at_start`
        Number of crashes soon after the task was started on the minion.
    `alone`
        Number of VMs with a crash that only this task can have caused.
    `vms`
        The VMs counted in `alone`. Each counts once, as a faulty VM crashes
        under any task.
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
    def is_conclusive(self):
        """Whether the crashes suffice to fail the job of the task."""
        return self.alone >= MAX_CRASHES_ALONE or self.crashes >= MAX_CRASHES


NO_CRASHES = CrashRecord(TaskKey("", 0, 0, 0))


class CrashRegistry:
    """The minion crashes under the tasks of open jobs.

    `by_job`
        `CrashRecord` by task, by job, of tasks under which a minion crashed.
    `blame_by_life`
        `Blame` by minion incarnation that was unresponsive until its lease
        expired: it has crashed, or is disconnected and will answer again.
    `silent_exposed`
        Number of these incarnations that each task was exposed to.
    """

    def __init__(self):
        self.by_job = {}
        self.blame_by_life = {}
        self.silent_exposed = Counter()

    def __bool__(self):
        return bool(self.by_job or self.blame_by_life)

    def jobs(self):
        """Return the jobs with tasks on crashed or unresponsive minions."""
        return {*self.by_job, *(task.job for task in self.silent_exposed)}

    def record(self, task):
        """Return the `CrashRecord` of a task, or None."""
        return self.by_job.get(task.job, {}).get(task)

    def suspicion(self, task):
        """Return the `Suspicion` of a task, including unresponsive minions.

        A single unresponsive minion raises none: most are disconnected or have
        lost power, and the task has already waited for its lease to expire.
        """
        record = self.record(task) or NO_CRASHES
        crashes = record.crashes + self.silent_exposed[task]
        if crashes >= MAX_CRASHES:
            return Suspicion.BARRED
        if crashes >= MIN_CRASHES_FOR_ISOLATION:
            return Suspicion.RUNNING
        if crashes > 1 or record.at_start:
            return Suspicion.STARTING
        return Suspicion.NONE

    def crashed_vms(self, task):
        """Return the VMs with a crash that only this task can have caused."""
        return (self.record(task) or NO_CRASHES).vms

    def suspects(self, job_id):
        """Return an iterator over the suspected tasks of a job."""
        tasks = {*self.by_job.get(job_id, ())}
        tasks |= {task for task in self.silent_exposed if task.job == job_id}
        return (task for task in tasks if self.suspicion(task))

    def add_crash(self, task, blame, vm):
        """Count a crash of the minion on `vm` under a task; return its record."""
        records = self.by_job.setdefault(task.job, {})
        record = records.setdefault(task, CrashRecord(task))
        record.crashes += 1
        record.at_start += task in blame.starting
        if task in blame.alone and vm not in record.vms:
            record.alone += 1
            record.vms += (vm,)
        return record

    def forget_task(self, task):
        """Delete the crash record of a task that has proved not to crash minions."""
        records = self.by_job.get(task.job, {})
        records.pop(task, None)
        if not records:
            self.by_job.pop(task.job, None)

    def forget_job(self, job_id):
        """Delete the crash records of an ended job."""
        self.by_job.pop(job_id, None)

    def suspect(self, life, blame):
        """Store the tasks to suspect if a minion incarnation proves to have ended.

        A `blame` without exposed tasks withdraws the suspicion stored before.
        """
        before = self.clear_suspicion(life)
        if not blame.exposed:
            return
        blame = before.merged(blame)
        self.blame_by_life[life] = blame
        self.silent_exposed.update(blame.exposed)
        while len(self.blame_by_life) > MAX_UNRESPONSIVE_INCARNATIONS:
            self.clear_suspicion(next(iter(self.blame_by_life)))

    def clear_suspicion(self, life):
        """Remove and return the stored `Blame` of an unresponsive incarnation."""
        blame = self.blame_by_life.pop(life, NO_BLAME)
        self.silent_exposed -= Counter(blame.exposed)
        return blame

    def to_content(self):
        """Return the lists of `CrashRecord` and `IncarnationBlame` for a snapshot."""
        records = [one for records in self.by_job.values() for one in records.values()]
        silent = [IncarnationBlame(*pair) for pair in self.blame_by_life.items()]
        return records, silent

    @classmethod
    def from_content(cls, records, silent):
        """Return the registry restored from the content of a snapshot."""
        registry = cls()
        for record in records:
            registry.by_job.setdefault(record.task.job, {})[record.task] = record
        for one in silent:
            registry.suspect(one.life, one.blame)
        return registry
