"""Wide steps under load, with start orders and polls whose replies are lost.

A job is as late as its slowest task. With 104 of 3,176 start orders unanswered
and carried out seconds later, every third step of 13 tasks has such an order. The
next start of the task then came 0.8 s (median) to 3.9 s after it.
"""

from collections import Counter
from dataclasses import replace

import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs.agents.contact import PollResult, ReplyKind, RunningRow
from hingepitch.jobs.agents.poller import StatusPoller
from hingepitch.jobs.agents.replytime import (
    MAX_TIMEOUT_SECONDS,
    MIN_TIMEOUT_SECONDS,
    ReplyTime,
)
from hingepitch.jobs.agents.runview import RunViewStatus
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, TERMS, DispatchHarness
from tests.test_job_rules import task

#: Longest time until a task whose order got no reply has begun, in seconds: the
#: reply timeout, one more order, and a margin for a loaded test machine.
REORDER_SECONDS = MIN_TIMEOUT_SECONDS + 0.2


@pytest.fixture
def make_harness():
    harnesses = []

    def make(*minions, **options):
        by_life = {minion.life: minion for minion in minions}
        harness = DispatchHarness(
            *minions, connect=lambda record: by_life[record.id], **options
        )
        harnesses.append(harness)
        assert wait_until(lambda: agents_of(harness, len(minions)), SECONDS)
        return harness

    yield make
    for harness in harnesses:
        harness.close()


def agents_of(harness, count):
    """Return the agents once each has a reply time estimate, else None."""
    session = harness.dispatcher.session
    agents = list(session.agent_by_minion.values()) if session else []
    known = [one for one in agents if one.reply_time.mean is not None]
    return known if len(known) == count else None


def begun(*minions):
    return [entry for minion in minions for entry in minion.begun]


def count_late_orders(*minions):
    """Return the number of orders that were carried out late."""
    return sum(minion.carried_out_late for minion in minions)


def test_a_wide_step_starts_in_time_though_orders_get_no_reply(make_harness):
    minions = [MemoryMinion(task_seconds=0.4) for _ in range(3)]
    for minion in minions:
        minion.start_faults += [None, "late", None, "late"]
    harness = make_harness(*minions)
    harness.submit(Step(13, cpu_millicores=2500))
    assert wait_until(lambda: len(begun(*minions)) == 13, SECONDS)
    moments = [at for _, _, at in begun(*minions)]
    assert max(moments) - min(moments) < 2 * REORDER_SECONDS
    harness.wait_status(JobStatus.SUCCEEDED, 2.0)
    late_count = 6 - sum(minion.start_faults.count("late") for minion in minions)
    assert late_count >= 4
    assert wait_until(lambda: count_late_orders(*minions) == late_count, SECONDS)
    counts = Counter(key for key, _, _ in begun(*minions))
    assert len(counts) == 13 and set(counts.values()) == {1}


@pytest.mark.parametrize("fault", ["late", "lost"])
def test_the_same_run_is_ordered_again(make_harness, fault):
    minion = MemoryMinion()
    minion.start_faults.append(fault)
    harness = make_harness(minion)
    harness.submit(Step(1))
    harness.wait_status(JobStatus.SUCCEEDED)
    assert wait_until(lambda: count_late_orders(minion) == (fault == "late"), SECONDS)
    assert [(order.task, order.number) for order in minion.orders] == [(task(), 1)] * 2
    assert len(minion.begun) == 1


def test_the_refusal_of_the_second_order_does_not_settle_the_first(make_harness):
    first = MemoryMinion(task_seconds=1.0, late_seconds=0.3)
    second = MemoryMinion(task_seconds=1.0)
    first.start_faults += ["late", ReplyKind.NO_ROOM]
    second.start_faults += ["late", ReplyKind.NO_ROOM]
    second.late_seconds = 0.3
    harness = make_harness(first, second)
    harness.submit(Step(1))
    harness.wait_status(JobStatus.SUCCEEDED)
    assert len(begun(first, second)) == 1


def test_a_start_is_not_ordered_again_once_its_job_is_cancelled(make_harness):
    minion = MemoryMinion()
    minion.start_faults += ["late", "late"]
    harness = make_harness(minion)
    harness.submit(Step(1))
    assert wait_until(lambda: minion.orders, SECONDS)
    harness.cancel()
    assert wait_until(lambda: not harness.log.table.run_by_task, SECONDS)
    assert wait_until(lambda: count_late_orders(minion) == 1, SECONDS)
    assert len(minion.orders) == 1
    assert not minion.begun


def test_an_end_is_seen_soon_after_the_reply_to_a_long_poll_was_lost(make_harness):
    minion = MemoryMinion(task_seconds=0.2)
    harness = make_harness(minion, terms=replace(TERMS, poll_wait_ms=500))
    agent = agents_of(harness, 1)[0]
    assert wait_until(lambda: not agent.status_poller.is_needed(), SECONDS)
    minion.poll_faults.append(True)
    harness.submit(Step(1))
    harness.wait_status(JobStatus.SUCCEEDED, 1.2)
    assert not minion.poll_faults


def test_a_run_of_unknown_outcome_is_settled_during_a_long_poll(make_harness):
    minion = MemoryMinion(task_seconds=5.0)
    harness = make_harness(
        minion, terms=replace(TERMS, lease_seconds=9.0, poll_wait_ms=5000)
    )
    harness.submit(Step(1, lasts=True))
    agent = agents_of(harness, 1)[0]
    assert wait_until(lambda: agent.status_poller.is_long_polling, SECONDS)
    minion.start_faults += ["late", "late"]
    minion.late_seconds = 30
    harness.log.submit(Step(1, lasts=True), job="f" * 16)
    harness.replica.wake()
    assert wait_until(lambda: len(minion.begun) == 2, 3.0)
    assert minion.begun[-1][1] == 2


def test_a_poll_that_was_sent_earlier_tells_ends_only(make_harness):
    minion = MemoryMinion(task_seconds=5.0)
    harness = make_harness(minion, terms=replace(TERMS, lease_seconds=9.0))
    harness.submit(Step(1, lasts=True))
    agent = agents_of(harness, 1)[0]
    assert wait_until(lambda: task() in agent.view_by_task, SECONDS)
    view = agent.view_by_task[task()]
    assert wait_until(lambda: view.status is RunViewStatus.RUNNING, SECONDS)
    poller = StatusPoller(agent)
    poller.polled_at = 10.0
    view.row = None
    poller.process_result(
        PollResult(minion.reply(), (RunningRow(task(), 1, "", 7),)), 9.0, 0
    )
    assert view.row is None
    poller.process_result(
        PollResult(minion.reply(), (RunningRow(task(), 1, "", 7),)), 11.0, 0
    )
    assert view.row.percent == 7


def test_the_reply_timeout_follows_the_observed_reply_times():
    answers = ReplyTime()
    assert answers.timeout_seconds == MAX_TIMEOUT_SECONDS
    for _ in range(20):
        answers.note(0.004)
    assert answers.timeout_seconds == MIN_TIMEOUT_SECONDS
    for _ in range(20):
        answers.note(0.09)
    assert MIN_TIMEOUT_SECONDS < answers.timeout_seconds < MAX_TIMEOUT_SECONDS
    answers.note(3.0)
    assert answers.timeout_seconds == MAX_TIMEOUT_SECONDS
