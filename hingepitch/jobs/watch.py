"""
hingepitch.jobs.watch
~~~~~~~~~~~~~~~~~~~~~

What the leader makes of the runs it sees: which stand still, which leave,
how fast fillers work, and how the minions do.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds
from hingepitch.jobs.health import is_hung
from hingepitch.jobs.pace import Neighbour, next_percent
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.runview import RunViewStatus
from hingepitch.jobs.spec import format_task
from hingepitch.log import log_event

__all__ = ["UPKEEP_REASON", "RunWatch"]

#: How long a look waits at a minion where fillers run beside tasks that serve, in
#: milliseconds: harm must be seen and ended within a few seconds.
SHARED_LOOK_MS = 500

#: How long a look waits where tasks run that end by themselves, in milliseconds:
#: one whose answer is lost hides all ends for that long.
BUSY_LOOK_MS = 600

#: How long a look waits where a task that lasts has begun and is not at work
#: yet, in milliseconds, and for how long it is looked at so often, in seconds.
#: Until it is seen at work, no other task of its step may leave its VM.
WARMING_LOOK_MS = 200
WARMING_SECONDS = 2.0

#: Why a run leaves that has to keep to what may be away of its step; what leaves
#: for another reason would end anyway.
UPKEEP_REASON = "upkeep"


#: From so many stops because it stood still on, a task is given twice as long
#: each time, up to so many doublings.
MAX_STALLS = 4
MOST_DOUBLINGS = 5

#: Tasks that stood still are remembered, the latest ones.
MAX_STALLED_TASKS = 4096


class RunWatch:
    """Judges the runs and the minions of one leadership.

    `session`
        The leadership: its table and its agents.
    `evacuated`
        Why runs are being stopped so that they go on elsewhere, by task and
        number.
    `stalls_by_task`
        How often a task was stopped because it stood still, the latest ones.
    """

    def __init__(self, session):
        self.session = session
        self.evacuated = {}
        self.stalls_by_task = {}

    def evacuate(self, run, reason):
        """Stop a run so that it goes on elsewhere."""
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

    def may_be_away(self, run, step):
        """Whether a lasting task may be stopped within its budget."""
        if step.max_away is None:
            return True
        if not self.is_settled():
            return False
        tasks = (run.task._replace(index=index) for index in range(step.count))
        others = (task for task in tasks if task != run.task)
        away = sum(not self.is_at_work(task) for task in others)
        return away < max(1, step.max_away)

    def is_settled(self):
        """Whether the stops that an earlier leader sent have been carried out.

        Until then a look shows tasks at work that are about to end.
        """
        age = lease_seconds() - self.session.started_at
        return age >= self.session.terms.lapse_seconds

    def exceeds_budget(self, run):
        """Whether a stop for an upkeep must wait: others went away meanwhile.

        It may have waited for its turn, for the leader to be confirmed, or for
        an answer since it was decided.
        """
        step = self.session.step_of(run)
        if self.evacuated.get((run.task, run.number)) != UPKEEP_REASON or step is None:
            return False
        return step.lasts and not self.may_be_away(run, step)

    def take_back(self, run):
        """Take a stop for an upkeep back; it is decided anew later."""
        del self.evacuated[run.task, run.number]
        log_event(
            "evacuation_taken_back",
            job=run.task.job,
            task=format_task(run.task),
            run=run.number,
            minion=run.minion,
        )

    def is_at_work(self, task):
        """Whether a lasting task is known to be at work.

        What a minion said before it fell silent does not count, and an end
        counts from when it is listed, though its record takes a commit.
        """
        run = self.session.table.run_by_task.get(task)
        agent = run and self.session.agent_by_minion.get(run.minion)
        if not agent or agent.is_silent:
            return False
        view = agent.view_by_task.get(task)
        if agent.is_gone or not view or view.has_ended:
            return False
        if view.row is None or view.row.percent < 100:
            return False
        is_running = view.status is RunViewStatus.RUNNING
        return is_running and (task, run.number) not in self.evacuated

    def fillers(self, agent):
        """Return the views of the runs on a minion that only fill."""
        views = agent.view_by_task.values()
        steps = [(view, self.session.step_of(view.run)) for view in views]
        return [view for view, step in steps if step and step.fills_spare_cpu]

    def neighbours(self, agent):
        """Yield what a look showed of the tasks that serve on a minion."""
        for view in agent.view_by_task.values():
            step = self.session.step_of(view.run)
            if step and step.target_ms and view.row is not None:
                yield Neighbour(view.row.load, step.target_ms)

    def look_wait_ms(self, agent):
        """Return how long a look may wait for an end."""
        longest = self.session.terms.look_wait_ms
        if self.has_warming(agent):
            return min(WARMING_LOOK_MS, longest)
        if self.fillers(agent) and any(self.neighbours(agent)):
            return min(SHARED_LOOK_MS, longest)
        if self.has_ending(agent):
            return min(BUSY_LOOK_MS, longest)
        return longest

    def has_warming(self, agent):
        """Whether a task that lasts was started lately and is not at work yet."""
        since = lease_seconds() - WARMING_SECONDS
        for view in agent.view_by_task.values():
            is_young = view.status is RunViewStatus.RUNNING and view.answered_at > since
            if not is_young or (view.row is not None and view.row.percent >= 100):
                continue
            step = self.session.step_of(view.run)
            if step is not None and step.lasts:
                return True
        return False

    def has_ending(self, agent):
        """Whether a run on a minion ends by itself, if all is well."""
        steps = (self.session.step_of(view.run) for view in agent.view_by_task.values())
        return any(step is not None and not step.lasts for step in steps)

    def note_rows(self, agent):
        """Act on what a look showed: tasks that stand still, and fillers."""
        self.stop_hung(agent)
        self.pace_fillers(agent)

    def stop_hung(self, agent):
        """Stop the tasks that stand still, so that they go on elsewhere."""
        for view in list(agent.view_by_task.values()):
            step = self.session.step_of(view.run)
            if view.row is None or step is None or step.lasts:
                continue
            if step.fills_spare_cpu:
                continue
            patience = self.patience(view.run.task)
            if not is_hung(view.row_since, agent.looks.looked_at, step.gang, patience):
                continue
            if self.session.is_wanted(view.run):
                self.note_stall(view.run.task)
                agent.health.note_trouble(view.run.task.job, lease_seconds())
                self.evacuate(view.run, "stands still")

    def note_stall(self, task):
        """Count that a task is stopped because it stands still."""
        self.stalls_by_task[task] = self.stalls_by_task.pop(task, 0) + 1
        while len(self.stalls_by_task) > MAX_STALLED_TASKS:
            del self.stalls_by_task[next(iter(self.stalls_by_task))]

    def patience(self, task):
        """Return how many times as long as usual a task may stand still.

        One that stands still wherever it runs is stopped ever more rarely: it
        would be started again and again, and nothing of it kept.
        """
        doublings = self.stalls_by_task.get(task, 0) - MAX_STALLS
        return 2 ** min(max(0, doublings), MOST_DOUBLINGS)

    def pace_fillers(self, agent):
        """Pace the fillers of a minion by its tasks that serve."""
        fillers = self.fillers(agent)
        if not fillers:
            return
        percent = next_percent(agent.filler_percent, list(self.neighbours(agent)))
        agent.filler_percent = percent
        for view in fillers:
            if view.percent != percent and view.status is RunViewStatus.RUNNING:
                agent.order_pace(view, percent)

    def note_ends(self, agent, ends):
        """Learn from ends that a minion listed how it does."""
        now = lease_seconds()
        for end in ends:
            if end.result is RunResult.DONE:
                agent.health.note_success(now)
            elif end.result is RunResult.FAILED:
                agent.health.note_trouble(end.task.job, now)

    def leave_draining(self):
        """Stop the lasting tasks on minions that drain: they would end anyway."""
        for minion in list(self.session.table.minion_by_id.values()):
            if not minion.is_draining or minion.id not in self.session.agent_by_minion:
                continue
            for run in list(self.session.runs_of(minion.id).values()):
                step = self.session.step_of(run)
                if step and step.lasts and self.session.is_wanted(run):
                    self.evacuate(run, "the minion drains")
