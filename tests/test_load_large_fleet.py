"""The cost of decisions on moves for fleets of 30 to 3,000 VMs.

A decision may iterate over all VMs a fixed number of times. What it reads for one VM
must not be computed from all VMs again, or its cost grows with the square of the
fleet's size.
"""

from types import SimpleNamespace

import pytest

from hingepitch.clock import lease_seconds
from hingepitch.jobs import command as commands
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.load import measure_pools
from hingepitch.jobs.mover import MoveController
from hingepitch.jobs.pool import PoolTerms
from hingepitch.jobs.queue import Queue, QueuePool
from tests.test_job_rules import HOST, Log, make_config, make_minion

POOLS = 4


class CountingDict(dict):
    """Dict that counts the values iterated over, summed over all instances."""

    seen = 0

    def values(self):
        for value in super().values():
            CountingDict.seen += 1
            yield value


def make_controller(count):
    """Return the controller of moves and the table of a fleet of `count` VMs.

    The VMs belong to four pools in turn; a third of all is in maintenance.
    """
    log = Log()
    queues = tuple(
        Queue(f"q{n}", HOST, f"/q{n}/", f"pool-{n}", timeout_ms=1) for n in range(POOLS)
    )
    pools = [QueuePool(queue.pool) for queue in queues]
    pools.append(QueuePool("off", is_spare=True))
    log.send(commands.PutQueues(make_config(2, queues=queues, pools=tuple(pools))))
    for number in range(count):
        minion = make_minion(number, pool=f"pool-{number % POOLS}")
        log.send(commands.RegisterMinion(minion, 0))
    vms = tuple(f"vm-{number}" for number in range(count // 3))
    log.send(commands.PutWave(1, vms, count, 0))
    for vm in vms:
        log.send(commands.BeginUpkeep(1, vm, 0))
    table = log.table
    session = SimpleNamespace(
        table=table,
        durations=Durations(),
        agent_by_minion={},
        upkeep=SimpleNamespace(leaving_since_by_vm={}),
        measure_pools=lambda: measure_pools(table, 0, Durations()),
    )
    return MoveController(session, None, PoolTerms(), 1.5), table


def count_visited_values(count):
    """Return how many VMs and waves one decision iterates over."""
    controller, table = make_controller(count)
    list(controller.views(table.config, lease_seconds()))
    table.minion_by_id = CountingDict(table.minion_by_id)
    table.wave_by_number = CountingDict(table.wave_by_number)
    CountingDict.seen = 0
    views = list(controller.views(table.config, lease_seconds()))
    idle = sum(len(view.idle) for view in views)
    assert idle == count - count // 3
    return CountingDict.seen


@pytest.mark.parametrize("count", [30, 300, 3000])
def test_a_decision_visits_each_vm_twice_and_each_wave_once(count):
    assert count_visited_values(count) == 2 * count + 1
