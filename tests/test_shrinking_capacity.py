"""A minion whose capacity shrinks and grows.

No run starts beyond the capacity that the minion reported last. Guards against a
start that was planned before the capacity shrank and waited for other orders, and
against an outdated heartbeat that a network partition held back and that reaches
another leader. Runs in progress stay and use capacity until they end.
"""

from dataclasses import replace

import gevent
import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs.question import NoteBeat
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_rules import make_minion


class OneMinionHarness(DispatchHarness):
    """A dispatcher with one minion, whose heartbeats report its capacity."""

    def __init__(self):
        self.minion = TaskMinion()
        super().__init__(self.minion)
        self.service = JobService(self.replica, self.roster, None, "test")
        self.record = make_minion(
            0,
            id=self.minion.life,
            address=self.minion.address,
            cpu_millicores=16_000,
        )
        assert wait_until(lambda: self.dispatcher.session is not None, SECONDS)

    def send_heartbeat(self, sequence, **changes):
        record = replace(self.record, **changes)
        clock_ms = self.minion.clock_ms()
        self.service.answer(NoteBeat(record, sequence, clock_ms))

    @property
    def registered_capacity(self):
        record = self.log.table.minion_by_id[self.minion.life]
        return record.cpu_millicores, record.memory_mb, record.accelerators


@pytest.fixture
def room():
    made = OneMinionHarness()
    yield made
    made.close()


@pytest.mark.parametrize(
    "shrunk", [{"cpu_millicores": 2000}, {"memory_mb": 200}, {"accelerators": 2}]
)
def test_no_run_starts_beyond_a_capacity_that_shrank(room, shrunk):
    room.send_heartbeat(1, accelerators=8)
    room.send_heartbeat(2, **{"accelerators": 8, **shrunk})
    room.submit(Step(4, 1000, 100, accelerators=1))
    assert wait_until(lambda: len(room.minion.running) == 2, SECONDS)
    room.send_heartbeat(3, accelerators=8)
    assert wait_until(lambda: len(room.minion.running) == 4, SECONDS)


def test_a_start_that_waits_for_its_turn_is_dropped_when_the_capacity_shrinks(room):
    room.minion.faults.starts += ["late", "late"]
    room.minion.faults.late_seconds = 1.0
    room.submit(Step(6, 1000, 100))
    assert wait_until(lambda: len(room.log.table.run_by_task) == 6, SECONDS)
    room.send_heartbeat(1, cpu_millicores=2000)
    assert wait_until(lambda: len(room.log.table.run_by_task) <= 2, SECONDS)
    started = {name for name, _, _ in room.minion.starts}
    assert len(started) <= 2, started


def test_runs_in_progress_stay_and_count_when_the_capacity_shrinks_below_them(room):
    room.submit(Step(4, 1000, 100, lasts=True))
    assert wait_until(lambda: len(room.minion.running) == 4, SECONDS)
    room.send_heartbeat(1, cpu_millicores=3000)
    room.log.submit(Step(1, 500, 100), job="00000000000000bb")
    room.replica.wake()
    gevent.sleep(0.5)
    assert len(room.minion.running) == 4
    assert len(room.minion.starts) == 4
    room.send_heartbeat(2, cpu_millicores=5000)
    assert wait_until(lambda: len(room.minion.running) == 5, SECONDS)


def test_a_report_that_was_held_back_does_not_grow_a_room_under_another_leader(room):
    room.send_heartbeat(1, cpu_millicores=16_000)
    room.send_heartbeat(5, cpu_millicores=2000)
    room.restart_leadership()
    room.send_heartbeat(3, cpu_millicores=16_000)
    assert room.registered_capacity[0] == 2000
    room.send_heartbeat(6, cpu_millicores=8000)
    assert room.registered_capacity[0] == 8000


def test_a_gang_that_no_longer_fits_together_does_not_start(room):
    room.send_heartbeat(1, cpu_millicores=3000)
    room.submit(Step(4, 1000, 100, gang=True))
    gevent.sleep(0.5)
    assert not room.minion.starts
    room.send_heartbeat(2, cpu_millicores=4000)
    assert wait_until(lambda: len(room.minion.running) == 4, SECONDS)
