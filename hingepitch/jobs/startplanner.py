"""
hingepitch.jobs.startplanner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Planning passes of one leadership: decide which tasks start, and record the starts.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.jobs.accounts.share import ShareMeter
from hingepitch.jobs.command import OpenRounds, StartRuns
from hingepitch.jobs.crashes.isolation import SuspectView, suspect_view
from hingepitch.jobs.plan import PlanContext, plan_starts

__all__ = ["StartPlanner"]

#: Minimum time for which changes are collected before a planning pass, in seconds.
#: After a pass that took longer, changes are collected for as long as it took.
GATHER_SECONDS = 0.002


class StartPlanner:
    """Plans the starts of one leadership, and keeps what its passes have seen.

    `session`
        The `Session` of the leadership.
    `shares`
        The `ShareMeter` of the client accounts.
    `ready_since_by_step`
        When this leadership first saw each step ready, by step.
    `gather_seconds`
        For how long changes are collected before the next pass.
    """

    def __init__(self, session):
        self.session = session
        self.shares = ShareMeter(session.gauge.note_excess_job)
        self.ready_since_by_step = {}
        self.gather_seconds = GATHER_SECONDS

    @property
    def table(self):
        """The replicated job table."""
        return self.session.table

    def run_pass(self):
        """Reconcile the agents, open due rounds, plan starts and record them."""
        self.session.agents.reconcile()
        if not self.session.may_order():
            return
        self.open_due_rounds()
        self.session.watch.evacuate_draining()
        if self.table.ready_steps:
            self.start_ready_tasks()
        # Afterwards, so that room that waiting tasks take is not counted on.
        self.session.attempt("cordon_drain", self.session.cordon_drain.run_pass)

    def start_ready_tasks(self):
        """Plan the starts of waiting tasks and record them."""
        began = lease_seconds()
        starts, gangs = plan_starts(self.table, self.plan_context(self.ready_pools()))
        took = lease_seconds() - began
        self.session.load_reporter.note_pass(took)
        # Planning takes at most half of the time, however much work waits.
        self.gather_seconds = max(GATHER_SECONDS, took)
        if starts or gangs:
            self.session.propose(StartRuns(starts, gangs, wall_ms()))
            self.session.agents.reconcile()

    def ready_pools(self):
        """Return the names of the pools in which a step is ready."""
        table = self.table
        jobs = (table.job_by_id[key[0]] for key in table.ready_steps)
        return {table.current_queue(job).pool for job in jobs}

    def usable_minions(self, now, pools=None):
        """Return the incarnations of minions that may take new runs.

        `pools`
            The names of the pools whose minions are of interest, or None for all.
        """
        return {
            minion_id
            for minion_id, agent in self.session.agent_by_minion.items()
            if (pools is None or agent.minion.pool in pools)
            and agent.may_start(now)
            and agent.minion.hall not in self.table.cordons
        } - self.session.upkeep.leaving_incarnations

    def plan_context(self, pools=None):
        """Return the planner's input that is not in the job table.

        `pools`
            As for `usable_minions`.
        """
        now = lease_seconds()
        self.note_ready(now)
        session = self.session
        agents = session.agent_by_minion
        usable = self.usable_minions(now, pools)
        return PlanContext(
            wall_ms(),
            usable,
            {life: agents[life].health.avoidance(now) for life in usable},
            self.permitted_by_step(),
            session.durations,
            session.terms.cross_rack_slowdown,
            self.rack_waited_ms(now),
            suspect_view(session) if self.table.crashes else SuspectView(),
            session.restarts.paused(now),
            self.shares.excess_jobs(self.table) if self.table.has_accounts else set(),
            warmth_by_minion={
                life: agents[life].warmth.fraction(now)
                for life in usable
                if agents[life].warmth.is_cold(now)
            },
            spreads_over_halls=session.terms.spreads_over_halls,
        )

    def permitted_by_step(self):
        """Return the minions that may run each ready step that needs permission."""
        permissions = self.session.permissions
        return {
            step_key: permissions.permitted(step_key)
            for step_key in self.table.ready_steps
            if permissions.advice_terms(step_key) is not None
        }

    def note_ready(self, now):
        """Note since when each ready step has been ready."""
        self.ready_since_by_step = {
            key: self.ready_since_by_step.get(key, now)
            for key in self.table.ready_steps
        }

    def rack_waited_ms(self, now):
        """Return how long each ready `same_rack` step has waited, by step."""
        return {
            key: (now - since) * 1000
            for key, since in self.ready_since_by_step.items()
            if self.table.job_by_id[key[0]].spec.steps[key[2]].same_rack
        }

    def open_due_rounds(self):
        """Open the rounds of repeated jobs that are due."""
        now_ms = wall_ms() + self.session.terms.max_early_ms
        due = []
        for job_id in self.table.repeated_jobs:
            job = self.table.job_by_id[job_id]
            spec = job.spec
            if spec.first_due_ms + job.rounds_opened * spec.interval_ms <= now_ms:
                due.append(job_id)
        if due:
            self.session.propose(OpenRounds(tuple(due)))
