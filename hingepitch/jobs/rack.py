"""
hingepitch.jobs.rack
~~~~~~~~~~~~~~~~~~~~

Where the tasks of a step go that wants one rack, and how long it waits for
one: pure functions over a planning pass.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.jobs.table import Room

__all__ = ["minions_for_one_rack", "slots_on"]

#: Longest wait for a rack, in milliseconds, whatever it would save. Source: an
#: accepted job has to run within 3 s where there is room, and the pass that
#: starts it and the order take their part of that.
MAX_WAIT_MS = 2000


def minions_for_one_rack(work, job, key, candidates, count):
    """Return the minions that `count` tasks of a step may use now.

    Those of one rack: the one that has tasks of the step already, else the one
    with the most room. While it has no room for all, the step waits for it, and
    only as long as that pays; then it is spread over all `candidates`.
    """
    step = job.spec.steps[key[2]]
    shared = shared_rack(work, key)
    racks = group_by_rack(candidates)
    if shared is not None:
        racks = {shared: racks.get(shared, [])}
    best = max(racks.values(), key=lambda one: free_slots(work, step, one), default=[])
    if free_slots(work, step, best) >= count:
        return best
    if pays_to_wait(work, job, key, racks.values(), count):
        return best if shared is not None else []
    return candidates


def shared_rack(work, key):
    """Return the rack that has tasks of a step already, or None."""
    for minion_id, carried in work.carried(key).items():
        minion = work.table.minion_by_id.get(minion_id)
        if carried and minion is not None:
            return minion.rack
    return None


def group_by_rack(minions):
    """Return the minions of each rack."""
    racks = {}
    for minion in minions:
        racks.setdefault(minion.rack, []).append(minion)
    return racks


def pays_to_wait(work, job, key, racks, count):
    """Whether a step gains if it waits until one of `racks` has room for it.

    Room that tasks hold that last never comes free. Tasks that are spread take
    `far_factor` times as long: a longer wait costs more than it saves. A task
    that lasts gains nothing that its absence would not cost.
    """
    step = job.spec.steps[key[2]]
    if step.lasts:
        return False
    outlook = work.outlook
    place = work.table.policy(job).place
    saved_ms = (outlook.far_factor - 1) * outlook.durations.expected_ms(place, step)
    if outlook.rack_waited_ms_by_step.get(key, 0) > min(saved_ms, MAX_WAIT_MS):
        return False
    return any(slots_in_time(work, step, minions) >= count for minions in racks)


def free_slots(work, step, minions):
    """Return how many tasks of `step` fit on `minions` now."""
    return sum(slots_on(step, one, work.room(one)) for one in minions)


def slots_in_time(work, step, minions):
    """Return how many tasks of `step` fit once all have ended that end."""
    return sum(slots_on(step, one, lasting_room(work.table, one)) for one in minions)


def lasting_room(table, minion):
    """Return the room that tasks take on a minion that last."""
    room = Room()
    for run in table.runs_by_minion.get(minion.id, {}).values():
        job = table.job_by_id.get(run.task.job)
        if job is not None and job.is_open and job.spec.steps[run.task.step].lasts:
            room.add(run)
    return room


def slots_on(step, minion, room):
    """Return how many tasks of `step` fit on `minion` beside what is taken."""
    free = (
        (minion.cpu_millicores - room.cpu_millicores, step.counted_millicores),
        (minion.memory_mb - room.memory_mb, step.memory_mb),
        (minion.accelerators - room.accelerators, step.accelerators),
    )
    slots = min((have // need for have, need in free if need), default=step.count)
    return min(slots, step.max_per_minion or slots, step.count)
