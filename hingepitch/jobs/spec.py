"""
hingepitch.jobs.spec
~~~~~~~~~~~~~~~~~~~~

Job specifications: a job consists of steps, and a step of tasks.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import NamedTuple

from hingepitch.error import HingepitchError

__all__ = [
    "JobSpec",
    "Step",
    "TaskKey",
    "critical_path_from_ms",
    "check_spec",
    "critical_path_ms",
]

#: Limits of one job, so that a single job cannot fill the log or the memory.
MAX_STEPS = 64
MAX_TASKS = 4096
MAX_TIMES = 100_000


class TaskKey(NamedTuple):
    """The key of a task.

    `round`
        Number of the execution of a repeated job, from 0.
    `step`, `index`
        Number of the step within the job and of the task within the step, from 0.
    """

    job: str
    round: int
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class Step:
    """A number of tasks with equal requirements that may run in parallel.

    `count`
        Number of tasks.
    `cpu_millicores`, `memory_mb`, `accelerators`
        Resources that each task requests.
    `estimate_ms`
        The caller's rough estimate of a task's run time.
    `after`
        Numbers of the steps that must be done first.
    `image`
        The image that the tasks run; tasks of one image behave alike.
    `gang`
        Whether the tasks work only when all of them run at the same time.
    `same_rack`
        Whether the tasks are faster in one rack.
    `data_rack`
        The rack that holds the tasks' data; they are faster near it. Empty: none.
    `required_label`
        Label that a minion must have; empty: none.
    `max_per_minion`
        Number of tasks of the step that one minion may run at once; 0: no limit.
    `allows_copies`
        Whether copies of one task may run at the same time.
    `lasts`
        Whether the tasks are long-running: they serve until the job is cancelled.
    `fills_spare_cpu`
        Whether the tasks use only processor time that others leave, so that
        their processor request does not count against capacity.
    `max_away`
        Disruption budget: number of long-running tasks that this system may
        make unavailable at once.
    `saves_progress`
        Whether the tasks write checkpoints.
    `target_ms`
        Upper limit wanted for the tail latency of a serving task; 0: none.
    """

    count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    image: str = ""
    gang: bool = False
    same_rack: bool = False
    data_rack: str = ""
    required_label: str = ""
    max_per_minion: int = 0
    allows_copies: bool = False
    lasts: bool = False
    fills_spare_cpu: bool = False
    max_away: int | None = None
    saves_progress: bool = False
    target_ms: int = 0

    @property
    def counted_millicores(self):
        """Millicores that a task uses of its minion's capacity."""
        return 0 if self.fills_spare_cpu else self.cpu_millicores


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its caller submitted it.

    `payload`
        Text that is passed to the minions uninterpreted.
    `times`
        Number of rounds of a repeated job; 0: run the steps once, immediately.
    `first_due_ms`, `interval_ms`
        Due time of the first round, in milliseconds since the epoch, and the
        interval between rounds, in milliseconds.
    """

    payload: str
    steps: tuple[Step, ...]
    times: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


def check_spec(spec):
    """Raise `HingepitchError` (`bad_job`) unless `spec` can be scheduled."""
    if not 0 < len(spec.steps) <= MAX_STEPS:
        raise HingepitchError("bad_job", f"expected 1 to {MAX_STEPS} steps")
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        raise HingepitchError("bad_job", f"more than {MAX_TASKS} tasks")
    if not 0 <= spec.times <= MAX_TIMES:
        raise HingepitchError("bad_job", f"times over {MAX_TIMES}")
    if min(spec.first_due_ms, spec.interval_ms) < 0:
        raise HingepitchError("bad_job", "a negative time")
    for number, step in enumerate(spec.steps):
        check_step(number, step)


def check_step(number, step):
    """Raise `HingepitchError` (`bad_job`) unless step `number` is valid."""
    sizes = (step.cpu_millicores, step.memory_mb, step.accelerators, step.estimate_ms)
    if step.count < 1:
        raise HingepitchError("bad_job", f"step {number}: no tasks")
    if min(*sizes, step.max_per_minion, step.target_ms) < 0:
        raise HingepitchError("bad_job", f"step {number}: a negative size")
    if any(not 0 <= earlier < number for earlier in step.after):
        raise HingepitchError("bad_job", f"step {number}: not after an earlier step")


def critical_path_ms(steps, expected_ms):
    """Return the length of the critical path through `steps`, in milliseconds.

    `expected_ms`
        Function that maps a step to the expected run time of one of its tasks.
    """
    ends = []
    for step in steps:
        begin = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(begin + expected_ms(step))
    return max(ends, default=0)


def critical_path_from_ms(steps, first, expected_ms):
    """Return the length of the critical path from step `first`, in milliseconds."""
    ends = {first: expected_ms(steps[first])}
    for number in range(first + 1, len(steps)):
        begins = [ends[earlier] for earlier in steps[number].after if earlier in ends]
        if begins:
            ends[number] = max(begins) + expected_ms(steps[number])
    return max(ends.values())


def format_task(key):
    """Return the name of a task, as used in log lines and by minions."""
    return f"{key.job}.{key.round}.{key.step}.{key.index}"
