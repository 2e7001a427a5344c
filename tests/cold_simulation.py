"""Simulate a pool of which a part of the minions is still slow after its start.

The planner and the log are the product's; runs pass as quickly as the warmth of their
minion lets them. The clock is moved by hand; there is no network and no fault.
"""

import itertools
import random
from contextlib import contextmanager
from dataclasses import dataclass
from unittest.mock import patch

from hingepitch.jobs import command as commands, plan, score
from hingepitch.jobs.cold import rank_cold
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.queue import Queue
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import JobSpec, Step
from tests.test_job_rules import HOST, Log, make_config, make_minion

PASS_SECONDS = 0.02
MINIONS = 12
COLD_MINIONS = 4
MINION_MILLICORES = 16_000

#: For how long the cold minions are slow, and how much longer tasks take there.
COLD_SECONDS = 6.0
SLOWDOWN = 4.0

#: Duration of the arrivals, and time after them in which late jobs end.
ARRIVAL_SECONDS = 9.0
SETTLE_SECONDS = 6.0

#: The two kinds of tasks: cores and run time.
KINDS = ((1400, 1.0), (3000, 1.7))
STEP_TASKS = 3
OBJECTIVE_MS = 1000
STRETCH = 1.6


class AsIfWarm:
    """The rule that treats cold minions like others."""

    def __init__(self, work):
        pass

    def rank(self, minion):
        return 0.0


class ColdRamp:
    """The rule that limits the runs on a cold minion by its warmth.

    The limit is the mean number of runs of the warm minions of its pool, times
    `OVERAGE`, times the warmth, plus `SLACK`.
    """

    OVERAGE = 1.5
    SLACK = 5

    def __init__(self, work):
        self.work = work
        self.warmth_by_minion = work.plan_context.warmth_by_minion
        self.mean_by_pool = {}

    def rank(self, minion):
        warmth = self.warmth_by_minion.get(minion.id)
        mean = self.mean(minion.pool)
        if warmth is None or mean is None:
            return 0.0
        limit = self.OVERAGE * mean * warmth + self.SLACK
        return 0.0 if self.run_count(minion) < limit else None

    def mean(self, pool):
        """Return the mean number of runs of the warm minions, None without any."""
        if pool not in self.mean_by_pool:
            counts = [
                len(self.work.table.runs_by_minion.get(one.id, ()))
                for one in self.work.minions(pool)
                if one.id not in self.warmth_by_minion
            ]
            self.mean_by_pool[pool] = sum(counts) / len(counts) if counts else None
        return self.mean_by_pool[pool]

    def run_count(self, minion):
        """Return the number of runs on a minion, planned starts included."""
        table = self.work.table
        planned = sum(
            counts.get(minion.id, 0)
            - table.run_counts_by_step.get(key, {}).get(minion.id, 0)
            for key, counts in self.work.placed_by_step.items()
        )
        return len(table.runs_by_minion.get(minion.id, ())) + planned


class ColdLastRamp(ColdRamp):
    """The limit of `ColdRamp`, in the order of the rule in force."""

    def rank(self, minion):
        is_full = super().rank(minion) is None
        return None if is_full else rank_cold(self.work, minion)


#: Stands for the product's rule.
IN_FORCE = None


@contextmanager
def use_rule(cold_rule):
    """Let `cold_rule` rank the minions in one planning pass, or `IN_FORCE`.

    The rank of a minion that is full by the rule is None.
    """
    if cold_rule is IN_FORCE:
        yield
        return
    rules = {}

    def best_minion(work, key, step, candidates, *options):
        if not work.takes_cold_last(key):
            return score.best_minion(work, key, step, candidates, *options)
        rule = rules.get(id(work)) or rules.setdefault(id(work), cold_rule(work))
        ranks = {one.id: rule.rank(one) for one in candidates}
        admitted = [one for one in candidates if ranks[one.id] is not None]
        with patch.object(score, "rank_cold", lambda work, one: ranks[one.id]):
            return score.best_minion(work, key, step, admitted, *options)

    with patch.object(plan, "best_minion", best_minion):
        yield


@dataclass
class SlowRun:
    """A run, and how much of its work is left, in seconds on a warm minion."""

    end: RunEnd
    left: float


class ColdSimulation:
    """A pool with `COLD_MINIONS` of `MINIONS` cold, and jobs that arrive at random.

    `load`
        Arriving work, as a part of the capacity of all minions once they are warm.
    `backlog`
        Number of jobs that wait at the begin.
    """

    def __init__(self, seed, cold_rule, load, backlog=0, cold_minions=COLD_MINIONS):
        self.random = random.Random(seed)
        self.cold_rule = cold_rule
        self.load = load
        self.cold = {f"i-{number}" for number in range(cold_minions)}
        self.numbers = itertools.count(1)
        self.now = 0.0
        self.runs = []
        self.jobs = []
        self.log = Log()
        queue = Queue(
            "q",
            HOST,
            "/q/",
            "pool",
            attempts=2,
            timeout_ms=3000,
            objective_ms=OBJECTIVE_MS,
            stretch=STRETCH,
        )
        self.log.send(commands.PutQueues(make_config(queues=(queue,))))
        for number in range(MINIONS):
            minion = make_minion(
                number, cpu_millicores=MINION_MILLICORES, memory_mb=32_768
            )
            self.log.send(commands.RegisterMinion(minion, 0))
        for _ in range(backlog):
            self.submit()

    @property
    def table(self):
        return self.log.table

    @property
    def now_ms(self):
        return int(self.now * 1000)

    @property
    def is_any_cold(self):
        return self.now < COLD_SECONDS

    def run(self):
        """Run until all has arrived and had time to end; return the simulation."""
        core_seconds = sum(cores * seconds for cores, seconds in KINDS) / len(KINDS)
        per_job = core_seconds * STEP_TASKS
        rate = self.load * MINIONS * MINION_MILLICORES / per_job
        next_arrival = 0.0
        while self.now < ARRIVAL_SECONDS + SETTLE_SECONDS:
            self.now += PASS_SECONDS
            self.end_runs()
            while next_arrival < min(self.now, ARRIVAL_SECONDS):
                self.submit()
                next_arrival += self.random.expovariate(rate)
            self.start_tasks()
        return self

    def submit(self):
        cores, seconds = self.random.choice(KINDS)
        step = Step(STEP_TASKS, cores, estimate_ms=int(1000 * seconds))
        job = f"{next(self.numbers):016x}"
        spec = JobSpec("text", (step,))
        self.log.send(commands.AcceptJob(job, HOST, f"/q/{job}", spec, self.now_ms))
        self.jobs.append(job)

    def end_runs(self):
        for run in self.runs:
            is_slow = self.is_any_cold and run.end.minion in self.cold
            run.left -= PASS_SECONDS / (SLOWDOWN if is_slow else 1)
        ends = tuple(run.end for run in self.runs if run.left <= 0)
        self.runs = [run for run in self.runs if run.left > 0]
        self.log.send(commands.EndRuns(ends, self.now_ms))

    def start_tasks(self):
        warmth = self.now / COLD_SECONDS
        context = PlanContext(
            self.now_ms,
            set(self.table.minion_by_id),
            warmth_by_minion=dict.fromkeys(self.cold, warmth) if warmth < 1 else {},
        )
        with use_rule(self.cold_rule):
            starts, _ = plan_starts(self.table, context)
        self.log.send(commands.StartRuns(starts, (), self.now_ms))
        for start in starts:
            run = self.table.run_by_task[start.task]
            step = self.table.job_by_id[start.task.job].spec.steps[0]
            end = RunEnd(start.task, run.number, run.minion, RunResult.DONE)
            self.runs.append(SlowRun(end, step.estimate_ms / 1000))

    def times(self):
        """Return the time of each job from its arrival to its end, in seconds."""
        records = [self.table.job_by_id[job] for job in self.jobs]
        ended = [one for one in records if one.ended_ms]
        return [(one.ended_ms - one.accepted_ms) / 1000 for one in ended]

    def in_time(self):
        """Return the part of the jobs that ended in time."""
        records = [self.table.job_by_id[job] for job in self.jobs]
        return sum(map(is_in_time, records)) / len(records)


def is_in_time(record):
    due_ms = OBJECTIVE_MS + STRETCH * record.spec.steps[0].estimate_ms
    return 0 < record.ended_ms <= record.accepted_ms + due_ms
