"""Delayed heartbeats, and orders that another incarnation answers.

A heartbeat that a network partition holds back arrives seconds later, when its
content is out of date. One of the incarnation that a maintenance has ended must
not count as the VM's return, or more VMs are down than the wave allows. One from
before a minion began to drain must not make it take runs under the next leader.
"""

import pytest

from hingepitch.clock import wall_ms
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.agents.contact import ReplyKind
from hingepitch.jobs.fleet import FleetReply
from hingepitch.jobs.question import NoteBeat
from hingepitch.jobs.record import UpkeepStage
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step
from hingepitch.jobs.upkeep import UpkeepController
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_rules import make_minion, task

UPKEEP_SECONDS = 0.8


@pytest.fixture
def harness():
    minions = (MemoryMinion(task_seconds=600), MemoryMinion(task_seconds=600))
    by_life = {one.life: one for one in minions}
    harness = DispatchHarness(*minions, connect=lambda record: by_life[record.id])
    harness.service = JobService(harness.replica, harness.roster, None, "test")
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    yield harness
    harness.close()


def deliver_heartbeat(harness, number, sequence, **changes):
    """Deliver a heartbeat of the minion on VM `number`, with changed fields."""
    minion = harness.minions[number]
    record = make_minion(number, id=minion.life, cpu_millicores=16_000, **changes)
    harness.service.answer(NoteBeat(record, sequence, minion.clock_ms()))


class PlatformStub:
    """A platform stub that starts each maintenance at once and returns no VM."""

    def __init__(self):
        self.calls = []

    def upkeep(self, vm, wave, holder, fence, seconds):
        self.calls.append(vm)
        return FleetReply.DONE

    def list_vms(self, seconds):
        return None


def test_a_delayed_heartbeat_of_the_life_that_an_upkeep_ended_settles_nothing(
    harness,
):
    session = harness.dispatcher.session
    for number in (0, 1):
        deliver_heartbeat(harness, number, 1)
    platform = PlatformStub()
    session.upkeep = UpkeepController(session, platform, UPKEEP_SECONDS)
    session.spawn(session.upkeep.run)
    harness.log.send(commands.PutWave(1, ("vm-0", "vm-1"), 1, wall_ms() + 20_000))
    wave = harness.log.table.wave_by_number[1]
    assert wait_until(lambda: UpkeepStage.ORDERED in wave.stage_by_vm.values(), SECONDS)
    down = platform.calls[0]
    settled_at = session.upkeep.settled_at_by_vm[down]
    agent = session.agent_by_minion[harness.log.table.life_by_vm[down]]
    for sequence in range(2, 12):
        deliver_heartbeat(harness, int(down[-1]), sequence)
        wait_until(lambda: len(set(platform.calls)) == 2, 0.2)
    assert agent.last_heartbeat_at > settled_at + UPKEEP_SECONDS
    assert set(platform.calls) == {down}


def test_a_delayed_heartbeat_does_not_take_draining_back(harness):
    deliver_heartbeat(harness, 0, 1)
    deliver_heartbeat(harness, 0, 3, is_draining=True)
    harness.restart_leadership()
    deliver_heartbeat(harness, 0, 2)
    assert harness.log.table.minion_by_id[harness.minions[0].life].is_draining
    harness.submit(Step(2))
    assert wait_until(lambda: len(harness.minions[1].begun) == 2, SECONDS)
    assert not harness.minions[0].begun


def fail_once(replica, kind, code):
    """Let the first proposal of a command fail; return the list that it is added to."""
    failed = []
    propose = replica.propose

    def propose_or_fail(envelope):
        if isinstance(envelope.command, kind) and not failed:
            failed.append(envelope)
            raise HingepitchError(code)
        return propose(envelope)

    replica.propose = propose_or_fail
    return failed


def test_a_start_that_another_incarnation_answers_leaves_no_run_recorded(harness):
    harness.log.send(commands.RemoveMinion(harness.minions[1].life, 0))
    failed = fail_once(harness.replica, commands.RemoveMinion, "queue_full")
    harness.minions[0].start_faults = [ReplyKind.OTHER_LIFE] * 9
    harness.submit(Step(1))
    assert wait_until(lambda: failed, SECONDS)
    assert wait_until(lambda: task() not in harness.log.table.run_by_task, SECONDS)


# Guards against a task that waits forever: the end of a start that its minion
# refused was not committed, and nothing tried again.
def test_a_refused_start_whose_end_was_not_committed_leaves_no_run(harness):
    harness.log.send(commands.RemoveMinion(harness.minions[1].life, 0))
    failed = fail_once(harness.replica, commands.EndRuns, "lost_leadership")
    harness.minions[0].start_faults = [ReplyKind.NO_ROOM]
    harness.submit(Step(1))
    assert wait_until(lambda: harness.minions[0].begun, SECONDS)
    assert failed
