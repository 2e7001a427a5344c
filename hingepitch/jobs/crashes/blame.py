"""
hingepitch.jobs.crashes.blame
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Determines which runs may have crashed a minion, from what its agent observed.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.jobs.agents.runview import RunViewStatus
from hingepitch.jobs.crashes.crash import NO_BLAME, Blame, Suspicion
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import format_task
from hingepitch.log import log_event

__all__ = [
    "blame_of",
    "is_stable",
    "is_starting",
    "log_crash",
    "log_abandoned_jobs",
    "unobserved_blame",
]

#: A run observed for this long after its start, in seconds, has not crashed its
#: minion by starting.
SETTLE_SECONDS = 0.25

#: A long-running task that has run for this long, in seconds, is not suspected of
#: a crash: minions also crash for other reasons, and it outlives many of them.
STABLE_SECONDS = 10.0

#: Two minions may have crashed from one cause if they become unresponsive within
#: this time, in seconds, in addition to the time in which each may have crashed.
SIMULTANEITY_SECONDS = 0.03

#: A crashed minion is detected within this time, in seconds: the longest poll
#: plus the time for its answer.
MAX_DETECTION_SECONDS = 1.5

#: Minimum number, and minimum fraction of a pool's minions, that must become
#: unresponsive at the same time to count as lost from one common cause, instead of
#: a crash by one task on each.
MIN_COMMON_CAUSE_LOSSES = 3
COMMON_CAUSE_FRACTION = 1 / 4

#: Number of crashes under a task before the first that may count as caused by it alone.
MIN_CRASHES_BEFORE_PROOF = 2

#: Statuses of runs that, as far as is known, are not on their minion.
ABSENT_STATUSES = frozenset(
    (RunViewStatus.FRESH, RunViewStatus.STOPPED, RunViewStatus.REFUSED)
)

#: Limit of tasks named in one log line.
LISTED_TASKS = 24


def is_starting(view, now):
    """Whether a run has been observed for less than `SETTLE_SECONDS`."""
    return not view.begun_at or now - view.begun_at < SETTLE_SECONDS


def is_stable(view, step, now):
    """Whether a long-running task has been running for `STABLE_SECONDS`."""
    return step.lasts and view.begun_at and now - view.begun_at >= STABLE_SECONDS


def blame_of(agent, agents, now_ms):
    """Return the `Blame` for the end of the minion incarnation of `agent`.

    The end of a draining minion is planned, so it raises no suspicion.

    `agents`
        All agents, used to detect minions that crash at once from a common cause.
    `now_ms`
        Milliseconds since the epoch.
    """
    if agent.minion.is_draining:
        return NO_BLAME
    views = agent.view_by_task.values()
    exposed = [view for view in views if is_exposed(agent, view, now_ms)]
    other_losses = count_simultaneous_losses(agent, agents)
    if has_common_cause(agent, agents, other_losses):
        return Blame(tasks_of(exposed))
    starting = [view for view in exposed if is_starting(view, agent.last_message_at)]
    alone = [] if other_losses else only_suspects(agent, exposed)
    return Blame(tasks_of(exposed), tasks_of(starting), tasks_of(alone))


def unobserved_blame(table, life):
    """Return the `Blame`, with all runs, for an incarnation without an agent."""
    runs = table.runs_by_minion.get(life, {})
    minion = table.minion_by_id.get(life)
    if minion is None or minion.is_draining:
        return NO_BLAME
    is_alone = len(runs) == 1
    alone = tuple(
        task for task in runs if is_alone and may_be_proof(table.crashes, task)
    )
    return Blame(tuple(runs), tuple(runs), alone)


def tasks_of(views):
    """Return the tasks of run views."""
    return tuple(view.run.task for view in views)


def is_exposed(agent, view, now_ms):
    """Whether a run may have been active, and not long enough to be cleared."""
    if view.status in ABSENT_STATUSES or view.has_ended:
        return False
    if view.is_carried_over and not view.begun_at:
        return False
    step = agent.session.step_of(view.run)
    if step is None:
        return False
    if not step.lasts:
        return True
    if not view.begun_at:
        return now_ms - view.run.started_ms < 2 * STABLE_SECONDS * 1000
    return not is_stable(view, step, agent.last_message_at)


def count_simultaneous_losses(agent, agents):
    """Return how many other minions of the pool may have crashed at the same time.

    The times at which the minions became unresponsive are compared, with a margin
    for the time in which this one may have crashed. If another minion may have
    crashed too, no single task can be suspected alone: each minion may have had a
    task that had just started.
    """
    detection_seconds = min(
        agent.unresponsive_since - agent.last_message_at, MAX_DETECTION_SECONDS
    )
    margin = detection_seconds + SIMULTANEITY_SECONDS
    return sum(
        other is not agent
        and other.minion.pool == agent.minion.pool
        and abs(other.unresponsive_since - agent.unresponsive_since) <= margin
        for other in agents
    )


def has_common_cause(agent, agents, other_losses):
    """Whether too many minions were lost at once for a task on each to be the cause.

    Protects the tasks of a rack or hall that loses power: they are recorded as
    exposed only, so that they restart without isolation.
    """
    pool = sum(other.minion.pool == agent.minion.pool for other in agents)
    return other_losses + 1 >= max(
        MIN_COMMON_CAUSE_LOSSES, pool * COMMON_CAUSE_FRACTION
    )


def only_suspects(agent, exposed):
    """Return the views of the one task or gang that can be the cause, or none.

    Runs that had just started are considered first, then isolated ones. A settled
    run that is not isolated is never suspected alone, even if nothing else ran:
    minions also crash for other reasons.
    """
    crashes = agent.session.table.crashes
    starting = [view for view in exposed if is_starting(view, agent.last_message_at)]
    isolated = [
        view
        for view in exposed
        if crashes.suspicion(view.run.task) >= Suspicion.RUNNING
    ]
    suspects = starting or isolated
    groups = {failure_group(agent, view) for view in suspects}
    are_proof = all(may_be_proof(crashes, view.run.task) for view in suspects)
    return suspects if len(groups) == 1 and are_proof else []


def may_be_proof(crashes, task):
    """Whether a further crash under a task may count as one that it alone caused.

    Where minions with one task each crash by chance, two of the crashes strike the
    same task now and then.
    """
    record = crashes.record(task)
    return record is not None and record.crashes >= MIN_CRASHES_BEFORE_PROOF


def failure_group(agent, view):
    """Return the key of a run's gang, or else its task."""
    step = agent.session.step_of(view.run)
    return view.run.task[:3] if step.gang else view.run.task


def log_crash(life, blame):
    """Log the unplanned end of a minion incarnation that had runs."""
    log_event(
        "minion_crashed",
        minion=life,
        runs=len(blame.exposed),
        starting=format_tasks(blame.starting),
        alone=format_tasks(blame.alone),
        exposed=format_tasks(blame.exposed),
    )


def format_tasks(tasks):
    """Return the names of the first `LISTED_TASKS` tasks, for a log line."""
    return " ".join(map(format_task, tasks[:LISTED_TASKS]))


def log_abandoned_jobs(table, life, blame):
    """Log the jobs that failed because of the crash of a minion."""
    for job_id in {task.job for task in blame.exposed}:
        job = table.job_by_id.get(job_id)
        if job is not None and job.status is JobStatus.FAILED:
            tasks = [task for task in blame.exposed if task.job == job_id]
            log_event(
                "job_given_up", job=job_id, minion=life, tasks=format_tasks(tasks)
            )
