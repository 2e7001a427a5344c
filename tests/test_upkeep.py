"""Maintenance waves: VMs are drained first, and `max_down` is never exceeded."""

import gevent
import pytest

from hingepitch.clock import wall_ms
from hingepitch.httpd import wait_until
from hingepitch.jobs import (
    command as commands,
    session as session_module,
    upkeep as upkeep_module,
    watch as watch_module,
)
from hingepitch.jobs.agents import agent as agent_module
from hingepitch.jobs.fleet import FleetReply, VmList, VmRow, VmState
from hingepitch.jobs.record import JobStatus, UpkeepStage
from hingepitch.jobs.spec import Step
from hingepitch.jobs.upkeep import UpkeepController, required_concurrency
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_rules import JOB, make_minion, task

UPKEEP_SECONDS = 0.4


class Platform:
    """Stub of the platform: takes VMs down, which return as new incarnations.

    `gone`
        VMs that never go down: each order for them is answered with `BUSY`.
    `listed`
        VMs in the platform's list, or None if the list cannot be read.
    `unread`
        Number of unreadable rows in the list.
    """

    def __init__(self, harness, *replies):
        self.harness = harness
        self.gone = set()
        self.listed = None
        self.replies = list(replies)
        self.calls = []
        self.down = set()
        self.most_down = 0
        self.unread = 0
        self.runs_at_call = []

    def upkeep(self, vm, wave, holder, fence, seconds):
        table = self.harness.log.table
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
        minion = self.harness.minions[number]
        minion.restart()
        self.down.discard(vm)
        record = make_minion(
            number, id=minion.life, address=minion.address, cpu_millicores=16_000
        )
        self.harness.log.send(commands.RegisterMinion(record, 0))
        self.harness.replica.wake()
        self.harness.dispatcher.session.agents.reconcile()
        self.harness.dispatcher.note_heartbeat(minion.life, minion.clock_ms())

    def list_vms(self, seconds):
        if self.listed is None:
            return None
        rows = [VmRow(vm, "pool", VmState.UP, "h", "", "a") for vm in self.listed]
        return VmList(tuple(rows), self.unread)


@pytest.fixture
def harness():
    made = DispatchHarness(*(TaskMinion(task_seconds=0.3) for _ in range(4)))
    assert wait_until(lambda: made.dispatcher.session is not None, SECONDS)
    yield made
    made.close()


def begin_wave(harness, platform, max_down=2, seconds=20):
    """Start a wave over all four VMs that is due in `seconds`; return its record."""
    session = harness.dispatcher.session
    session.upkeep = UpkeepController(session, platform, UPKEEP_SECONDS)
    session.spawn(session.upkeep.run)
    vms = tuple(f"vm-{number}" for number in range(4))
    due_ms = wall_ms() + seconds * 1000
    harness.log.send(commands.PutWave(1, vms, max_down, due_ms))
    return harness.log.table.wave_by_number[1]


def test_a_wave_takes_each_vm_once_and_never_exceeds_max_down(harness):
    platform = Platform(harness)
    wave = begin_wave(harness, platform)
    assert wait_until(lambda: wave.is_done, 20)
    assert sorted(vm for vm, _ in platform.calls) == [f"vm-{n}" for n in range(4)]
    assert platform.most_down == 2


def test_vms_have_no_runs_when_their_maintenance_begins(harness):
    platform = Platform(harness)
    harness.submit(Step(40, cpu_millicores=1000))
    wave = begin_wave(harness, platform)
    assert wait_until(lambda: wave.is_done, 20)
    assert set(platform.runs_at_call) == {0}


def test_long_running_tasks_leave_within_their_disruption_budget(harness):
    for minion in harness.minions:
        minion.task_seconds = None
    harness.submit(Step(4, lasts=True, max_away=1, max_per_minion=2))
    assert wait_until(
        lambda: sum(len(one.running) for one in harness.minions) == 4, SECONDS
    )
    away = []
    watch = harness.dispatcher.session.watch
    tasks = [task(index=index) for index in range(4)]
    # A task that is not at work yet counts as the unavailable one and may be stopped.
    assert wait_until(lambda: all(map(watch.is_at_work, tasks)), SECONDS)
    evacuate = watch.evacuate

    def note(run, reason):
        away.append(sum(not watch.is_at_work(one) for one in tasks))
        evacuate(run, reason)

    watch.evacuate = note
    wave = begin_wave(harness, Platform(harness), max_down=4, seconds=60)
    assert wait_until(lambda: wave.is_done, 30)
    assert away and max(away) == 0
    assert harness.log.table.job_by_id[JOB].is_open


@pytest.mark.parametrize(
    "reply", [FleetReply.UNSURE, FleetReply.TOO_MANY, FleetReply.BUSY]
)
def test_an_order_without_a_final_answer_is_retried(harness, reply):
    platform = Platform(harness, reply, reply)
    wave = begin_wave(harness, platform, max_down=1)
    assert wait_until(lambda: len(platform.calls) >= 3, SECONDS)
    assert len({vm for vm, _ in platform.calls[:3]}) == 1
    assert wait_until(lambda: wave.is_done, 20)


def test_a_vm_that_the_platform_refuses_does_not_block_the_wave(harness):
    platform = Platform(harness, FleetReply.NOT_IN_WAVE, FleetReply.UNKNOWN_VM)
    wave = begin_wave(harness, platform)
    assert wait_until(lambda: wave.is_done, 20)
    assert len(platform.calls) == 4


def test_a_vm_that_is_no_longer_listed_does_not_block_its_wave(harness, monkeypatch):
    monkeypatch.setattr(upkeep_module, "LIST_SECONDS", 0.1)
    monkeypatch.setattr(upkeep_module, "GONE_SECONDS", 0.3)
    platform = Platform(harness)
    platform.gone = {"vm-3"}
    platform.listed = ["vm-0", "vm-1", "vm-2"]
    wave = begin_wave(harness, platform)
    assert wait_until(lambda: wave.is_done, 20)


@pytest.mark.parametrize("listed", [None, ["vm-0", "vm-1", "vm-2", "vm-3"]])
def test_a_busy_vm_that_may_still_be_there_keeps_its_wave_open(
    harness, monkeypatch, listed
):
    monkeypatch.setattr(upkeep_module, "LIST_SECONDS", 0.1)
    monkeypatch.setattr(upkeep_module, "GONE_SECONDS", 0.3)
    platform = Platform(harness)
    platform.gone = {"vm-3"}
    platform.listed = listed
    wave = begin_wave(harness, platform)
    others = ("vm-0", "vm-1", "vm-2")

    def others_are_done():
        return all(wave.stage_by_vm.get(vm) is UpkeepStage.OVER for vm in others)

    assert wait_until(others_are_done, 20)
    calls_before = len(platform.calls)
    assert wait_until(lambda: len(platform.calls) > calls_before + 5, SECONDS)
    assert not wave.is_done


def test_a_vm_that_is_missing_from_one_list_only_keeps_its_wave_open(harness):
    platform = Platform(harness)
    controller = UpkeepController(harness.dispatcher.session, platform, UPKEEP_SECONDS)
    platform.listed = ["vm-1"]
    assert not controller.is_gone("vm-0", 10.0)
    platform.listed = ["vm-0", "vm-1"]
    assert not controller.is_gone("vm-0", 12.5)
    platform.listed = ["vm-1"]
    assert not controller.is_gone("vm-0", 15.0)
    assert not controller.is_gone("vm-0", 16.5)
    assert controller.is_gone("vm-0", 17.6)


def test_no_vm_is_gone_while_the_list_has_unreadable_rows(harness):
    platform = Platform(harness)
    controller = UpkeepController(harness.dispatcher.session, platform, UPKEEP_SECONDS)
    platform.listed = ["vm-1"]
    platform.unread = 1
    for now in (10.0, 11.5, 13.0, 14.5):
        assert not controller.is_gone("vm-0", now)
    platform.unread = 0
    assert not controller.is_gone("vm-0", 16.0)
    assert not controller.is_gone("vm-0", 17.5)
    assert controller.is_gone("vm-0", 19.0)


def test_a_new_leader_resumes_maintenance_that_was_begun(harness):
    harness.log.send(commands.PutWave(1, ("vm-0",), 1, 0))
    harness.log.send(commands.BeginUpkeep(1, "vm-0", 0))
    platform = Platform(harness)
    session = harness.dispatcher.session
    session.upkeep = UpkeepController(session, platform, UPKEEP_SECONDS)
    session.spawn(session.upkeep.run)
    wave = harness.log.table.wave_by_number[1]
    assert wait_until(lambda: wave.stage_by_vm["vm-0"] is UpkeepStage.OVER, SECONDS)
    assert platform.calls == [("vm-0", FleetReply.DONE)]


@pytest.mark.parametrize(
    ("seconds_left", "waiting", "at_once"),
    [(30, 13, 3), (30, 1, 1), (5, 8, 8), (0, 3, 3), (-4, 2, 2), (1000, 40, 1)],
)
def test_the_required_concurrency_meets_the_deadline_of_a_wave(
    seconds_left, waiting, at_once
):
    assert required_concurrency(seconds_left, waiting, upkeep_seconds=2.0) == at_once


def test_a_wave_takes_only_the_required_vms_during_a_vm_shortage(harness):
    harness.dispatcher.session.mover.has_shortage = True
    platform = Platform(harness)
    wave = begin_wave(harness, platform, max_down=4, seconds=30)
    assert wait_until(lambda: wave.is_done, 20)
    assert platform.most_down == 1


def test_a_wave_close_to_its_deadline_uses_its_full_max_down(harness):
    harness.dispatcher.session.mover.has_shortage = True
    platform = Platform(harness)
    wave = begin_wave(harness, platform, max_down=4, seconds=1)
    assert wait_until(lambda: wave.is_done, 20)
    assert platform.most_down == 4


class FailingController(UpkeepController):
    """Controller whose every step of the wave `failing` raises."""

    failing = 1
    failures = 0

    def step(self, wave):
        if wave.number == self.failing:
            self.failures += 1
            raise KeyError("any fault")
        super().step(wave)


# Guards against an error in one wave that ends dispatching and all other waves.
def test_a_wave_that_fails_stops_neither_other_waves_nor_jobs(harness):
    session = harness.dispatcher.session
    controller = session.upkeep = FailingController(
        session, Platform(harness), UPKEEP_SECONDS
    )
    session.spawn(controller.run)
    for number, vms in enumerate((("vm-0", "vm-1"), ("vm-2", "vm-3")), start=1):
        due_ms = wall_ms() + 20_000
        harness.log.send(commands.PutWave(number, vms, 1, due_ms))
    harness.submit(Step(8))
    assert wait_until(lambda: harness.log.table.wave_by_number[2].is_done, 20)
    harness.wait_status(JobStatus.SUCCEEDED)
    assert controller.failures > 1
    assert harness.dispatcher.session is session


# Guards against a loop over shared state that fails when another greenlet changes
# the state meanwhile: here every log line switches greenlets.
def test_a_wave_completes_when_each_log_line_switches_greenlets(harness, monkeypatch):
    def switch_greenlets(event, **pairs):
        gevent.sleep(0.001)

    for module in (upkeep_module, watch_module, agent_module, session_module):
        monkeypatch.setattr(module, "log_event", switch_greenlets)
    for minion in harness.minions:
        minion.task_seconds = None
    session = harness.dispatcher.session
    for number in range(12):
        harness.log.submit(Step(3, 100, lasts=True), job=f"{number:016x}")
    harness.replica.wake()
    assert wait_until(lambda: len(harness.log.table.run_by_task) == 36, SECONDS)
    wave = begin_wave(harness, Platform(harness))
    assert wait_until(lambda: wave.is_done, 20)
    assert harness.dispatcher.session is session
    assert not session.has_failed
    assert "session_failures" not in session.gauge.metrics.metric_by_name
