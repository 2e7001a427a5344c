"""Runs on a cold minion: what they say about run times, stalls and health: nothing."""

from types import SimpleNamespace

import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs.agents.runview import RunView, RunViewStatus
from hingepitch.jobs.crashes.health import (
    GANG_STALL_SECONDS,
    STALL_SECONDS,
    MinionHealth,
)
from hingepitch.jobs.record import JobStatus, RunResult
from hingepitch.jobs.spec import Step
from hingepitch.jobs.warmth import WARM
from hingepitch.jobs.watch import RunWatch
from tests.test_cold_heartbeats import Scene
from tests.test_dispatch import SECONDS
from tests.test_job_rules import task


@pytest.fixture
def make_scene():
    scenes = []

    def make(**options):
        scenes.append(Scene(**options))
        return scenes[-1]

    yield make
    for one in scenes:
        one.harness.close()


# Guards against run times learned on a cold minion: jobs that can be in time would be
# counted as late, and pools would ask for too many VMs.
@pytest.mark.parametrize("takes_cold_last", [True, False])
def test_a_run_that_began_on_a_cold_minion_is_not_noted(make_scene, takes_cold_last):
    scene = make_scene(takes_cold_last=takes_cold_last)
    scene.deliver(1, 60_000)
    scene.harness.submit(Step(1, estimate_ms=100))
    assert wait_until(lambda: scene.minion.begun, SECONDS)
    scene.deliver(2, 0)
    number = scene.minion.running[task()]
    scene.minion.end(task(), number, RunResult.DONE)
    scene.harness.wait_status(JobStatus.SUCCEEDED)
    is_noted = bool(scene.harness.dispatcher.session.durations.fit_by_route)
    assert is_noted != takes_cold_last


# Guards against a minion whose run times are never learned, as it was cold once.
def test_a_run_that_began_after_the_warm_up_is_noted(make_scene):
    scene = make_scene()
    scene.deliver(1, 60_000)
    scene.deliver(2, 0)
    scene.harness.submit(Step(1, estimate_ms=100))
    assert wait_until(lambda: scene.minion.begun, SECONDS)
    scene.minion.end(task(), scene.minion.running[task()], RunResult.DONE)
    scene.harness.wait_status(JobStatus.SUCCEEDED)
    assert scene.harness.dispatcher.session.durations.fit_by_route


def make_watch(warmth, step, row_since, polled_at):
    """Return a `RunWatch` and an agent with one run that makes no progress."""
    run = SimpleNamespace(task=task(), number=1, minion="i-1")
    view = RunView(run, RunViewStatus.RUNNING, row=object(), row_since=row_since)
    agent = SimpleNamespace(
        view_by_task={run.task: view},
        status_poller=SimpleNamespace(polled_at=polled_at),
        health=MinionHealth(),
        warmth=warmth,
    )
    session = SimpleNamespace(
        step_of=lambda run: step, is_wanted=lambda run: True, agent_by_minion={}
    )
    return RunWatch(session), agent


# Guards against tasks that are stopped on a cold minion because their first percent
# takes long, and begin again elsewhere; and against none being stopped after it.
@pytest.mark.parametrize("gang", [False, True])
def test_a_task_counts_as_stalled_only_from_the_end_of_the_warm_up(gang):
    limit = GANG_STALL_SECONDS if gang else STALL_SECONDS
    warmth = WARM.updated(20_000, 100.0)
    for after, is_stopped in ((-10, False), (limit, False), (limit + 0.1, True)):
        watch, agent = make_watch(warmth, Step(1, gang=gang), 101.0, 120.0 + after)
        watch.stop_stalled(agent)
        assert bool(watch.evacuated) == is_stopped
        assert bool(agent.health.trouble_at_by_job) == is_stopped
    watch, agent = make_watch(WARM, Step(1, gang=gang), 101.0, 101.1 + limit)
    watch.stop_stalled(agent)
    assert watch.evacuated


# Guards against a minion that gets no runs because tasks timed out that began while it
# was cold, and against trouble that is overlooked afterwards.
@pytest.mark.parametrize(
    "began_cold, is_warm_at_end", [(True, True), (True, False), (False, True)]
)
@pytest.mark.parametrize("result", [RunResult.FAILED, RunResult.DONE])
def test_the_start_of_a_run_decides_if_it_counts_for_health(
    make_scene, began_cold, is_warm_at_end, result
):
    scene = make_scene()
    health = scene.agent.health
    scene.deliver(1, 60_000 if began_cold else 0)
    scene.harness.submit(Step(1))
    assert wait_until(lambda: scene.minion.begun, SECONDS)
    number = scene.minion.running[task()]
    scene.deliver(2, 0 if is_warm_at_end else 60_000)
    agent = scene.agent
    scene.minion.end(task(), number, result)
    assert wait_until(lambda: agent.status_poller.ends_recorded, SECONDS)
    is_noted = bool(health.trouble_at_by_job or health.succeeded_at)
    assert is_noted != began_cold
