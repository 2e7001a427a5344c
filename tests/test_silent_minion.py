"""Runs on a minion that became unresponsive, which must go on elsewhere.

The leader records a run on an unresponsive minion as lost once its last lease is
confirmed expired. A run to be stopped (the minion drains or is due for
maintenance, or the job was cancelled) is ordered to stop again after each order
without a reply. If every order in progress kept its run, that run would never be
lost and its task not start elsewhere; only a start can extend a lease. The other
tests guard against related failures: a poll that raised an exception was not
repeated while the leadership went on, an incarnation whose removal was refused
once was never removed, a refused poll put off the lease expiry although it renews
nothing, and a connection that was neither established nor refused blocked a poll
forever.
"""

import gevent
import pytest

from hingepitch import exchange as exchange_module
from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.agents.contact import PollResult, Reply, ReplyKind
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import Step
from hingepitch.request import Execution, Failure, Request
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_rules import make_minion, task

OTHER_JOB = "00000000000000bb"

#: Longest time until a lost run is recorded or its next one starts, in seconds:
#: the time until a lease of `TERMS` is confirmed expired (1.2 s), two calls
#: without a reply, and a margin for a loaded test machine.
NEXT_RUN_SECONDS = 4.0


class LeasedMinion(MemoryMinion):
    """Runs long tasks under a lease; does not reply while `drops_calls`."""

    def __init__(self):
        super().__init__(task_seconds=600)
        self.drops_calls = False
        self.refusal = None
        self.until_ms = 0
        self.stops = 0

    def enforce_lease(self):
        if self.clock_ms() > self.until_ms:
            for key, number in list(self.running.items()):
                self.end(key, number, RunResult.LAPSED)

    def time_out(self, seconds):
        gevent.sleep(seconds)
        return Reply(ReplyKind.UNSURE)

    def start(self, order, seconds):
        if self.drops_calls:
            return self.time_out(seconds)
        self.enforce_lease()
        self.until_ms = max(self.until_ms, order.lease_until_ms)
        return super().start(order, seconds)

    def stop(self, order, seconds):
        self.stops += 1
        return (
            self.time_out(seconds) if self.drops_calls else super().stop(order, seconds)
        )

    def look(self, order, seconds):
        if self.drops_calls:
            return PollResult(self.time_out(seconds))
        if self.refusal is not None:
            return PollResult(self.reply(self.refusal))
        self.enforce_lease()
        self.until_ms = max(self.until_ms, order.lease_until_ms or 0)
        return super().look(order, seconds)


@pytest.fixture
def pair():
    """Yield a harness with a long-running task, its minion and a free minion."""
    minions = (LeasedMinion(), LeasedMinion())
    by_life = {minion.life: minion for minion in minions}
    harness = DispatchHarness(*minions, connect=lambda record: by_life[record.id])
    harness.submit(Step(1, lasts=True))
    assert wait_until(lambda: any(one.running for one in minions), SECONDS)
    busy, free = minions if minions[0].running else minions[::-1]
    agents = harness.dispatcher.session.agent_by_minion
    assert wait_until(lambda: has_listed_run(agents[busy.life]), SECONDS)
    yield harness, busy, free
    harness.close()


def has_listed_run(agent):
    return any(view.row is not None for view in agent.view_by_task.values())


def agent_of(harness, minion):
    return harness.dispatcher.session.agent_by_minion[minion.life]


def drain(harness, minion):
    number = harness.minions.index(minion)
    record = make_minion(
        number,
        id=minion.life,
        address=minion.address,
        cpu_millicores=16_000,
        is_draining=True,
    )
    harness.log.send(commands.RegisterMinion(record, 0))
    harness.replica.wake()


@pytest.mark.parametrize("why", ["it drains", "its job is cancelled"])
def test_a_stop_without_an_answer_does_not_keep_a_run_after_its_lease_expired(
    pair, why
):
    harness, busy, free = pair
    busy.drops_calls = True
    if why == "it drains":
        drain(harness, busy)
    else:
        harness.cancel()
    assert wait_until(lambda: busy.stops, SECONDS)
    runs = harness.log.table.runs_by_minion[busy.life]
    assert wait_until(lambda: not runs, NEXT_RUN_SECONDS)
    assert busy.clock_ms() > busy.until_ms
    if why == "it drains":
        assert wait_until(lambda: free.begun, SECONDS)
        assert free.begun[0][:2] == (task(), 2)


def test_a_poll_that_raises_ends_the_leadership_and_the_next_one_polls(pair):
    harness, busy, _ = pair
    first = harness.dispatcher.session
    original_look = busy.look

    def fail(order, seconds):
        busy.look = original_look
        raise RuntimeError("a fault of the program")

    busy.look = fail
    assert wait_until(lambda: harness.dispatcher.session not in (first, None), SECONDS)
    agents = harness.dispatcher.session.agent_by_minion
    assert wait_until(lambda: busy.life in agents, SECONDS)
    assert wait_until(lambda: has_listed_run(agents[busy.life]), SECONDS)
    assert busy.running and len(busy.begun) == 1


def test_the_greenlets_of_agents_end_with_their_leadership(pair):
    harness, busy, free = pair
    greenlets = [
        one
        for minion in (busy, free)
        for one in agent_of(harness, minion).greenlets
        if not one.dead
    ]
    assert len(greenlets) >= 4
    harness.restart_leadership()
    assert wait_until(lambda: all(one.dead for one in greenlets), SECONDS)


def test_the_removal_of_an_ended_incarnation_is_repeated_after_a_refusal(pair):
    harness, busy, free = pair
    refused = []
    propose = harness.replica.propose

    def refuse_once(envelope):
        is_removal = isinstance(envelope.command, commands.RemoveMinion)
        if is_removal and not refused:
            refused.append(envelope)
            raise HingepitchError("lost_leadership")
        return propose(envelope)

    harness.replica.propose = refuse_once
    busy.refusal = ReplyKind.OTHER_LIFE
    assert wait_until(lambda: free.begun, SECONDS)
    assert refused


def test_a_minion_that_refuses_all_polls_loses_its_runs_with_its_lease(pair):
    harness, busy, free = pair
    busy.refusal = ReplyKind.UNHEALTHY
    agent_of(harness, busy).pause_placement(60)
    assert wait_until(lambda: free.begun, NEXT_RUN_SECONDS)
    assert free.begun[0][2] * 1000 > busy.until_ms


def test_a_connection_that_is_never_established_does_not_block_a_call(monkeypatch):
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


def test_no_start_is_sent_to_an_unresponsive_minion(pair):
    harness, busy, free = pair
    agent = agent_of(harness, busy)
    busy.drops_calls = True
    assert wait_until(lambda: agent.is_unresponsive, SECONDS)
    lease_expired_at = agent.lease_expired_at
    keys = [task(index=index, job=OTHER_JOB) for index in range(4)]
    assert harness.log.submit(Step(4), job=OTHER_JOB) == ""
    harness.log.start(*keys, minion=busy.life)
    harness.replica.wake()
    assert wait_until(lambda: len(free.running) >= len(keys), SECONDS)
    assert agent.lease_expired_at == lease_expired_at


def test_a_minion_whose_lease_expired_is_not_counted_as_present(pair):
    harness, busy, _ = pair
    mover = harness.dispatcher.session.mover
    agent = agent_of(harness, busy)

    def present():
        (view,) = mover.views(harness.log.table.config, lease_seconds())
        return view.present

    assert present() == 2
    busy.drops_calls = True
    assert wait_until(lambda: agent.is_unresponsive, SECONDS)
    assert present() == 2
    assert wait_until(lambda: present() == 1, NEXT_RUN_SECONDS)
    busy.drops_calls = False
    assert wait_until(lambda: present() == 2, SECONDS)
