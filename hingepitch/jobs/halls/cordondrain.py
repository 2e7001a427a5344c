"""
hingepitch.jobs.halls.cordondrain
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Drains long-running tasks from cordoned halls, within their disruption budgets and
while there is room for them elsewhere.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds
from hingepitch.jobs.plan import PlanningPass, place_step, place_tasks
from hingepitch.jobs.spec import TaskKey
from hingepitch.jobs.watch import CORDON_REASON

__all__ = ["CordonDrain"]

#: Shortest time between two passes, in seconds. A pass goes over all minions.
PASS_SECONDS = 0.1


class CordonDrain:
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
        # Each log line of an evacuation lets other greenlets run.
        for run, step, minions in self.choose(runs):
            is_recorded = table.run_by_task.get(run.task) is run
            if is_recorded and self.may_leave(run, step, minions):
                self.drained.add((run.task, run.number))
                self.session.watch.evacuate(run, CORDON_REASON)

    def choose(self, runs):
        """Return the runs that may leave now, with their step and the minions chosen.

        At most one run of a step with a disruption budget is among them, and of each
        gang, whose tasks can only be started again together.
        """
        plan_context = self.session.planner.plan_context()
        # These start again soon and need their room then.
        plan_context.paused = set()
        work = PlanningPass(self.session.table, plan_context)
        leaving = self.reserve_owed_room(work)
        chosen = []
        for run, step in runs:
            key = run.task[:3]
            if key in leaving or not self.may_leave(run, step):
                continue
            minions = place_again(work, run.task, step)
            if not minions:
                continue
            chosen.append((run, step, minions))
            if step.gang or step.max_away is not None:
                leaving.add(key)
        return chosen

    def may_leave(self, run, step, minions=()):
        """Whether a run in a cordoned hall may leave now, for these `minions`."""
        table = self.session.table
        return (
            table.minion_by_id[run.minion].hall in table.cordons
            and self.session.is_wanted(run)
            and self.session.watch.is_within_budget(run, step)
            and all(table.minion_by_id.get(one.id) is one for one in minions)
            and not any(one.hall in table.cordons for one in minions)
        )

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
        respond: a stop would not arrive there. So are those whose start elsewhere
        depends on more than room.
        """
        table = self.session.table
        agents = self.session.agent_by_minion
        for minion in list(table.minion_by_id.values()):
            agent = agents.get(minion.id)
            if minion.hall not in table.cordons or not agent or agent.is_unresponsive:
                continue
            for run in list(self.session.runs_of(minion.id).values()):
                step = self.session.step_of(run)
                if not step or not step.lasts or not self.session.is_wanted(run):
                    continue
                if self.may_start_anywhere(run.task, step):
                    yield run, step

    def may_start_anywhere(self, task, step):
        """Whether a task, and the gang of it, may start on any minion with room.

        Permissions are requested for waiting tasks only, and few minions may run a
        task that is suspected of crashes.
        """
        table = self.session.table
        if table.current_queue(table.job_by_id[task.job]).advice is not None:
            return False
        return not any(map(table.crashes.suspicion, gang_of(task, step)))

    def reserve_owed_room(self, work):
        """Reserve the room of tasks that come first; return the gangs among those.

        These are long-running tasks that wait and could start, and those that are
        being evacuated. The gangs are those that are not complete, by step.
        """
        table = self.session.table
        leaving_gangs = set()
        for key in table.ready_steps:
            job = table.job_by_id[key[0]]
            step = job.spec.steps[key[2]]
            if step.lasts and step.gang:
                leaving_gangs.add(key)
                place_again(work, TaskKey(*key, 0), step)
            elif step.lasts:
                list(place_step(work, job, key))
        for task, number in self.session.watch.evacuated:
            run = table.run_by_task.get(task)
            step = run and run.number == number and self.session.step_of(run)
            if not step or not step.lasts or task[:3] in leaving_gangs:
                continue
            if step.gang:
                leaving_gangs.add(task[:3])
            place_again(work, task, step)
        return leaving_gangs

    def is_withdrawn(self, run):
        """Whether a run was to leave only because of a cordon that is over.

        False if its job has ended, and once a stop was sent, since it may still be
        carried out.
        """
        key = run.task, run.number
        if self.session.step_of(run) is None or key not in self.drained:
            return False
        if self.session.watch.evacuated.get(key) != CORDON_REASON:
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


def gang_of(task, step):
    """Return the tasks of the gang of `task`, or just the task itself."""
    if not step.gang:
        return [task]
    return [task._replace(index=index) for index in range(step.count)]


def place_again(work, task, step):
    """Reserve room for a task, or its gang, as if its run had ended.

    Returns the minions by the rules of the planner. If there is not room for all of
    the tasks, nothing is reserved, and the list is empty.
    """
    key = task[:3]
    job = work.table.job_by_id[task.job]
    tasks = gang_of(task, step)
    runs = [one for one in map(work.table.run_by_task.get, tasks) if one is not None]
    usage = work.account_usage(job.account)
    for run in runs:
        usage.add(run, -1)
    starts = place_tasks(work, job, key, [one.index for one in tasks])
    minions = [work.table.minion_by_id[start.minion] for start in starts]
    if len(minions) == len(tasks):
        return minions
    for minion in minions:
        work.release(key, step, minion)
    for run in runs:
        usage.add(run)
    return []
