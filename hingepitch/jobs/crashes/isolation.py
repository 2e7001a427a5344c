"""
hingepitch.jobs.crashes.isolation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Isolates tasks suspected of crashing minions: they run apart from all others, so
that a further crash identifies its cause and ends no other run.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field

from hingepitch.jobs.crashes.crash import Suspicion
from hingepitch.jobs.record import TaskStatus
from hingepitch.jobs.spec import TaskKey

__all__ = ["Isolation", "SuspectView", "SuspectWaitTracker", "suspect_view"]

#: Fraction of a pool's minions, at least one minion, that is reserved for
#: suspected tasks while any of them wait.
RESERVED_FRACTION = 1 / 4

#: A suspected task that has found no minion for this long, in seconds, starts next
#: to others: if all minions are busy or too full, neither it nor the other tasks
#: may wait forever.
LONGEST_WAIT_SECONDS = 2.0


@dataclass(slots=True)
class SuspectView:
    """The state of the minions that matters for isolating suspected tasks.

    `starting`
        Minion incarnations on which a run has just started, or may have.
    `held`
        Minion incarnations that a suspected task has to itself.
    `starting_jobs`
        Jobs with a suspected task that has just started.
    `overdue`
        Suspected tasks that have waited for more than `LONGEST_WAIT_SECONDS`.
    """

    starting: set[str] = field(default_factory=set)
    held: set[str] = field(default_factory=set)
    starting_jobs: set[str] = field(default_factory=set)
    overdue: set = field(default_factory=set)


class SuspectWaitTracker:
    """Tracks how long suspected tasks have waited during one leadership.

    `now`
        Function that returns the time of the lease clock, in seconds.
    """

    def __init__(self, now):
        self.now = now
        self.since_by_task = {}

    def overdue(self, waiting):
        """Return those of the `waiting` tasks that have waited for too long."""
        now = self.now()
        self.since_by_task = {
            task: self.since_by_task.get(task, now) for task in waiting
        }
        return {
            task
            for task, since in self.since_by_task.items()
            if now - since > LONGEST_WAIT_SECONDS
        }


class Isolation:
    """Keeps suspected tasks apart from others in one planning pass.

    `crashes`
        The `CrashRegistry`.
    `view`
        A `SuspectView`; the pass adds the tasks that it starts.
    `gang_by_minion`
        The gang whose suspected tasks occupy a minion, by incarnation.
    """

    def __init__(self, table, view):
        self.table = table
        self.crashes = table.crashes
        self.view = view
        self.gang_by_minion = {}
        self.waiting_by_pool = {}
        self.reserved_by_pool = {}
        for job_id in self.crashes.jobs():
            self.count_waiting(job_id)

    def count_waiting(self, job_id):
        """Add the waiting suspected tasks of a job to the count of its pool."""
        job = self.table.job_by_id.get(job_id)
        if job is None or not job.is_open:
            return
        pool = self.table.current_queue(job).pool
        suspects = self.crashes.suspects(job_id)
        waiting = sum(
            self.is_waiting(task) and task not in self.view.overdue for task in suspects
        )
        self.waiting_by_pool[pool] = waiting + self.waiting_by_pool.get(pool, 0)

    def is_waiting(self, key):
        """Whether a task waits in a step that is ready."""
        task = self.table.task(key)
        is_ready = key[:3] in self.table.ready_steps
        return is_ready and task is not None and task.status is TaskStatus.WAITING

    def suspicion(self, key):
        """Return the `Suspicion` of a task; `NONE` if overdue and not `BARRED`."""
        suspicion = self.crashes.suspicion(key)
        if suspicion < Suspicion.BARRED and key in self.view.overdue:
            return Suspicion.NONE
        return suspicion

    @property
    def is_inactive(self):
        """Whether there are no tasks to isolate."""
        return not self.crashes and not self.view.held

    def suspects_first(self, step_key, indexes):
        """Return the task indexes of a step, suspected tasks first.

        Few minions may run suspected tasks. Among these, the ones with the fewest
        runs come first, so that a task that ends and restarts does not keep the
        others waiting.
        """
        job_id = step_key[0]
        if self.is_inactive or job_id not in self.crashes.jobs():
            return indexes
        suspects = {
            task.index for task in self.crashes.suspects(job_id) if task[:3] == step_key
        }

        def rank(index):
            run = self.table.task(TaskKey(*step_key, index)).run
            return (0, run) if index in suspects else (1, 0)

        return sorted(indexes, key=rank)

    def admitted(self, work, key, step, candidates):
        """Return the candidates that isolation allows for a task.

        Free capacity is checked separately.
        """
        if self.is_inactive:
            return candidates
        if self.suspicion(key):
            return self.admitted_suspect(key, step, candidates)
        if not candidates:
            return candidates
        kept = self.view.held | self.reserved(work, candidates[0].pool)
        return [minion for minion in candidates if minion.id not in kept]

    def admitted_suspect(self, key, step, candidates):
        """Return the candidates that may run a suspected task.

        No run has just started on these minions, and no other suspected task has
        one of them to itself.

        Only one suspected task of a job starts at a time: if it is the cause, the
        others need not start. Those of a gang start together and share minions.
        """
        if self.crashes.suspicion(key) is Suspicion.BARRED:
            return []
        gang = key[:3] if step.gang else None
        if gang is None and key.job in self.view.starting_jobs:
            return []
        taken = self.view.starting | self.view.held
        return [
            minion
            for minion in candidates
            if minion.id not in taken
            or (gang and self.gang_by_minion.get(minion.id) == gang)
        ]

    def reserved(self, work, pool):
        """Return the incarnations of a pool reserved for suspected tasks.

        As the pass starts no other tasks there, their runs soon settle, and later
        passes reserve the same minions again.
        """
        if pool not in self.reserved_by_pool:
            self.reserved_by_pool[pool] = self.reserve(work, pool)
        return self.reserved_by_pool[pool]

    def reserve(self, work, pool):
        """Choose minions to reserve: those without a starting run, the least used."""
        minions = work.minions(pool)
        most = max(1, int(len(minions) * RESERVED_FRACTION))
        count = min(self.waiting_by_pool.get(pool, 0), most)
        if not count:
            return set()

        def distance(minion):
            taken = work.usage(minion).cpu_millicores
            return minion.id in self.view.starting, taken, minion.id

        nearest = sorted(minions, key=distance)[:count]
        return {minion.id for minion in nearest}

    def note_start(self, key, step, minion):
        """Record that the pass starts a task on a minion."""
        if self.is_inactive:
            return
        if not self.suspicion(key):
            self.view.starting.add(minion.id)
            return
        self.view.held.add(minion.id)
        self.view.starting_jobs.add(key.job)
        if step.gang:
            self.gang_by_minion[minion.id] = key[:3]


def suspect_view(session):
    """Return the `SuspectView` of a leadership.

    Only pools in which a suspected task waits are scanned for runs that have just
    started: these matter for no other pool.
    """
    table = session.table
    view = SuspectView()
    pools = set()
    waiting = set()
    for job_id in table.crashes.jobs():
        job = table.job_by_id.get(job_id)
        if job is None or not job.is_open:
            continue
        for task in table.crashes.suspects(job_id):
            run = table.run_by_task.get(task)
            if run is None:
                waiting.add(task)
                pools.add(table.current_queue(job).pool)
            else:
                add_suspect_run(view, session, run)
    for life, agent in session.agent_by_minion.items():
        if agent.minion.pool in pools:
            runs = session.runs_of(life).values()
            if any(agent.is_starting(run) for run in runs):
                view.starting.add(life)
    view.overdue = session.suspect_waits.overdue(waiting)
    return view


def add_suspect_run(view, session, run):
    """Add the run of a suspected task to a `SuspectView`."""
    agent = session.agent_by_minion.get(run.minion)
    if agent is None:
        return
    if agent.is_starting(run):
        view.starting_jobs.add(run.task.job)
        view.held.add(run.minion)
    suspicion = session.table.crashes.suspicion(run.task)
    if suspicion >= Suspicion.RUNNING and not agent.is_stable(run):
        view.held.add(run.minion)
