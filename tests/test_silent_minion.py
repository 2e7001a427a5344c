"""Runs on a minion that fell silent, which have to go on elsewhere.

Seen: a task that lasts lapsed at its minion and had no run again for as long
as its pool was watched, more than 10 s, beside minions with room.
How it came about: the leader takes a run on a silent minion to be over once
the last lease that it gave has surely run out. A run that it wants to stop (its
minion drains or is due for upkeep, or the job was cancelled) was ordered to
stop again as soon as the last order had got no answer; while an order was
under way, the run was not given up.
Cause: any order under way shielded its run. Only a start may extend a lease.
Near kin, found while looking for others of its kind: a look that failed by a
fault of the program was never made again, while the leader went on; a life
whose removal was refused once was not removed any more; a refused look put the
end of the lease off, though it renews nothing; a connection that neither came
about nor failed held a look for good.
Proof: each test here failed before the change to what its name tells. That
these did what was seen on the played day was not shown.
"""

import gevent
import pytest

from hingepitch import exchange as exchange_module
from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.contact import PollResult, Reply, ReplyKind
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import Step
from hingepitch.request import Execution, Failure, Request
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, Rig
from tests.test_job_rules import make_minion, task

OTHER_JOB = "00000000000000bb"

#: A run that is given up has its next one within this time, in seconds: the
#: lease of `TERMS` with what is added until it is surely over (1.2 s), two
#: calls without an answer, and what a loaded test machine adds.
NEXT_RUN_SECONDS = 4.0


class LeasedMinion(MemoryMinion):
    """Runs tasks that last under a lease; says nothing while `is_mute`."""

    def __init__(self):
        super().__init__(task_seconds=600)
        self.is_mute = False
        self.refusal = None
        self.until_ms = 0
        self.stops = 0

    def lapse(self):
        if self.clock_ms() > self.until_ms:
            for key, number in list(self.running.items()):
                self.end(key, number, RunResult.LAPSED)

    def no_answer(self, seconds):
        gevent.sleep(seconds)
        return Reply(ReplyKind.UNSURE)

    def start(self, order, seconds):
        if self.is_mute:
            return self.no_answer(seconds)
        self.lapse()
        self.until_ms = max(self.until_ms, order.lease_until_ms)
        return super().start(order, seconds)

    def stop(self, order, seconds):
        self.stops += 1
        return self.no_answer(seconds) if self.is_mute else super().stop(order, seconds)

    def look(self, order, seconds):
        if self.is_mute:
            return PollResult(self.no_answer(seconds))
        if self.refusal is not None:
            return PollResult(self.reply(self.refusal))
        self.lapse()
        self.until_ms = max(self.until_ms, order.lease_until_ms or 0)
        return super().look(order, seconds)


@pytest.fixture
def pair():
    """Return a rig with a lasting task at work, its minion, and a free one."""
    minions = (LeasedMinion(), LeasedMinion())
    by_life = {minion.life: minion for minion in minions}
    here = Rig(*minions, connect=lambda record: by_life[record.id])
    here.submit(Step(1, lasts=True))
    assert wait_until(lambda: any(one.running for one in minions), SECONDS)
    busy, free = minions if minions[0].running else minions[::-1]
    agents = here.dispatcher.session.agent_by_minion
    assert wait_until(lambda: is_seen(agents[busy.life]), SECONDS)
    yield here, busy, free
    here.close()


def is_seen(agent):
    return any(view.row is not None for view in agent.view_by_task.values())


def agent_of(here, minion):
    return here.dispatcher.session.agent_by_minion[minion.life]


def drain(here, minion):
    number = here.minions.index(minion)
    record = make_minion(
        number,
        id=minion.life,
        address=minion.address,
        cpu_millicores=16_000,
        is_draining=True,
    )
    here.log.send(commands.RegisterMinion(record, 0))
    here.replica.wake()


@pytest.mark.parametrize("why", ["it drains", "its job is cancelled"])
def test_a_stop_without_an_answer_does_not_keep_a_lapsed_run(pair, why):
    here, busy, free = pair
    busy.is_mute = True
    if why == "it drains":
        drain(here, busy)
    else:
        here.cancel()
    assert wait_until(lambda: busy.stops, SECONDS)
    runs = here.log.table.runs_by_minion[busy.life]
    assert wait_until(lambda: not runs, NEXT_RUN_SECONDS)
    assert busy.clock_ms() > busy.until_ms
    if why == "it drains":
        assert wait_until(lambda: free.begun, SECONDS)
        assert free.begun[0][:2] == (task(), 2)


def test_a_look_that_fails_ends_the_leadership_and_the_next_one_looks(pair):
    here, busy, _ = pair
    first = here.dispatcher.session
    sound = busy.look

    def fail(order, seconds):
        busy.look = sound
        raise RuntimeError("a fault of the program")

    busy.look = fail
    assert wait_until(lambda: here.dispatcher.session not in (first, None), SECONDS)
    agents = here.dispatcher.session.agent_by_minion
    assert wait_until(lambda: busy.life in agents, SECONDS)
    assert wait_until(lambda: is_seen(agents[busy.life]), SECONDS)
    assert busy.running and len(busy.begun) == 1


def test_nothing_of_an_agent_goes_on_after_its_leadership(pair):
    here, busy, free = pair
    greenlets = [
        one
        for minion in (busy, free)
        for one in agent_of(here, minion).greenlets
        if not one.dead
    ]
    assert len(greenlets) >= 4
    here.lead_again()
    assert wait_until(lambda: all(one.dead for one in greenlets), SECONDS)


def test_a_life_that_is_over_is_removed_though_that_was_refused_once(pair):
    here, busy, free = pair
    refused = []
    propose = here.replica.propose

    def refuse_once(envelope):
        is_removal = isinstance(envelope.command, commands.RemoveMinion)
        if is_removal and not refused:
            refused.append(envelope)
            raise HingepitchError("lost_leadership")
        return propose(envelope)

    here.replica.propose = refuse_once
    busy.refusal = ReplyKind.OTHER_LIFE
    assert wait_until(lambda: free.begun, SECONDS)
    assert refused


def test_a_minion_that_refuses_all_looks_loses_its_runs_with_its_lease(pair):
    here, busy, free = pair
    busy.refusal = ReplyKind.UNHEALTHY
    agent_of(here, busy).pause_placement(60)
    assert wait_until(lambda: free.begun, NEXT_RUN_SECONDS)
    assert free.begun[0][2] * 1000 > busy.until_ms


def test_a_connection_that_never_comes_about_does_not_hold_a_call(monkeypatch):
    monkeypatch.setattr(
        exchange_module.socket, "create_connection", lambda *_: gevent.sleep(60)
    )
    connections = exchange_module.MinionConnections(("127.0.0.1", 1))
    request = Request("", "POST", "/", [], b"", lease_seconds() + 0.4)
    began = lease_seconds()
    with gevent.Timeout(SECONDS):
        answer = connections.exchange(request)
    assert isinstance(answer, Failure) and answer.run is Execution.NOT_RUN
    assert lease_seconds() - began < 2 * exchange_module.MAX_CONNECT_SECONDS


def test_no_start_is_ordered_at_a_silent_minion(pair):
    here, busy, free = pair
    agent = agent_of(here, busy)
    busy.is_mute = True
    assert wait_until(lambda: agent.is_unresponsive, SECONDS)
    lease_expired_at = agent.lease_expired_at
    keys = [task(index=index, job=OTHER_JOB) for index in range(4)]
    assert here.log.submit(Step(4), job=OTHER_JOB) == ""
    here.log.start(*keys, minion=busy.life)
    here.replica.wake()
    assert wait_until(lambda: len(free.running) >= len(keys), SECONDS)
    assert agent.lease_expired_at == lease_expired_at


def test_a_lapsed_minion_is_not_counted_as_present_in_its_pool(pair):
    here, busy, _ = pair
    desk = here.dispatcher.session.mover
    agent = agent_of(here, busy)

    def present():
        (view,) = desk.views(here.log.table.config, lease_seconds())
        return view.present

    assert present() == 2
    busy.is_mute = True
    assert wait_until(lambda: agent.is_unresponsive, SECONDS)
    assert present() == 2
    assert wait_until(lambda: present() == 1, NEXT_RUN_SECONDS)
    busy.is_mute = False
    assert wait_until(lambda: present() == 2, SECONDS)
