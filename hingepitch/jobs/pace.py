"""
hingepitch.jobs.pace
~~~~~~~~~~~~~~~~~~~~

How fast tasks that fill spare processor time may work beside tasks that
serve: a pure decision over what one look shows.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Neighbour", "next_percent"]

FULL_PERCENT = 100

#: From this part of its target on, a serving task is in danger and the
#: fillers beside it stop; below the other part they may work faster. Source:
#: the tail is a rough figure of half a second, so both keep a distance.
DANGER_PART = 0.8
CALM_PART = 0.5

#: Percent by which fillers are let go again, a look.
STEP_PERCENT = 25


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A serving task on the same minion.

    `tail_ms`, `target_ms`
        Its tail latency now, and the largest wanted.
    """

    tail_ms: int
    target_ms: int


def next_percent(percent, neighbours):
    """Return the pace of the fillers on a minion after a look."""
    parts = [one.tail_ms / one.target_ms for one in neighbours if one.target_ms]
    worst = max(parts, default=0.0)
    if worst >= DANGER_PART:
        return 0
    if worst < CALM_PART:
        return min(FULL_PERCENT, percent + STEP_PERCENT)
    return percent
