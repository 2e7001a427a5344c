"""Fillers beside tasks that serve, and permissions for steps."""

import gevent
import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.pace import ServingTask, next_percent
from hingepitch.jobs.permission import (
    MARGIN_SECONDS,
    MINIONS_IN_CALL,
    PermissionController,
)
from hingepitch.jobs.queue import AdviceTerms, Queue
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step, TaskKey
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, Rig
from tests.test_job_rules import HOST, JOB, make_config, make_minion


@pytest.mark.parametrize(
    "percent, tails, expected",
    [
        (100, [], 100),
        (100, [79], 100),
        (100, [80], 0),
        (100, [10, 300], 0),
        (0, [60], 0),
        (0, [49], 25),
        (75, [10, 20], 100),
    ],
)
def test_fillers_stop_in_time_and_come_back_slowly(percent, tails, expected):
    serving_tasks = [ServingTask(tail, 100) for tail in tails]
    assert next_percent(percent, serving_tasks) == expected


class Adviser:
    """Permits some lives, and counts the calls."""

    def __init__(self, *good):
        self.good = good
        self.calls = []
        self.is_silent = False

    def advise(self, step_key, lives, seconds):
        self.calls.append((step_key, lives))
        if self.is_silent:
            return None
        return {life: f"ticket-{life}" for life in lives if life in self.good}


@pytest.fixture
def advised_rig():
    minions = [TaskMinion(task_seconds=0.05), TaskMinion(task_seconds=0.05)]
    rig = Rig(*minions)
    advice = AdviceTerms(0, 0, int(MARGIN_SECONDS * 1000) + 1000)
    queue = Queue("q", HOST, "/q/", "pool", timeout_ms=1, attempts=1, advice=advice)
    rig.log.send(commands.PutQueues(make_config(2, queues=(queue,))))
    assert wait_until(lambda: rig.dispatcher.session is not None, SECONDS)
    yield rig
    rig.close()


def advise(rig, adviser):
    session = rig.dispatcher.session
    session.permissions = PermissionController(session, adviser)
    session.spawn(session.permissions.run)


def test_only_permitted_minions_run_a_step_and_they_see_the_ticket(advised_rig):
    good, other = advised_rig.minions
    advise(advised_rig, Adviser(good.life))
    advised_rig.submit(Step(3))
    advised_rig.wait_status(JobStatus.SUCCEEDED)
    assert not other.starts
    assert {body["ticket"] for _, _, body in good.starts} == {f"ticket-{good.life}"}


def test_without_permission_nothing_starts(advised_rig):
    adviser = Adviser()
    adviser.is_silent = True
    advise(advised_rig, adviser)
    advised_rig.submit(Step(1))
    assert wait_until(lambda: len(adviser.calls) > 1, SECONDS)
    gevent.sleep(0.2)
    assert not any(minion.starts for minion in advised_rig.minions)
    adviser.is_silent = False
    adviser.good = [minion.life for minion in advised_rig.minions]
    advised_rig.wait_status(JobStatus.SUCCEEDED)
    assert adviser.calls[0][0] == (JOB, 0, 0)


def rested(desk, monkeypatch, limit=50):
    """Return whether a desk rests before it has looked for lives so often."""
    looked = []
    candidates = desk.candidates

    def counted(step_key):
        looked.append(step_key)
        if len(looked) > limit:
            raise gevent.GreenletExit
        return candidates(step_key)

    monkeypatch.setattr(desk, "candidates", counted)
    greenlet = gevent.spawn(desk.run)
    gevent.sleep(0)
    is_over = greenlet.dead
    greenlet.kill()
    return not is_over


def test_a_pool_without_minions_does_not_hold_the_leader(advised_rig, monkeypatch):
    for minion in advised_rig.minions:
        advised_rig.log.send(commands.RemoveMinion(minion.life, 0))
    advised_rig.log.submit(Step(1))
    desk = PermissionController(advised_rig.dispatcher.session, Adviser())
    assert rested(desk, monkeypatch)


def test_a_minion_that_came_later_is_asked_about_beside_full_ones(advised_rig):
    first = advised_rig.minions[0]
    fresh = make_minion(7, cpu_millicores=16_000)
    desk = PermissionController(
        advised_rig.dispatcher.session, Adviser(first.life, fresh.id)
    )
    advised_rig.log.submit(Step(2, max_per_minion=1))
    key = (JOB, 0, 0)
    desk.ask(key)
    assert desk.permitted(key) == {first.life}
    advised_rig.log.start(TaskKey(*key, 0), minion=first.life)
    advised_rig.log.send(commands.RegisterMinion(fresh, 0))
    assert desk.needs_call(key), "the permitted one carries enough of the step"
    desk.ask(key)
    assert desk.permitted(key) == {first.life, fresh.id}


def test_a_permission_for_a_life_that_is_gone_is_none(advised_rig):
    first, second = advised_rig.minions
    adviser = Adviser(first.life)
    desk = PermissionController(advised_rig.dispatcher.session, adviser)
    advised_rig.log.submit(Step(1))
    key = (JOB, 0, 0)
    desk.ask(key)
    assert not desk.needs_call(key)
    advised_rig.log.send(commands.RemoveMinion(first.life, 0))
    assert desk.needs_call(key)


def test_more_minions_than_one_call_takes_are_all_asked_about(advised_rig):
    lives = [f"i-{number}" for number in range(100, 100 + 2 * MINIONS_IN_CALL)]
    for number, life in enumerate(lives, 100):
        minion = make_minion(number, id=life)
        advised_rig.log.send(commands.RegisterMinion(minion, 0))
    adviser = Adviser(lives[-1])
    desk = PermissionController(advised_rig.dispatcher.session, adviser)
    advised_rig.log.submit(Step(1))
    key = (JOB, 0, 0)
    for _ in range(3):
        if desk.needs_call(key):
            desk.ask(key)
    assert desk.permitted(key) == {lives[-1]}


class CountedDesk(PermissionController):
    """Counts its turns, and fails before it holds the process for good."""

    turns = 0

    def forget(self):
        super().forget()
        self.turns += 1
        assert self.turns < 1000, "turns without giving way"


def test_a_step_whose_pool_is_empty_does_not_hold_the_process(advised_rig):
    for minion in advised_rig.minions:
        advised_rig.log.send(commands.RemoveMinion(minion.life, 0))
    advised_rig.submit(Step(1))
    desk = CountedDesk(advised_rig.dispatcher.session, Adviser())
    asking = gevent.spawn(desk.run)
    assert wait_until(lambda: desk.turns > 2, SECONDS)
    assert not asking.dead
    asking.kill()
