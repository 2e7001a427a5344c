"""Upkeep waves by a session: emptied first, never more at once than allowed."""

import gevent
import pytest

from hingepitch.clock import wall_ms
from hingepitch.httpd import wait_until
from hingepitch.jobs import (
    agent as agent_module,
    command as commands,
    session as session_module,
    upkeep as upkeep_module,
    watch as watch_module,
)
from hingepitch.jobs.fleet import FleetReply, VmList, VmRow, VmState
from hingepitch.jobs.record import JobStatus, UpkeepStage
from hingepitch.jobs.spec import Step
from hingepitch.jobs.upkeep import UpkeepController, required_concurrency
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, Rig
from tests.test_job_rules import JOB, make_minion, task

UPKEEP_SECONDS = 0.4


class Platform:
    """Takes VMs down; they come back with another life when told so."""

    def __init__(self, rig, *replies):
        self.rig = rig
        self.gone = set()
        self.listed = None
        self.replies = list(replies)
        self.calls = []
        self.down = set()
        self.most_down = 0
        self.unread = 0
        self.runs_at_call = []

    def upkeep(self, vm, wave, holder, fence, seconds):
        table = self.rig.log.table
        self.runs_at_call.append(
            len(table.runs_by_minion.get(table.life_by_vm[vm], {}))
        )
        reply = self.replies.pop(0) if self.replies else FleetReply.DONE
        if vm in self.gone:
            reply = FleetReply.BUSY
        self.calls.append((vm, reply))
        if reply is FleetReply.DONE and vm not in self.down:
            self.down.add(vm)
            self.most_down = max(self.most_down, len(self.down))
            gevent.spawn_later(UPKEEP_SECONDS, self.bring_back, vm)
        return reply

    def bring_back(self, vm):
        number = int(vm.removeprefix("vm-"))
        minion = self.rig.minions[number]
        minion.restart()
        self.down.discard(vm)
        record = make_minion(
            number, id=minion.life, address=minion.address, cpu_millicores=16_000
        )
        self.rig.log.send(commands.RegisterMinion(record, 0))
        self.rig.replica.wake()
        self.rig.dispatcher.session.agents.reconcile()
        self.rig.dispatcher.note_heartbeat(minion.life, minion.clock_ms())

    def list_vms(self, seconds):
        if self.listed is None:
            return None
        rows = [VmRow(vm, "pool", VmState.UP, "h", "", "a") for vm in self.listed]
        return VmList(tuple(rows), self.unread)


@pytest.fixture
def rig():
    made = Rig(*(TaskMinion(task_seconds=0.3) for _ in range(4)))
    assert wait_until(lambda: made.dispatcher.session is not None, SECONDS)
    yield made
    made.close()


def begin_wave(rig, platform, max_down=2, seconds=20):
    session = rig.dispatcher.session
    session.upkeep = UpkeepController(session, platform, UPKEEP_SECONDS)
    session.spawn(session.upkeep.run)
    vms = tuple(f"vm-{number}" for number in range(4))
    due_ms = wall_ms() + seconds * 1000
    rig.log.send(commands.PutWave(1, vms, max_down, due_ms))
    return rig.log.table.wave_by_number[1]


def test_a_wave_takes_every_vm_once_and_no_more_at_once_than_allowed(rig):
    platform = Platform(rig)
    wave = begin_wave(rig, platform)
    assert wait_until(lambda: wave.is_done, 20)
    assert sorted(vm for vm, _ in platform.calls) == [f"vm-{n}" for n in range(4)]
    assert platform.most_down == 2


def test_vms_are_empty_when_they_are_taken(rig):
    platform = Platform(rig)
    rig.submit(Step(40, cpu_millicores=1000))
    wave = begin_wave(rig, platform)
    assert wait_until(lambda: wave.is_done, 20)
    assert set(platform.runs_at_call) == {0}


def test_lasting_tasks_leave_one_at_a_time(rig):
    for minion in rig.minions:
        minion.task_seconds = None
    rig.submit(Step(4, lasts=True, max_away=1, max_per_minion=2))
    assert wait_until(
        lambda: sum(len(one.running) for one in rig.minions) == 4, SECONDS
    )
    away = []
    watch = rig.dispatcher.session.watch
    tasks = [task(index=index) for index in range(4)]
    # A task that is not at work yet may leave as the one that is away.
    assert wait_until(lambda: all(map(watch.is_at_work, tasks)), SECONDS)
    evacuate = watch.evacuate

    def note(run, reason):
        away.append(sum(not watch.is_at_work(one) for one in tasks))
        evacuate(run, reason)

    watch.evacuate = note
    wave = begin_wave(rig, Platform(rig), max_down=4, seconds=60)
    assert wait_until(lambda: wave.is_done, 30)
    assert away and max(away) == 0
    assert rig.log.table.job_by_id[JOB].is_open


@pytest.mark.parametrize(
    "reply", [FleetReply.UNSURE, FleetReply.TOO_MANY, FleetReply.BUSY]
)
def test_an_order_without_a_final_answer_is_given_again(rig, reply):
    platform = Platform(rig, reply, reply)
    wave = begin_wave(rig, platform, max_down=1)
    assert wait_until(lambda: len(platform.calls) >= 3, SECONDS)
    assert len({vm for vm, _ in platform.calls[:3]}) == 1
    assert wait_until(lambda: wave.is_done, 20)


def test_a_vm_that_is_not_of_the_wave_does_not_hold_it_up(rig):
    platform = Platform(rig, FleetReply.NOT_IN_WAVE, FleetReply.UNKNOWN_VM)
    wave = begin_wave(rig, platform)
    assert wait_until(lambda: wave.is_done, 20)
    assert len(platform.calls) == 4


def test_a_vm_that_was_taken_away_does_not_hold_its_wave_up(rig, monkeypatch):
    monkeypatch.setattr(upkeep_module, "LIST_SECONDS", 0.1)
    monkeypatch.setattr(upkeep_module, "GONE_SECONDS", 0.3)
    platform = Platform(rig)
    platform.gone = {"vm-3"}
    platform.listed = ["vm-0", "vm-1", "vm-2"]
    wave = begin_wave(rig, platform)
    assert wait_until(lambda: wave.is_done, 20)


@pytest.mark.parametrize("listed", [None, ["vm-0", "vm-1", "vm-2", "vm-3"]])
def test_a_busy_vm_that_may_still_be_there_keeps_its_wave_open(
    rig, monkeypatch, listed
):
    monkeypatch.setattr(upkeep_module, "LIST_SECONDS", 0.1)
    monkeypatch.setattr(upkeep_module, "GONE_SECONDS", 0.3)
    platform = Platform(rig)
    platform.gone = {"vm-3"}
    platform.listed = listed
    wave = begin_wave(rig, platform)
    others = ("vm-0", "vm-1", "vm-2")

    def others_are_done():
        return all(wave.stage_by_vm.get(vm) is UpkeepStage.OVER for vm in others)

    assert wait_until(others_are_done, 20)
    asked = len(platform.calls)
    assert wait_until(lambda: len(platform.calls) > asked + 5, SECONDS)
    assert not wave.is_done


def test_a_vm_that_is_missing_from_one_list_only_keeps_its_wave_open(rig):
    platform = Platform(rig)
    desk = UpkeepController(rig.dispatcher.session, platform, UPKEEP_SECONDS)
    platform.listed = ["vm-1"]
    assert not desk.is_gone("vm-0", 10.0)
    platform.listed = ["vm-0", "vm-1"]
    assert not desk.is_gone("vm-0", 12.5)
    platform.listed = ["vm-1"]
    assert not desk.is_gone("vm-0", 15.0)
    assert not desk.is_gone("vm-0", 16.5)
    assert desk.is_gone("vm-0", 17.6)


def test_a_vm_whose_entry_cannot_be_read_is_not_gone(rig):
    platform = Platform(rig)
    desk = UpkeepController(rig.dispatcher.session, platform, UPKEEP_SECONDS)
    platform.listed = ["vm-1"]
    platform.unread = 1
    for now in (10.0, 11.5, 13.0, 14.5):
        assert not desk.is_gone("vm-0", now)
    platform.unread = 0
    assert not desk.is_gone("vm-0", 16.0)
    assert not desk.is_gone("vm-0", 17.5)
    assert desk.is_gone("vm-0", 19.0)


def test_another_leader_carries_on_an_upkeep_that_was_begun(rig):
    rig.log.send(commands.PutWave(1, ("vm-0",), 1, 0))
    rig.log.send(commands.BeginUpkeep(1, "vm-0", 0))
    platform = Platform(rig)
    session = rig.dispatcher.session
    session.upkeep = UpkeepController(session, platform, UPKEEP_SECONDS)
    session.spawn(session.upkeep.run)
    wave = rig.log.table.wave_by_number[1]
    assert wait_until(lambda: wave.stage_by_vm["vm-0"] is UpkeepStage.OVER, SECONDS)
    assert platform.calls == [("vm-0", FleetReply.DONE)]


@pytest.mark.parametrize(
    ("seconds_left", "waiting", "at_once"),
    [(30, 13, 3), (30, 1, 1), (5, 8, 8), (0, 3, 3), (-4, 2, 2), (1000, 40, 1)],
)
def test_a_wave_needs_so_many_vms_down_at_once(seconds_left, waiting, at_once):
    assert required_concurrency(seconds_left, waiting, upkeep_seconds=2.0) == at_once


def test_while_a_pool_lacks_vms_a_wave_takes_no_more_than_it_needs(rig):
    rig.dispatcher.session.mover.has_shortage = True
    platform = Platform(rig)
    wave = begin_wave(rig, platform, max_down=4, seconds=30)
    assert wait_until(lambda: wave.is_done, 20)
    assert platform.most_down == 1


def test_a_wave_that_has_little_time_takes_all_it_may(rig):
    rig.dispatcher.session.mover.has_shortage = True
    platform = Platform(rig)
    wave = begin_wave(rig, platform, max_down=4, seconds=1)
    assert wait_until(lambda: wave.is_done, 20)
    assert platform.most_down == 4


class FailingDesk(UpkeepController):
    """A desk that fails at one wave, whenever it gets to it."""

    failing = 1
    failures = 0

    def step(self, wave):
        if wave.number == self.failing:
            self.failures += 1
            raise KeyError("any fault")
        super().step(wave)


# Guards against an error of one wave that ends all dispatching, and all others.
def test_a_wave_that_fails_stops_neither_another_one_nor_the_jobs(rig):
    session = rig.dispatcher.session
    desk = session.upkeep = FailingDesk(session, Platform(rig), UPKEEP_SECONDS)
    session.spawn(desk.run)
    for number, vms in enumerate((("vm-0", "vm-1"), ("vm-2", "vm-3")), start=1):
        due_ms = wall_ms() + 20_000
        rig.log.send(commands.PutWave(number, vms, 1, due_ms))
    rig.submit(Step(8))
    assert wait_until(lambda: rig.log.table.wave_by_number[2].is_done, 20)
    rig.wait_status(JobStatus.SUCCEEDED)
    assert desk.failures > 1
    assert rig.dispatcher.session is session


# Guards against a loop over shared state that a switch within it tears.
def test_a_wave_goes_on_where_every_line_gives_way(rig, monkeypatch):
    def give_way(event, **pairs):
        gevent.sleep(0.001)

    for module in (upkeep_module, watch_module, agent_module, session_module):
        monkeypatch.setattr(module, "log_event", give_way)
    for minion in rig.minions:
        minion.task_seconds = None
    session = rig.dispatcher.session
    for number in range(12):
        rig.log.submit(Step(3, 100, lasts=True), job=f"{number:016x}")
    rig.replica.wake()
    assert wait_until(lambda: len(rig.log.table.run_by_task) == 36, SECONDS)
    wave = begin_wave(rig, Platform(rig))
    assert wait_until(lambda: wave.is_done, 20)
    assert rig.dispatcher.session is session
    assert not session.has_failed
    assert "session_failures" not in session.gauge.metrics.metric_by_name
