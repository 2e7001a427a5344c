"""Admission control with the sessions of a dispatcher, and a change of leader."""

from dataclasses import replace

import pytest

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.error import HingepitchError
from hingepitch.jobs import command as commands
from hingepitch.jobs.question import GiveJob
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import JobSpec, Step
from tests.test_dispatch import TERMS, DispatchHarness, TaskMinion
from tests.test_job_rules import HOST

TASK = Step(8, 1500, estimate_ms=640)
BACKLOG_JOBS = 100


@pytest.fixture
def harness():
    harness = DispatchHarness(
        TaskMinion(task_seconds=60), terms=replace(TERMS, refuses_late_jobs=True)
    )
    harness.service = JobService(harness.replica, harness.roster, None, "test")
    harness.service.find_admission = harness.dispatcher.current_admission
    harness.restart_leadership()
    yield harness
    harness.close()


def question(number):
    job = f"{number:016x}"
    return GiveJob(
        job, HOST, f"/q/{job}", JobSpec("", (TASK,)), knows_admission_errors=True
    )


def fill(harness):
    """Accept a backlog that leaves no room, and let the session know its work."""
    for number in range(BACKLOG_JOBS):
        one = question(number)
        accept = commands.AcceptJob(one.id, HOST, one.path, one.spec, wall_ms(), None)
        assert harness.log.send(accept) == ""
    session = harness.dispatcher.session
    session.mover.demand.worked_since = lease_seconds() - 60
    for _ in range(100):
        session.durations.note((HOST, "/q/"), TASK, TASK.estimate_ms)
    session.confirm_leadership(lease_seconds())


# Guards against an admission control that the job service never asks, against a
# refusal, or what it rests on, that outlives its session, and against refusals that no
# figure of their queue shows.
def test_a_job_that_one_leader_refuses_is_accepted_by_the_next(harness):
    fill(harness)
    refused = question(BACKLOG_JOBS)
    for _ in range(2):
        with pytest.raises(HingepitchError) as caught:
            harness.service.answer(refused)
        assert caught.value.code == "cannot_finish"
    counts = harness.dispatcher.session.gauge.queues.counts_by_queue["q"]
    assert counts.refused == 1
    harness.restart_leadership()
    harness.service.answer(refused)
    assert refused.id in harness.log.table.job_by_id


# Guards against calls that fail between two sessions.
def test_without_a_session_a_job_is_accepted(harness):
    fill(harness)
    harness.dispatcher.session = None
    harness.service.answer(question(BACKLOG_JOBS))


# Guards against refusals, and their cost, in a deployment that asks for none: without
# rates of accounts and without limits for overload.
def test_a_deployment_that_asks_for_no_refusals_has_none(harness):
    fill(harness)
    session = harness.dispatcher.session
    session.terms = replace(session.terms, refuses_late_jobs=False)
    assert harness.dispatcher.current_admission() is None
    harness.service.answer(question(BACKLOG_JOBS))
    assert session.admission.backlog_by_pool == {}
