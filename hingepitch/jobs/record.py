"""
hingepitch.jobs.record
~~~~~~~~~~~~~~~~~~~~~~

The replicated records of jobs, runs, minions and upkeep waves.

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
]


class JobStatus(enum.Enum):
    """Where a job is in its life."""

    PENDING = "pending"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


#: A job in one of these states starts nothing any more.
ENDED_STATUSES = frozenset((JobStatus.SUCCEEDED, JobStatus.FAILED, JobStatus.CANCELLED))


class TaskStatus(enum.Enum):
    """Where a task is: waiting for a run, having one, or done."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class RunResult(enum.Enum):
    """How a run ended.

    `LAPSED`: its lease ran out. `BROKEN`: another member of its gang ended.
    `ALONE`: its gang did not assemble. `REFUSED`: it was never started.
    `LOST`: it is surely over, but nobody told how it ended.
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
        Runs that ended as failed.
    `checkpoint`
        Where the next run continues; empty: from the start.
    """

    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""


@dataclass(slots=True)
class Round:
    """One execution of all steps of a job.

    `left_by_step`
        Tasks that are not done, by step.
    """

    tasks_by_step: list[list[Task]]
    left_by_step: list[int]

    @classmethod
    def of(cls, steps):
        """Return a fresh round of `steps`."""
        tasks = [[Task() for _ in range(step.count)] for step in steps]
        return cls(tasks, [step.count for step in steps])


@dataclass(slots=True)
class JobRecord:
    """A job that was accepted.

    `queue`
        The queue as it stood when the job came.
    `accepted_ms`
        When, in milliseconds since the epoch, by the leader's clock.
    `rounds_opened`, `rounds_done`
        How many due times were begun, and ended.
    `round_by_number`
        The rounds that are not done.
    `failure`
        Why it failed, for operators.
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

    @property
    def is_open(self):
        """Whether it may still start tasks."""
        return self.status not in ENDED_STATUSES

    @property
    def rounds_wanted(self):
        """How many rounds the job has in all."""
        return max(1, self.spec.times)


@dataclass(frozen=True, slots=True)
class Run:
    """A run that is recorded as started and not yet known to be over."""

    task: TaskKey
    number: int
    minion: str
    counted_millicores: int
    memory_mb: int
    accelerators: int
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class Minion:
    """One life of a minion; a crash or a new pool makes another one.

    `vm`
        The VM it runs on; a VM has one life at a time.
    `address`
        `IP:port` of its API.
    `sequence`
        Which of its reports told this; a repetition of the same is no change.
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

    @property
    def kind(self):
        """The kind of its VM: the first label."""
        return self.labels[0] if self.labels else ""


class UpkeepStage(enum.Enum):
    """How far the upkeep of one VM is.

    `BEGUN`: recorded, the order may be on its way. `ORDERED`: the platform
    has taken the order. `OVER`: the VM is back.
    """

    BEGUN = "begun"
    ORDERED = "ordered"
    OVER = "over"


@dataclass(slots=True)
class Wave:
    """VMs that are due for upkeep, at most `max_down` at once.

    `due_ms`
        When the last of them should have begun, in milliseconds since the
        epoch.
    `stage_by_vm`
        Only the VMs whose upkeep has begun.
    """

    number: int
    vms: tuple[str, ...]
    max_down: int
    due_ms: int
    stage_by_vm: dict[str, UpkeepStage] = field(default_factory=dict)

    @property
    def vms_down(self):
        """The VMs that may be down for their upkeep now."""
        return [vm for vm, at in self.stage_by_vm.items() if at is not UpkeepStage.OVER]

    @property
    def vms_waiting(self):
        """The VMs whose upkeep has not begun."""
        return [vm for vm in self.vms if vm not in self.stage_by_vm]

    @property
    def is_done(self):
        """Whether every VM has had its upkeep."""
        stages = self.stage_by_vm
        return all(stages.get(vm) is UpkeepStage.OVER for vm in self.vms)
