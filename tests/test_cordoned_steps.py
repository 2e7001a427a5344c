"""Maintenance waves and permissions while a hall is cordoned."""

from types import SimpleNamespace

import pytest

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.jobs import command as commands
from hingepitch.jobs.fleet import VmRow, VmState
from hingepitch.jobs.permission import Permission, PermissionController
from hingepitch.jobs.spec import Step
from hingepitch.jobs.upkeep import UpkeepController
from tests.test_cordoned_pools import HallLog, cordon, make_controller
from tests.test_job_rules import JOB, task

STEP = (JOB, 0, 0)


@pytest.fixture
def log():
    return HallLog()


def choose(log, max_down=2):
    """Return the VMs that a wave over all VMs takes first."""
    session = make_controller(log).session
    session.mover = make_controller(log)
    session.mover.apply_vm_list([VmRow("vm-9", "off", VmState.UP, "h1", "", "a")])
    vms = ("vm-0", "vm-1", "vm-2", "vm-3", "vm-9")
    log.send(commands.PutWave(1, vms, max_down, wall_ms() + 60_000))
    session.step_of = lambda run: log.table.job_by_id[JOB].spec.steps[run.task.step]
    controller = UpkeepController(session, None, 1.0)
    controller.choose_leaving(log.table.wave_by_number[1], lease_seconds())
    return set(controller.leaving_since_by_vm)


# Guards against a wave that takes VMs in use while those of a cordoned hall, spare ones
# included, get no work.
def test_a_wave_takes_the_vms_of_a_cordoned_hall_first(log):
    log.submit(Step(1, lasts=False))
    log.start(task(), minion="i-2")
    assert choose(log, max_down=3) == {"vm-0", "vm-1", "vm-3"}
    cordon(log, "h1")
    assert choose(log, max_down=3) == {"vm-2", "vm-3", "vm-9"}


# Guards against a wave that takes none of the other VMs while a task that lasts may not
# leave its VM in the cordoned hall: the other tasks of its step may have no room.
def test_a_vm_of_a_cordoned_hall_with_a_task_that_lasts_is_not_taken_first(log):
    log.submit(Step(1, lasts=True))
    log.start(task(), minion="i-2")
    cordon(log, "h1")
    assert choose(log, max_down=3) == {"vm-0", "vm-3", "vm-9"}


class Advised(PermissionController):
    """Takes the queue of each step for one that needs permissions."""

    def advice_terms(self, step_key):
        return SimpleNamespace(valid_ms=1000)


# Guards against a step that waits for a minion of a cordoned hall for which it has the
# permission, and against calls that ask about such minions.
def test_no_permission_is_requested_for_minions_of_a_cordoned_hall(log):
    log.submit(Step(1))
    controller = Advised(SimpleNamespace(table=log.table), None)
    assert set(controller.candidates(STEP)) == {"i-0", "i-1", "i-2", "i-3"}
    controller.permissions_by_step[STEP] = {"i-2": Permission("t", 1e12)}
    assert not controller.needs_call(STEP)
    cordon(log, "h1")
    assert controller.needs_call(STEP)
    assert set(controller.candidates(STEP)) == {"i-0", "i-1"}
    cordon(log, "h0")
    assert not controller.candidates(STEP)
