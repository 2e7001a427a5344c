"""Heartbeats of a life that were held back, and orders that others answered.

Seen by reading what was mended before, each shown by its test: a heartbeat that
a cut has held back arrives seconds later, and what it tells is no longer true.
One of the life that an upkeep has ended made the upkeep count as over, so that
more VMs were down than the wave allows; one from before a minion began to drain
made it take work again under the next leader.
"""

import pytest

from hingepitch.clock import wall_ms
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.contact import ReplyKind
from hingepitch.jobs.fleet import FleetReply
from hingepitch.jobs.question import NoteBeat
from hingepitch.jobs.record import UpkeepStage
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step
from hingepitch.jobs.upkeep import UpkeepController
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, Rig
from tests.test_job_rules import make_minion, task

UPKEEP_SECONDS = 0.8


@pytest.fixture
def rig():
    minions = (MemoryMinion(task_seconds=600), MemoryMinion(task_seconds=600))
    by_life = {one.life: one for one in minions}
    here = Rig(*minions, connect=lambda record: by_life[record.id])
    here.service = JobService(here.replica, here.roster, None, "test")
    assert wait_until(lambda: here.dispatcher.session is not None, SECONDS)
    yield here
    here.close()


def beat(rig, number, sequence, **changes):
    """Hear the minion on the VM `number`."""
    minion = rig.minions[number]
    record = make_minion(number, id=minion.life, cpu_millicores=16_000, **changes)
    rig.service.answer(NoteBeat(record, sequence, minion.clock_ms()))


class Platform:
    """Carries out each upkeep at once, and brings no VM back."""

    def __init__(self):
        self.calls = []

    def upkeep(self, vm, wave, holder, fence, seconds):
        self.calls.append(vm)
        return FleetReply.DONE

    def list_vms(self, seconds):
        return None


def test_a_held_back_beat_of_the_life_that_an_upkeep_ended_does_not_end_it(rig):
    session = rig.dispatcher.session
    for number in (0, 1):
        beat(rig, number, 1)
    platform = Platform()
    session.upkeep = UpkeepController(session, platform, UPKEEP_SECONDS)
    session.spawn(session.upkeep.run)
    rig.log.send(commands.PutWave(1, ("vm-0", "vm-1"), 1, wall_ms() + 20_000))
    wave = rig.log.table.wave_by_number[1]
    assert wait_until(lambda: UpkeepStage.ORDERED in wave.stage_by_vm.values(), SECONDS)
    down = platform.calls[0]
    settled_at = session.upkeep.settled_at_by_vm[down]
    agent = session.agent_by_minion[rig.log.table.life_by_vm[down]]
    for sequence in range(2, 12):
        beat(rig, int(down[-1]), sequence)
        wait_until(lambda: len(set(platform.calls)) == 2, 0.2)
    assert agent.last_heartbeat_at > settled_at + UPKEEP_SECONDS
    assert set(platform.calls) == {down}


def test_a_held_back_beat_does_not_take_draining_back(rig):
    beat(rig, 0, 1)
    beat(rig, 0, 3, is_draining=True)
    rig.lead_again()
    beat(rig, 0, 2)
    assert rig.log.table.minion_by_id[rig.minions[0].life].is_draining
    rig.submit(Step(2))
    assert wait_until(lambda: len(rig.minions[1].begun) == 2, SECONDS)
    assert not rig.minions[0].begun


def test_a_start_that_another_life_answers_keeps_no_run(rig):
    rig.log.send(commands.RemoveMinion(rig.minions[1].life, 0))
    refused = []
    propose = rig.replica.propose

    def refuse_once(envelope):
        if isinstance(envelope.command, commands.RemoveMinion) and not refused:
            refused.append(envelope)
            raise HingepitchError("queue_full")
        return propose(envelope)

    rig.replica.propose = refuse_once
    rig.minions[0].start_faults = [ReplyKind.OTHER_LIFE] * 9
    rig.submit(Step(1))
    assert wait_until(lambda: refused, SECONDS)
    assert wait_until(lambda: task() not in rig.log.table.run_by_task, SECONDS)
