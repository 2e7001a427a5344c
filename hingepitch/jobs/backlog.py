"""
hingepitch.jobs.backlog
~~~~~~~~~~~~~~~~~~~~~~~

Measures the work that is ahead of a new job in its pool, in the order of urgency.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from bisect import bisect_left, insort
from copy import copy
from dataclasses import dataclass, field
from itertools import accumulate
from math import inf
from random import Random
from typing import NamedTuple

from hingepitch.jobs.accounts.ledger import NO_QUOTA
from hingepitch.jobs.arrival import work_core_ms
from hingepitch.jobs.due import decided_wait_ms, due_ms, is_late
from hingepitch.jobs.load import PoolLoad, add_minion
from hingepitch.jobs.spec import critical_path_ms

__all__ = [
    "PoolBacklog",
    "QuotaBudget",
    "Rank",
    "WaitingJob",
    "measure_backlogs",
    "waiting_job",
    "within_quota",
]

#: Number of rounds above which a sample of them is measured: the event loop stands
#: still during a measurement.
MAX_MEASURED_ROUNDS = 1000


class Rank(NamedTuple):
    """Place of a job in the order of urgency, as `plan.urgency` orders its steps.

    `due_ms`
        Its deadline, in milliseconds since the epoch.
    """

    priority: int
    is_excess: bool
    is_late: bool
    due_ms: float


class WaitingJob(NamedTuple):
    """The work of a job that waits.

    `core_ms`
        Its work, in core-milliseconds.
    `millicores`
        What its widest step uses.
    """

    rank: Rank
    core_ms: float
    millicores: float = 0.0


class OpenRun(NamedTuple):
    """A run of a task that will end.

    `route`
        The route of its queue.
    `started_ms`
        Time of its start, in milliseconds since the epoch.
    """

    route: tuple
    step: object
    started_ms: int
    millicores: float


@dataclass(slots=True)
class PoolBacklog:
    """The work of one pool at one moment, and what was accepted since.

    `now_ms`
        Time of the measurement, in milliseconds since the epoch.
    `durations`
        The `Durations`, for `runs`.
    `load`
        The `PoolLoad`, with the capacity of its minions.
    `lasting`
        Millicores that long-running tasks use or wait for.
    `open_runs`
        The `OpenRun` of each run that will end.
    `running`
        Sum of the millicores of `open_runs`.
    `waiting`
        The `WaitingJob`s; sorted after `seal`.
    `waiting_millicores`
        What the tasks that are ready would use if all of them ran.
    `work_until`
        Work of the first jobs of `waiting` by their number, in core-milliseconds.
    `recent`
        The `WaitingJob`s that were accepted since, sorted.
    """

    now_ms: int = 0
    durations: object = None
    load: PoolLoad = field(default_factory=PoolLoad)
    lasting: int = 0
    open_runs: list[OpenRun] = field(default_factory=list)
    running: float = 0
    waiting: list[WaitingJob] = field(default_factory=list)
    waiting_millicores: int = 0
    work_until: list[float] = field(default_factory=list)
    recent: list[WaitingJob] = field(default_factory=list)

    @property
    def room(self):
        """Millicores of the pool that long-running tasks leave."""
        return max(0, self.load.room - self.lasting)

    @property
    def runs(self):
        """The remaining milliseconds and the millicores of each open run."""
        for route, step, started_ms, millicores in self.open_runs:
            expected_ms = self.durations.expected_ms(route, step)
            elapsed_ms = max(0, self.now_ms - started_ms)
            yield max(0.0, expected_ms - elapsed_ms), millicores

    @property
    def free(self):
        """Millicores that neither runs nor ready tasks will use."""
        return self.room - self.running - self.waiting_millicores

    def seal(self):
        """Sort the waiting jobs once all of them are there."""
        self.waiting.sort()
        works = (job.core_ms for job in self.waiting)
        self.work_until = list(accumulate(works, initial=0.0))

    def add_recent(self, job):
        """Add a job that was accepted after the measurement."""
        insort(self.recent, job)
        self.waiting_millicores += job.millicores

    def remove_recent(self, job):
        """Remove a job that was not accepted after all."""
        if job in self.recent:
            self.recent.remove(job)
            self.waiting_millicores -= job.millicores

    def place(self, rank):
        """Return the number of jobs of `waiting` that are ahead of a new job.

        Those of the same rank are: they became ready before it.
        """
        return bisect_left(self.waiting, WaitingJob(rank, inf))

    def recent_ahead(self, rank):
        """Return the work of the recent jobs ahead of a rank, in core-milliseconds."""
        count = bisect_left(self.recent, WaitingJob(rank, inf))
        return sum(job.core_ms for job in self.recent[:count])

    def work_ahead(self, rank):
        """Return the waiting work ahead of a rank, in core-milliseconds."""
        return self.work_until[self.place(rank)] + self.recent_ahead(rank)


class QuotaBudget:
    """What the quotas of accounts still allow in the course of one measurement.

    `ledger`
        The `AccountLedger`.
    `usage_by_account`
        `AccountUsage` of the runs and of the waiting tasks that were taken.
    `core_ms_by_account`
        Work that was taken, in core-milliseconds.
    """

    def __init__(self, ledger):
        self.ledger = ledger
        self.usage_by_account = {}
        self.core_ms_by_account = {}

    def has_limit(self, account):
        """Whether an account, empty for none, has a quota."""
        return bool(account) and self.ledger.quota(account) != NO_QUOTA

    def take_tasks(self, account, step, waiting):
        """Return how many of the waiting tasks of `step` may start; count them."""
        if not self.has_limit(account):
            return waiting
        quota = self.ledger.quota(account)
        usage = self.usage_by_account.get(account)
        if usage is None:
            usage = self.usage_by_account[account] = copy(self.ledger.usage(account))
        count = usage.room(quota, step, waiting)
        usage.add(step, count)
        return count

    def take_work(self, account, core_ms, horizon_ms):
        """Return the part of a job's work that can be ahead of other accounts.

        An account does no more work within `horizon_ms` than its quota allows.
        """
        limit = self.ledger.quota(account).cpu_millicores
        if not limit:
            return core_ms
        taken = self.core_ms_by_account.get(account, 0.0)
        core_ms = min(core_ms, max(0.0, limit * horizon_ms / 1000 - taken))
        self.core_ms_by_account[account] = taken + core_ms
        return core_ms


def amount_of(step, load):
    """Return the millicores of a task, or the share of memory if that is larger."""
    from_memory = step.memory_mb * load.room / load.room_mb if load.room_mb else 0
    return max(step.counted_millicores, from_memory)


def waiting_job(rank, spec, load, expected_ms):
    """Return the `WaitingJob` of a new job with a `JobSpec`."""

    def millicores_of(step):
        return amount_of(step, load)

    widest = max(step.count * millicores_of(step) for step in spec.steps)
    return WaitingJob(rank, work_core_ms(spec, expected_ms, millicores_of), widest)


def within_quota(work, account, spec, load, quotas, horizon_ms):
    """Return the part of the `WaitingJob` of a new job that a quota allows; count it.

    Arguments as for `waiting_job` and `QuotaBudget.take_work`.
    """
    if not quotas.has_limit(account):
        return work
    widest = max(spec.steps, key=lambda step: step.count * amount_of(step, load))
    startable = quotas.take_tasks(account, widest, widest.count)
    return WaitingJob(
        work.rank,
        quotas.take_work(account, work.core_ms, horizon_ms),
        startable * amount_of(widest, load),
    )


def measure_backlogs(table, now_ms, durations, is_excess, quotas):
    """Return the `PoolBacklog` of each pool by name.

    Walks all open work once; of a long backlog, a sample stands for the whole.

    `now_ms`
        The current time, in milliseconds since the epoch.
    `is_excess`
        Function from the id of a job to whether it is beyond its account's rate.
    `quotas`
        A new `QuotaBudget`.
    """
    backlog_by_pool = {}
    for minion in table.minion_by_id.values():
        if minion.hall not in table.cordons:
            backlog = backlog_by_pool.setdefault(
                minion.pool, PoolBacklog(now_ms, durations)
            )
            add_minion(backlog.load, table, minion)
    for run in table.run_by_task.values():
        add_run(backlog_by_pool, table, run)
    for key, weight in sample_rounds(table):
        add_job(
            backlog_by_pool, table, key, now_ms, durations, is_excess, quotas, weight
        )
    for backlog in backlog_by_pool.values():
        backlog.seal()
    return backlog_by_pool


def sample_rounds(table):
    """Yield a step of each measured round and how many rounds it stands for.

    Rounds with long-running tasks are all measured: one of them may fill a pool.
    """
    others = []
    for key in first_steps(table):
        job = table.job_by_id.get(key[0])
        if job and any(step.lasts for step in job.spec.steps):
            yield key, 1
        else:
            others.append(key)
    count = len(others)
    if count > MAX_MEASURED_ROUNDS:
        # Random, since every n-th round may be of the same account.
        others = Random(count).sample(others, MAX_MEASURED_ROUNDS)
    for key in others:
        yield key, count / len(others)


def first_steps(table):
    """Return one step of each round that has ready steps or runs."""
    step_by_round = {}
    for key in table.ready_steps:
        step_by_round.setdefault(key[:2], key)
    for run in table.run_by_task.values():
        step_by_round.setdefault(run.task[:2], run.task[:3])
    return step_by_round.values()


def add_run(backlog_by_pool, table, run):
    """Add a run to the backlog of its pool, unless its minion takes no new runs."""
    minion = table.minion_by_id.get(run.minion)
    job = table.job_by_id.get(run.task.job)
    if minion is None or job is None:
        return
    backlog = backlog_by_pool.get(minion.pool)
    is_closed = minion.is_draining or minion.hall in table.cordons
    if backlog is None or is_closed:
        return
    step = job.spec.steps[run.task.step]
    amount = amount_of(step, backlog.load)
    if step.lasts:
        backlog.lasting += amount
        return
    route = table.current_queue(job).route
    backlog.open_runs.append(OpenRun(route, step, run.started_ms, amount))
    backlog.running += amount


def add_job(
    backlog_by_pool, table, step_key, now_ms, durations, is_excess, quotas, weight
):
    """Add the waiting work of a round, later steps included, to its pool's backlog.

    `quotas`
        The `QuotaBudget` of this measurement.
    `weight`
        Number of rounds that this one stands for.
    """
    job_id, round_number, step_number = step_key
    job = table.job_by_id.get(job_id)
    opened = job and job.round_by_number.get(round_number)
    if not opened:
        return
    queue = table.current_queue(job)
    backlog = backlog_by_pool.get(queue.pool)
    if backlog is None:
        return
    core_ms = widest = 0.0
    for number, step in enumerate(job.spec.steps):
        if not opened.left_by_step[number] or not backlog.load.can_hold(step):
            continue
        runs = table.run_counts_by_step.get((job_id, round_number, number), {})
        waiting = weight * max(0, opened.left_by_step[number] - sum(runs.values()))
        amount = waiting * amount_of(step, backlog.load)
        if step.lasts:
            startable = quotas.take_tasks(job.account, step, waiting)
            backlog.lasting += startable * amount_of(step, backlog.load)
            continue
        widest = max(widest, amount / weight)
        core_ms += amount * durations.expected_ms(queue.route, step) / 1000
        if (job_id, round_number, number) in table.ready_steps:
            startable = quotas.take_tasks(job.account, step, waiting)
            backlog.waiting_millicores += startable * amount_of(step, backlog.load)
    if quotas.has_limit(job.account):
        chain_ms = critical_path_ms(
            job.spec.steps, durations.queue_estimator(queue.route)
        )
        horizon_ms = decided_wait_ms(queue, chain_ms, durations)
        core_ms = quotas.take_work(job.account, core_ms, horizon_ms)
    if core_ms:
        late = is_late(queue, job, round_number, step_number, now_ms, durations)
        due = due_ms(queue, job, round_number, durations)
        rank = Rank(queue.priority, is_excess(job_id), late, due)
        backlog.waiting.append(WaitingJob(rank, core_ms, widest))
