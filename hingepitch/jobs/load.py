"""
hingepitch.jobs.load
~~~~~~~~~~~~~~~~~~~~

How loaded each pool is: what its minions have, what runs, what waits.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

from hingepitch.jobs.record import TaskStatus

__all__ = ["PoolLoad", "measure_pools"]


@dataclass(slots=True)
class PoolLoad:
    """The load of one pool, in millicores.

    `room`
        Of all minions that are not draining.
    `running`
        Asked for by the runs that go on; `lasting` is its part that serves.
    `waiting`
        Asked for by tasks whose turn has come.
    """

    minions: int = 0
    room: int = 0
    running: int = 0
    lasting: int = 0
    waiting: int = 0
    waiting_tasks: int = 0


def measure_pools(table):
    """Return the `PoolLoad` of each pool, by name."""
    load_by_pool = {}
    for minion in table.minion_by_id.values():
        load = load_by_pool.setdefault(minion.pool, PoolLoad())
        if not minion.is_draining:
            load.minions += 1
            load.room += minion.cpu_millicores
        load.running += table.taken_by_minion[minion.id].cpu_millicores
    for job_id, round_number, step_number in table.ready_steps:
        job = table.job_by_id[job_id]
        step = job.spec.steps[step_number]
        tasks = job.round_by_number[round_number].tasks_by_step[step_number]
        count = sum(task.status is TaskStatus.WAITING for task in tasks)
        load = load_by_pool.setdefault(table.policy(job).pool, PoolLoad())
        load.waiting += count * step.counted_millicores
        load.waiting_tasks += count
    for run in table.run_by_task.values():
        job = table.job_by_id.get(run.task.job)
        minion = table.minion_by_id.get(run.minion)
        if job and minion and job.spec.steps[run.task.step].lasts:
            load_by_pool[minion.pool].lasting += run.counted_millicores
    return load_by_pool
