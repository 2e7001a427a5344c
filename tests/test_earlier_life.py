"""A heartbeat of an earlier life of a VM that arrives late.

Seen: four tasks ran twice at once. How it came about: a VM came back from its
upkeep while the control replicas were cut off; the first heartbeat of that life
was held back for 12 s, in which the VM had moved twice and had begun another
life. Cause: a life that was not known before took the place of the one that is
registered for its VM, whose runs counted as over and were started elsewhere.
Proof: a late heartbeat whose sender does not answer any more changes nothing;
one whose sender answers ends the life before.
"""

import gevent
import pytest
from gevent.event import Event

from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs.command import SuspectLife
from hingepitch.jobs.contact import PollResult, Reply, ReplyKind
from hingepitch.jobs.question import NoteBeat
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, Rig
from tests.test_job_rules import make_minion, task


class GoneMinion(MemoryMinion):
    """A life that is over: its address says nothing, or is another's."""

    reply_kind = ReplyKind.UNSURE

    def look(self, order, seconds):
        gevent.sleep(0)
        return PollResult(Reply(self.reply_kind))


@pytest.fixture
def rig():
    minions = {}
    here = Rig(*add(minions, MemoryMinion(task_seconds=600)), connect=find(minions))
    here.by_life = minions
    here.beats = 0
    here.service = JobService(here.replica, here.roster, None, "test")
    here.submit(Step(1))
    assert wait_until(lambda: here.minions[0].running, SECONDS)
    yield here
    here.close()


def add(minions, minion):
    minions[minion.life] = minion
    return [minion]


def find(minions):
    return lambda record: minions[record.id]


def beat(rig, minion):
    """Hear `minion`, as a life on the VM of the first one."""
    add(rig.by_life, minion)
    record = make_minion(0, id=minion.life, cpu_millicores=16_000)
    rig.beats += 1
    rig.service.answer(NoteBeat(record, rig.beats, minion.clock_ms()))


# Guards also against an answer that another minion gives at the same address.
@pytest.mark.parametrize(
    "kind",
    [
        ReplyKind.UNSURE,
        ReplyKind.NOT_SENT,
        ReplyKind.OTHER_LIFE,
        ReplyKind.UNHEALTHY,
        ReplyKind.BAD_ORDER,
    ],
)
def test_a_late_heartbeat_of_an_earlier_life_ends_nothing(rig, kind):
    present = rig.minions[0]
    earlier = GoneMinion()
    earlier.reply_kind = kind
    with pytest.raises(HingepitchError) as caught:
        beat(rig, earlier)
    assert caught.value.code == "life_absent"
    table = rig.log.table
    assert table.life_by_vm["vm-0"] == present.life
    assert table.run_by_task[task()].minion == present.life
    assert earlier.life not in table.minion_by_id


def test_a_life_that_answers_ends_the_one_before(rig):
    fresh = MemoryMinion(task_seconds=600)
    beat(rig, fresh)
    assert rig.log.table.life_by_vm["vm-0"] == fresh.life
    assert wait_until(lambda: fresh.begun, SECONDS)


def test_a_life_of_a_vm_that_has_none_is_taken_at_once(rig):
    other = GoneMinion()
    add(rig.by_life, other)
    record = make_minion(5, id=other.life)
    rig.service.answer(NoteBeat(record, 1, other.clock_ms()))
    assert rig.log.table.life_by_vm["vm-5"] == other.life


class HeldReplica:
    """A replica whose first record of a suspicion takes until `release`."""

    def __init__(self, replica):
        self.replica = replica
        self.release = Event()
        self.is_held = False

    def __getattr__(self, name):
        return getattr(self.replica, name)

    def propose(self, envelope):
        if isinstance(envelope.command, SuspectLife) and not self.is_held:
            self.is_held = True
            self.release.wait()
        return self.replica.propose(envelope)


# Guards against two runs at once: a life whose record takes long, and that ends
# meanwhile, ended the life that came after it.
def test_a_life_that_is_recorded_late_ends_no_later_one(rig):
    held = rig.service.replica = HeldReplica(rig.replica)
    brief = GoneMinion()
    brief.reply_kind = ReplyKind.DONE
    recording = gevent.spawn(try_beat, rig, brief)
    assert wait_until(lambda: held.is_held, SECONDS)
    brief.reply_kind = ReplyKind.OTHER_LIFE
    latest = MemoryMinion(task_seconds=600)
    try_beat(rig, latest)
    held.release.set()
    recording.join()
    assert wait_until(lambda: try_beat(rig, latest), SECONDS)
    assert wait_until(lambda: latest.begun, SECONDS)
    assert rig.log.table.run_by_task[task()].minion == latest.life
    assert rig.log.table.life_by_vm["vm-0"] == latest.life


def try_beat(rig, minion):
    """Hear a minion; return whether its life is the one on its VM then."""
    try:
        beat(rig, minion)
    except HingepitchError:
        return False
    return rig.log.table.life_by_vm["vm-0"] == minion.life
