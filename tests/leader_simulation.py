"""Simulate a crest with a leader whose processor time is limited.

Extends `tests.turns_simulation`: planning, accepting a job, each start, each status
poll and each log entry take processor time of the one leader, and nothing happens
before it has had its turn. What the product decides (what to start where, how long to
collect ends) comes from the product.
"""

import heapq
from collections import Counter, defaultdict
from dataclasses import astuple, dataclass

from hingepitch.jobs import command as commands
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.endrecorder import MAX_GATHER_SECONDS
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.usage import ResourceUsage
from hingepitch.loopdelay import LoopDelay
from tests.turns_simulation import (
    CREST_SECONDS,
    DECISION_SECONDS,
    SETTLE_SECONDS,
    TurnsSimulation,
)

STEP_SECONDS = 0.005


@dataclass(frozen=True)
class Costs:
    """Processor time of the leader, in seconds.

    `job`
        To accept a job and to answer who asks for it.
    `start`
        To order the start of a run.
    `poll`, `row`
        To poll a minion, and for each run that it lists.
    `entry`
        To commit an entry of the log.
    `check`
        To check if a task fits on a minion.
    `minion`
        To look at a minion in a planning pass or a decision on moves.
    """

    job: float = 1200e-6
    start: float = 180e-6
    poll: float = 160e-6
    row: float = 10e-6
    entry: float = 150e-6
    check: float = 1.5e-6
    minion: float = 8e-6

    def times(self, factor):
        """Return the costs on a processor that is slower by `factor`."""
        return Costs(*(factor * seconds for seconds in astuple(self)))


class LeaderSimulation(TurnsSimulation):
    """A crest in the first pool, handled by a leader with little processor time.

    `is_batching`
        Whether ends are collected as the product does it.
    `free_at`
        When the leader will have done what it has begun.
    `delay`
        The `LoopDelay` of the leader.
    `sent`
        When the jobs that the leader has not accepted yet were sent, and whether they
        belong to the crest.
    `spent_by_kind`
        Processor time that the leader has used.
    """

    def __init__(self, seed, is_batching=True, costs=None, **options):
        super().__init__(seed, **options)
        self.is_batching = is_batching
        self.costs = costs or Costs()
        self.free_at = 0.0
        self.delay = LoopDelay()
        self.spent_by_kind = Counter()
        self.ended_by_minion = defaultdict(list)
        self.next_poll_by_minion = {}
        self.unrecorded = []
        self.checks = 0
        self.sent = []
        self.callers_held_until = 0.0

    def spend(self, kind, seconds):
        """Use processor time of the leader after what it has begun."""
        self.spent_by_kind[kind] += seconds
        self.free_at = max(self.free_at, self.now) + seconds

    def run(self, peak_per_second, begins=(5.0,), disruption=None):
        """Run until all is done; call `disruption` after a third of the crest."""
        next_decision = 0.0
        begin = begins[0]
        until = begin + CREST_SECONDS
        disrupt_at = begin + CREST_SECONDS / 3
        while self.now < until + SETTLE_SECONDS:
            self.now += STEP_SECONDS
            if disruption and self.now >= disrupt_at:
                disruption(self)
                disruption = None
            self.pass_events()
            rate = peak_per_second * self.rate_part(self.now - begin)
            for _ in range(self.draw_arrivals(rate * STEP_SECONDS)):
                self.arrive(self.now > begin)
            self.accept_jobs()
            self.delay.note(self.free_at - self.now)
            if self.free_at > self.now:
                continue
            self.poll_minions()
            self.record_ends()
            self.start_tasks()
            if self.now >= next_decision:
                pause = self.delay.batch_seconds if self.is_batching else 0.0
                next_decision = self.now + max(DECISION_SECONDS, pause)
                self.spend("moves", self.costs.minion * len(self.table.minion_by_id))
                self.decide_moves()

    def arrive(self, is_crest):
        """Let a caller send a job."""
        self.sent.append((self.now, is_crest))

    def accept_jobs(self):
        """Accept the jobs that were sent."""
        if self.now < self.callers_held_until:
            return
        sent, self.sent = self.sent, []
        for sent_at, is_crest in sent:
            self.spend("jobs", self.costs.job + self.costs.entry)
            job = self.submit("pool-0")
            job.sent_at = sent_at
            if is_crest:
                self.jobs.append(job)

    def pass_events(self):
        """Let runs end on their minions, and moved VMs register."""
        while self.events and self.events[0][0] <= self.now:
            *_, event = heapq.heappop(self.events)
            if isinstance(event, RunEnd):
                self.ended_by_minion[event.minion].append(event)
            else:
                self.register(*event)

    def poll_minions(self):
        """Poll the minions on which runs have ended, while the leader is free."""
        for minion in list(self.ended_by_minion):
            if self.free_at > self.now + STEP_SECONDS:
                return
            if self.next_poll_by_minion.get(minion, 0.0) > self.now:
                continue
            ends = self.ended_by_minion.pop(minion)
            rows = len(self.table.runs_by_minion.get(minion, ()))
            self.spend("polls", self.costs.poll + rows * self.costs.row)
            self.unrecorded.append(ends)
            pause = self.delay.batch_seconds if self.is_batching else 0.0
            self.next_poll_by_minion[minion] = self.now + pause

    def record_ends(self):
        """Record the ends that polls listed, with the entries that they take."""
        ends = [end for group in self.unrecorded for end in group]
        if not ends:
            return
        gather_seconds = min(MAX_GATHER_SECONDS, self.delay.batch_seconds)
        is_gathered = self.is_batching and gather_seconds >= STEP_SECONDS
        entries = 1 if is_gathered else len(self.unrecorded)
        self.spend("ends", entries * self.costs.entry)
        self.log.send(commands.EndRuns(tuple(ends), self.now_ms))
        self.unrecorded = []

    def start_tasks(self):
        """Plan and order starts; each run begins when the leader has ordered it."""
        if not self.table.ready_steps:
            return
        starts = self.plan()
        if not starts:
            return
        self.spend("starts", self.costs.entry)
        self.log.send(commands.StartRuns(starts, (), self.now_ms))
        for start in starts:
            self.spend("starts", self.costs.start)
            run = self.table.run_by_task[start.task]
            step = self.table.job_by_id[start.task.job].spec.steps[start.task.step]
            end = RunEnd(start.task, run.number, run.minion, commands.RunResult.DONE)
            begins_in = self.free_at - self.now
            self.schedule(begins_in + step.estimate_ms / 1000, end)

    def plan(self):
        """Return the starts of a planning pass, whose time the leader spends."""
        usable = self.usable_minions()
        context = PlanContext(
            self.now_ms,
            usable,
            durations=self.durations,
        )
        before = self.checks
        fits = ResourceUsage.fits

        def counted(usage, minion, step):
            self.checks += 1
            return fits(usage, minion, step)

        ResourceUsage.fits = counted
        try:
            starts, _ = plan_starts(self.table, context)
        finally:
            ResourceUsage.fits = fits
        checks = (self.checks - before) * self.costs.check
        self.spend("planning", checks + len(usable) * self.costs.minion)
        return starts

    def lose_vms(self, count):
        """Lose minions of the first pool and the runs on them; none comes back."""
        minions = [one for one in self.table.minion_by_id.values()]
        for minion in [one for one in minions if one.pool == "pool-0"][:count]:
            self.ended_by_minion.pop(minion.id, None)
            self.log.send(commands.RemoveMinion(minion.id, self.now_ms, 0))

    def hold_callers(self, seconds):
        """Let all jobs of a while arrive at its end, as callers of lost entries do."""
        self.callers_held_until = self.now + seconds

    def stall(self, seconds):
        """Let the leader do nothing for a while."""
        self.free_at = max(self.free_at, self.now) + seconds

    def in_time_part(self):
        """Return the part of the jobs of the crest that ended in time."""
        return 1 - len(self.late_jobs()) / len(self.jobs)
