"""
hingepitch.jobs.restart
~~~~~~~~~~~~~~~~~~~~~~~

Pauses before tasks that last and end at once are started again.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["RestartBook"]

#: A task that lasts and ran for less than this has ended at once, in seconds.
QUICK_SECONDS = 1.5

#: Pause before the second start after ends at once, doubled with each further
#: one, and the longest one, in seconds: a task must not be away for longer.
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 2.0
MOST_DOUBLINGS = 8

#: Tasks remembered at most; those whose pause ends first are forgotten.
MAX_TASKS = 4096


@dataclass(slots=True)
class Pause:
    """How often a task has ended at once in a row, and until when it waits."""

    ends: int = 0
    until: float = 0.0


class RestartBook:
    """The tasks that end as soon as they are started; times in one clock.

    Kept in the leader's memory: another leader starts them once more without
    a pause.
    """

    def __init__(self):
        self.pause_by_task = {}

    def note_end(self, task, ran_seconds, now):
        """Note that a run of a task that lasts ended by itself."""
        if ran_seconds >= QUICK_SECONDS:
            self.pause_by_task.pop(task, None)
            return
        pause = self.pause_by_task.setdefault(task, Pause())
        pause.ends += 1
        pause.until = now + pause_seconds(pause.ends)
        while len(self.pause_by_task) > MAX_TASKS:
            self.forget_one()

    def forget_one(self):
        """Forget the task whose pause ends first."""
        del self.pause_by_task[
            min(self.pause_by_task, key=lambda task: self.pause_by_task[task].until)
        ]

    def paused(self, now):
        """Return the tasks that are not to be started yet."""
        return {task for task, one in self.pause_by_task.items() if now < one.until}


def pause_seconds(ends):
    """Return the pause after so many ends at once in a row."""
    if ends < 2:
        return 0.0
    doubled = FIRST_PAUSE_SECONDS * 2 ** min(ends - 2, MOST_DOUBLINGS)
    return min(doubled, LONGEST_PAUSE_SECONDS)
