"""More lasting tasks of one step were away than its job allows.

Seen: of a step of 24 tasks, of which 3 may be away, 6 were while a seventh was
ended. Some of them came back in pairs, two tasks of one VM at a time, and no
stop had been ordered for them.
How it came about: where only tasks that last run, a VM was looked at every half
lease, and the look renewed the lease. A look that never arrived was noticed when
its wait was over: later than the lease of the look before it.
Cause: the pause between two renewals left no room for one that is lost. Beside
it, a lease could be given too short by a message of the minion that was read
late, and a stop was given by a count made before it had to wait its turn.
Proof: each test brings one such event about on minions that end what runs when
its lease is over, and sees that no task ends by it.
"""

from dataclasses import replace

import pytest
from gevent.event import Event

from adapter.settings import LEASE_SECONDS as PLATFORM_LEASE_SECONDS
from hingepitch.httpd import wait_until
from hingepitch.jobs.contact import Reply, ReplyKind
from hingepitch.jobs.poller import (
    MAX_WAIT_LEASE_FRACTION,
    POLL_TIMEOUT_MARGIN_SECONDS,
    RETRY_SECONDS,
)
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.replytime import MAX_TIMEOUT_SECONDS
from hingepitch.jobs.session import POLL_PAUSE_SECONDS
from hingepitch.jobs.spec import Step
from tests.leased_minion import LeasedMinion
from tests.test_dispatch import SECONDS, TERMS, Rig
from tests.test_job_rules import task

#: The proportions of the real terms at half the time: a look may wait half a lease.
LEASE_SECONDS = 2.0
LEASE_TERMS = replace(TERMS, lease_seconds=LEASE_SECONDS, poll_wait_ms=1000)

#: How late a beat is read that a cut has held back.
BEAT_DELAY_MS = 3000

#: What the clocks' reading and rounding may take from a lease.
SLACK_MS = 200


@pytest.fixture
def rig():
    made = []

    def make(*minions, terms=LEASE_TERMS):
        by_life = {minion.life: minion for minion in minions}
        made.append(
            Rig(*minions, terms=terms, connect=lambda record: by_life[record.id])
        )
        assert wait_until(lambda: knows_clocks(made[-1], minions), SECONDS)
        return made[-1]

    yield make
    for one in made:
        one.close()


def knows_clocks(rig, minions):
    """Whether the leader has an agent for each minion that knows its clock."""
    session = rig.dispatcher.session
    agents = session.agent_by_minion.values() if session else ()
    ready = [one for one in agents if one.clock_offset_ms is not None]
    return len(ready) == len(minions)


def at_work(rig, count):
    watch = rig.dispatcher.session.watch
    return sum(watch.is_at_work(task(index=index)) for index in range(count))


@pytest.mark.parametrize("lost", [1, 3])
def test_a_look_that_never_arrives_ends_no_lasting_task(rig, lost):
    minion = LeasedMinion()
    here = rig(minion)
    here.submit(Step(2, lasts=True))
    assert wait_until(lambda: at_work(here, 2) == 2, SECONDS)
    minion.renewals_to_lose = lost
    assert wait_until(lambda: not minion.renewals_to_lose, SECONDS)
    seen = minion.renewals
    assert wait_until(lambda: minion.renewals >= seen + 2, SECONDS)
    assert not minion.lapsed
    assert len(minion.begun) == 2


def test_a_beat_that_was_held_back_makes_no_lease_shorter(rig):
    minion = LeasedMinion()
    here = rig(minion)
    beat_ms = minion.clock_ms() - BEAT_DELAY_MS
    here.dispatcher.note_heartbeat(minion.life, beat_ms)
    here.submit(Step(1, lasts=True))
    assert wait_until(lambda: minion.orders, SECONDS)
    left_ms = minion.orders[0].lease_until_ms - minion.clock_ms()
    assert left_ms > LEASE_SECONDS * 1000 - SLACK_MS, left_ms


def test_a_stop_that_had_to_wait_is_not_given_once_others_are_away(rig):
    minions = [LeasedMinion() for _ in range(3)]
    here = rig(*minions)
    here.submit(Step(3, lasts=True, max_away=1, max_per_minion=1))
    assert wait_until(lambda: at_work(here, 3) == 3, SECONDS)
    session = here.dispatcher.session
    runs = {run.minion: run for run in here.log.table.run_by_task.values()}
    leaving, other = runs[minions[0].life], runs[minions[1].life]
    agent = session.agent_by_minion[minions[0].life]
    agent.orders.acquire()
    agent.orders.acquire()  # Two orders are on their way; others wait.
    session.upkeep.evacuate([leaving], is_late=False)
    view = agent.view_by_task[leaving.task]
    assert wait_until(lambda: view.is_ordering, SECONDS)
    minions[1].looks_to_lose = 1000
    assert wait_until(lambda: not session.watch.is_at_work(other.task), SECONDS)
    agent.orders.release()
    agent.orders.release()
    assert wait_until(lambda: not view.is_ordering, SECONDS)
    assert not minions[0].stopped
    minions[1].looks_to_lose = 0
    assert wait_until(lambda: at_work(here, 3) == 3, SECONDS)
    session.upkeep.evacuate([leaving], is_late=False)
    assert wait_until(lambda: minions[0].stopped == [leaving.task], SECONDS)


@pytest.mark.parametrize("lost", [1, 2])
def test_looks_lost_in_a_row_leave_room_in_the_lease_of_the_platform(lost):
    """The longest time between two renewals, a prompt question between them."""
    answer = max(POLL_TIMEOUT_MARGIN_SECONDS, MAX_TIMEOUT_SECONDS)
    waits = MAX_WAIT_LEASE_FRACTION * PLATFORM_LEASE_SECONDS
    retries = (lost - 1) * (answer + RETRY_SECONDS)
    between = waits + (waits + answer) + retries + POLL_PAUSE_SECONDS
    assert between < PLATFORM_LEASE_SECONDS


def test_a_task_whose_end_is_listed_is_away_though_the_end_is_not_recorded(rig):
    minion = LeasedMinion()
    here = rig(minion)
    here.submit(Step(1, lasts=True, max_away=1))
    assert wait_until(lambda: at_work(here, 1) == 1, SECONDS)
    may_commit, commit, waiting = Event(), here.replica.propose, []

    def propose_late(envelope):
        waiting.append(envelope)
        may_commit.wait()
        return commit(envelope)

    here.replica.propose = propose_late
    minion.end(task(), 1, RunResult.LAPSED)
    assert wait_until(lambda: waiting, SECONDS)
    assert at_work(here, 1) == 0
    may_commit.set()
    assert wait_until(lambda: len(minion.begun) == 2, SECONDS)


@pytest.mark.parametrize("is_settled", [False, True])
def test_a_new_leader_waits_for_the_stops_of_the_one_before(rig, is_settled):
    minions = [LeasedMinion() for _ in range(2)]
    here = rig(*minions, terms=replace(LEASE_TERMS, expiry_delay_seconds=60.0))
    here.submit(Step(2, lasts=True, max_away=1, max_per_minion=1))
    assert wait_until(lambda: at_work(here, 2) == 2, SECONDS)
    here.lead_again()
    assert wait_until(lambda: at_work(here, 2) == 2, SECONDS)
    session = here.dispatcher.session
    if is_settled:
        session.started_at -= 60.0
    run = here.log.table.run_by_task[task()]
    session.upkeep.evacuate([run], is_late=False)
    assert ((run.task, run.number) in session.watch.evacuated) is is_settled


def test_a_stop_that_did_not_arrive_is_counted_again_before_the_next(rig):
    minions = [LeasedMinion() for _ in range(3)]
    here = rig(*minions)
    here.submit(Step(3, lasts=True, max_away=1, max_per_minion=1))
    assert wait_until(lambda: at_work(here, 3) == 3, SECONDS)
    session = here.dispatcher.session
    assert wait_until(session.watch.is_settled, SECONDS)
    runs = {run.minion: run for run in here.log.table.run_by_task.values()}
    leaving = runs[minions[0].life]
    refused = []

    def refuse(order, seconds):
        refused.append(order)
        return Reply(ReplyKind.NOT_SENT)

    sound, minions[0].stop = minions[0].stop, refuse
    session.upkeep.evacuate([leaving], is_late=False)
    assert wait_until(lambda: refused, SECONDS)
    minions[1].looks_to_lose = 1000
    other = runs[minions[1].life].task
    assert wait_until(lambda: not session.watch.is_at_work(other), SECONDS)
    minions[0].stop = sound
    tried = len(refused)
    assert wait_until(lambda: not session.watch.evacuated, SECONDS)
    assert len(refused) >= tried
    assert not minions[0].stopped
