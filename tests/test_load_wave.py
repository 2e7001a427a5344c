"""A maintenance wave over many VMs of pools with long-running tasks.

Guards against three faults that left six VMs without maintenance at the deadline of a
wave over 112 of 272 VMs, 45 at once. VMs in maintenance still counted as capacity, so
their pools got no replacements. Long-running tasks were moved from one VM of the wave
to the next. And a task leaves its VM only while the other tasks of its step are known
to be at work, so the last tasks left 2 s late, one every 1 to 3.7 s.
"""

from types import SimpleNamespace

import pytest

from hingepitch.clock import lease_seconds
from hingepitch.jobs import command as commands
from hingepitch.jobs.agents.contact import RunningRow
from hingepitch.jobs.agents.runview import RunView, RunViewStatus
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.record import UpkeepStage
from hingepitch.jobs.spec import Step
from hingepitch.jobs.upkeep import UpkeepController
from hingepitch.jobs.watch import WARMING_POLL_MS, WARMING_SECONDS, RunWatch
from tests.test_job_rules import JOB, Log, make_config, make_minion, task
from tests.test_load_large_fleet import make_controller

POOL = "pool-0"
LONGEST_POLL_MS = 2000
UPKEEP_SECONDS = 2.0


def present_in(controller, table):
    views = list(controller.views(table.config, lease_seconds()))
    return next(view.present for view in views if view.name == POOL)


def test_vms_that_leave_for_their_upkeep_are_not_present():
    controller, table = make_controller(40)
    assert present_in(controller, table) == 10 - 4
    controller.session.upkeep.leaving_since_by_vm["vm-36"] = 0.0
    assert present_in(controller, table) == 10 - 5


def test_a_draining_vm_that_leaves_for_its_upkeep_is_subtracted_once():
    controller, table = make_controller(40)
    before = present_in(controller, table)
    table.minion_by_id["i-36"] = make_minion(36, pool=POOL, is_draining=True)
    controller.session.upkeep.leaving_since_by_vm["vm-36"] = 0.0
    assert present_in(controller, table) == before - 1


def test_vms_that_returned_from_their_upkeep_are_present_again():
    controller, table = make_controller(40)
    wave = table.wave_by_number[1]
    for vm in wave.vms:
        wave.stage_by_vm[vm] = UpkeepStage.OVER
    assert present_in(controller, table) == 10


@pytest.mark.parametrize("due", [("vm-1", "vm-2"), ("vm-2", "vm-3")])
def test_long_running_tasks_prefer_vms_without_pending_maintenance(due):
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


def test_long_running_tasks_do_not_wait_for_a_vm_without_pending_maintenance():
    log = Log()
    log.send(commands.PutQueues(make_config()))
    log.send(commands.RegisterMinion(make_minion(1), 0))
    log.send(commands.PutWave(1, ("vm-1",), 1, 0))
    log.submit(Step(2, lasts=True))
    starts, _ = plan_starts(log.table, PlanContext(0, {"i-1"}))
    assert len(starts) == 2


def next_poll_wait_ms(percent, answered_at, lasts=True):
    """Return the wait of the next status poll of a minion with one running task."""
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
        terms=SimpleNamespace(poll_wait_ms=LONGEST_POLL_MS),
        step_of=lambda run: log.table.job_by_id[JOB].spec.steps[run.task.step],
    )
    agent = SimpleNamespace(view_by_task={task(0): view})
    return RunWatch(session).poll_wait_ms(agent)


@pytest.mark.parametrize("percent", [None, 0, 60])
def test_a_long_running_task_that_warms_up_is_polled_soon(percent):
    assert next_poll_wait_ms(percent, lease_seconds()) == WARMING_POLL_MS


def test_a_task_at_work_is_polled_with_the_longest_wait():
    assert next_poll_wait_ms(100, lease_seconds()) == LONGEST_POLL_MS


def test_frequent_polls_of_a_task_that_never_warms_up_end():
    assert next_poll_wait_ms(0, lease_seconds() - WARMING_SECONDS) == LONGEST_POLL_MS


def make_upkeep(agent):
    table = Log().table
    table.life_by_vm["vm-1"] = "i-2"
    session = SimpleNamespace(
        table=table,
        agent_by_minion={"i-2": agent},
        commands=[],
        propose=lambda command: session.commands.append(command),
    )
    controller = UpkeepController(session, None, UPKEEP_SECONDS)
    controller.leaving_since_by_vm["vm-1"] = 0.0
    return controller


@pytest.mark.parametrize(
    ("met_after", "is_back"), [(1.9, True), (1.7, False), (0.5, False)]
)
def test_a_vm_is_back_once_its_next_life_is_known(met_after, is_back):
    """An incarnation known sooner may be an earlier one with a late heartbeat."""
    settled_at = lease_seconds()
    life = make_minion(2)
    first_seen_at = settled_at + met_after
    agent = SimpleNamespace(
        minion=life, last_heartbeat_at=0.0, first_seen_at=first_seen_at
    )
    controller = make_upkeep(agent)
    controller.settled_at_by_vm["vm-1"] = settled_at
    controller.finish_if_back(SimpleNamespace(number=1), "vm-1", settled_at + met_after)
    assert ("vm-1" not in controller.leaving_since_by_vm) is is_back
