"""Ends of runs that wait at a minion because one reply does not list all of them."""

import time
from dataclasses import replace

import gevent
import pytest

from adapter import minion as adapter_minion
from adapter.minion import HttpMinion
from hingepitch.httpd import wait_until
from hingepitch.jobs.agents import poller as poller_module
from hingepitch.jobs.agents.contact import (
    EndedRun,
    PollResult,
    Reply,
    ReplyKind,
    RunEvidence,
    RunningRow,
)
from hingepitch.jobs.record import JobStatus, RunResult
from hingepitch.jobs.spec import Step
from standin.taskminion import TaskMinion
from tests.memory_minion import MemoryMinion
from tests.order_simulation import OrderSimulation
from tests.test_dispatch import TERMS, DispatchHarness
from tests.test_job_rules import task

#: Long enough for no lease to expire while the leadership changes.
LEASE_SECONDS = 8.0
SECONDS = 30

#: More tasks than five replies list as ended.
TASKS = 2_600

#: Ends that wait at one minion, of several jobs.
WAITING_ENDS = 5_000
TASKS_PER_JOB = 500

SEEDS = range(8)
ROUNDS = 6
RUNS = 12

DONE = Reply(ReplyKind.DONE, 1)


def make_harness(minion, connect=HttpMinion):
    terms = replace(TERMS, lease_seconds=LEASE_SECONDS)
    return DispatchHarness(minion, terms=terms, connect=connect)


def end_all_without_leader(harness, minion):
    """End all runs as `done` between two leaderships."""
    harness.replica.is_leader = False
    assert wait_until(lambda: harness.dispatcher.session is None, SECONDS)
    for name in list(minion.running):
        minion.end(name, "done")
    harness.replica.core.term += 1
    harness.replica.is_leader = True


# Guards against tasks that have ended `done` and are started again, because their ends
# wait behind those that the first replies to a new leader list.
def test_tasks_whose_ends_wait_behind_the_listed_ones_are_not_started_again():
    minion = TaskMinion(capacity=10_000_000)
    harness = make_harness(minion)
    try:
        harness.submit(Step(TASKS))
        assert wait_until(lambda: len(minion.running) == TASKS, SECONDS)
        end_all_without_leader(harness, minion)
        harness.wait_status(JobStatus.SUCCEEDED, SECONDS)
        assert len(minion.starts) == TASKS
    finally:
        harness.close()


class BackloggedMinion(MemoryMinion):
    """Lists only `listed_ends` ends in one reply."""

    listed_ends = 500

    def look(self, order, seconds):
        result = super().look(order, seconds)
        return replace(
            result,
            ended=result.ended[: self.listed_ends],
            may_have_more_ends=len(result.ended) >= self.listed_ends,
        )


# Guards against a backlog of ends that takes longer to read than the minion's lease
# lasts, after which its runs count as lost.
def test_a_large_backlog_of_ends_is_read_well_within_a_lease():
    minion = BackloggedMinion(slots=WAITING_ENDS)
    harness = make_harness(minion, connect=lambda record: minion)
    try:
        assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
        harness.replica.is_leader = False
        assert wait_until(lambda: harness.dispatcher.session is None, SECONDS)
        record_done_runs(harness.log, minion)
        assert len(harness.log.table.run_by_task) == WAITING_ENDS
        harness.replica.is_leader = True
        began = time.monotonic()
        assert wait_until(lambda: not harness.log.table.run_by_task, SECONDS)
        assert time.monotonic() - began < LEASE_SECONDS / 2
        assert not minion.begun
    finally:
        harness.close()


def record_done_runs(log, minion):
    """Record runs of several jobs that have ended on a minion; list their ends."""
    for number in range(WAITING_ENDS // TASKS_PER_JOB):
        job = f"{number:016x}"
        log.submit(Step(TASKS_PER_JOB), job=job)
        keys = [task(index=index, job=job) for index in range(TASKS_PER_JOB)]
        log.start(*keys, minion=minion.life)
        for key in keys:
            minion.running[key] = 1
            minion.end(key, 1, RunResult.DONE)


class GarblingMinion(MemoryMinion):
    """Lists its first end as an unreadable row for `garbled_seconds`.

    `forgotten`
        The ends that it has forgotten although they were never readable.
    """

    def __init__(self, garbled_seconds, **options):
        super().__init__(**options)
        self.readable_at = time.monotonic() + 3600
        self.garbled_seconds = garbled_seconds

    def look(self, order, seconds):
        result = super().look(order, seconds)
        if not result.ended:
            return result
        if self.readable_at > time.monotonic() + 1800:
            self.readable_at = time.monotonic() + self.garbled_seconds
        if time.monotonic() > self.readable_at:
            return result
        return replace(result, ended=result.ended[1:], unread_ended=1)


# Guards against an end that cannot be decoded at first and is forgotten by the minion,
# as a later end was acknowledged; its task would be started again.
def test_an_end_that_becomes_readable_is_not_lost():
    minion = GarblingMinion(1.0, task_seconds=0.2)
    harness = make_harness(minion, connect=lambda record: minion)
    try:
        harness.submit(Step(3))
        harness.wait_status(JobStatus.SUCCEEDED, SECONDS)
        assert len(minion.begun) == 3
    finally:
        harness.close()


# Guards against a minion whose further ends are never read, because one of them stays
# unreadable.
def test_an_end_that_stays_unreadable_does_not_hold_back_others(monkeypatch):
    monkeypatch.setattr(poller_module, "UNREAD_ENDS_SECONDS", 0.5)
    minion = GarblingMinion(2.0, task_seconds=0.2)
    harness = make_harness(minion, connect=lambda record: minion)
    try:
        harness.submit(Step(3))
        harness.wait_status(JobStatus.SUCCEEDED, SECONDS)
    finally:
        harness.close()


def ended_run(sequence, index):
    return EndedRun(sequence, task(index), 1, RunResult.DONE, "")


# Guards against a conclusion from a missing run that the reply does not allow.
@pytest.mark.parametrize(
    "changes, evidence",
    [
        ({}, RunEvidence.ABSENT),
        ({"may_have_more_ends": True}, RunEvidence.OVER),
        ({"unread_ended": 1}, RunEvidence.OVER),
        ({"unread_running": 1}, RunEvidence.NOTHING),
        ({"unread_running": 1, "may_have_more_ends": True}, RunEvidence.NOTHING),
        ({"reply": Reply(ReplyKind.UNSURE)}, RunEvidence.NOTHING),
        ({"reply": Reply(ReplyKind.FENCED)}, RunEvidence.NOTHING),
    ],
    ids=str,
)
def test_what_a_reply_proves_about_an_unlisted_run(changes, evidence):
    assert replace(PollResult(DONE), **changes).unlisted_evidence is evidence


def test_what_a_reply_proves_about_listed_runs():
    result = PollResult(
        DONE, (RunningRow(task(0), 2, "", 50),), (ended_run(1, 0), ended_run(2, 1))
    )
    assert result.evidence_by_run() == {
        (task(0), 2): RunEvidence.RUNNING,
        (task(0), 1): RunEvidence.ENDED,
        (task(1), 1): RunEvidence.ENDED,
    }


# Guards against a second run in some order of late, lost, overtaken and garbled replies
# that list one end each, of crashes and of changes of the leader.
def test_no_order_of_short_lists_starts_a_done_task_again(monkeypatch):
    monkeypatch.setattr(adapter_minion, "MAX_LISTED_ENDS", 1)
    greenlets = {seed: gevent.spawn(simulate_short_lists, seed) for seed in SEEDS}
    violations = {seed: one.get() for seed, one in greenlets.items()}
    assert {seed: texts for seed, texts in violations.items() if texts} == {}


def simulate_short_lists(seed):
    """Run a simulation with few rows a reply; return its violations."""
    simulation = OrderSimulation(seed)
    simulation.network.garble_rate = 0.1
    try:
        simulation.run(ROUNDS, RUNS)
        return simulation.violations
    finally:
        simulation.close()
