"""
hingepitch.jobs.halldrain
~~~~~~~~~~~~~~~~~~~~~~~~~

Drains long-running tasks from cordoned halls, within their disruption budgets and
while there is room for them elsewhere.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.jobs.plan import PlanContext, PlanningPass, best_minion
from hingepitch.jobs.record import TaskStatus
from hingepitch.jobs.watch import UPKEEP_REASON

__all__ = ["HallDrain"]

#: Shortest time between two passes, in seconds. A pass goes over all minions.
PASS_SECONDS = 0.1


class HallDrain:
    """Moves long-running tasks out of cordoned halls during one leadership.

    `session`
        The `Session` of the leadership.
    `drained`
        Task and number of each run that is evacuated because of a cordon.
    """

    def __init__(self, session):
        self.session = session
        self.drained = set()
        self.passed_at = 0.0

    def run_pass(self):
        """Evacuate the long-running tasks of cordoned halls that may move now."""
        self.forget_ended_runs()
        table = self.session.table
        now = lease_seconds()
        if not table.cordons.cordon_by_hall or now - self.passed_at < PASS_SECONDS:
            return
        self.passed_at = now
        runs = list(self.runs_to_move())
        if not runs:
            return
        usable = self.session.planner.usable_minions(now)
        work = PlanningPass(table, PlanContext(wall_ms(), usable))
        for key, step, count in self.owed_room():
            reserve(work, key, step, count)
        for run, step in runs:
            if not self.session.watch.is_within_budget(run, step):
                continue
            # Each log line of an evacuation lets other greenlets run.
            if table.run_by_task.get(run.task) is not run:
                continue
            # The tasks of a gang can only be started again together.
            if reserve(work, run.task[:3], step, step.count if step.gang else 1):
                self.drained.add((run.task, run.number))
                self.session.watch.evacuate(run, UPKEEP_REASON)

    def forget_ended_runs(self):
        """Delete the runs that are no longer recorded."""
        recorded = self.session.table.run_by_task
        self.drained = {
            (task, number)
            for task, number in self.drained
            if task in recorded and recorded[task].number == number
        }

    def runs_to_move(self):
        """Yield each run of a long-running task in a cordoned hall, with its step.

        Runs that are being stopped are left out, and those on minions that do not
        respond: a stop would not arrive there.
        """
        table = self.session.table
        agents = self.session.agent_by_minion
        for minion in list(table.minion_by_id.values()):
            agent = agents.get(minion.id)
            if minion.hall not in table.cordons or not agent or agent.is_unresponsive:
                continue
            for run in list(self.session.runs_of(minion.id).values()):
                step = self.session.step_of(run)
                if step and step.lasts and self.session.is_wanted(run):
                    yield run, step

    def owed_room(self):
        """Yield the key, the step and the number of tasks that need room before others.

        These are long-running tasks that wait, and those that are being evacuated.
        """
        table = self.session.table
        for key in table.ready_steps:
            job = table.job_by_id[key[0]]
            step = job.spec.steps[key[2]]
            if step.lasts:
                tasks = job.round_by_number[key[1]].tasks_by_step[key[2]]
                waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
                yield key, step, waiting
        for task, number in self.session.watch.evacuated:
            run = table.run_by_task.get(task)
            step = run and run.number == number and self.session.step_of(run)
            if step and step.lasts:
                yield task[:3], step, 1

    def is_withdrawn(self, run):
        """Whether a run was to leave only because of a cordon that is over.

        False if its job has ended, and once a stop was sent, since it may still be
        carried out.
        """
        key = run.task, run.number
        if self.session.step_of(run) is None or key not in self.drained:
            return False
        if self.session.watch.evacuated.get(key) != UPKEEP_REASON:
            return False
        minion = self.session.table.minion_by_id.get(run.minion)
        if minion is None or minion.hall in self.session.table.cordons:
            return False
        agent = self.session.agent_by_minion.get(run.minion)
        view = agent and agent.view_by_task.get(run.task)
        return view is not None and not view.is_stop_sent

    def note_withdrawal(self, run):
        """Note that the evacuation of a run was withdrawn."""
        self.drained.discard((run.task, run.number))


def reserve(work, key, step, count):
    """Reserve room for `count` tasks of a step; return whether all of them have it.

    A step needs no permission for this, since permissions are requested for waiting
    tasks only.
    """
    pool = work.table.current_queue(work.table.job_by_id[key[0]]).pool
    candidates = [
        minion
        for minion in work.minions(pool)
        if not step.required_label or step.required_label in minion.labels
    ]
    for _ in range(count):
        minion = best_minion(work, key, step, candidates)
        if minion is None:
            return False
        work.reserve(key, step, minion)
    return True
