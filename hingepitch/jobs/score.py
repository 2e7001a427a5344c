"""
hingepitch.jobs.score
~~~~~~~~~~~~~~~~~~~~~

The choice of a minion for a task: pure functions over a planning pass.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.jobs.cold import rank_cold

__all__ = ["best_minion", "stays_best"]


def best_minion(work, key, step, candidates, is_suspect=False, avoided=()):
    """Return the best minion for one more task of a step, or None if none fits."""
    task_counts = work.task_counts(key)
    takes_cold_last = work.takes_cold_last(key)
    hall_counts = work.hall_counts(key, step)
    best = None
    best_score = None
    for minion in candidates:
        if step.max_per_minion and task_counts.get(minion.id, 0) >= step.max_per_minion:
            continue
        used = work.usage(minion)
        if not used.fits(minion, step):
            continue
        cold_rank = rank_cold(work, minion) if takes_cold_last else 0.0
        hall_count = hall_counts.get(minion.hall, 0)
        score = score_minion(
            work, step, minion, used, is_suspect, avoided, cold_rank, hall_count
        )
        if best is None or score < best_score:
            best, best_score = minion, score
    return best


def stays_best(work, key, step, minion):
    """Whether the best minion for a task of a step is the best for the next one, too.

    That holds while it fits, as it is now fuller than before: all other preferences
    are the same for all tasks of a step, but for the spread over halls. Suspected
    tasks, and tasks that crashed a minion, are not like the others of their step.
    """
    if work.hall_counts(key, step):
        return False
    if step.max_per_minion and work.task_counts(key)[minion.id] >= step.max_per_minion:
        return False
    return work.usage(minion).fits(minion, step)


def score_minion(work, step, minion, used, is_suspect, avoided, cold_rank, hall_count):
    """Return the score of a minion for one more task of `step`; the lowest is best.

    Preferences, in this order:

    - A VM outside `avoided`, on which the task has not crashed a minion yet.
    - A warm minion, unless the step takes cold ones like others: they are slower than
      a minion in another rack than the data.
    - A minion in the rack that holds the data.
    - For a long-running task, a VM without pending maintenance, which would
      evict it again; the tasks of a step are evicted one at a time.
    - The lowest penalty.
    - For a long-running task, the hall with the fewest tasks of its step, if the
      settings ask for that: the loss of one hall then takes few of them.
    - The least free CPU, so that idle minions stay idle and can be lent. A
      suspect gets the most free CPU instead, where a crash affects the fewest
      other runs.
    """
    utilization = used.cpu_millicores / max(1, minion.cpu_millicores)
    return (
        minion.vm in avoided,
        cold_rank,
        bool(step.data_rack) and minion.rack != step.data_rack,
        step.lasts and minion.vm in work.vms_due,
        work.plan_context.penalty_by_minion.get(minion.id, 0.0),
        hall_count,
        utilization if is_suspect else -utilization,
    )
