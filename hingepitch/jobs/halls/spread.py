"""
hingepitch.jobs.halls.spread
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How the tasks of a step are spread over halls: pure functions over a planning pass.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__all__ = ["count_by_hall"]


def count_by_hall(work, step_key):
    """Return the number of tasks of a step by hall, planned starts included."""
    counts = {}
    for minion_id, count in work.task_counts(step_key).items():
        minion = work.table.minion_by_id.get(minion_id)
        if minion is not None:
            counts[minion.hall] = counts.get(minion.hall, 0) + count
    return counts
