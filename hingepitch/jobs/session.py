"""
hingepitch.jobs.session
~~~~~~~~~~~~~~~~~~~~~~~

The session of one leadership: its authority to give orders, the ends that it records,
and the parts that work for it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent
from gevent.event import Event

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.error import HingepitchError
from hingepitch.jobs.admission import AdmissionController
from hingepitch.jobs.agents.agentregistry import AgentRegistry
from hingepitch.jobs.agents.contact import StartOrder
from hingepitch.jobs.agents.runview import RunViewStatus
from hingepitch.jobs.beginning import BeginningTracker
from hingepitch.jobs.command import (
    RemoveMinion,
    SuspectLife,
)
from hingepitch.jobs.crashes.blame import (
    blame_of,
    log_abandoned_jobs,
    log_crash,
    unobserved_blame,
)
from hingepitch.jobs.crashes.crash import NO_BLAME
from hingepitch.jobs.crashes.isolation import SuspectWaitTracker
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.endrecorder import EndRecorder
from hingepitch.jobs.gauge import DispatchGauge
from hingepitch.jobs.halls.cordondrain import CordonDrain
from hingepitch.jobs.load import measure_pools
from hingepitch.jobs.loadreport import LoadReporter
from hingepitch.jobs.mover import MoveController
from hingepitch.jobs.permission import PermissionController
from hingepitch.jobs.restart import RestartBackoff
from hingepitch.jobs.spec import format_task
from hingepitch.jobs.startplanner import StartPlanner
from hingepitch.jobs.tombstone import TombstoneAger
from hingepitch.jobs.upkeep import UpkeepController
from hingepitch.jobs.watch import RunWatch
from hingepitch.log import log_event, source_location
from hingepitch.model.command import Envelope, Role

__all__ = ["Session"]

#: Interval at which the leader confirms its leadership with a quorum, and the
#: maximum age of the last confirmation when an order is sent, in seconds. For six
#: ticks of 0.1 s after a round that a quorum answered, no other replica can be
#: elected; the maximum age stays below that.
CONFIRM_SECONDS = 0.15
MAX_CONFIRMED_AGE_SECONDS = 0.5

#: Maximum time between two planning passes, in seconds.
PASS_SECONDS = 0.1

#: Pause after a status poll that returns at once, in seconds.
POLL_PAUSE_SECONDS = 0.1


class Session:
    """One leadership: its authority to give orders, and its volatile state.

    `replica`
        The replica; it leads in the term `fence`.
    `connect`
        Function from a `Minion` to a client for it.
    `terms`
        A `DispatchSettings`.
    `platform`
        Client of the platform's VM API, or None without a platform.
    `adviser`
        Client of the service that grants permission for minions, or None.
    `metrics`
        The `Metrics` of the process.
    `has_failed`
        Whether an unexpected exception ended the session.
    `restarts`
        The long-running tasks that ended right after their start.
    `planner`
        The `StartPlanner` of this leadership.
    `cordon_drain`
        The `CordonDrain` of this leadership.
    `admission`
        The `AdmissionController`, which decides on new jobs.
    `load_reporter`
        The `LoadReporter` of this leadership.
    `end_recorder`
        The `EndRecorder` of this leadership.
    `beginnings`
        The `BeginningTracker` of this leadership.
    `suspect_waits`
        The `SuspectWaitTracker` of the tasks that must start in isolation.
    `inherited`
        Task and number of each run that an earlier leader recorded.
    """

    def __init__(self, replica, connect, terms, name, platform, adviser, metrics):
        self.replica = replica
        self.terms = terms
        self.name = name
        self.gauge = DispatchGauge(metrics, self)
        self.durations = Durations()
        self.permissions = PermissionController(self, adviser)
        self.watch = RunWatch(self)
        self.cordon_drain = CordonDrain(self)
        self.upkeep = UpkeepController(self, platform, terms.upkeep_seconds)
        self.mover = MoveController(self, platform, terms.pools, terms.move_seconds)
        self.fence = replica.core.term
        self.started_at = lease_seconds()
        self.confirmed_at = 0.0
        self.is_over = False
        self.has_failed = False
        self.agents = AgentRegistry(self, connect)
        self.greenlets = set()
        self.woken = Event()
        self.restarts = RestartBackoff()
        self.suspect_waits = SuspectWaitTracker(lease_seconds)
        self.planner = StartPlanner(self)
        self.admission = AdmissionController(self)
        self.load_reporter = LoadReporter(self)
        self.end_recorder = EndRecorder(self)
        self.beginnings = BeginningTracker(self)
        self.inherited = {
            (run.task, run.number) for run in self.table.run_by_task.values()
        }

    @property
    def table(self):
        """The replicated job table."""
        return self.replica.state.jobs

    @property
    def lease_seconds(self):
        """Duration of the lease that an order grants."""
        return self.terms.lease_seconds

    @property
    def confirmed_expiry_seconds(self):
        """Time until a lease granted now is confirmed to have expired."""
        return self.terms.confirmed_expiry_seconds

    @property
    def silence_timeout_seconds(self):
        """Time without a message after which a minion gets no new runs."""
        return 3 * self.terms.heartbeat_seconds

    @property
    def poll_pause_seconds(self):
        """Pause after a status poll that returns at once."""
        return POLL_PAUSE_SECONDS

    @property
    def batch_seconds(self):
        """How long work is collected before it is handled together."""
        return self.load_reporter.loop_delay.batch_seconds

    def leads(self):
        """Whether this replica still leads in this session's term, as far as known."""
        core = self.replica.core
        return not self.is_over and self.replica.is_leader and core.term == self.fence

    def may_order(self):
        """Whether a recent confirmation rules out that another leader was elected."""
        age = lease_seconds() - self.confirmed_at
        return self.leads() and age < MAX_CONFIRMED_AGE_SECONDS

    def runs_of(self, minion_id):
        """Return the runs recorded on an incarnation of a minion, by task."""
        return self.table.runs_by_minion.get(minion_id, {})

    def initial_status(self, run):
        """Return the initial `RunViewStatus` of a run that an agent adopts."""
        if (run.task, run.number) in self.inherited:
            return RunViewStatus.INHERITED
        return RunViewStatus.FRESH

    def is_wanted(self, run):
        """Whether a run should continue: its job is open and it is not evacuated."""
        job = self.table.job_by_id.get(run.task.job)
        if job is None or not job.is_open:
            return False
        evacuated = self.watch.evacuated
        return not evacuated or (run.task, run.number) not in evacuated

    def start_order(self, run, lease_until_ms):
        """Return the `StartOrder` for `run`, or None if it must not start."""
        minion = self.table.minion_by_id.get(run.minion)
        task = self.table.task(run.task)
        if minion is None or minion.is_draining or task is None:
            return None
        if minion.hall in self.table.cordons:
            return None
        # The minion's capacity may have shrunk since the run was placed.
        if self.table.usage_by_minion[run.minion].exceeds(minion):
            return None
        step_key = run.task[:3]
        ticket = self.permissions.ticket(step_key, run.minion)
        if ticket is None and self.permissions.advice_terms(step_key) is not None:
            return None
        return StartOrder(
            task=run.task,
            number=run.number,
            payload=self.table.job_by_id[run.task.job].spec.payload,
            lease_until_ms=lease_until_ms,
            fence=self.fence,
            checkpoint=task.checkpoint,
            ticket=ticket or "",
        )

    def note_order(self, order, run, reply):
        """Log an order and the minion's reply."""
        self.gauge.note_order(order, reply)
        self.load_reporter.note_order(reply)
        log_event(
            "run_ordered",
            order=order,
            job=run.task.job,
            task=format_task(run.task),
            run=run.number,
            minion=run.minion,
            fence=self.fence,
            reply=reply.kind.value,
            detail=reply.detail,
        )

    def step_of(self, run):
        """Return the step of a run whose job is open, or None."""
        job = self.table.job_by_id.get(run.task.job)
        return job.spec.steps[run.task.step] if job and job.is_open else None

    def log_unknown_run(self, agent, row):
        """Log a run on a minion that is not recorded; it ends with its lease."""
        log_event(
            "unknown_run",
            minion=agent.minion.id,
            task=format_task(row.task),
            run=row.number,
        )

    def end_runs(self, ends, cause):
        """Record that runs ended, with the `EndCause`; return whether committed."""
        return self.end_recorder.record(ends, cause)

    def began_cold(self, run, at_ms):
        """Whether the minion of a run was still cold when the run was recorded."""
        agent = self.agent_by_minion.get(run.minion)
        ran_seconds = (at_ms - run.started_ms) / 1000
        return agent is not None and agent.warmth.is_cold(lease_seconds() - ran_seconds)

    def end_incarnation(self, minion_id, reason):
        """Record that an incarnation of a minion has ended; return whether it has."""
        minion = self.table.minion_by_id.get(minion_id)
        if minion is None:
            return True
        runs = len(self.runs_of(minion_id))
        log_event("minion_removed", minion=minion_id, reason=reason, runs=runs)
        self.suspect(minion_id)
        blame = self.table.crashes.blame_by_life.get(minion_id, NO_BLAME)
        is_over = self.propose(RemoveMinion(minion_id, wall_ms(), minion.born_ms))
        log_abandoned_jobs(self.table, minion_id, blame)
        return is_over

    def suspect(self, minion_id):
        """Record which tasks are suspected if an incarnation has crashed."""
        blame = self.blame(minion_id)
        if blame.exposed:
            self.gauge.note_crash(blame)
            log_crash(minion_id, blame)
            self.propose(SuspectLife(minion_id, blame))

    def blame(self, minion_id):
        """Return the `Blame` for an unplanned end of an incarnation now."""
        agent = self.agent_by_minion.get(minion_id)
        if agent is None:
            return unobserved_blame(self.table, minion_id)
        return blame_of(agent, self.agent_by_minion.values(), wall_ms())

    def withdraw_suspicion(self, minion_id):
        """Withdraw the suspicion for a minion that answers after a presumed crash."""
        if minion_id in self.table.crashes.blame_by_life:
            self.propose(SuspectLife(minion_id, NO_BLAME))

    def fenced(self, minion_id):
        """End the session: a minion has heard from a later leader."""
        log_event("session_fenced", minion=minion_id, fence=self.fence)
        self.is_over = True
        self.woken.set()

    def propose(self, command):
        """Propose a command for the log; return whether it was accepted."""
        if not self.leads():
            return False
        began = lease_seconds()
        try:
            outcome = self.replica.propose(
                Envelope(Role.DISPATCHER, "", self.name, command)
            )
        except HingepitchError as error:
            log_event("command_refused", command=type(command).__name__, error=error)
            return False
        self.gauge.note_commit(command, lease_seconds() - began)
        # A quorum accepted the command, so no other replica had been elected.
        self.confirmed_at = max(began, self.confirmed_at)
        return outcome.accepted

    def run(self):
        """Run the planning loop until the leadership ends."""
        for loop in (
            self.keep_confirming,
            self.follow_changes,
            self.end_recorder.run,
            self.beginnings.run,
            TombstoneAger(self).run,
            self.load_reporter.run,
            self.load_reporter.loop_delay.run,
        ):
            self.spawn(loop)
        if self.upkeep.platform is not None:
            self.spawn(self.upkeep.run)
            self.spawn(self.mover.run)
        if self.permissions.adviser is not None:
            self.spawn(self.permissions.run)
        try:
            while self.leads():
                self.woken.wait(PASS_SECONDS)
                self.woken.clear()
                gevent.sleep(self.planner.gather_seconds)
                self.planner.run_pass()
        finally:
            self.is_over = True
            gevent.killall(list(self.greenlets), block=False)
            self.agents.close()
            self.gauge.reset_gauges()

    def spawn(self, function, *arguments):
        """Run a function in a greenlet that ends with the session; return it.

        An exception ends the session; the next session starts from the log.
        """
        greenlet = gevent.spawn(function, *arguments)
        self.greenlets.add(greenlet)
        greenlet.link(self.note_end)
        return greenlet

    def spawn_guarded(self, name, function, *arguments):
        """Run a function in a greenlet; log its exception and keep the session."""
        return self.spawn(self.attempt, name, function, *arguments)

    def attempt(self, name, function, *arguments):
        """Return the function's result; log an exception and return None.

        Only for functions that record each decision before they order it, so that
        the next call can continue from the log. An `Agent` does not qualify: its
        knowledge of the minion is volatile and ends with the session.
        """
        try:
            return function(*arguments)
        except Exception as error:
            self.gauge.note_failure(name)
            log_event(
                "child_failed", child=name, error=repr(error), at=source_location(error)
            )
            return None

    def note_end(self, greenlet):
        """Forget a finished greenlet; end the session if it failed."""
        self.greenlets.discard(greenlet)
        if not greenlet.successful():
            error = greenlet.exception
            log_event(
                "child_failed",
                child="session",
                error=repr(error),
                at=source_location(error),
            )
            self.is_over = self.has_failed = True
            self.woken.set()

    def keep_confirming(self):
        """Confirm the leadership at intervals unless a commit has just done so."""
        while True:
            began = lease_seconds()
            if began - self.confirmed_at > CONFIRM_SECONDS:
                self.confirm_leadership(began)
            gevent.sleep(CONFIRM_SECONDS)

    def confirm_leadership(self, began):
        """Ask a quorum whether this replica still leads."""
        try:
            self.replica.confirm_leadership()
            self.confirmed_at = max(began, self.confirmed_at)
        except HingepitchError as error:
            log_event("leader_unconfirmed", fence=self.fence, error=error.code)

    def follow_changes(self):
        """Wake the planning loop on every state change, and the mover for new jobs."""
        while True:
            self.replica.changed.wait()
            self.woken.set()
            if self.table.arrived_jobs:
                self.mover.wake.set()
            gevent.sleep(0)

    def measure_pools(self):
        """Return the current `PoolLoad` of each pool, by name."""
        return measure_pools(self.table, wall_ms(), self.durations)

    @property
    def agent_by_minion(self):
        """The agents in service, by incarnation of a minion."""
        return self.agents.by_minion

    def note_heartbeat(self, minion_id, clock_ms, warm_up_ms=None):
        """Pass the heartbeat of a minion to its agent, if it has one.

        `warm_up_ms`
            For how long the minion is still cold, or None if that is not told.
        """
        agent = self.agent_by_minion.get(minion_id)
        if agent is not None:
            agent.note_heartbeat(clock_ms)
        if warm_up_ms is not None and self.terms.takes_cold_last:
            self.agents.note_cold(minion_id, warm_up_ms)
