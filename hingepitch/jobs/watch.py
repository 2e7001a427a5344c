"""
hingepitch.jobs.watch
~~~~~~~~~~~~~~~~~~~~~

Decisions on runs from their status rows: stopping stalled tasks, evacuating
runs within the disruption budget, pacing fillers and noting minion health.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.jobs.agents.runview import RunViewStatus
from hingepitch.jobs.crashes.health import is_stalled
from hingepitch.jobs.pace import ServingTask, next_percent
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import format_task
from hingepitch.log import log_event

__all__ = ["BUDGETED_REASONS", "CORDON_REASON", "UPKEEP_REASON", "RunWatch"]

#: Long-poll wait on a minion where fillers run beside serving tasks, in
#: milliseconds. Interference must be detected and ended within a few seconds.
SHARED_POLL_MS = 500

#: Long-poll wait on a minion with tasks that end by themselves, in milliseconds. A
#: poll whose answer is lost hides all ends for that long.
BUSY_POLL_MS = 600

#: Long-poll wait on a minion where a long-running task is warming up, in
#: milliseconds, and how long after its start this wait applies, in seconds. Until
#: the task is known to be at work, it counts against its step's disruption budget.
WARMING_POLL_MS = 200
WARMING_SECONDS = 2.0

#: Evacuation reasons that are subject to the disruption budget of the run's step. A
#: run evacuated for another reason would end anyway.
UPKEEP_REASON = "upkeep"
CORDON_REASON = "cordon"
BUDGETED_REASONS = frozenset((UPKEEP_REASON, CORDON_REASON))

#: Number of stops for a stall after which the stall timeout of a task doubles with
#: each further stop, and the maximum number of doublings.
STALLS_BEFORE_DOUBLING = 4
MAX_DOUBLINGS = 5

#: Maximum number of stalled tasks that are remembered; the oldest are dropped.
MAX_STALLED_TASKS = 4096


class RunWatch:
    """Watches the runs and minions of one leadership.

    `session`
        The `Session`, with its table and agents.
    `evacuated`
        The reason for each evacuation, by task and run number. An evacuated run
        is stopped so that its task continues on another minion.
    `stalls_by_task`
        How often each recently stalled task was stopped for a stall.
    """

    def __init__(self, session):
        self.session = session
        self.evacuated = {}
        self.stalls_by_task = {}

    def evacuate(self, run, reason):
        """Stop a run so that its task continues on another minion."""
        self.evacuated[run.task, run.number] = reason
        log_event(
            "run_evacuated",
            job=run.task.job,
            task=format_task(run.task),
            run=run.number,
            minion=run.minion,
            reason=reason,
        )
        agent = self.session.agent_by_minion.get(run.minion)
        if agent is not None:
            agent.wake.set()

    def is_within_budget(self, run, step):
        """Whether the disruption budget of `step` lets a long-running task stop."""
        if step.max_away is None:
            return True
        if not self.is_settled():
            return False
        tasks = (run.task._replace(index=index) for index in range(step.count))
        others = (task for task in tasks if task != run.task)
        unavailable = sum(not self.is_at_work(task) for task in others)
        return unavailable < max(1, step.max_away)

    def is_settled(self):
        """Whether all stops that an earlier leader sent have been carried out.

        Until then a status poll may list tasks as at work that are about to end.
        """
        age = lease_seconds() - self.session.started_at
        return age >= self.session.terms.expiry_delay_seconds

    def exceeds_budget(self, run):
        """Whether a stop for maintenance or a cordon would exceed the budget now.

        Other tasks of the step may have become unavailable since the decision,
        while the stop waited for its turn, for a confirmation of the leadership or
        for an answer. A stop that is no longer needed exceeds any budget.
        """
        if self.session.cordon_drain.is_withdrawn(run):
            return True
        step = self.session.step_of(run)
        reason = self.evacuated.get((run.task, run.number))
        if reason not in BUDGETED_REASONS or step is None:
            return False
        return step.lasts and not self.is_within_budget(run, step)

    def withdraw_evacuation(self, run):
        """Withdraw an evacuation that a budget limits; it may be decided again."""
        self.session.cordon_drain.note_withdrawal(run)
        if self.evacuated.pop((run.task, run.number), None) is None:
            return
        log_event(
            "evacuation_taken_back",
            job=run.task.job,
            task=format_task(run.task),
            run=run.number,
            minion=run.minion,
        )

    def is_at_work(self, task):
        """Whether a long-running task is known to be at work: running and warmed up.

        The last status of an unresponsive minion does not count. A task that was
        listed as ended is not at work, even before its end is committed.
        """
        run = self.session.table.run_by_task.get(task)
        agent = run and self.session.agent_by_minion.get(run.minion)
        if not agent or agent.is_unresponsive:
            return False
        view = agent.view_by_task.get(task)
        if agent.is_gone or not view or view.has_ended:
            return False
        if view.row is None or view.row.percent < 100:
            return False
        is_running = view.status is RunViewStatus.RUNNING
        return is_running and (task, run.number) not in self.evacuated

    def fillers(self, agent):
        """Return the views of the runs on a minion that only use spare CPU."""
        views = agent.view_by_task.values()
        steps = [(view, self.session.step_of(view.run)) for view in views]
        return [view for view, step in steps if step and step.fills_spare_cpu]

    def serving_tasks(self, agent):
        """Yield a `ServingTask` for each serving task that a minion has listed."""
        for view in agent.view_by_task.values():
            step = self.session.step_of(view.run)
            if step and step.target_ms and view.row is not None:
                yield ServingTask(view.row.load, step.target_ms)

    def poll_wait_ms(self, agent):
        """Return how long a status poll may wait for an end, in milliseconds."""
        longest = self.session.terms.poll_wait_ms
        if self.has_warming_task(agent):
            return min(WARMING_POLL_MS, longest)
        if self.fillers(agent) and any(self.serving_tasks(agent)):
            return min(SHARED_POLL_MS, longest)
        if self.has_batch_run(agent):
            return min(BUSY_POLL_MS, longest)
        return longest

    def has_warming_task(self, agent):
        """Whether a long-running task was started recently and is not at work yet."""
        since = lease_seconds() - WARMING_SECONDS
        for view in agent.view_by_task.values():
            is_young = view.status is RunViewStatus.RUNNING and view.answered_at > since
            if not is_young or (view.row is not None and view.row.percent >= 100):
                continue
            step = self.session.step_of(view.run)
            if step is not None and step.lasts:
                return True
        return False

    def has_batch_run(self, agent):
        """Whether a minion has a run of a task that is not long-running."""
        steps = (self.session.step_of(view.run) for view in agent.view_by_task.values())
        return any(step is not None and not step.lasts for step in steps)

    def note_rows(self, agent):
        """Stop stalled tasks and pace fillers after a status poll."""
        self.stop_stalled(agent)
        self.pace_fillers(agent)

    def stop_stalled(self, agent):
        """Evacuate the stalled tasks of a minion and note its trouble.

        On a cold minion even the first percent takes longer than the stall timeout,
        which therefore counts from the end of the warm-up.
        """
        for view in list(agent.view_by_task.values()):
            step = self.session.step_of(view.run)
            if view.row is None or step is None or step.lasts:
                continue
            if step.fills_spare_cpu:
                continue
            stall_factor = self.stall_factor(view.run.task)
            row_since = max(view.row_since, agent.warmth.warm_at)
            polled_at = agent.status_poller.polled_at
            if not is_stalled(row_since, polled_at, step.gang, stall_factor):
                continue
            if self.session.is_wanted(view.run):
                self.note_stall(view.run.task)
                agent.health.note_trouble(view.run.task.job, lease_seconds())
                self.evacuate(view.run, "no progress")

    def note_stall(self, task):
        """Count a stop of a stalled task."""
        self.stalls_by_task[task] = self.stalls_by_task.pop(task, 0) + 1
        while len(self.stalls_by_task) > MAX_STALLED_TASKS:
            del self.stalls_by_task[next(iter(self.stalls_by_task))]

    def stall_factor(self, task):
        """Return the factor by which the stall timeout of a task is extended.

        A task that stalls on every minion is stopped less and less often, as it
        would otherwise be restarted over and over and keep no progress.
        """
        doublings = self.stalls_by_task.get(task, 0) - STALLS_BEFORE_DOUBLING
        return 2 ** min(max(0, doublings), MAX_DOUBLINGS)

    def pace_fillers(self, agent):
        """Set the pace of a minion's fillers from the load of its serving tasks."""
        fillers = self.fillers(agent)
        if not fillers:
            return
        percent = next_percent(agent.filler_percent, list(self.serving_tasks(agent)))
        agent.filler_percent = percent
        for view in fillers:
            if view.percent != percent and view.status is RunViewStatus.RUNNING:
                agent.order_pace(view, percent)

    def note_ends(self, agent, ends):
        """Update the health of a minion from the ends that it listed.

        A run that began while the minion was cold says nothing about it: a failure
        may be a time-out that the slowness caused.
        """
        now = lease_seconds()
        at_ms = wall_ms()
        for end in ends:
            run = self.session.table.run_by_task.get(end.task)
            if run is not None and self.session.began_cold(run, at_ms):
                continue
            if end.result is RunResult.DONE:
                agent.health.note_success(now)
            elif end.result is RunResult.FAILED:
                agent.health.note_trouble(end.task.job, now)

    def evacuate_draining(self):
        """Evacuate long-running tasks from draining minions; they would end anyway."""
        for minion in list(self.session.table.minion_by_id.values()):
            if not minion.is_draining or minion.id not in self.session.agent_by_minion:
                continue
            for run in list(self.session.runs_of(minion.id).values()):
                step = self.session.step_of(run)
                if step and step.lasts and self.session.is_wanted(run):
                    self.evacuate(run, "the minion is draining")
