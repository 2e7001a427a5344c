"""Large VMs with many tasks of one long-running step, in a maintenance wave.

The pattern: VMs hold eight tasks and more of a step with a budget of one, so that the
step alone takes most of the time of the wave to move.
"""

import pytest

from hingepitch.jobs.command import PutQueues, RegisterMinion
from hingepitch.jobs.drainorder import TASK_MOVE_SECONDS, find_urgent_vms
from hingepitch.jobs.spec import Step
from tests.test_job_rules import Log, make_config, make_minion, task

TASKS = 24
SERIAL_SECONDS = TASKS * TASK_MOVE_SECONDS


def make_table(tasks_by_vm, **changes):
    """Return a table with the tasks of one long-running step on VMs, by number."""
    log = Log()
    log.send(PutQueues(make_config()))
    fields = {"lasts": True, "max_away": 1} | changes
    log.submit(Step(sum(tasks_by_vm.values()), 1000, **fields))
    first = 0
    for number, count in tasks_by_vm.items():
        minion = make_minion(number, cpu_millicores=64_000)
        log.send(RegisterMinion(minion, 0))
        keys = [task(0, index) for index in range(first, first + count)]
        assert all(log.start(*keys, minion=minion.id))
        first += count
    return log.table


def urgent(table, draining=(), seconds=SERIAL_SECONDS - 1):
    return find_urgent_vms(table, ["vm-1", "vm-2", "vm-3"], set(draining), seconds)


# Guards against a wave that is late since VMs with many tasks of one step, which leave
# one after another, are drained last.
def test_a_step_that_takes_longer_than_the_wave_has_a_vm_that_drains():
    table = make_table({1: 8, 2: 12, 3: 4})
    assert urgent(table) == {"vm-3"}
    assert urgent(table, seconds=SERIAL_SECONDS + 1) == set()


# Guards against a second VM that gets no new runs while it waits for the first: the
# budget lets no task of the step leave there.
def test_only_one_vm_of_a_step_is_urgent_at_a_time():
    table = make_table({1: 8, 2: 12, 3: 4})
    assert urgent(table, draining=["vm-1"]) == set()


# Guards against another order of waves where no budget makes the tasks wait.
@pytest.mark.parametrize(
    "changes", [{"max_away": None}, {"lasts": False}, {"max_away": TASKS}]
)
def test_tasks_that_may_leave_together_are_not_urgent(changes):
    assert urgent(make_table({1: 8, 2: 12, 3: 4}, **changes)) == set()


# Guards against tasks that are moved although no VM of the wave has them.
def test_a_step_elsewhere_is_not_urgent():
    table = make_table({4: 24})
    assert urgent(table) == set()
    assert find_urgent_vms(table, [], set(), 0) == set()
