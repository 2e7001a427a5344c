"""The load: an upkeep wave takes many VMs of pools whose tasks last.

With 272 VMs a wave took 112 of them, 45 at once. The VMs that it had taken
still counted as room, so that pools got no others in their place; tasks that
last were moved from one VM of the wave to the next; and as one of their step
leaves only while the others are at work, the last ones left 2 s late, one
each 1 to 3.7 s. Six VMs were left at the end of the wave's time.
"""

from types import SimpleNamespace

import pytest

from hingepitch.clock import lease_seconds
from hingepitch.jobs import command as commands
from hingepitch.jobs.contact import RunningRow
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.record import UpkeepStage
from hingepitch.jobs.runview import RunView, RunViewStatus
from hingepitch.jobs.spec import Step
from hingepitch.jobs.upkeep import UpkeepController
from hingepitch.jobs.watch import WARMING_POLL_MS, WARMING_SECONDS, RunWatch
from tests.test_job_rules import JOB, Log, make_config, make_minion, task
from tests.test_load_large_fleet import make_desk

POOL = "pool-0"
LONGEST_LOOK_MS = 2000
UPKEEP_SECONDS = 2.0


def present_in(desk, table):
    views = list(desk.views(table.config, lease_seconds()))
    return next(view.present for view in views if view.name == POOL)


def test_vms_that_leave_for_their_upkeep_are_not_present():
    desk, table = make_desk(40)
    assert present_in(desk, table) == 10 - 4
    desk.session.upkeep.leaving_since_by_vm["vm-36"] = 0.0
    assert present_in(desk, table) == 10 - 5


def test_a_vm_that_drains_and_leaves_for_its_upkeep_is_missing_once():
    desk, table = make_desk(40)
    before = present_in(desk, table)
    table.minion_by_id["i-36"] = make_minion(36, pool=POOL, is_draining=True)
    desk.session.upkeep.leaving_since_by_vm["vm-36"] = 0.0
    assert present_in(desk, table) == before - 1


def test_vms_that_are_back_from_their_upkeep_are_present_again():
    desk, table = make_desk(40)
    wave = table.wave_by_number[1]
    for vm in wave.vms:
        wave.stage_by_vm[vm] = UpkeepStage.OVER
    assert present_in(desk, table) == 10


@pytest.mark.parametrize("due", [("vm-1", "vm-2"), ("vm-2", "vm-3")])
def test_tasks_that_last_go_to_vms_without_an_upkeep_ahead(due):
    log = Log()
    log.send(commands.PutQueues(make_config()))
    for number in (1, 2, 3):
        log.send(commands.RegisterMinion(make_minion(number), 0))
    log.send(commands.PutWave(1, due, 1, 0))
    log.submit(Step(2, lasts=True, max_per_minion=2))
    starts, _ = plan_starts(log.table, PlanContext(0, set(log.table.minion_by_id)))
    taken = {log.table.minion_by_id[start.minion].vm for start in starts}
    assert len(starts) == 2
    assert not taken & set(due)


def test_tasks_that_last_do_not_wait_for_a_vm_without_an_upkeep_ahead():
    log = Log()
    log.send(commands.PutQueues(make_config()))
    log.send(commands.RegisterMinion(make_minion(1), 0))
    log.send(commands.PutWave(1, ("vm-1",), 1, 0))
    log.submit(Step(2, lasts=True))
    starts, _ = plan_starts(log.table, PlanContext(0, {"i-1"}))
    assert len(starts) == 2


def make_watch(percent, answered_at, lasts=True):
    log = Log()
    log.send(commands.PutQueues(make_config()))
    log.send(commands.RegisterMinion(make_minion(1), 0))
    log.submit(Step(1, lasts=lasts))
    log.send(commands.StartRuns((commands.Start(task(0), "i-1"),), (), 0))
    view = RunView(log.table.run_by_task[task(0)], RunViewStatus.RUNNING)
    view.answered_at = answered_at
    if percent is not None:
        view.row = RunningRow(task(0), 1, "", percent)
    session = SimpleNamespace(
        terms=SimpleNamespace(poll_wait_ms=LONGEST_LOOK_MS),
        step_of=lambda run: log.table.job_by_id[JOB].spec.steps[run.task.step],
    )
    agent = SimpleNamespace(view_by_task={task(0): view})
    return RunWatch(session).poll_wait_ms(agent)


@pytest.mark.parametrize("percent", [None, 0, 60])
def test_a_task_that_begins_to_last_is_looked_at_soon(percent):
    assert make_watch(percent, lease_seconds()) == WARMING_POLL_MS


def test_a_task_at_work_is_looked_at_seldom():
    assert make_watch(100, lease_seconds()) == LONGEST_LOOK_MS


def test_a_task_that_never_comes_to_work_is_not_looked_at_often_for_ever():
    assert make_watch(0, lease_seconds() - WARMING_SECONDS) == LONGEST_LOOK_MS


def make_upkeep(agent):
    table = Log().table
    table.life_by_vm["vm-1"] = "i-2"
    session = SimpleNamespace(
        table=table,
        agent_by_minion={"i-2": agent},
        commands=[],
        propose=lambda command: session.commands.append(command),
    )
    desk = UpkeepController(session, None, UPKEEP_SECONDS)
    desk.leaving_since_by_vm["vm-1"] = 0.0
    return desk


@pytest.mark.parametrize(
    ("met_after", "is_back"), [(1.9, True), (1.7, False), (0.5, False)]
)
def test_a_vm_is_back_once_its_next_life_is_known(met_after, is_back):
    """A life that is known sooner may be from before, its first beat late."""
    settled_at = lease_seconds()
    life = SimpleNamespace(id="i-2")
    first_seen_at = settled_at + met_after
    agent = SimpleNamespace(
        minion=life, last_heartbeat_at=0.0, first_seen_at=first_seen_at
    )
    desk = make_upkeep(agent)
    desk.settled_at_by_vm["vm-1"] = settled_at
    desk.finish_if_back(SimpleNamespace(number=1), "vm-1", settled_at + met_after)
    assert ("vm-1" not in desk.leaving_since_by_vm) is is_back
