"""
hingepitch.jobs.cold
~~~~~~~~~~~~~~~~~~~~

Use of minions that are still slow after their start: pure functions over a
planning pass.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.jobs.due import is_late

__all__ = ["avoids_cold", "rank_cold"]


def rank_cold(work, minion):
    """Return the rank of a minion, the lower the better.

    Cold minions come after all others, the warmest first; 0 is a warm one.
    """
    warmth = work.plan_context.warmth_by_minion.get(minion.id)
    return 0.0 if warmth is None else 2.0 - warmth


def avoids_cold(work, key):
    """Whether the tasks of a step avoid cold minions: its job can still be in time.

    A long-running step has no end to be in time for.
    """
    job = work.table.job_by_id[key[0]]
    if job.spec.steps[key[2]].lasts:
        return False
    context = work.plan_context
    current_queue = work.table.current_queue(job)
    return not is_late(
        current_queue, job, key[1], key[2], context.now_ms, context.durations
    )
