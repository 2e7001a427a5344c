"""The pace of fillers beside serving tasks, and permissions for steps."""

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
from tests.test_dispatch import SECONDS, DispatchHarness
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
def test_fillers_stop_before_the_target_latency_and_resume_gradually(
    percent, tails, expected
):
    serving_tasks = [ServingTask(tail, 100) for tail in tails]
    assert next_percent(percent, serving_tasks) == expected


class Adviser:
    """Stub of the adviser: permits the incarnations `good` and records its calls."""

    def __init__(self, *good):
        self.good = good
        self.calls = []
        self.is_unresponsive = False

    def advise(self, step_key, lives, seconds):
        self.calls.append((step_key, lives))
        if self.is_unresponsive:
            return None
        return {life: f"ticket-{life}" for life in lives if life in self.good}


@pytest.fixture
def advised_harness():
    minions = [TaskMinion(task_seconds=0.05), TaskMinion(task_seconds=0.05)]
    harness = DispatchHarness(*minions)
    advice = AdviceTerms(0, 0, int(MARGIN_SECONDS * 1000) + 1000)
    queue = Queue("q", HOST, "/q/", "pool", timeout_ms=1, attempts=1, advice=advice)
    harness.log.send(commands.PutQueues(make_config(2, queues=(queue,))))
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    yield harness
    harness.close()


def advise(harness, adviser):
    session = harness.dispatcher.session
    session.permissions = PermissionController(session, adviser)
    session.spawn(session.permissions.run)


def test_only_permitted_minions_run_a_step_and_they_get_the_ticket(advised_harness):
    good, other = advised_harness.minions
    advise(advised_harness, Adviser(good.life))
    advised_harness.submit(Step(3))
    advised_harness.wait_status(JobStatus.SUCCEEDED)
    assert not other.starts
    assert {body["ticket"] for _, _, body in good.starts} == {f"ticket-{good.life}"}


def test_without_a_permission_no_task_starts(advised_harness):
    adviser = Adviser()
    adviser.is_unresponsive = True
    advise(advised_harness, adviser)
    advised_harness.submit(Step(1))
    assert wait_until(lambda: len(adviser.calls) > 1, SECONDS)
    gevent.sleep(0.2)
    assert not any(minion.starts for minion in advised_harness.minions)
    adviser.is_unresponsive = False
    adviser.good = [minion.life for minion in advised_harness.minions]
    advised_harness.wait_status(JobStatus.SUCCEEDED)
    assert adviser.calls[0][0] == (JOB, 0, 0)


def yields_in_time(controller, monkeypatch, limit=50):
    """Whether a controller yields before it has searched `limit` times for minions."""
    searches = []
    candidates = controller.candidates

    def counted(step_key):
        searches.append(step_key)
        if len(searches) > limit:
            raise gevent.GreenletExit
        return candidates(step_key)

    monkeypatch.setattr(controller, "candidates", counted)
    greenlet = gevent.spawn(controller.run)
    gevent.sleep(0)
    has_ended = greenlet.dead
    greenlet.kill()
    return not has_ended


def test_a_pool_without_minions_does_not_block_the_leader(advised_harness, monkeypatch):
    for minion in advised_harness.minions:
        advised_harness.log.send(commands.RemoveMinion(minion.life, 0))
    advised_harness.log.submit(Step(1))
    controller = PermissionController(advised_harness.dispatcher.session, Adviser())
    assert yields_in_time(controller, monkeypatch)


def test_permission_is_requested_for_a_new_minion_beside_full_ones(advised_harness):
    first = advised_harness.minions[0]
    fresh = make_minion(7, cpu_millicores=16_000)
    controller = PermissionController(
        advised_harness.dispatcher.session, Adviser(first.life, fresh.id)
    )
    advised_harness.log.submit(Step(2, max_per_minion=1))
    key = (JOB, 0, 0)
    controller.ask(key)
    assert controller.permitted(key) == {first.life}
    advised_harness.log.start(TaskKey(*key, 0), minion=first.life)
    advised_harness.log.send(commands.RegisterMinion(fresh, 0))
    assert controller.needs_call(key), "the permitted minion has max_per_minion tasks"
    controller.ask(key)
    assert controller.permitted(key) == {first.life, fresh.id}


def test_a_permission_for_a_removed_incarnation_does_not_count(advised_harness):
    first, second = advised_harness.minions
    adviser = Adviser(first.life)
    controller = PermissionController(advised_harness.dispatcher.session, adviser)
    advised_harness.log.submit(Step(1))
    key = (JOB, 0, 0)
    controller.ask(key)
    assert not controller.needs_call(key)
    advised_harness.log.send(commands.RemoveMinion(first.life, 0))
    assert controller.needs_call(key)


def test_permission_is_requested_for_more_minions_than_one_call_holds(advised_harness):
    lives = [f"i-{number}" for number in range(100, 100 + 2 * MINIONS_IN_CALL)]
    for number, life in enumerate(lives, 100):
        minion = make_minion(number, id=life)
        advised_harness.log.send(commands.RegisterMinion(minion, 0))
    adviser = Adviser(lives[-1])
    controller = PermissionController(advised_harness.dispatcher.session, adviser)
    advised_harness.log.submit(Step(1))
    key = (JOB, 0, 0)
    for _ in range(3):
        if controller.needs_call(key):
            controller.ask(key)
    assert controller.permitted(key) == {lives[-1]}


class CountingController(PermissionController):
    """Counts its passes, and fails instead of blocking the process forever."""

    passes = 0

    def forget_ended_jobs(self):
        super().forget_ended_jobs()
        self.passes += 1
        assert self.passes < 1000, "the loop does not yield"


def test_a_step_whose_pool_is_empty_does_not_block_the_process(advised_harness):
    for minion in advised_harness.minions:
        advised_harness.log.send(commands.RemoveMinion(minion.life, 0))
    advised_harness.submit(Step(1))
    controller = CountingController(advised_harness.dispatcher.session, Adviser())
    asking = gevent.spawn(controller.run)
    assert wait_until(lambda: controller.passes > 2, SECONDS)
    assert not asking.dead
    asking.kill()
