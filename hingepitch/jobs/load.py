"""
hingepitch.jobs.load
~~~~~~~~~~~~~~~~~~~~

Measures the load of each pool: capacity, running work and waiting work.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field

from hingepitch.jobs.due import is_late
from hingepitch.jobs.record import TaskStatus
from hingepitch.jobs.usage import ResourceUsage

__all__ = ["PoolLoad", "measure_pools"]


@dataclass(slots=True)
class PoolLoad:
    """The load of one pool; CPU in millicores, memory in MB (`..._mb`).

    `minions`, `room`, `room_mb`
        Number and total capacity of the minions that are not draining and not in a
        cordoned hall.
    `cordoned`, `cordoned_room`, `cordoned_room_mb`
        The same of the minions in cordoned halls.
    `running`, `running_mb`
        Requested by the runs in progress.
    `lasting`
        Part of `running` that belongs to long-running tasks.
    `waiting`, `waiting_mb`, `waiting_tasks`
        Requested by the waiting tasks of ready steps, and their number. Tasks that
        the quota of their account holds back do not count, since no further minion
        would help them.
    `waiting_for_hall`
        Part of `waiting_tasks` that no minion outside cordoned halls could hold,
        although the pool has some: they wait until a hall is uncordoned.
    `waiting_late`, `waiting_late_mb`
        Part of `waiting` whose jobs can no longer meet their deadline.
    `spread`
        Minions that the widest waiting step needs because of `max_per_minion`.
    `largest`
        The largest CPU, memory and accelerators of any minion, also in cordoned
        halls. Tasks that need more do not count as waiting, since no further minion
        would help them.
    `largest_usable`
        The same of the minions outside cordoned halls.
    """

    minions: int = 0
    room: int = 0
    room_mb: int = 0
    cordoned: int = 0
    cordoned_room: int = 0
    cordoned_room_mb: int = 0
    running: int = 0
    running_mb: int = 0
    lasting: int = 0
    waiting: int = 0
    waiting_mb: int = 0
    waiting_tasks: int = 0
    waiting_for_hall: int = 0
    waiting_late: int = 0
    waiting_late_mb: int = 0
    spread: int = 0
    largest: ResourceUsage = field(default_factory=ResourceUsage)
    largest_usable: ResourceUsage = field(default_factory=ResourceUsage)

    def can_hold(self, step):
        """Whether `step` needs no more than the `largest` minion resources."""
        return is_within(self.largest, step)

    def waits_for_hall(self, step):
        """Whether a task of `step` can only start on a minion in a cordoned hall."""
        return bool(self.minions) and not is_within(self.largest_usable, step)


def measure_pools(table, now_ms, durations):
    """Return the `PoolLoad` of each pool by name.

    `now_ms`
        The current time, in milliseconds since the epoch.
    `durations`
        A `Durations` with the expected run times.
    """
    load_by_pool = {}
    for minion in table.minion_by_id.values():
        add_minion(load_by_pool.setdefault(minion.pool, PoolLoad()), table, minion)
    for step_key in table.ready_steps:
        current_queue = table.current_queue(table.job_by_id[step_key[0]])
        load = load_by_pool.setdefault(current_queue.pool, PoolLoad())
        add_waiting(load, table, current_queue, step_key, now_ms, durations)
    for run in table.lasting_runs.values():
        minion = table.minion_by_id.get(run.minion)
        if minion and run.task.job in table.job_by_id:
            load_by_pool[minion.pool].lasting += run.counted_millicores
    return load_by_pool


def add_minion(load, table, minion):
    """Add a minion and its runs to the load of its pool."""
    used = table.usage_by_minion[minion.id]
    load.running += used.cpu_millicores
    load.running_mb += used.memory_mb
    is_cordoned = minion.hall in table.cordons
    raise_to(load.largest, minion)
    if not is_cordoned:
        raise_to(load.largest_usable, minion)
    if minion.is_draining:
        return
    if is_cordoned:
        load.cordoned += 1
        load.cordoned_room += minion.cpu_millicores
        load.cordoned_room_mb += minion.memory_mb
    else:
        load.minions += 1
        load.room += minion.cpu_millicores
        load.room_mb += minion.memory_mb


def raise_to(largest, minion):
    """Raise each resource of `largest` to that of a minion which has more."""
    largest.cpu_millicores = max(largest.cpu_millicores, minion.cpu_millicores)
    largest.memory_mb = max(largest.memory_mb, minion.memory_mb)
    largest.accelerators = max(largest.accelerators, minion.accelerators)


def is_within(largest, step):
    """Whether a task of `step` needs no more of any resource than `largest`."""
    return (
        step.counted_millicores <= largest.cpu_millicores
        and step.memory_mb <= largest.memory_mb
        and step.accelerators <= largest.accelerators
    )


def add_waiting(load, table, current_queue, step_key, now_ms, durations):
    """Add the waiting tasks of a ready step to the load of its pool."""
    job_id, round_number, step_number = step_key
    job = table.job_by_id[job_id]
    step = job.spec.steps[step_number]
    if not load.can_hold(step):
        return
    tasks = job.round_by_number[round_number].tasks_by_step[step_number]
    waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
    count = table.ledger.room(job.account, step, waiting)
    load.waiting += count * step.counted_millicores
    load.waiting_mb += count * step.memory_mb
    load.waiting_tasks += count
    if load.waits_for_hall(step):
        load.waiting_for_hall += count
    if is_late(current_queue, job, round_number, step_number, now_ms, durations):
        load.waiting_late += count * step.counted_millicores
        load.waiting_late_mb += count * step.memory_mb
    if step.max_per_minion:
        load.spread = max(load.spread, -(-step.count // step.max_per_minion))
