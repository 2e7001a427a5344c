"""
hingepitch.jobs.plan
~~~~~~~~~~~~~~~~~~~~

Placement of waiting tasks on minions: pure functions over the job table.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field, replace
from functools import cached_property

from hingepitch.jobs.accounts.ledger import AccountUsage
from hingepitch.jobs.cold import avoids_cold
from hingepitch.jobs.command import Start
from hingepitch.jobs.crashes.isolation import Isolation, SuspectView
from hingepitch.jobs.due import due_ms, is_late
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.halls.spread import count_by_hall
from hingepitch.jobs.rack import minions_for_one_rack
from hingepitch.jobs.record import TaskStatus
from hingepitch.jobs.score import best_minion, stays_best
from hingepitch.jobs.spec import TaskKey
from hingepitch.jobs.usage import ResourceUsage

__all__ = ["PlanContext", "plan_starts"]


@dataclass(slots=True)
class PlanContext:
    """Inputs of a planning pass that the job table does not hold.

    `now_ms`
        The current time, in milliseconds since the epoch.
    `usable`
        Incarnations of minions that may take new runs now.
    `penalty_by_minion`
        Placement penalty of each incarnation, from 0 (none) to 1, from its
        recent failures.
    `permitted_by_step`
        Incarnations that may run a step, for queues that require permission.
    `durations`
        Expected run times.
    `cross_rack_slowdown`
        Slowdown of the tasks of a `same_rack` step that are spread over racks.
    `rack_waited_ms_by_step`
        How long each `same_rack` step has waited for a rack.
    `suspects`
        The `SuspectView`, for isolating tasks suspected of crashing minions.
    `paused`
        Tasks that must not be started yet.
    `excess_jobs`
        Jobs that their accounts sent beyond the rate that they may expect.
    `warmth_by_minion`
        The warmth of each cold minion: the part of its warm-up that is over.
    `spreads_over_halls`
        Whether the tasks of a long-running step are spread over halls.
    """

    now_ms: int
    usable: set[str]
    penalty_by_minion: dict[str, float] = field(default_factory=dict)
    permitted_by_step: dict[tuple, set[str]] = field(default_factory=dict)
    durations: Durations = field(default_factory=Durations)
    cross_rack_slowdown: float = 2.0
    rack_waited_ms_by_step: dict[tuple, float] = field(default_factory=dict)
    suspects: SuspectView = field(default_factory=SuspectView)
    paused: set[TaskKey] = field(default_factory=set)
    excess_jobs: set[str] = field(default_factory=set)
    warmth_by_minion: dict[str, float] = field(default_factory=dict)
    spreads_over_halls: bool = False


@dataclass
class PlanningPass:
    """Working state of one planning pass: the table plus the planned starts."""

    table: object
    plan_context: PlanContext
    minions_by_pool: dict[str, list] = field(default_factory=dict)
    used_by_minion: dict[str, ResourceUsage] = field(default_factory=dict)
    placed_by_step: dict[tuple, dict[str, int]] = field(default_factory=dict)
    too_large_by_pool: dict[str, list] = field(default_factory=dict)
    usage_by_account: dict[str, AccountUsage] = field(default_factory=dict)
    avoids_cold_by_step: dict[tuple, bool] = field(default_factory=dict)
    placed_by_hall: dict[tuple, dict[str, int]] = field(default_factory=dict)

    def takes_cold_last(self, step_key):
        """Whether the tasks of a step go to cold minions only after all others."""
        if not self.plan_context.warmth_by_minion:
            return False
        avoids = self.avoids_cold_by_step.get(step_key)
        if avoids is None:
            avoids = self.avoids_cold_by_step[step_key] = avoids_cold(self, step_key)
        return avoids

    @cached_property
    def isolation(self):
        """The `Isolation` that keeps suspected tasks apart in this pass."""
        return Isolation(self.table, self.plan_context.suspects)

    @cached_property
    def vms_due(self):
        """The VMs whose maintenance is still to come."""
        return self.table.vms_due()

    def minions(self, pool):
        """Return the usable minions of a pool outside cordoned halls."""
        if not self.minions_by_pool:
            for minion in self.table.minion_by_id.values():
                if minion.id not in self.plan_context.usable:
                    continue
                if minion.hall in self.table.cordons:
                    continue
                if not self.table.is_leaving(minion):
                    self.minions_by_pool.setdefault(minion.pool, []).append(minion)
        return self.minions_by_pool.get(pool, [])

    def usage(self, minion):
        """Return the resources used on a minion, planned starts included.

        The result must not be changed.
        """
        used = self.used_by_minion.get(minion.id)
        return self.table.usage_by_minion[minion.id] if used is None else used

    def changeable_usage(self, minion):
        """Return what `usage` does, as an object of this pass."""
        used = self.used_by_minion.get(minion.id)
        if used is None:
            used = replace(self.table.usage_by_minion[minion.id])
            self.used_by_minion[minion.id] = used
        return used

    def account_usage(self, account):
        """Return what an account uses, planned starts included."""
        usage = self.usage_by_account.get(account)
        if usage is None:
            usage = replace(self.table.ledger.usage(account))
            self.usage_by_account[account] = usage
        return usage

    def is_at_quota(self, account, step):
        """Whether an account may start no more task of `step`."""
        if not account:
            return False
        quota = self.table.ledger.quota(account)
        return not self.account_usage(account).admits(quota, step)

    def task_counts(self, step_key):
        """Return the number of tasks of a step by minion, planned starts included."""
        counts = self.placed_by_step.get(step_key)
        if counts is None:
            counts = dict(self.table.run_counts_by_step.get(step_key, {}))
            self.placed_by_step[step_key] = counts
        return counts

    def hall_counts(self, step_key, step):
        """Return the number of tasks of a step by hall, planned starts included.

        Empty unless the tasks of the step are spread over halls.
        """
        if not (step.lasts and self.plan_context.spreads_over_halls):
            return {}
        counts = self.placed_by_hall.get(step_key)
        if counts is None:
            counts = self.placed_by_hall[step_key] = count_by_hall(self, step_key)
        return counts

    def reserve(self, step_key, step, minion):
        """Reserve resources on `minion` for one more task of `step`."""
        used = self.changeable_usage(minion)
        used.cpu_millicores += step.counted_millicores
        used.memory_mb += step.memory_mb
        used.accelerators += step.accelerators
        counts = self.task_counts(step_key)
        counts[minion.id] = counts.get(minion.id, 0) + 1
        self.note_in_hall(step_key, minion, 1)
        self.account_usage(self.account_of(step_key)).add(step)

    def note_in_hall(self, step_key, minion, change):
        """Note that the hall of `minion` has so many tasks more of a step."""
        counts = self.placed_by_hall.get(step_key)
        if counts is not None:
            counts[minion.hall] = counts.get(minion.hall, 0) + change

    def account_of(self, step_key):
        """Return the name of the account of a step's job; empty if it has none."""
        return self.table.job_by_id[step_key[0]].account

    def release(self, step_key, step, minion):
        """Release the resources that `reserve` took for one task."""
        self.too_large_by_pool.pop(minion.pool, None)
        used = self.changeable_usage(minion)
        used.cpu_millicores -= step.counted_millicores
        used.memory_mb -= step.memory_mb
        used.accelerators -= step.accelerators
        self.task_counts(step_key)[minion.id] -= 1
        self.note_in_hall(step_key, minion, -1)
        self.account_usage(self.account_of(step_key)).add(step, -1)

    def is_too_large(self, pool, step):
        """Whether this pass has already found no free capacity for such a step.

        True if a step that needs no more than `step` did not fit in the pool.
        Without this check a pass over a backlog of 999 waiting steps took
        47 ms to start nothing, and delayed the other pools.
        """
        return any(
            step.counted_millicores >= other.counted_millicores
            and step.memory_mb >= other.memory_mb
            and step.accelerators >= other.accelerators
            for other in self.too_large_by_pool.get(pool, ())
        )

    def note_too_large(self, pool, step):
        """Record that no minion of a pool has capacity for a task of `step`.

        Only valid for a step without placement restrictions. The record holds
        for the rest of the pass, since capacity only shrinks, unless a gang
        that does not fit releases its reservations.
        """
        self.too_large_by_pool.setdefault(pool, []).append(step)


def plan_starts(table, plan_context):
    """Return `(starts, gangs)` to order now, the most urgent first.

    `starts` holds a `Start` for each single task, `gangs` a tuple of `Start`
    for each gang.
    """
    work = PlanningPass(table, plan_context)
    starts = []
    gangs = []
    for job, round_number, step_number in order_steps(table, plan_context):
        key = (job.id, round_number, step_number)
        placed = list(place_step(work, job, key))
        if job.spec.steps[step_number].gang:
            if placed:
                gangs.append(tuple(placed))
        else:
            starts += placed
    return tuple(starts), tuple(gangs)


def order_steps(table, plan_context):
    """Return `(job, round number, step number)` of the ready steps by urgency."""
    steps = [
        (table.job_by_id[job], number, step) for job, number, step in table.ready_steps
    ]
    steps.sort(key=lambda entry: urgency(table, plan_context, *entry))
    return steps


def urgency(table, plan_context, job, round_number, step_number):
    """Return the sort key of a ready step.

    Orders by priority, then long-running tasks before others, then jobs within
    the rate of their account before others, then jobs that can still meet their
    deadline before late ones, then by deadline.
    """
    current_queue = table.current_queue(job)
    step = job.spec.steps[step_number]
    now_ms, durations = plan_context.now_ms, plan_context.durations
    late = is_late(current_queue, job, round_number, step_number, now_ms, durations)
    due = due_ms(current_queue, job, round_number, durations)
    is_excess = job.id in plan_context.excess_jobs
    return (current_queue.priority, not step.lasts, is_excess, late, due)


def place_step(work, job, key):
    """Yield the starts of one step that fit now; a gang starts all or nothing."""
    _, round_number, step_number = key
    step = job.spec.steps[step_number]
    pool = work.table.current_queue(job).pool
    if work.isolation.is_inactive and work.is_too_large(pool, step):
        return
    if work.is_at_quota(job.account, step):
        return
    tasks = job.round_by_number[round_number].tasks_by_step[step_number]
    waiting = [
        index
        for index, task in enumerate(tasks)
        if task.status is TaskStatus.WAITING
        and TaskKey(*key, index) not in work.table.run_by_task
        and TaskKey(*key, index) not in work.plan_context.paused
    ]
    if step.gang and len(waiting) < step.count:
        return
    starts = list(place_tasks(work, job, key, waiting))
    if step.gang and len(starts) < step.count:
        for start in starts:
            minion = work.table.minion_by_id[start.minion]
            work.release(key, step, minion)
        return
    yield from starts


def place_tasks(work, job, key, indexes):
    """Yield a start for each of the task `indexes` until no minion fits."""
    step = job.spec.steps[key[2]]
    candidates = list(eligible_minions(work, job, key, step))
    if step.same_rack:
        candidates = minions_for_one_rack(work, job, key, candidates, len(indexes))
    minion = None
    was_ordinary = False
    for index in work.isolation.suspects_first(key, indexes):
        if work.is_at_quota(job.account, step):
            return
        task = TaskKey(*key, index)
        admitted = work.isolation.admitted(work, task, step, candidates)
        is_suspect = bool(work.isolation.suspicion(task))
        avoided = work.table.crashes.crashed_vms(task)
        is_ordinary = work.isolation.is_inactive and not avoided
        is_like_last = is_ordinary and was_ordinary
        if not (is_like_last and stays_best(work, key, step, minion)):
            minion = best_minion(work, key, step, admitted, is_suspect, avoided)
        was_ordinary = is_ordinary
        if minion is None and is_suspect:
            continue
        if minion is None:
            current_queue = work.table.current_queue(job)
            if is_unrestricted(current_queue, step):
                work.note_too_large(current_queue.pool, step)
            return
        work.reserve(key, step, minion)
        work.isolation.note_start(task, step, minion)
        yield Start(task, minion.id)


def eligible_minions(work, job, key, step):
    """Yield the minions that may run tasks of a step, whatever their capacity."""
    current_queue = work.table.current_queue(job)
    permitted = work.plan_context.permitted_by_step.get(key)
    if current_queue.advice is not None and permitted is None:
        return
    for minion in work.minions(current_queue.pool):
        if step.required_label and step.required_label not in minion.labels:
            continue
        if current_queue.advice is not None and minion.id not in permitted:
            continue
        yield minion


def is_unrestricted(current_queue, step):
    """Whether `step` may run on any minion of the pool, whatever its capacity."""
    restricted = step.required_label or step.max_per_minion or step.same_rack
    return not restricted and current_queue.advice is None
