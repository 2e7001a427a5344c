"""
hingepitch.jobs.record
~~~~~~~~~~~~~~~~~~~~~~

The replicated records of jobs, runs, minions and maintenance waves.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

from hingepitch.jobs.queue import Queue
from hingepitch.jobs.spec import JobSpec, TaskKey

__all__ = [
    "ENDED_STATUSES",
    "JobRecord",
    "JobStatus",
    "Minion",
    "Round",
    "Run",
    "RunResult",
    "Task",
    "TaskStatus",
    "UpkeepStage",
    "Wave",
    "is_same_birth",
]


class JobStatus(enum.Enum):
    """The state of a job.

    `PENDING`: no minion is known to have begun one of its tasks; runs may be recorded
    that are ordered, or were refused. `RUNNING`: a minion has begun a task, also if
    none runs now.
    """

    PENDING = "pending"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


#: States of an ended job, which starts no more runs.
ENDED_STATUSES = frozenset((JobStatus.SUCCEEDED, JobStatus.FAILED, JobStatus.CANCELLED))


class TaskStatus(enum.Enum):
    """The state of a task: waiting for a run, placed in one, or done."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class RunResult(enum.Enum):
    """The result of a run.

    `LAPSED`: its lease expired. `BROKEN`: another member of its gang ended.
    `ALONE`: its gang did not assemble. `REFUSED`: it was never started.
    `LOST`: it is confirmed ended, but with an unknown result.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(slots=True)
class Task:
    """One task of a round.

    `run`
        Number of its last run; 0 before the first.
    `failures`
        Number of runs that failed.
    `checkpoint`
        Checkpoint from which the next run continues; empty: from the start.
    """

    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""


@dataclass(slots=True)
class Round:
    """One execution of all steps of a job.

    `left_by_step`
        Number of tasks that are not done, by step.
    """

    tasks_by_step: list[list[Task]]
    left_by_step: list[int]

    @classmethod
    def of(cls, steps):
        """Return a new round of `steps` with all tasks waiting."""
        tasks = [[Task() for _ in range(step.count)] for step in steps]
        return cls(tasks, [step.count for step in steps])

    def has_progress(self, steps):
        """Whether a task of this round, one of `steps`, is done, failed or saved."""
        if self.left_by_step != [step.count for step in steps]:
            return True
        return any(
            task.failures or task.checkpoint
            for tasks in self.tasks_by_step
            for task in tasks
        )


@dataclass(slots=True)
class JobRecord:
    """An accepted job.

    `queue`
        The queue as configured when the job was accepted.
    `accepted_ms`
        Time of acceptance by the leader's clock, in milliseconds since the
        epoch.
    `rounds_opened`, `rounds_done`
        Number of rounds that were begun, and that ended.
    `round_by_number`
        The open rounds.
    `failure`
        Why the job failed, for operators.
    `account`
        Name of the client account that submitted the job; empty on a public queue.
    """

    id: str
    queue: Queue
    spec: JobSpec
    accepted_ms: int
    status: JobStatus = JobStatus.PENDING
    rounds_opened: int = 0
    rounds_done: int = 0
    ended_ms: int = 0
    round_by_number: dict[int, Round] = field(default_factory=dict)
    failure: str = ""
    account: str = ""

    @property
    def is_open(self):
        """Whether the job may still start tasks."""
        return self.status is JobStatus.RUNNING or self.status is JobStatus.PENDING

    @property
    def has_progress(self):
        """Whether the record of a job that is open shows that it has begun."""
        return self.rounds_done > 0 or any(
            opened.has_progress(self.spec.steps)
            for opened in self.round_by_number.values()
        )

    @property
    def rounds_wanted(self):
        """The total number of rounds of the job."""
        return max(1, self.spec.times)


@dataclass(frozen=True, slots=True)
class Run:
    """A run that is recorded as started and not yet confirmed ended.

    `counted_millicores`, `cpu_millicores`
        What counts of its minion's capacity, and what it may use in all.
    `account`
        Name of the client account of its job; empty if it has none.
    """

    task: TaskKey
    number: int
    minion: str
    counted_millicores: int
    memory_mb: int
    accelerators: int
    started_ms: int = 0
    cpu_millicores: int = 0
    account: str = ""


@dataclass(frozen=True, slots=True)
class Minion:
    """One incarnation of a minion; a crash or a move of pool begins a new one.

    `id`
        Identifier of the minion, which a later incarnation may keep.
    `vm`
        The VM that the minion runs on; a VM has one incarnation at a time.
    `address`
        `IP:port` of its API.
    `sequence`
        Number of the report with these values; ignored in comparisons, so that
        a repeated report is not a change.
    `born_ms`
        When the incarnation began by its own clock, in milliseconds since the
        epoch; 0 if unknown. It tells the incarnations of one id apart and gives
        no order, as that clock may have been set back.
    `is_successor`
        Whether an earlier incarnation had the same id.
    """

    id: str
    vm: str
    pool: str
    address: str
    hall: str
    rack: str
    labels: tuple[str, ...]
    cpu_millicores: int
    memory_mb: int
    accelerators: int
    is_draining: bool = False
    sequence: int = field(default=0, compare=False)
    born_ms: int = 0
    is_successor: bool = field(default=False, compare=False)

    @property
    def kind(self):
        """The kind of the minion's VM: its first label, or empty."""
        return self.labels[0] if self.labels else ""

    def is_same_incarnation(self, other):
        """Whether two records may describe the same incarnation."""
        return self.id == other.id and is_same_birth(self.born_ms, other.born_ms)


def is_same_birth(born_ms, other_ms):
    """Whether two times of birth may be the same; 0 is an unknown one."""
    return born_ms == other_ms or not born_ms or not other_ms


class UpkeepStage(enum.Enum):
    """The stage of the maintenance of one VM.

    `BEGUN`: recorded; the order may have been sent. `ORDERED`: the platform
    has accepted the order. `OVER`: the VM is back.
    """

    BEGUN = "begun"
    ORDERED = "ordered"
    OVER = "over"


@dataclass(slots=True)
class Wave:
    """A set of VMs due for maintenance, at most `max_down` of them at once.

    `due_ms`
        Time by which maintenance of the last VM should have begun, in
        milliseconds since the epoch.
    `stage_by_vm`
        Stages of the VMs whose maintenance has begun.
    """

    number: int
    vms: tuple[str, ...]
    max_down: int
    due_ms: int
    stage_by_vm: dict[str, UpkeepStage] = field(default_factory=dict)

    @property
    def vms_down(self):
        """The VMs that may be down for maintenance now."""
        return [vm for vm, at in self.stage_by_vm.items() if at is not UpkeepStage.OVER]

    @property
    def vms_waiting(self):
        """The VMs whose maintenance has not begun."""
        return [vm for vm in self.vms if vm not in self.stage_by_vm]

    @property
    def is_done(self):
        """Whether the maintenance of every VM is over."""
        stages = self.stage_by_vm
        return all(stages.get(vm) is UpkeepStage.OVER for vm in self.vms)
