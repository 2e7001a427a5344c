"""
hingepitch.jobs.blame
~~~~~~~~~~~~~~~~~~~~~

Which runs may have crashed a minion, by what its agent saw of them.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

from hingepitch.jobs.runview import RunViewStatus
from hingepitch.jobs.spec import TaskKey

__all__ = ["NO_BLAME", "Blame", "blame_of", "is_starting"]

#: A run that is seen for so long after its start has not crashed its minion by
#: starting, in seconds.
SETTLE_SECONDS = 0.25

#: A task that lasts and was at work for so long is not blamed for a crash, in
#: seconds: minions also crash by chance, and it outlives many of them.
PROVEN_SECONDS = 10.0

#: Runs in one of these are not on their minion, as far as is known.
ABSENT_STATUSES = frozenset((RunViewStatus.FRESH, RunViewStatus.STOPPED))


@dataclass(frozen=True, slots=True)
class Blame:
    """The tasks that may have crashed one life of a minion.

    `exposed`
        Those that may have been running there.
    `starting`
        Those of them whose runs had just started, or were never confirmed.
    """

    exposed: tuple[TaskKey, ...] = ()
    starting: tuple[TaskKey, ...] = ()


NO_BLAME = Blame()


def is_starting(view, now):
    """Whether the run of a view has not been seen for `SETTLE_SECONDS`."""
    return not view.begun_at or now - view.begun_at < SETTLE_SECONDS


def blame_of(agent):
    """Return the `Blame` for the end of the life that `agent` works with.

    A minion that drains ends by plan, whatever runs there.
    """
    if agent.minion.is_draining:
        return NO_BLAME
    exposed = [view for view in agent.view_by_task.values() if is_exposed(agent, view)]
    starting = [view for view in exposed if is_starting(view, agent.heard_at)]
    return Blame(tasks_of(exposed), tasks_of(starting))


def tasks_of(views):
    """Return the tasks of views."""
    return tuple(view.run.task for view in views)


def is_exposed(agent, view):
    """Whether a run may have been going on, and not for long enough to be proven."""
    if view.status in ABSENT_STATUSES or view.has_ended:
        return False
    step = agent.session.step_of(view.run)
    if step is None or not step.lasts or not view.begun_at:
        return True
    return agent.heard_at - view.begun_at < PROVEN_SECONDS
