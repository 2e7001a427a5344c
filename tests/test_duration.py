"""What is learnt of run times: estimates that are right, wrong, or say nothing."""

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
from tests.test_dispatch import SECONDS, Rig
from tests.test_job_rules import HOST, JOB, Log, make_config

PLACE = ("queue.example", "/q/")


def learn(durations, pairs, count=4):
    """Note steps of `count` tasks by pairs of estimate and observed time."""
    for estimate_ms, took_ms in pairs:
        step = Step(count, estimate_ms=estimate_ms)
        for _ in range(count):
            durations.note(PLACE, step, took_ms)


def test_before_enough_steps_were_seen_the_estimate_holds():
    durations = Durations()
    learn(durations, [(100, 900)] * int(MIN_OBSERVED_STEPS - 1))
    assert durations.expected_ms(PLACE, Step(1, estimate_ms=100)) == 100


def test_estimates_that_are_too_small_by_a_factor_are_corrected():
    durations = Durations()
    learn(durations, [(100 * n, 300 * n) for n in range(1, 12)])
    expected = durations.expected_ms(PLACE, Step(1, estimate_ms=800))
    assert expected == pytest.approx(2400, rel=0.01)


def test_estimates_that_say_nothing_give_way_to_the_mean():
    durations = Durations()
    source = random.Random(3)
    pairs = [(source.choice([50, 200, 3000]), 1000) for _ in range(60)]
    learn(durations, pairs)
    for estimate_ms in (50, 3000):
        step = Step(1, estimate_ms=estimate_ms)
        assert durations.expected_ms(PLACE, step) == pytest.approx(1000, rel=0.01)


def test_a_wide_step_counts_once():
    durations = Durations()
    learn(durations, [(100, 900)], count=40)
    assert durations.expected_ms(PLACE, Step(1, estimate_ms=100)) == 100


def test_a_change_of_the_workload_is_followed():
    durations = Durations()
    learn(durations, [(100, 100)] * 300)
    learn(durations, [(100, 800)] * 300)
    assert durations.expected_ms(PLACE, Step(1, estimate_ms=100)) > 600


def test_queues_learn_for_themselves():
    durations = Durations()
    learn(durations, [(100, 900)] * 20)
    other = ("queue.example", "/other/")
    assert durations.expected_ms(other, Step(1, estimate_ms=100)) == 100


def test_tasks_that_last_and_missing_estimates_teach_nothing():
    durations = Durations()
    for step in (Step(1, lasts=True, estimate_ms=100), Step(1, estimate_ms=0)):
        for _ in range(20):
            durations.note(PLACE, step, 500)
    assert not durations.fit_by_place


def test_the_due_time_follows_what_was_learnt():
    log = Log()
    log.send(commands.PutQueues(make_config()))
    log.submit(Step(1, estimate_ms=100))
    job = log.table.job_by_id[JOB]
    policy = log.table.policy(job)
    durations = Durations()
    before = due_ms(policy, job, 0, durations)
    now_ms = before - 200
    assert not is_late(policy, job, 0, 0, now_ms, durations)
    step = Step(1, estimate_ms=100)
    for _ in range(20):
        durations.note(policy.route, step, 1100)
    grown = due_ms(policy, job, 0, durations) - before
    assert grown == pytest.approx(policy.stretch * 1000, rel=0.01)
    assert policy.route == (HOST, "/q/")


def test_a_leader_learns_from_the_runs_that_end():
    rig = Rig(TaskMinion(task_seconds=0.2))
    try:
        rig.submit(Step(3, estimate_ms=10))
        rig.wait_status(JobStatus.SUCCEEDED)
        fits = rig.dispatcher.session.durations.fit_by_place
        assert wait_until(lambda: fits, SECONDS)
        (fit,) = fits.values()
        assert fit.weight == pytest.approx(1.0, rel=0.02)
    finally:
        rig.close()


def test_a_job_is_late_only_beyond_the_error_of_what_is_expected():
    queue = Queue("q", HOST, "/q/", "pool", stretch=2.0, objective_ms=600, timeout_ms=1)
    log = Log()
    log.send(commands.PutQueues(make_config(queues=(queue,))))
    log.submit(Step(1, estimate_ms=1000))
    job = log.table.job_by_id[JOB]
    certain = Durations()
    learn(certain, [(1000, 1000)] * 20)
    doubtful = Durations()
    by_estimate_ms = 600 + 1000
    assert not is_late(queue, job, 0, 0, by_estimate_ms - 1, certain)
    assert is_late(queue, job, 0, 0, by_estimate_ms + 20, certain)
    assert not is_late(queue, job, 0, 0, by_estimate_ms + 20, doubtful)
    assert is_late(queue, job, 0, 0, 600 + 2000, doubtful)
