"""Simulate pools whose demand rises by turns, with a hand-moved clock.

The planner, the estimate of the demand and the plan of moves are the product's; the
log is applied at once, a moved VM registers after a fixed time, and tasks run for the
time that they were drawn. There is no network and no fault.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, replace
from types import SimpleNamespace

from hingepitch.jobs import command as commands
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.load import measure_pools
from hingepitch.jobs.mover import MoveController
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.pool import PoolTerms, plan_moves
from hingepitch.jobs.queue import Queue, QueuePool
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import JobSpec, Step
from tests.test_job_rules import HOST, Log, make_config, make_minion

PASS_SECONDS = 0.02
DECISION_SECONDS = 0.06
MOVE_SECONDS = 1.6

#: Time after the last crest in which late jobs have to end, too.
SETTLE_SECONDS = 5.0

#: Duration of a crest, and the part of its rate at which jobs come before it.
CREST_SECONDS = 9.0
CALM_PART = 0.01

#: What the sheet says of short jobs: the cores and the time of a task, the tasks of a
#: step, and the objective.
TASK_MILLICORES = 1500
TASK_SECONDS = 0.64
STEP_TASKS = 8
OBJECTIVE_MS = 600
STRETCH = 1.6

VM = {"cpu_millicores": 16_000, "memory_mb": 32_768}
SPARE_POOL = "off"


@dataclass
class SubmittedJob:
    """A job, when it was sent, and how long its tasks take, in seconds."""

    id: str
    sent_at: float
    task_seconds: float
    steps: int

    @property
    def due_at(self):
        return (
            self.sent_at
            + OBJECTIVE_MS / 1000
            + STRETCH * self.steps * (self.task_seconds)
        )


class TurnsSimulation:
    """Pools of equal size, of which the first ones have crests, one after another.


    `jobs`
        The `SubmittedJob`s of the crest.
    `largest_pool`
        Largest number of minions that the first pool had.
    """

    def __init__(
        self,
        seed,
        terms=None,
        pools=4,
        vms_per_pool=36,
        spare_vms=36,
    ):
        self.random = random.Random(seed)
        self.terms = terms or PoolTerms()
        self.now = 0.0
        self.log = Log()
        self.table = self.log.table
        self.events = []
        self.numbers = itertools.count(1)
        self.jobs = []
        self.largest_pool = 0
        names = [f"pool-{number}" for number in range(pools)]
        self.put_queues(names)
        self.controller = self.make_controller()
        for name in names:
            for _ in range(vms_per_pool):
                self.register(f"vm-{next(self.numbers)}", name)
        for _ in range(spare_vms):
            vm = f"vm-{next(self.numbers)}"
            self.controller.spare_pool_by_vm[vm] = SPARE_POOL
            self.controller.kind_by_vm[vm] = make_minion(0).kind

    def put_queues(self, names):
        queues = tuple(
            Queue(
                name,
                HOST,
                f"/{name}/",
                name,
                objective_ms=OBJECTIVE_MS,
                stretch=STRETCH,
                timeout_ms=3000,
            )
            for name in names
        )
        pools = (*map(QueuePool, names), QueuePool(SPARE_POOL, is_spare=True))
        self.log.send(commands.PutQueues(make_config(queues=queues, pools=pools)))

    def make_controller(self):
        """Return the controller of moves, on stubs of its session."""
        self.durations = Durations()
        session = SimpleNamespace(
            table=self.table,
            durations=self.durations,
            agent_by_minion={},
            upkeep=SimpleNamespace(leaving_since_by_vm={}),
            measure_pools=lambda: measure_pools(
                self.table, self.now_ms, self.durations
            ),
        )
        return MoveController(session, None, self.terms, MOVE_SECONDS)

    @property
    def now_ms(self):
        return int(self.now * 1000)

    def register(self, vm, pool, **fields):
        minion = make_minion(next(self.numbers), vm=vm, pool=pool, **VM, **fields)
        self.controller.kind_by_vm[vm] = minion.kind
        self.log.send(commands.RegisterMinion(minion, self.now_ms))
        self.log.send(commands.EndMove(vm))

    def submit(self, pool):
        """Submit a short job of one or two steps."""
        steps = self.random.choice((1, 1, 2, 2, 2))
        tasks = [self.random.randint(2, 2 * STEP_TASKS - 2) for _ in range(steps)]
        seconds = TASK_SECONDS * self.random.uniform(0.5, 1.5)
        spec = JobSpec(
            "text",
            tuple(
                Step(
                    count,
                    TASK_MILLICORES,
                    estimate_ms=int(1000 * seconds),
                    after=(number - 1,) if number else (),
                )
                for number, count in enumerate(tasks)
            ),
        )
        job = f"{next(self.numbers):016x}"
        path = f"/{pool}/{job}"
        self.log.send(commands.AcceptJob(job, HOST, path, spec, self.now_ms))
        return SubmittedJob(job, self.now, seconds, steps)

    def run(self, peak_per_second, begins=(5.0,)):
        """Run until all is done.

        `begins`
            When the crest of each of the first pools begins, in seconds.
        """
        next_decision = 0.0
        until = max(begins) + CREST_SECONDS
        while self.now < until + SETTLE_SECONDS:
            self.now += PASS_SECONDS
            self.pass_events()
            for number, begin in enumerate(begins):
                rate = peak_per_second * self.rate_part(self.now - begin)
                self.submit_jobs(f"pool-{number}", rate, self.now > begin)
            self.start_tasks()
            if self.now >= next_decision:
                next_decision = self.now + DECISION_SECONDS
                self.decide_moves()

    def submit_jobs(self, pool, rate, is_crest):
        for _ in range(self.draw_arrivals(rate * PASS_SECONDS)):
            job = self.submit(pool)
            if is_crest:
                self.jobs.append(job)

    @staticmethod
    def rate_part(seconds):
        """Return the part of the peak rate at a time since the crest began."""
        if not 0 < seconds < CREST_SECONDS:
            return CALM_PART
        return max(CALM_PART, math.sin(math.pi * seconds / CREST_SECONDS))

    def draw_arrivals(self, mean):
        """Return a random number of arrivals (Knuth's method)."""
        limit = math.exp(-mean)
        count = 0
        product = self.random.random()
        while product > limit:
            count += 1
            product *= self.random.random()
        return count

    def pass_events(self):
        """End the runs and register the moved VMs that are due."""
        ends = []
        while self.events and self.events[0][0] <= self.now:
            *_, event = heapq.heappop(self.events)
            if isinstance(event, RunEnd):
                ends.append(event)
            else:
                self.register(*event)
        self.log.send(commands.EndRuns(tuple(ends), self.now_ms))

    def schedule(self, seconds, event):
        entry = self.now + seconds, next(self.numbers), event
        heapq.heappush(self.events, entry)

    def usable_minions(self):
        return set(self.table.minion_by_id)

    def start_tasks(self):
        context = PlanContext(
            self.now_ms,
            self.usable_minions(),
            durations=self.durations,
        )
        starts, _ = plan_starts(self.table, context)
        self.log.send(commands.StartRuns(starts, (), self.now_ms))
        for start in starts:
            run = self.table.run_by_task[start.task]
            step = self.table.job_by_id[start.task.job].spec.steps[start.task.step]
            end = RunEnd(start.task, run.number, run.minion, RunResult.DONE)
            self.schedule(step.estimate_ms / 1000, end)

    def decide_moves(self):
        """Carry out what the product decides on the VMs of the pools."""
        self.controller.demand.note_arrivals(self.now)
        views = list(self.controller.views(self.table.config, self.now))
        minions = self.controller.minions_by_pool()["pool-0"]
        self.largest_pool = max(self.largest_pool, len(minions))
        is_known = self.controller.demand.is_known(self.now)
        for move in list(plan_moves(views, self.terms, may_give_back=is_known)):
            self.carry_out(move)

    def carry_out(self, move):
        life = self.table.life_by_vm.get(move.vm)
        if life is not None:
            self.log.send(commands.RemoveMinion(life, self.now_ms, 0))
        self.controller.idle_since_by_vm.pop(move.vm, None)
        self.controller.spare_pool_by_vm.pop(move.vm, None)
        if move.pool == SPARE_POOL:
            self.controller.spare_pool_by_vm[move.vm] = SPARE_POOL
            return
        self.log.send(commands.BeginMove(move.vm, move.pool))
        self.schedule(MOVE_SECONDS, (move.vm, move.pool))

    def late_jobs(self):
        """Return the jobs of the crest that did not succeed in time."""
        return [job for job in self.jobs if not self.is_in_time(job)]

    def is_in_time(self, job):
        record = self.table.job_by_id[job.id]
        return 0 < record.ended_ms <= 1000 * job.due_at


def without_backlog():
    """Return terms by which a pool orders no VMs for what queues up until they come."""
    return replace(PoolTerms(), catch_up_seconds=math.inf)
