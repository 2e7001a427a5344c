"""
hingepitch.jobs.drainorder
~~~~~~~~~~~~~~~~~~~~~~~~~~

Which VMs of a maintenance wave have to be drained early: pure functions over the job
table.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter

__all__ = ["find_urgent_vms"]

#: Time in which a long-running task is stopped, started on another minion and at work
#: again, in seconds.
TASK_MOVE_SECONDS = 0.8


def find_urgent_vms(table, vms, draining, seconds):
    """Return the VMs that have to be drained now for a wave to end in time.

    The tasks of a step with a disruption budget leave one after another, also if they
    are on different VMs. Drained last, a few VMs with many tasks of one step hold up
    the whole wave. So a step whose tasks take longer than the wave has left always has
    a VM that is being drained: the one with the fewest of its tasks.

    `vms`
        The VMs of the wave that wait for their maintenance.
    `draining`
        Those of them that are being drained.
    `seconds`
        The time that is left to drain VMs.
    """
    counts_by_vm = {vm: count_budgeted_tasks(table, vm) for vm in vms}
    total_by_step = sum(counts_by_vm.values(), Counter())
    critical = {
        step_key
        for step_key, total in total_by_step.items()
        if total / budget(table, step_key) * TASK_MOVE_SECONDS > seconds
    }
    for vm in draining:
        critical -= counts_by_vm.get(vm, Counter()).keys()
    others = [vm for vm in vms if vm not in draining]
    return {least_loaded(counts_by_vm, others, key) for key in critical} - {None}


def count_budgeted_tasks(table, vm):
    """Return the number of long-running tasks on a VM by step with a budget."""
    counts = Counter()
    for task in table.runs_by_minion.get(table.life_by_vm.get(vm), {}):
        step = find_step(table, task[:3])
        if step is not None and step.lasts and step.max_away is not None:
            counts[task[:3]] += 1
    return counts


def find_step(table, step_key):
    """Return a step of an open job, or None."""
    job = table.job_by_id.get(step_key[0])
    return job.spec.steps[step_key[2]] if job is not None and job.is_open else None


def budget(table, step_key):
    """Return how many tasks of a step may be away at once."""
    return max(1, find_step(table, step_key).max_away)


def least_loaded(counts_by_vm, vms, step_key):
    """Return the VM with the fewest tasks of a step, or None if no VM has any."""
    candidates = [vm for vm in vms if counts_by_vm[vm][step_key]]
    return min(
        candidates, key=lambda vm: (counts_by_vm[vm][step_key], vm), default=None
    )
