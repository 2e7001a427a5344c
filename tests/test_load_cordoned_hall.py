"""A hall of three is cordoned while the demand of a pool rises to five times its mean.

The rates are those of `test_load_turns.py`: the crest needs about 100 VMs. They take
1.6 s to move, and nearly all are still on their way when the hall is cordoned, 1.5 s
after the crest began. The two other halls have 80 VMs (`SHORT`) or 120 (`AMPLE`).
"""

import pytest

from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.record import JobStatus
from tests.test_cordoned_pools import cordon
from tests.test_load_turns import PEAK_PER_SECOND
from tests.turns_simulation import (
    DECISION_SECONDS,
    PASS_SECONDS,
    SPARE_POOL,
    TurnsSimulation,
)

SHORT = {"vms_per_pool": 24, "spare_vms": 24}
AMPLE = {"vms_per_pool": 36, "spare_vms": 36}
SEED = 1

HALLS = 3
HALL = "h0"
CORDONED_AT = 6.5
UNCORDONED_AT = 9.5


class HallSimulation(TurnsSimulation):
    """Pools over three halls, one of which is cordoned for a time.

    `orders`
        Pairs of a time in seconds and whether the hall is cordoned from then on.
    `starts`
        The times of the starts in `HALL`, in seconds.
    `moves`
        Time, VM and target pool of each move.
    `lost`, `spare_elsewhere`
        VMs of the first pool in `HALL` when it was cordoned, those on their way
        included, and the spare VMs of the other halls then.
    """

    def __init__(self, orders, **sizes):
        self.orders = list(orders)
        self.starts = []
        self.moves = []
        super().__init__(SEED, **sizes)
        spare = self.controller.spare_pool_by_vm
        self.controller.hall_by_vm |= {vm: hall_of(vm) for vm in spare}

    def register(self, vm, pool):
        self.controller.hall_by_vm[vm] = hall_of(vm)
        super().register(vm, pool, hall=hall_of(vm))

    def pass_events(self):
        super().pass_events()
        while self.orders and self.orders[0][0] <= self.now:
            is_cordoned = self.orders.pop(0)[1]
            assert cordon(self.log, HALL, is_cordoned) == ""
            if is_cordoned:
                self.lost = self.arrivals(0, self.now).count(HALL)
                spare = map(hall_of, self.controller.spare_pool_by_vm)
                self.spare_elsewhere = sum(hall != HALL for hall in spare)

    def usable_minions(self):
        minions = self.table.minion_by_id.values()
        return {one.id for one in minions if one.hall not in self.table.cordons}

    def schedule(self, seconds, event):
        if isinstance(event, RunEnd):
            if self.table.minion_by_id[event.minion].hall == HALL:
                self.starts.append(self.now)
        super().schedule(seconds, event)

    def carry_out(self, move):
        self.moves.append((self.now, move.vm, move.pool))
        super().carry_out(move)

    def arrivals(self, begin, end):
        """Return the halls of the VMs ordered into the pool between two times."""
        return [
            hall_of(vm)
            for at, vm, pool in self.moves
            if begin <= at < end and pool == "pool-0"
        ]


def hall_of(vm):
    return f"h{int(vm.removeprefix('vm-')) % HALLS}"


def simulate(orders, sizes):
    simulation = HallSimulation(orders, **sizes)
    simulation.run(PEAK_PER_SECOND)
    assert len(simulation.jobs) > 400
    return simulation


@pytest.fixture(scope="module", params=[SHORT, AMPLE], ids=["short", "ample"])
def simulation(request):
    orders = ((CORDONED_AT, True), (UNCORDONED_AT, False))
    return simulate(orders, request.param)


# Guards against a pool that waits for the VMs of the cordoned hall, or takes more of
# them, while its demand rises.
def test_the_pool_gets_vms_of_the_other_halls_at_once(simulation):
    soon = CORDONED_AT + DECISION_SECONDS + 2 * PASS_SECONDS
    replaced = min(simulation.lost, simulation.spare_elsewhere)
    assert replaced > 15
    assert len(simulation.arrivals(CORDONED_AT, soon)) >= replaced
    assert HALL not in simulation.arrivals(CORDONED_AT, UNCORDONED_AT)


# Guards against work that is lost, refused or never done since a hall was out.
def test_all_work_is_done(simulation):
    jobs = simulation.table.job_by_id.values()
    assert {job.status for job in jobs} == {JobStatus.SUCCEEDED}
    assert {job.id for job in simulation.jobs} <= {job.id for job in jobs}


# Guards against starts in the hall while it is cordoned, and against a hall that is
# still left out a second after it was uncordoned.
def test_the_hall_bears_work_only_while_it_is_not_cordoned(simulation):
    out = [at for at in simulation.starts if CORDONED_AT < at < UNCORDONED_AT]
    assert not out
    first = min(at for at in simulation.starts if at >= UNCORDONED_AT)
    assert first < UNCORDONED_AT + 1


# Guards against VMs of a cordoned hall that stay in their pools for good.
def test_idle_vms_of_a_hall_that_stays_cordoned_go_to_the_spare_pool():
    simulation = simulate([(CORDONED_AT, True)], AMPLE)
    lives = simulation.table.minion_by_id.values()
    assert HALL not in {minion.hall for minion in lives}
    spare = simulation.controller.spare_pool_by_vm
    assert set(spare.values()) == {SPARE_POOL}


# Guards against halls that change a decision while none is cordoned.
def test_without_a_cordon_the_halls_change_nothing():
    plain = TurnsSimulation(SEED, **SHORT)
    plain.run(PEAK_PER_SECOND)
    simulation = simulate((), SHORT)
    assert len(simulation.late_jobs()) == len(plain.late_jobs())
    assert simulation.largest_pool == plain.largest_pool
