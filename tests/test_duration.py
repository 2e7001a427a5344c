"""Learned run times: estimates that are correct, wrong or uninformative."""

import random

import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.due import due_ms, is_late
from hingepitch.jobs.duration import MIN_OBSERVED_STEPS, Durations
from hingepitch.jobs.queue import Queue
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_rules import HOST, JOB, Log, make_config

ROUTE = ("queue.example", "/q/")


def learn(durations, pairs, count=4):
    """Record steps of `count` tasks from pairs of estimated and observed time."""
    for estimate_ms, took_ms in pairs:
        step = Step(count, estimate_ms=estimate_ms)
        for _ in range(count):
            durations.note(ROUTE, step, took_ms)


def test_estimates_are_not_corrected_before_enough_steps_were_observed():
    durations = Durations()
    learn(durations, [(100, 900)] * int(MIN_OBSERVED_STEPS - 1))
    assert durations.expected_ms(ROUTE, Step(1, estimate_ms=100)) == 100


def test_estimates_that_are_too_small_by_a_factor_are_corrected():
    durations = Durations()
    learn(durations, [(100 * n, 300 * n) for n in range(1, 12)])
    expected = durations.expected_ms(ROUTE, Step(1, estimate_ms=800))
    assert expected == pytest.approx(2400, rel=0.01)


def test_uninformative_estimates_are_replaced_by_the_mean():
    durations = Durations()
    source = random.Random(3)
    pairs = [(source.choice([50, 200, 3000]), 1000) for _ in range(60)]
    learn(durations, pairs)
    for estimate_ms in (50, 3000):
        step = Step(1, estimate_ms=estimate_ms)
        assert durations.expected_ms(ROUTE, step) == pytest.approx(1000, rel=0.01)


def test_a_step_with_many_tasks_counts_as_one_observation():
    durations = Durations()
    learn(durations, [(100, 900)], count=40)
    assert durations.expected_ms(ROUTE, Step(1, estimate_ms=100)) == 100


def test_expected_run_times_follow_a_change_of_the_workload():
    durations = Durations()
    learn(durations, [(100, 100)] * 300)
    learn(durations, [(100, 800)] * 300)
    assert durations.expected_ms(ROUTE, Step(1, estimate_ms=100)) > 600


def test_each_queue_learns_its_own_run_times():
    durations = Durations()
    learn(durations, [(100, 900)] * 20)
    other = ("queue.example", "/other/")
    assert durations.expected_ms(other, Step(1, estimate_ms=100)) == 100


def test_long_running_tasks_and_missing_estimates_are_not_observed():
    durations = Durations()
    for step in (Step(1, lasts=True, estimate_ms=100), Step(1, estimate_ms=0)):
        for _ in range(20):
            durations.note(ROUTE, step, 500)
    assert not durations.fit_by_route


def test_due_times_follow_the_learned_run_times():
    log = Log()
    log.send(commands.PutQueues(make_config()))
    log.submit(Step(1, estimate_ms=100))
    job = log.table.job_by_id[JOB]
    current_queue = log.table.current_queue(job)
    durations = Durations()
    before = due_ms(current_queue, job, 0, durations)
    now_ms = before - 200
    assert not is_late(current_queue, job, 0, 0, now_ms, durations)
    step = Step(1, estimate_ms=100)
    for _ in range(20):
        durations.note(current_queue.route, step, 1100)
    grown = due_ms(current_queue, job, 0, durations) - before
    assert grown == pytest.approx(current_queue.stretch * 1000, rel=0.01)
    assert current_queue.route == (HOST, "/q/")


def test_a_leader_learns_from_the_runs_that_end():
    harness = DispatchHarness(TaskMinion(task_seconds=0.2))
    try:
        harness.submit(Step(3, estimate_ms=10))
        harness.wait_status(JobStatus.SUCCEEDED)
        fits = harness.dispatcher.session.durations.fit_by_route
        assert wait_until(lambda: fits, SECONDS)
        (fit,) = fits.values()
        assert fit.weight == pytest.approx(1.0, rel=0.02)
    finally:
        harness.close()


def test_a_job_is_late_only_beyond_the_error_of_its_expected_run_time():
    queue = Queue("q", HOST, "/q/", "pool", stretch=2.0, objective_ms=600, timeout_ms=1)
    log = Log()
    log.send(commands.PutQueues(make_config(queues=(queue,))))
    log.submit(Step(1, estimate_ms=1000))
    job = log.table.job_by_id[JOB]
    certain = Durations()
    learn(certain, [(1000, 1000)] * 20)
    uncertain = Durations()
    by_estimate_ms = 600 + 1000
    assert not is_late(queue, job, 0, 0, by_estimate_ms - 1, certain)
    assert is_late(queue, job, 0, 0, by_estimate_ms + 20, certain)
    assert not is_late(queue, job, 0, 0, by_estimate_ms + 20, uncertain)
    assert is_late(queue, job, 0, 0, 600 + 2000, uncertain)
