"""Delayed heartbeats of earlier incarnations of a VM.

A network partition can hold back the first heartbeat of an incarnation until the
VM has begun another one. If such a heartbeat replaced the registered incarnation,
its runs would count as ended and start elsewhere, so that tasks run twice at once.
An unknown incarnation therefore replaces the registered one only if it replies to
a poll.
"""

import gevent
import pytest
from gevent.event import Event

from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs.agents.contact import PollResult, Reply, ReplyKind
from hingepitch.jobs.command import RemoveMinion, SuspectLife
from hingepitch.jobs.question import NoteBeat
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_rules import make_minion, task


class EndedMinion(MemoryMinion):
    """An ended incarnation; `reply_kind` is the reply from its address."""

    reply_kind = ReplyKind.UNSURE

    def look(self, order, seconds):
        gevent.sleep(0)
        return PollResult(Reply(self.reply_kind))


@pytest.fixture
def harness():
    minions = {}
    harness = DispatchHarness(
        *add(minions, MemoryMinion(task_seconds=600)), connect=find(minions)
    )
    harness.by_life = minions
    harness.heartbeat_count = 0
    harness.service = JobService(harness.replica, harness.roster, None, "test")
    harness.submit(Step(1))
    assert wait_until(lambda: harness.minions[0].running, SECONDS)
    yield harness
    harness.close()


def add(minions, minion):
    minions[minion.life] = minion
    return [minion]


def find(minions):
    return lambda record: minions[record.id]


def deliver_heartbeat(harness, minion):
    """Deliver a heartbeat of `minion` as an incarnation of the first VM."""
    add(harness.by_life, minion)
    record = make_minion(0, id=minion.life, cpu_millicores=16_000)
    harness.heartbeat_count += 1
    harness.service.answer(NoteBeat(record, harness.heartbeat_count, minion.clock_ms()))


# Guards also against a reply of another minion at the same address.
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
def test_a_late_heartbeat_of_an_earlier_life_ends_nothing(harness, kind):
    present = harness.minions[0]
    earlier = EndedMinion()
    earlier.reply_kind = kind
    with pytest.raises(HingepitchError) as caught:
        deliver_heartbeat(harness, earlier)
    assert caught.value.code == "life_absent"
    table = harness.log.table
    assert table.life_by_vm["vm-0"] == present.life
    assert table.run_by_task[task()].minion == present.life
    assert earlier.life not in table.minion_by_id


def test_an_incarnation_that_replies_ends_the_one_before(harness):
    fresh = MemoryMinion(task_seconds=600)
    deliver_heartbeat(harness, fresh)
    assert harness.log.table.life_by_vm["vm-0"] == fresh.life
    assert wait_until(lambda: fresh.begun, SECONDS)


def test_the_first_incarnation_of_a_vm_is_registered_at_once(harness):
    other = EndedMinion()
    add(harness.by_life, other)
    record = make_minion(5, id=other.life)
    harness.service.answer(NoteBeat(record, 1, other.clock_ms()))
    assert harness.log.table.life_by_vm["vm-5"] == other.life


class DelayingReplica:
    """A replica that delays the first `SuspectLife` command until `release`."""

    def __init__(self, replica):
        self.replica = replica
        self.release = Event()
        self.is_delaying = False

    def __getattr__(self, name):
        return getattr(self.replica, name)

    def propose(self, envelope):
        if isinstance(envelope.command, SuspectLife) and not self.is_delaying:
            self.is_delaying = True
            self.release.wait()
        return self.replica.propose(envelope)


# Guards against two runs of a task at once: an incarnation that ended before its
# registration was committed replaced the incarnation after it.
def test_an_incarnation_that_is_recorded_late_ends_no_later_one(harness):
    delaying = harness.service.replica = DelayingReplica(harness.replica)
    ended = EndedMinion()
    ended.reply_kind = ReplyKind.DONE
    recording = gevent.spawn(try_heartbeat, harness, ended)
    assert wait_until(lambda: delaying.is_delaying, SECONDS)
    ended.reply_kind = ReplyKind.OTHER_LIFE
    latest = MemoryMinion(task_seconds=600)
    try_heartbeat(harness, latest)
    delaying.release.set()
    recording.join()
    assert wait_until(lambda: try_heartbeat(harness, latest), SECONDS)
    assert wait_until(lambda: latest.begun, SECONDS)
    assert harness.log.table.run_by_task[task()].minion == latest.life
    assert harness.log.table.life_by_vm["vm-0"] == latest.life


# Guards against a live minion that is ignored for good: an incarnation that was
# recorded late ended a later one, which had come while its VM had none recorded.
def test_an_incarnation_that_is_recorded_late_ends_no_first_one(harness):
    delaying = harness.service.replica = DelayingReplica(harness.replica)
    ended = EndedMinion()
    ended.reply_kind = ReplyKind.DONE
    recording = gevent.spawn(try_heartbeat, harness, ended)
    assert wait_until(lambda: delaying.is_delaying, SECONDS)
    harness.log.send(RemoveMinion(harness.minions[0].life, 0))
    ended.reply_kind = ReplyKind.OTHER_LIFE
    latest = MemoryMinion(task_seconds=600)
    try_heartbeat(harness, latest)
    delaying.release.set()
    recording.join()
    assert wait_until(lambda: try_heartbeat(harness, latest), SECONDS)
    assert harness.log.table.life_by_vm["vm-0"] == latest.life


def try_heartbeat(harness, minion):
    """Deliver a heartbeat; return whether its incarnation is registered then."""
    try:
        deliver_heartbeat(harness, minion)
    except HingepitchError:
        return False
    return harness.log.table.life_by_vm["vm-0"] == minion.life
