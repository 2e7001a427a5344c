"""
hingepitch.jobs.rack
~~~~~~~~~~~~~~~~~~~~

Placement of `same_rack` steps, whose tasks should share one rack, and how long
such a step waits for a rack: pure functions over a planning pass.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.jobs.usage import ResourceUsage

__all__ = ["minions_for_one_rack", "slots_on"]

#: Longest wait for a rack, in milliseconds, whatever time it would save. An accepted
#: job must start within 3 s where there is free capacity, and the planning pass and
#: the order need part of that.
MAX_WAIT_MS = 2000


def minions_for_one_rack(work, job, key, candidates, count):
    """Return the minions that `count` tasks of a `same_rack` step may use now.

    These are the minions of one rack: the rack that already has tasks of the
    step, else the rack with the most free capacity. If that rack cannot take
    all tasks, the step waits for it while `is_wait_worthwhile`; after that its
    tasks are spread over all `candidates`.
    """
    step = job.spec.steps[key[2]]
    current = rack_in_use(work, key)
    racks = group_by_rack(candidates)
    if current is not None:
        racks = {current: racks.get(current, [])}
    best = max(racks.values(), key=lambda one: free_slots(work, step, one), default=[])
    if free_slots(work, step, best) >= count:
        return best
    if is_wait_worthwhile(work, job, key, racks.values(), count):
        return best if current is not None else []
    return candidates


def rack_in_use(work, key):
    """Return the rack that already has tasks of a step, or None."""
    for minion_id, count in work.task_counts(key).items():
        minion = work.table.minion_by_id.get(minion_id)
        if count and minion is not None:
            return minion.rack
    return None


def group_by_rack(minions):
    """Return the minions by rack."""
    racks = {}
    for minion in minions:
        racks.setdefault(minion.rack, []).append(minion)
    return racks


def is_wait_worthwhile(work, job, key, racks, count):
    """Whether waiting for one of `racks` takes less time than it saves.

    Tasks that are spread over racks take `cross_rack_slowdown` times as long, so the
    wait is limited by the time saved, and by `MAX_WAIT_MS`. At least one rack
    must be able to take the step once its other tasks end; long-running tasks
    never do. A long-running step does not wait, since its absence would cost as
    much as it gains.
    """
    step = job.spec.steps[key[2]]
    if step.lasts:
        return False
    plan_context = work.plan_context
    route = work.table.current_queue(job).route
    saved_ms = (
        plan_context.cross_rack_slowdown - 1
    ) * plan_context.durations.expected_ms(route, step)
    if plan_context.rack_waited_ms_by_step.get(key, 0) > min(saved_ms, MAX_WAIT_MS):
        return False
    return any(potential_slots(work, step, minions) >= count for minions in racks)


def free_slots(work, step, minions):
    """Return how many tasks of `step` fit on `minions` now."""
    return sum(slots_on(step, one, work.usage(one)) for one in minions)


def potential_slots(work, step, minions):
    """Return how many tasks of `step` would fit once all but long-running runs end."""
    return sum(slots_on(step, one, lasting_usage(work.table, one)) for one in minions)


def lasting_usage(table, minion):
    """Return the resources that long-running tasks use on a minion."""
    used = ResourceUsage()
    for run in table.runs_by_minion.get(minion.id, {}).values():
        job = table.job_by_id.get(run.task.job)
        if job is not None and job.is_open and job.spec.steps[run.task.step].lasts:
            used.add(run)
    return used


def slots_on(step, minion, used):
    """Return how many tasks of `step` fit on `minion`.

    `used`
        `ResourceUsage` of the runs on the minion that count as present.
    """
    free = (
        (minion.cpu_millicores - used.cpu_millicores, step.counted_millicores),
        (minion.memory_mb - used.memory_mb, step.memory_mb),
        (minion.accelerators - used.accelerators, step.accelerators),
    )
    slots = min((have // need for have, need in free if need), default=step.count)
    return min(slots, step.max_per_minion or slots, step.count)
