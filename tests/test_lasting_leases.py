"""Leases and disruption budgets of long-running tasks.

More tasks of a step were unavailable than its job allows, for three reasons.
The interval between two renewals of a lease was so long that it expired if one
poll was lost. A message of the minion that was read late harnesses a lease too short.
A stop was sent by a count of available tasks harnesses before the stop had to wait for
other orders. The minions of these tests end their runs when the lease expires.
"""

from dataclasses import replace

import pytest
from gevent.event import Event

from adapter.settings import LEASE_SECONDS as PLATFORM_LEASE_SECONDS
from hingepitch.httpd import wait_until
from hingepitch.jobs.agents.contact import Reply, ReplyKind
from hingepitch.jobs.agents.poller import (
    MAX_WAIT_LEASE_FRACTION,
    POLL_TIMEOUT_MARGIN_SECONDS,
    RETRY_SECONDS,
)
from hingepitch.jobs.agents.replytime import MAX_TIMEOUT_SECONDS
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.session import POLL_PAUSE_SECONDS
from hingepitch.jobs.spec import Step
from tests.leased_minion import LeasedMinion
from tests.test_dispatch import SECONDS, TERMS, DispatchHarness
from tests.test_job_rules import task

#: Real settings at half the time: a poll may wait for half a lease.
LEASE_SECONDS = 2.0
LEASE_TERMS = replace(TERMS, lease_seconds=LEASE_SECONDS, poll_wait_ms=1000)

#: Delay of a heartbeat that a network partition held back.
HEARTBEAT_DELAY_MS = 3000

#: What reading and rounding the clocks may take from a lease.
SLACK_MS = 200


@pytest.fixture
def make_harness():
    harnesses = []

    def make(*minions, terms=LEASE_TERMS):
        by_life = {minion.life: minion for minion in minions}
        harnesses.append(
            DispatchHarness(
                *minions, terms=terms, connect=lambda record: by_life[record.id]
            )
        )
        assert wait_until(lambda: are_clocks_known(harnesses[-1], minions), SECONDS)
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.close()


def are_clocks_known(harness, minions):
    """Whether the leader knows the clock offset of each minion."""
    session = harness.dispatcher.session
    agents = session.agent_by_minion.values() if session else ()
    ready = [one for one in agents if one.clock_offset_ms is not None]
    return len(ready) == len(minions)


def count_at_work(harness, count):
    watch = harness.dispatcher.session.watch
    return sum(watch.is_at_work(task(index=index)) for index in range(count))


@pytest.mark.parametrize("lost", [1, 3])
def test_a_look_that_never_arrives_ends_no_long_running_task(make_harness, lost):
    minion = LeasedMinion()
    harness = make_harness(minion)
    harness.submit(Step(2, lasts=True))
    assert wait_until(lambda: count_at_work(harness, 2) == 2, SECONDS)
    minion.renewals_to_lose = lost
    assert wait_until(lambda: not minion.renewals_to_lose, SECONDS)
    seen = minion.renewals
    assert wait_until(lambda: minion.renewals >= seen + 2, SECONDS)
    assert not minion.lapsed
    assert len(minion.begun) == 2


def test_a_beat_that_was_held_back_shortens_no_lease(make_harness):
    minion = LeasedMinion()
    harness = make_harness(minion)
    beat_ms = minion.clock_ms() - HEARTBEAT_DELAY_MS
    harness.dispatcher.note_heartbeat(minion.life, beat_ms)
    harness.submit(Step(1, lasts=True))
    assert wait_until(lambda: minion.orders, SECONDS)
    left_ms = minion.orders[0].lease_until_ms - minion.clock_ms()
    assert left_ms > LEASE_SECONDS * 1000 - SLACK_MS, left_ms


def test_a_stop_that_had_to_wait_is_not_sent_once_others_are_unavailable(make_harness):
    minions = [LeasedMinion() for _ in range(3)]
    harness = make_harness(*minions)
    harness.submit(Step(3, lasts=True, max_away=1, max_per_minion=1))
    assert wait_until(lambda: count_at_work(harness, 3) == 3, SECONDS)
    session = harness.dispatcher.session
    runs = {run.minion: run for run in harness.log.table.run_by_task.values()}
    leaving, other = runs[minions[0].life], runs[minions[1].life]
    agent = session.agent_by_minion[minions[0].life]
    agent.orders.acquire()
    agent.orders.acquire()  # Two orders in progress; further ones wait.
    session.upkeep.evacuate([leaving], is_late=False)
    view = agent.view_by_task[leaving.task]
    assert wait_until(lambda: view.is_ordering, SECONDS)
    minions[1].polls_to_lose = 1000
    assert wait_until(lambda: not session.watch.is_at_work(other.task), SECONDS)
    agent.orders.release()
    agent.orders.release()
    assert wait_until(lambda: not view.is_ordering, SECONDS)
    assert not minions[0].stopped
    minions[1].polls_to_lose = 0
    assert wait_until(lambda: count_at_work(harness, 3) == 3, SECONDS)
    session.upkeep.evacuate([leaving], is_late=False)
    assert wait_until(lambda: minions[0].stopped == [leaving.task], SECONDS)


@pytest.mark.parametrize("lost", [1, 2])
def test_consecutive_lost_polls_do_not_exhaust_the_lease_of_the_platform(lost):
    """Add up the longest time between renewals with `lost` polls between them."""
    answer = max(POLL_TIMEOUT_MARGIN_SECONDS, MAX_TIMEOUT_SECONDS)
    waits = MAX_WAIT_LEASE_FRACTION * PLATFORM_LEASE_SECONDS
    retries = (lost - 1) * (answer + RETRY_SECONDS)
    between = waits + (waits + answer) + retries + POLL_PAUSE_SECONDS
    assert between < PLATFORM_LEASE_SECONDS


def test_a_task_whose_end_is_listed_is_unavailable_before_the_end_is_recorded(
    make_harness,
):
    minion = LeasedMinion()
    harness = make_harness(minion)
    harness.submit(Step(1, lasts=True, max_away=1))
    assert wait_until(lambda: count_at_work(harness, 1) == 1, SECONDS)
    may_commit, commit, waiting = Event(), harness.replica.propose, []

    def propose_late(envelope):
        waiting.append(envelope)
        may_commit.wait()
        return commit(envelope)

    harness.replica.propose = propose_late
    minion.end(task(), 1, RunResult.LAPSED)
    assert wait_until(lambda: waiting, SECONDS)
    assert count_at_work(harness, 1) == 0
    may_commit.set()
    assert wait_until(lambda: len(minion.begun) == 2, SECONDS)


@pytest.mark.parametrize("is_settled", [False, True])
def test_a_new_leader_waits_for_the_stops_of_the_one_before(make_harness, is_settled):
    minions = [LeasedMinion() for _ in range(2)]
    harness = make_harness(
        *minions, terms=replace(LEASE_TERMS, expiry_delay_seconds=60.0)
    )
    harness.submit(Step(2, lasts=True, max_away=1, max_per_minion=1))
    assert wait_until(lambda: count_at_work(harness, 2) == 2, SECONDS)
    harness.restart_leadership()
    assert wait_until(lambda: count_at_work(harness, 2) == 2, SECONDS)
    session = harness.dispatcher.session
    if is_settled:
        session.started_at -= 60.0
    run = harness.log.table.run_by_task[task()]
    session.upkeep.evacuate([run], is_late=False)
    assert ((run.task, run.number) in session.watch.evacuated) is is_settled


def test_a_stop_that_did_not_arrive_is_checked_against_the_budget_again(make_harness):
    minions = [LeasedMinion() for _ in range(3)]
    harness = make_harness(*minions)
    harness.submit(Step(3, lasts=True, max_away=1, max_per_minion=1))
    assert wait_until(lambda: count_at_work(harness, 3) == 3, SECONDS)
    session = harness.dispatcher.session
    assert wait_until(session.watch.is_settled, SECONDS)
    runs = {run.minion: run for run in harness.log.table.run_by_task.values()}
    leaving = runs[minions[0].life]
    refused = []

    def refuse(order, seconds):
        refused.append(order)
        return Reply(ReplyKind.NOT_SENT)

    original_stop, minions[0].stop = minions[0].stop, refuse
    session.upkeep.evacuate([leaving], is_late=False)
    assert wait_until(lambda: refused, SECONDS)
    minions[1].polls_to_lose = 1000
    other = runs[minions[1].life].task
    assert wait_until(lambda: not session.watch.is_at_work(other), SECONDS)
    minions[0].stop = original_stop
    tried = len(refused)
    assert wait_until(lambda: not session.watch.evacuated, SECONDS)
    assert len(refused) >= tried
    assert not minions[0].stopped
