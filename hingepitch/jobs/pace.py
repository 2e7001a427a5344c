"""
hingepitch.jobs.pace
~~~~~~~~~~~~~~~~~~~~

Throttling of tasks that use spare CPU time (`fills_spare_cpu`), so that they
do not slow down the serving tasks on the same minion.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["ServingTask", "next_percent"]

FULL_PERCENT = 100

#: Fractions of a serving task's target latency: from `STOP_PART` on, the fillers
#: (tasks that use spare CPU time) on its minion are paused; below `SPEED_UP_PART`,
#: they may work faster. The tail latency is a rough estimate over half a second, so
#: both keep a margin.
STOP_PART = 0.8
SPEED_UP_PART = 0.5

#: Increase of the fillers' pace per status poll, in percentage points.
STEP_PERCENT = 25


@dataclass(frozen=True, slots=True)
class ServingTask:
    """A serving task on the same minion as a filler.

    `tail_ms`
        Its current tail latency.
    `target_ms`
        The highest tail latency that it should have; 0 means no limit.
    """

    tail_ms: int
    target_ms: int


def next_percent(percent, serving_tasks):
    """Return the new pace of the fillers on a minion, in percent.

    `percent`
        Their current pace.
    `serving_tasks`
        The serving tasks on the minion, from the last status poll.
    """
    parts = [one.tail_ms / one.target_ms for one in serving_tasks if one.target_ms]
    worst = max(parts, default=0.0)
    if worst >= STOP_PART:
        return 0
    if worst < SPEED_UP_PART:
        return min(FULL_PERCENT, percent + STEP_PERCENT)
    return percent
