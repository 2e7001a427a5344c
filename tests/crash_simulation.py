"""Simulate a pool of crashing minions with the real state machine and planner.

Time is simulated; the stub agents have the attributes that the suspicion of tasks
and their isolation use.
"""

import itertools
import random

from hingepitch.jobs import command as commands
from hingepitch.jobs.agents.runview import RunView, RunViewStatus
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.crashes.blame import (
    blame_of,
    is_stable,
    is_starting,
    unobserved_blame,
)
from hingepitch.jobs.crashes.crash import NO_BLAME
from hingepitch.jobs.crashes.isolation import (
    SuspectView,
    SuspectWaitTracker,
    suspect_view,
)
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.record import JobStatus, RunResult
from hingepitch.jobs.spec import Step
from tests.test_job_rules import Log, make_config, make_minion

TICK_SECONDS = 0.01

#: Time from a planned start to the start on the minion, and from the loss of a
#: minion until it counts as unresponsive, in seconds.
ORDER_SECONDS = 0.005
NOTICE_SECONDS = 0.01

#: Time until the runs of an unresponsive minion count as lost, in seconds.
EXPIRY_SECONDS = 4.6

#: Interval between status polls, in seconds.
POLL_SECONDS = 0.6


class SimulatedAgent:
    """A stub of the agent for one incarnation of a minion."""

    def __init__(self, simulation, minion):
        self.minion = minion
        self.session = simulation
        self.view_by_task = {}
        self.last_message_at = simulation.now
        self.unresponsive_since = 0.0
        self.is_up = True
        self.is_disconnected = False
        self.is_lease_expired = False

    @property
    def answers(self):
        return self.is_up and not self.is_disconnected

    def is_starting(self, run):
        view = self.view_by_task.get(run.task)
        return (
            view is None or view.run is not run or is_starting(view, self.session.now)
        )

    def is_stable(self, run):
        view = self.view_by_task.get(run.task)
        step = self.session.step_of(run)
        return view and step and is_stable(view, step, self.session.now)


class CrashSimulation:
    """A pool with jobs and crashing minions; the session of the stub agents.

    `crash_after`
        Seconds from the start of a poison task to the crash, by task.
    `millicores`
        CPU capacity of the minions registered from now on.
    `crashing_vms`
        VMs that crash whenever they start a task.
    `starts`
        Number of starts by task.
    """

    def __init__(self, seed, minions=12):
        self.random = random.Random(seed)
        self.now = 100.0
        self.log = Log()
        self.log.send(commands.PutQueues(make_config()))
        self.agent_by_minion = {}
        self.suspect_waits = SuspectWaitTracker(lambda: self.now)
        self.crash_after = {}
        self.millicores = 16_000
        self.crashing_vms = set()
        self.starts = {}
        self.accepted_at = {}
        self.done_at = {}
        self.events = []
        self.order = itertools.count()
        self.incarnation_numbers = itertools.count()
        for number in range(minions):
            self.register(number)

    @property
    def table(self):
        return self.log.table

    def step_of(self, run):
        job = self.table.job_by_id.get(run.task.job)
        return job.spec.steps[run.task.step] if job and job.is_open else None

    def runs_of(self, life):
        return self.table.runs_by_minion.get(life, {})

    @property
    def now_ms(self):
        return int(self.now * 1000)

    def schedule(self, seconds, function, *arguments):
        event = (self.now + seconds, next(self.order), function, arguments)
        self.events.append(event)

    def run(self, seconds):
        """Advance the simulated time by `seconds`."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            due = sorted(event[:2] for event in self.events if event[0] <= self.now)
            ready = {event[:2]: event for event in self.events if event[0] <= self.now}
            self.events = [event for event in self.events if event[0] > self.now]
            for key in due:
                _, _, function, arguments = ready[key]
                function(*arguments)
            self.poll()
            self.plan()

    def poll(self):
        for agent in self.agent_by_minion.values():
            if agent.answers and self.now - agent.last_message_at > POLL_SECONDS:
                agent.last_message_at = self.now

    def submit(self, job, *steps, **times):
        assert self.log.submit(*steps, job=job, at_ms=self.now_ms, **times) == ""
        self.accepted_at[job] = self.now

    def plan(self):
        if not self.table.ready_steps:
            return
        usable = {life for life, one in self.agent_by_minion.items() if one.answers}
        view = suspect_view(self) if self.table.crashes else SuspectView()
        plan_context = PlanContext(self.now_ms, usable, suspects=view)
        starts, gangs = plan_starts(self.table, plan_context)
        if not starts and not gangs:
            return
        self.log.send(commands.StartRuns(starts, gangs, self.now_ms))
        for start in (*starts, *itertools.chain(*gangs)):
            run = self.table.run_by_task.get(start.task)
            if run is not None and run.minion == start.minion:
                view = RunView(run, RunViewStatus.ORDERED)
                self.agent_by_minion[run.minion].view_by_task[run.task] = view
                self.schedule(ORDER_SECONDS, self.begin, run, view)

    def begin(self, run, view):
        agent = self.agent_by_minion.get(run.minion)
        if agent is None or not agent.answers:
            return
        self.starts[run.task] = self.starts.get(run.task, 0) + 1
        agent.last_message_at = self.now
        view.status = RunViewStatus.RUNNING
        view.note_begun(self.now)
        self.log.send(commands.EndRuns((), self.now_ms, (run.task.job,)))
        if run.task in self.crash_after:
            self.schedule(self.crash_after[run.task], self.crash, run.minion)
        if agent.minion.vm in self.crashing_vms:
            self.schedule(2 * TICK_SECONDS, self.crash, run.minion)
        step = self.step_of(run)
        if step is not None and not step.lasts:
            self.schedule(step.estimate_ms / 1000, self.finish, run)

    def finish(self, run):
        agent = self.agent_by_minion.get(run.minion)
        if agent is None or not agent.answers:
            return
        view = agent.view_by_task.get(run.task)
        if view is None or view.run is not run:
            return
        agent.last_message_at = self.now
        del agent.view_by_task[run.task]
        self.end(run, RunResult.DONE)
        job = self.table.job_by_id[run.task.job]
        if job.status is JobStatus.SUCCEEDED:
            self.done_at.setdefault(job.id, self.now)

    def end(self, run, result):
        one = RunEnd(run.task, run.number, run.minion, result)
        self.log.send(commands.EndRuns((one,), self.now_ms))

    def register(self, number):
        """Register a new incarnation of a minion; the previous one has ended."""
        record = make_minion(
            number,
            id=f"i-{next(self.incarnation_numbers)}",
            cpu_millicores=self.millicores,
        )
        before = self.table.life_by_vm.get(record.vm)
        if before is not None:
            self.suspect(before)
        self.log.send(commands.RegisterMinion(record, self.now_ms))
        self.agent_by_minion.pop(before, None)
        self.agent_by_minion[record.id] = SimulatedAgent(self, record)

    def suspect(self, life):
        blame = self.blame(life)
        if blame.exposed:
            self.log.send(commands.SuspectLife(life, blame))

    def blame(self, life):
        agent = self.agent_by_minion.get(life)
        if agent is None:
            return unobserved_blame(self.table, life)
        return blame_of(agent, self.agent_by_minion.values(), self.now_ms)

    def crash(self, life, down_seconds=None):
        """Crash an incarnation if it is still up; another one follows."""
        agent = self.agent_by_minion.get(life)
        if agent is None or not agent.is_up:
            return
        agent.is_up = False
        self.schedule(NOTICE_SECONDS, self.become_unresponsive, agent)
        down = down_seconds or self.random.uniform(2.0, 6.0)
        self.schedule(down, self.register, int(agent.minion.vm.split("-")[1]))

    def disconnect(self, life, seconds):
        """Disconnect an incarnation for `seconds`; it goes on running."""
        agent = self.agent_by_minion[life]
        agent.is_disconnected = True
        self.schedule(NOTICE_SECONDS, self.become_unresponsive, agent)
        self.schedule(seconds, self.reconnect, agent)

    def reconnect(self, agent):
        agent.is_disconnected = False
        if not agent.is_up:
            return
        agent.last_message_at = self.now
        life = agent.minion.id
        if life in self.table.crashes.blame_by_life:
            self.log.send(commands.SuspectLife(life, NO_BLAME))
        for view in list(agent.view_by_task.values()):
            agent.view_by_task.pop(view.run.task)
            self.end(view.run, RunResult.LAPSED)

    def become_unresponsive(self, agent):
        agent.unresponsive_since = self.now
        self.schedule(EXPIRY_SECONDS, self.expire_lease, agent)

    def expire_lease(self, agent):
        life = agent.minion.id
        if agent.answers or life not in self.agent_by_minion:
            return
        self.suspect(life)
        for run in list(self.runs_of(life).values()):
            self.end(run, RunResult.LOST)
        agent.view_by_task.clear()

    def change_leader(self):
        """Let another leader take over, whose agents have observed no minion yet."""
        for agent in self.agent_by_minion.values():
            for view in agent.view_by_task.values():
                view.begun_at = self.now if agent.answers else 0.0
            if not agent.answers:
                agent.last_message_at = 0.0
                agent.unresponsive_since = self.now

    def status(self, job):
        return self.table.job_by_id[job].status

    def submit_jobs(self, count, prefix="b"):
        """Submit `count` jobs of random size; return their ids."""
        jobs = [f"{prefix}{number:015x}" for number in range(count)]
        for job in jobs:
            count = self.random.randint(1, 6)
            step = Step(count, 1000, 100, estimate_ms=self.random.randint(200, 1700))
            self.submit(job, step, Step(2, 500, 50, estimate_ms=300, after=(0,)))
        return jobs
