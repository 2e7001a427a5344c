"""
hingepitch.jobs.blame
~~~~~~~~~~~~~~~~~~~~~

Which runs may have crashed a minion, by what its agent saw of them.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.jobs.crash import NO_BLAME, Blame, Suspicion
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.runview import RunViewStatus
from hingepitch.jobs.spec import format_task
from hingepitch.log import log_event

__all__ = [
    "blame_of",
    "is_proven",
    "is_starting",
    "log_crash",
    "log_given_up",
    "unseen_blame",
]

#: A run that is seen for so long after its start has not crashed its minion by
#: starting, in seconds.
SETTLE_SECONDS = 0.25

#: A task that lasts and was at work for so long is not blamed for a crash, in
#: seconds: minions also crash by chance, and it outlives many of them.
PROVEN_SECONDS = 10.0

#: Two minions that fall silent within this time may have one cause, in seconds,
#: beside the time in which each of them may have crashed.
MOMENT_SECONDS = 0.03

#: A minion that has crashed is noticed within this time, in seconds: the longest
#: look and the time for its answer.
UNHEARD_SECONDS = 1.5

#: Minions of one pool that fall silent at one moment have one cause, not one task
#: each: so many, and such a part of the pool.
FEWEST_FALLEN = 3
FALLEN_PART = 1 / 4

#: Runs in one of these are not on their minion, as far as is known.
ABSENT_STATUSES = frozenset((RunViewStatus.FRESH, RunViewStatus.STOPPED))

#: Tasks that one log line names at most.
LISTED_TASKS = 24


def is_starting(view, now):
    """Whether the run of a view has not been seen for `SETTLE_SECONDS`."""
    return not view.begun_at or now - view.begun_at < SETTLE_SECONDS


def is_proven(view, step, now):
    """Whether a task that lasts has been at work for `PROVEN_SECONDS`."""
    return step.lasts and view.begun_at and now - view.begun_at >= PROVEN_SECONDS


def blame_of(agent, agents, now_ms):
    """Return the `Blame` for the end of the life that `agent` works with.

    A minion that drains ends by plan, whatever runs there.

    `agents`
        All agents: minions that crash at one moment have a cause in common.
    `now_ms`
        Milliseconds since the epoch.
    """
    if agent.minion.is_draining:
        return NO_BLAME
    views = agent.view_by_task.values()
    exposed = [view for view in views if is_exposed(agent, view, now_ms)]
    fallen = fallen_at_once(agent, agents)
    if has_common_cause(agent, agents, fallen):
        return Blame(tasks_of(exposed))
    starting = [view for view in exposed if is_starting(view, agent.heard_at)]
    alone = [] if fallen else only_suspects(agent, exposed)
    return Blame(tasks_of(exposed), tasks_of(starting), tasks_of(alone))


def unseen_blame(table, life):
    """Return the `Blame` for a life that nobody has watched: all that ran there."""
    runs = table.runs_by_minion.get(life, {})
    minion = table.minion_by_id.get(life)
    if minion is None or minion.is_draining:
        return NO_BLAME
    return Blame(tuple(runs), tuple(runs), tuple(runs) if len(runs) == 1 else ())


def tasks_of(views):
    """Return the tasks of views."""
    return tuple(view.run.task for view in views)


def is_exposed(agent, view, now_ms):
    """Whether a run may have been going on, and not for long enough to be proven."""
    if view.status in ABSENT_STATUSES or view.has_ended:
        return False
    step = agent.session.step_of(view.run)
    if step is None:
        return False
    if not step.lasts:
        return True
    if not view.begun_at:
        return now_ms - view.run.started_ms < 2 * PROVEN_SECONDS * 1000
    return not is_proven(view, step, agent.heard_at)


def fallen_at_once(agent, agents):
    """Return how many other minions fell silent when this one may have crashed.

    One of them accuses no task alone: each may have one that had just started.
    """
    unheard = min(agent.silent_since - agent.heard_at, UNHEARD_SECONDS)
    margin = unheard + MOMENT_SECONDS
    return sum(
        other is not agent
        and other.minion.pool == agent.minion.pool
        and abs(other.silent_since - agent.silent_since) <= margin
        for other in agents
    )


def has_common_cause(agent, agents, fallen):
    """Whether so many minions fell that no task of each can have done it.

    Protects the tasks of a rack or a hall that loses power: they are exposed, but
    start again beside each other.
    """
    pool = sum(other.minion.pool == agent.minion.pool for other in agents)
    return fallen + 1 >= max(FEWEST_FALLEN, pool * FALLEN_PART)


def only_suspects(agent, exposed):
    """Return the views of the one task or gang that can have done it, or none.

    What had just started goes before what had to be kept from others. What had
    settled and is hardly suspected is not accused, also where nothing else ran:
    minions crash by chance as well.
    """
    crashes = agent.session.table.crashes
    starting = [view for view in exposed if is_starting(view, agent.heard_at)]
    isolated = [
        view
        for view in exposed
        if crashes.suspicion(view.run.task) >= Suspicion.RUNNING
    ]
    suspects = starting or isolated
    groups = {group_of(agent, view) for view in suspects}
    return suspects if len(groups) == 1 else []


def group_of(agent, view):
    """Return what shares the fate of a run: its gang, or its task."""
    step = agent.session.step_of(view.run)
    return view.run.task[:3] if step.gang else view.run.task


def log_crash(life, blame):
    """Log a life of a minion that ended, unplanned, under runs."""
    log_event(
        "minion_crashed",
        minion=life,
        runs=len(blame.exposed),
        starting=format_tasks(blame.starting),
        alone=format_tasks(blame.alone),
        exposed=format_tasks(blame.exposed),
    )


def format_tasks(tasks):
    """Return the names of the first of some tasks."""
    return " ".join(map(format_task, tasks[:LISTED_TASKS]))


def log_given_up(table, life, blame):
    """Log the jobs that were given up for the crash of a life."""
    for job_id in {task.job for task in blame.exposed}:
        job = table.job_by_id.get(job_id)
        if job is not None and job.status is JobStatus.FAILED:
            tasks = [task for task in blame.exposed if task.job == job_id]
            log_event(
                "job_given_up", job=job_id, minion=life, tasks=format_tasks(tasks)
            )
