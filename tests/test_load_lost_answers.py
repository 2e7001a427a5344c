"""The load: a burst of wide steps, and orders and looks without answers.

A job is as late as its slowest task. On a busy day 104 of 3,176 start orders
got no answer, spread over 67 of 100 minions, and were carried out seconds
later; with 13 tasks a step, every third step has one. From such an order to
the next start of the task 0.8 s passed in the middle, up to 3.9 s.
"""

from collections import Counter
from dataclasses import replace

import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs.contact import PollResult, ReplyKind, RunningRow
from hingepitch.jobs.poller import StatusPoller
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.replytime import (
    MAX_TIMEOUT_SECONDS,
    MIN_TIMEOUT_SECONDS,
    ReplyTime,
)
from hingepitch.jobs.runview import RunViewStatus
from hingepitch.jobs.spec import Step
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, TERMS, Rig
from tests.test_job_rules import task

#: A task that is ordered again has begun within this time, in seconds: the
#: wait for an answer, one more order, and what a loaded test machine adds.
AGAIN_SECONDS = MIN_TIMEOUT_SECONDS + 0.2


@pytest.fixture
def rig():
    made = []

    def make(*minions, **options):
        by_life = {minion.life: minion for minion in minions}
        one = Rig(*minions, connect=lambda record: by_life[record.id], **options)
        made.append(one)
        assert wait_until(lambda: agents_of(one, len(minions)), SECONDS)
        return one

    yield make
    for one in made:
        one.close()


def agents_of(rig, count):
    """Return the agents, once each knows how long answers take."""
    session = rig.dispatcher.session
    agents = list(session.agent_by_minion.values()) if session else []
    known = [one for one in agents if one.reply_time.mean is not None]
    return known if len(known) == count else None


def begun(*minions):
    return [entry for minion in minions for entry in minion.begun]


def late_orders(*minions):
    """Return how many orders were carried out late."""
    return sum(minion.carried_out_late for minion in minions)


def test_a_wide_step_is_hardly_later_though_orders_get_no_answer(rig):
    minions = [MemoryMinion(task_seconds=0.4) for _ in range(3)]
    for minion in minions:
        minion.start_faults += [None, "late", None, "late"]
    here = rig(*minions)
    here.submit(Step(13, cpu_millicores=2500))
    assert wait_until(lambda: len(begun(*minions)) == 13, SECONDS)
    moments = [at for _, _, at in begun(*minions)]
    assert max(moments) - min(moments) < 2 * AGAIN_SECONDS
    here.wait_status(JobStatus.SUCCEEDED, 2.0)
    met = 6 - sum(minion.start_faults.count("late") for minion in minions)
    assert met >= 4
    assert wait_until(lambda: late_orders(*minions) == met, SECONDS)
    counts = Counter(key for key, _, _ in begun(*minions))
    assert len(counts) == 13 and set(counts.values()) == {1}


@pytest.mark.parametrize("fault", ["late", "lost"])
def test_the_same_run_is_ordered_again(rig, fault):
    minion = MemoryMinion()
    minion.start_faults.append(fault)
    here = rig(minion)
    here.submit(Step(1))
    here.wait_status(JobStatus.SUCCEEDED)
    assert wait_until(lambda: late_orders(minion) == (fault == "late"), SECONDS)
    assert [(order.task, order.number) for order in minion.orders] == [(task(), 1)] * 2
    assert len(minion.begun) == 1


def test_the_refusal_of_the_second_order_does_not_speak_for_the_first(rig):
    first = MemoryMinion(task_seconds=1.0, late_seconds=0.3)
    second = MemoryMinion(task_seconds=1.0)
    first.start_faults += ["late", ReplyKind.NO_ROOM]
    second.start_faults += ["late", ReplyKind.NO_ROOM]
    second.late_seconds = 0.3
    here = rig(first, second)
    here.submit(Step(1))
    here.wait_status(JobStatus.SUCCEEDED)
    assert len(begun(first, second)) == 1


def test_a_start_is_not_ordered_again_once_its_job_is_cancelled(rig):
    minion = MemoryMinion()
    minion.start_faults += ["late", "late"]
    here = rig(minion)
    here.submit(Step(1))
    assert wait_until(lambda: minion.orders, SECONDS)
    here.cancel()
    assert wait_until(lambda: not here.log.table.run_by_task, SECONDS)
    assert wait_until(lambda: late_orders(minion) == 1, SECONDS)
    assert len(minion.orders) == 1
    assert not minion.begun


def test_an_end_is_seen_soon_though_the_answer_of_a_held_look_is_lost(rig):
    minion = MemoryMinion(task_seconds=0.2)
    here = rig(minion, terms=replace(TERMS, poll_wait_ms=500))
    agent = agents_of(here, 1)[0]
    assert wait_until(lambda: not agent.status_poller.is_needed(), SECONDS)
    minion.look_faults.append(True)
    here.submit(Step(1))
    here.wait_status(JobStatus.SUCCEEDED, 1.2)
    assert not minion.look_faults


def test_a_run_in_doubt_is_settled_beside_a_look_that_is_held(rig):
    minion = MemoryMinion(task_seconds=5.0)
    here = rig(minion, terms=replace(TERMS, lease_seconds=9.0, poll_wait_ms=5000))
    here.submit(Step(1, lasts=True))
    agent = agents_of(here, 1)[0]
    assert wait_until(lambda: agent.status_poller.is_long_polling, SECONDS)
    minion.start_faults += ["late", "late"]
    minion.late_seconds = 30
    here.log.submit(Step(1, lasts=True), job="f" * 16)
    here.replica.wake()
    assert wait_until(lambda: len(minion.begun) == 2, 3.0)
    assert minion.begun[-1][1] == 2


def test_a_look_that_was_sent_earlier_tells_ends_only(rig):
    minion = MemoryMinion(task_seconds=5.0)
    here = rig(minion, terms=replace(TERMS, lease_seconds=9.0))
    here.submit(Step(1, lasts=True))
    agent = agents_of(here, 1)[0]
    assert wait_until(lambda: task() in agent.view_by_task, SECONDS)
    view = agent.view_by_task[task()]
    assert wait_until(lambda: view.status is RunViewStatus.RUNNING, SECONDS)
    status_poller = StatusPoller(agent)
    status_poller.polled_at = 10.0
    view.row = None
    status_poller.process_result(
        PollResult(minion.reply(), (RunningRow(task(), 1, "", 7),)), 9.0, 0
    )
    assert view.row is None
    status_poller.process_result(
        PollResult(minion.reply(), (RunningRow(task(), 1, "", 7),)), 11.0, 0
    )
    assert view.row.percent == 7


def test_the_wait_for_an_answer_follows_what_answers_take():
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
