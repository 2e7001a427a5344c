"""The load: decisions on moves over 30 to 3,000 VMs.

A decision may go over each VM once. What it reads for a VM must not be made
anew from all of them, or its cost grows with the square of the fleet.
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


class Counted(dict):
    """Counts how many items are gone over."""

    seen = 0

    def values(self):
        for value in super().values():
            Counted.seen += 1
            yield value


def make_desk(count):
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


def cost_of_a_decision(count):
    desk, table = make_desk(count)
    list(desk.views(table.config, lease_seconds()))
    table.minion_by_id = Counted(table.minion_by_id)
    table.wave_by_number = Counted(table.wave_by_number)
    Counted.seen = 0
    views = list(desk.views(table.config, lease_seconds()))
    idle = sum(len(view.idle) for view in views)
    assert idle == count - count // 3
    return Counted.seen


@pytest.mark.parametrize("count", [30, 300, 3000])
def test_a_decision_goes_over_each_vm_twice_and_over_each_wave_once(count):
    assert cost_of_a_decision(count) == 2 * count + 1
