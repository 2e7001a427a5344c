"""
hingepitch.jobs.restart
~~~~~~~~~~~~~~~~~~~~~~~

Backoff for restarts of long-running tasks that end right after their start.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["RestartBackoff"]

#: A run of a long-running task shorter than this, in seconds, is a quick exit.
QUICK_EXIT_SECONDS = 1.5

#: The first and the longest pause, in seconds. The pause starts with the second
#: quick exit in a row and doubles with each further one; the limit bounds how long
#: a task is unavailable.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_DOUBLINGS = 8

#: Limit of tasks that are kept; those whose pause ends first are evicted.
MAX_TASKS = 4096


@dataclass(slots=True)
class Backoff:
    """The number of quick exits of a task in a row, and the end of its pause."""

    ends: int = 0
    until: float = 0.0


class RestartBackoff:
    """Tracks long-running tasks with quick exits and delays their restarts.

    All times are on one clock, in seconds. The state is in the leader's memory
    only: a new leader starts each task once without a pause.
    """

    def __init__(self):
        self.backoff_by_task = {}

    def note_end(self, task, ran_seconds, now):
        """Record that a run of a long-running task ended by itself."""
        if ran_seconds >= QUICK_EXIT_SECONDS:
            self.backoff_by_task.pop(task, None)
            return
        pause = self.backoff_by_task.setdefault(task, Backoff())
        pause.ends += 1
        pause.until = now + backoff_seconds(pause.ends)
        while len(self.backoff_by_task) > MAX_TASKS:
            self.evict_one()

    def evict_one(self):
        """Evict the task whose pause ends first."""
        del self.backoff_by_task[
            min(self.backoff_by_task, key=lambda task: self.backoff_by_task[task].until)
        ]

    def paused(self, now):
        """Return the tasks that must not be started yet."""
        return {task for task, one in self.backoff_by_task.items() if now < one.until}


def backoff_seconds(ends):
    """Return the pause, in seconds, after `ends` quick exits in a row."""
    if ends < 2:
        return 0.0
    doubled = INITIAL_BACKOFF_SECONDS * 2 ** min(ends - 2, MAX_DOUBLINGS)
    return min(doubled, MAX_BACKOFF_SECONDS)
