"""
hingepitch.jobs.plan
~~~~~~~~~~~~~~~~~~~~

Which waiting tasks start where: pure functions over the job table.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field, replace
from functools import cached_property

from hingepitch.jobs.command import Start
from hingepitch.jobs.due import due_ms, is_late
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.isolation import Isolation, SuspectView
from hingepitch.jobs.rack import minions_for_one_rack
from hingepitch.jobs.record import TaskStatus
from hingepitch.jobs.spec import TaskKey
from hingepitch.jobs.table import Room

__all__ = ["Outlook", "plan_starts"]


@dataclass(slots=True)
class Outlook:
    """What the leader knows beyond the table.

    `usable`
        Lives of minions that may take new runs now.
    `doubt_by_minion`
        How much a minion is to be avoided, 0 to 1, by what it did lately.
    `permitted_by_step`
        Lives that may run a step, where its queue needs permission.
    `durations`
        What is known of the run times.
    `far_factor`
        How many times as long tasks take that want one rack and have not.
    `rack_waited_ms_by_step`
        How long steps have waited that want one rack.
    `suspects`
        Where tasks run that may crash their minions.
    `paused`
        Tasks that are not to be started yet.
    """

    now_ms: int
    usable: set[str]
    doubt_by_minion: dict[str, float] = field(default_factory=dict)
    permitted_by_step: dict[tuple, set[str]] = field(default_factory=dict)
    durations: Durations = field(default_factory=Durations)
    far_factor: float = 2.0
    rack_waited_ms_by_step: dict[tuple, float] = field(default_factory=dict)
    suspects: SuspectView = field(default_factory=SuspectView)
    paused: set[TaskKey] = field(default_factory=set)


@dataclass
class Pass:
    """The working copy of one planning pass."""

    table: object
    outlook: Outlook
    minions_by_pool: dict[str, list] = field(default_factory=dict)
    room_by_minion: dict[str, Room] = field(default_factory=dict)
    placed_by_step: dict[tuple, dict[str, int]] = field(default_factory=dict)
    too_large_by_pool: dict[str, list] = field(default_factory=dict)

    @cached_property
    def isolation(self):
        """Keeps tasks apart under which minions have crashed."""
        return Isolation(self.table, self.outlook.suspects)

    @cached_property
    def vms_due(self):
        """The VMs whose upkeep is still ahead."""
        return self.table.vms_due()

    def minions(self, pool):
        """Return the usable minions of a pool."""
        if not self.minions_by_pool:
            for minion in self.table.minion_by_id.values():
                usable = minion.id in self.outlook.usable
                if usable and not self.table.is_leaving(minion):
                    self.minions_by_pool.setdefault(minion.pool, []).append(minion)
        return self.minions_by_pool.get(pool, [])

    def room(self, minion):
        """Return the room taken on a minion, as this pass would leave it."""
        taken = self.room_by_minion.get(minion.id)
        if taken is None:
            taken = replace(self.table.taken_by_minion[minion.id])
            self.room_by_minion[minion.id] = taken
        return taken

    def carried(self, step_key):
        """Return how many tasks of a step each minion carries in this pass."""
        counts = self.placed_by_step.get(step_key)
        if counts is None:
            counts = dict(self.table.carried_by_step.get(step_key, {}))
            self.placed_by_step[step_key] = counts
        return counts

    def take(self, step_key, step, minion):
        """Count one more task of `step` on `minion`."""
        room = self.room(minion)
        room.cpu_millicores += step.counted_millicores
        room.memory_mb += step.memory_mb
        room.accelerators += step.accelerators
        counts = self.carried(step_key)
        counts[minion.id] = counts.get(minion.id, 0) + 1

    def give_back(self, step_key, step, minion):
        """Undo `take`."""
        self.too_large_by_pool.pop(minion.pool, None)
        room = self.room(minion)
        room.cpu_millicores -= step.counted_millicores
        room.memory_mb -= step.memory_mb
        room.accelerators -= step.accelerators
        self.carried(step_key)[minion.id] -= 1

    def is_too_large(self, pool, step):
        """Whether no minion of a pool is known to have room for `step`.

        Protects a leader from its backlog: a pass that looked for room for
        each of 999 steps that waited took 47 ms to start nothing, and other
        pools waited for it.
        """
        return any(
            step.counted_millicores >= other.counted_millicores
            and step.memory_mb >= other.memory_mb
            and step.accelerators >= other.accelerators
            for other in self.too_large_by_pool.get(pool, ())
        )

    def note_too_large(self, pool, step):
        """Note that no minion of a pool has room for one more of `step`.

        Only of a step that any minion of the pool could take. It holds for the
        rest of the pass, which only takes room, until a gang gives some back.
        """
        self.too_large_by_pool.setdefault(pool, []).append(step)


def plan_starts(table, outlook):
    """Return `(starts, gangs)`: what should start now, the most urgent first."""
    work = Pass(table, outlook)
    starts = []
    gangs = []
    for job, round_number, step_number in order_steps(table, outlook):
        key = (job.id, round_number, step_number)
        placed = list(place_step(work, job, key))
        if job.spec.steps[step_number].gang:
            if placed:
                gangs.append(tuple(placed))
        else:
            starts += placed
    return tuple(starts), tuple(gangs)


def order_steps(table, outlook):
    """Return `(job, round, step)` of the ready steps, the most urgent first."""
    steps = [
        (table.job_by_id[job], number, step) for job, number, step in table.ready_steps
    ]
    steps.sort(key=lambda entry: urgency(table, outlook, *entry))
    return steps


def urgency(table, outlook, job, round_number, step_number):
    """Return the sort key of a ready step.

    Priority first, then tasks that serve, then the jobs that can still be in
    time by their deadline, then the others.
    """
    policy = table.policy(job)
    step = job.spec.steps[step_number]
    now_ms, durations = outlook.now_ms, outlook.durations
    late = is_late(policy, job, round_number, step_number, now_ms, durations)
    due = due_ms(policy, job, round_number, durations)
    return (policy.priority, not step.lasts, late, due)


def place_step(work, job, key):
    """Yield the starts of one step that fit now; a gang starts whole."""
    _, round_number, step_number = key
    step = job.spec.steps[step_number]
    pool = work.table.policy(job).pool
    if work.isolation.is_idle and work.is_too_large(pool, step):
        return
    tasks = job.round_by_number[round_number].tasks_by_step[step_number]
    waiting = [
        index
        for index, task in enumerate(tasks)
        if task.status is TaskStatus.WAITING
        and TaskKey(*key, index) not in work.table.run_by_task
        and TaskKey(*key, index) not in work.outlook.paused
    ]
    if step.gang and len(waiting) < step.count:
        return
    starts = list(place_tasks(work, job, key, waiting))
    if step.gang and len(starts) < step.count:
        for start in starts:
            minion = work.table.minion_by_id[start.minion]
            work.give_back(key, step, minion)
        return
    yield from starts


def place_tasks(work, job, key, indexes):
    """Yield a start for each of `indexes` as long as a minion has room."""
    step = job.spec.steps[key[2]]
    candidates = list(eligible(work, job, key, step))
    if step.same_rack:
        candidates = minions_for_one_rack(work, job, key, candidates, len(indexes))
    for index in work.isolation.suspects_first(key, indexes):
        task = TaskKey(*key, index)
        admitted = work.isolation.admitted(work, task, step, candidates)
        is_suspect = bool(work.isolation.suspicion(task))
        avoided = work.table.crashes.crashed_vms(task)
        minion = best_minion(work, key, step, admitted, is_suspect, avoided)
        if minion is None and is_suspect:
            continue
        if minion is None:
            policy = work.table.policy(job)
            if is_unrestricted(policy, step):
                work.note_too_large(policy.pool, step)
            return
        work.take(key, step, minion)
        work.isolation.note_start(task, step, minion)
        yield Start(task, minion.id)


def eligible(work, job, key, step):
    """Yield the minions that may run tasks of a step, room aside."""
    policy = work.table.policy(job)
    permitted = work.outlook.permitted_by_step.get(key)
    if policy.advice is not None and permitted is None:
        return
    for minion in work.minions(policy.pool):
        if step.required_label and step.required_label not in minion.labels:
            continue
        if policy.advice is not None and minion.id not in permitted:
            continue
        yield minion


def is_unrestricted(policy, step):
    """Whether any minion of the pool may run a task of `step`, room aside."""
    restricted = step.required_label or step.max_per_minion or step.same_rack
    return not restricted and policy.advice is None


def best_minion(work, key, step, candidates, is_suspect=False, avoided=()):
    """Return the minion for one more task of a step, or None.

    Near the data first, then the least doubted, then the one that has the
    least of its processors free: the others stay empty and may be lent. A
    suspect takes the one that has the most, where a crash hits the fewest, and
    not a VM of `avoided` where there is another. A task that lasts goes to a
    VM without an upkeep ahead, where there is one: it would have to leave
    again, and the tasks of its step leave one by one.
    """
    carried = work.carried(key)
    best = None
    best_score = None
    for minion in candidates:
        if step.max_per_minion and carried.get(minion.id, 0) >= step.max_per_minion:
            continue
        room = work.room(minion)
        if not room.fits(minion, step):
            continue
        taken = room.cpu_millicores / max(1, minion.cpu_millicores)
        score = (
            minion.vm in avoided,
            bool(step.data_rack) and minion.rack != step.data_rack,
            step.lasts and minion.vm in work.vms_due,
            work.outlook.doubt_by_minion.get(minion.id, 0.0),
            taken if is_suspect else -taken,
        )
        if best is None or score < best_score:
            best, best_score = minion, score
    return best
