"""What is repeated for a task has a bound or a growing pause.

Found while looking for the cause of tasks that crash minions elsewhere: a task
that lasts and ends at once was started again some hundred times a second, and one
that stands still wherever it runs was stopped and moved every few seconds.
"""

from types import SimpleNamespace

import gevent

from hingepitch.httpd import wait_until
from hingepitch.jobs import health as health_module, watch as watch_module
from hingepitch.jobs.restart import MAX_TASKS, RestartBackoff, backoff_seconds
from hingepitch.jobs.spec import Step
from hingepitch.model import command as commands
from hingepitch.model.record import JobState
from hingepitch.planner.placement import MAX_LOSSES, plan_tasks, task_name
from hingepitch.planner.view import TaskState
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, rig
from tests.test_fleet import Fleet, submit
from tests.test_job_rules import task

__all__ = ["rig"]


def test_a_lasting_task_that_ends_at_once_is_started_ever_more_rarely(rig):
    minion = TaskMinion(task_seconds=0.01)
    here = rig(minion)
    here.submit(Step(1, lasts=True))
    assert wait_until(lambda: len(minion.starts) > 1, SECONDS)
    gevent.sleep(2.0)
    assert len(minion.starts) <= 8
    minion.task_seconds = None
    assert wait_until(lambda: minion.running, SECONDS)


def test_a_job_that_is_lost_with_its_vms_ends_as_failed():
    fleet = Fleet()
    submit(fleet, "j")
    for _ in range(MAX_LOSSES):
        assert fleet.state.get("job", "j").state is JobState.WAITING
        fleet.planner(commands.PlaceJob("j", "v0"))
        name = task_name(fleet.state.get("job", "j"))
        lost = SimpleNamespace(state=TaskState.EXPIRED, name=name)
        view = SimpleNamespace(task_by_name={name: lost})
        for step in list(plan_tasks(fleet.state, view, is_renewal_due=False)):
            assert fleet.planner(step.command).accepted
    assert fleet.state.get("job", "j").state is JobState.FAILED


def test_the_pause_grows_to_a_bound_and_ends_with_a_long_run():
    pauses = [backoff_seconds(ends) for ends in range(1, 40)]
    assert pauses[0] == 0
    assert pauses == sorted(pauses)
    assert pauses[-1] <= 2.0
    book = RestartBackoff()
    for now in range(3):
        book.note_end(task(), 0.1, now)
    assert book.paused(2.0) == {task()}
    book.note_end(task(), 5.0, 7.0)
    assert not book.paused(7.0)


def test_the_tasks_that_are_remembered_are_bounded():
    book = RestartBackoff()
    for index in range(MAX_TASKS + 5):
        book.note_end(task(index=index), 0.1, index)
    assert len(book.backoff_by_task) == MAX_TASKS


def test_a_task_that_stands_still_everywhere_is_moved_ever_more_rarely(
    rig, monkeypatch
):
    monkeypatch.setattr(health_module, "STALL_SECONDS", 0.3)
    monkeypatch.setattr(health_module, "EXCLUDED_FROM_JOBS", 100)
    monkeypatch.setattr(watch_module, "STALLS_BEFORE_DOUBLING", 2)
    minions = [TaskMinion() for _ in range(3)]
    here = rig(*minions)
    here.submit(Step(1))

    def starts():
        return sum(len(one.starts) for one in minions)

    assert wait_until(lambda: starts() == 4, SECONDS)
    watch = here.dispatcher.session.watch
    assert [watch.stall_factor(task()) for _ in range(2)] == [2, 2]
    assert wait_until(lambda: starts() == 5, SECONDS)
    assert watch.stall_factor(task()) == 4
