"""A hall of three is cordoned while the demand of a pool rises to five times its mean.

The rates are those of `test_load_turns.py`: the crest needs about 100 VMs, which take
1.6 s to move. The hall is cordoned while nearly all are still on their way, and the two
other halls have 80 VMs (`SHORT`); or once most are there, and the others have 120
(`MEDIUM`) or 160 (`AMPLE`).
"""

import math

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
MEDIUM = {"vms_per_pool": 36, "spare_vms": 36}
AMPLE = {"vms_per_pool": 48, "spare_vms": 48}
SEED = 1

HALLS = 3
HALL = "h0"
#: When the hall is cordoned, for how long, and when the crest begins, in seconds.
EARLY, LATE = 6.5, 8.0
CORDON_SECONDS = 2.5


class HallSimulation(TurnsSimulation):
    """Pools over three halls, one of which is cordoned for a time.

    `cordoned_at`, `uncordoned_at`
        When the hall is cordoned and uncordoned, in seconds.
    `starts`
        The times of the starts in `HALL`, in seconds.
    `moves`
        Time, VM and target pool of each move.
    `lost`, `spare_elsewhere`
        VMs of the first pool in `HALL` when it was cordoned, those on their way
        included, and the spare VMs of the other halls then.
    """

    def __init__(self, cordoned_at, uncordoned_at, **sizes):
        self.cordoned_at = cordoned_at
        self.uncordoned_at = uncordoned_at
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
        is_cordoned = self.cordoned_at <= self.now < self.uncordoned_at
        if is_cordoned is (HALL in self.table.cordons):
            return
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


def simulate(sizes, cordoned_at=math.inf, uncordoned_at=math.inf):
    simulation = HallSimulation(cordoned_at, uncordoned_at, **sizes)
    simulation.run(PEAK_PER_SECOND)
    assert len(simulation.jobs) > 400
    return simulation


@pytest.fixture(
    scope="module", params=[(SHORT, EARLY), (MEDIUM, LATE)], ids=["early", "late"]
)
def simulation(request):
    sizes, cordoned_at = request.param
    return simulate(sizes, cordoned_at, cordoned_at + CORDON_SECONDS)


# Guards against a pool that waits for the VMs of the cordoned hall, or takes more of
# them, while its demand rises.
def test_the_pool_gets_vms_of_the_other_halls_at_once(simulation):
    begin, end = simulation.cordoned_at, simulation.uncordoned_at
    replaced = min(simulation.lost, simulation.spare_elsewhere)
    assert replaced > 15
    soon = begin + DECISION_SECONDS + 2 * PASS_SECONDS
    assert len(simulation.arrivals(begin, soon)) >= replaced
    assert HALL not in simulation.arrivals(begin, end)


# Guards against work that is lost, refused or never done since a hall was out.
def test_all_work_is_done(simulation):
    jobs = simulation.table.job_by_id.values()
    assert {job.status for job in jobs} == {JobStatus.SUCCEEDED}
    assert {job.id for job in simulation.jobs} <= {job.id for job in jobs}


# Guards against starts in the hall while it is cordoned, and against a hall that is
# still left out a second after it was uncordoned.
def test_the_hall_bears_work_only_while_it_is_not_cordoned(simulation):
    begin, end = simulation.cordoned_at, simulation.uncordoned_at
    assert not [at for at in simulation.starts if begin <= at < end]
    assert min(at for at in simulation.starts if at >= end) < end + 1


# Guards against VMs of a cordoned hall that stay in their pools for good.
def test_idle_vms_of_a_hall_that_stays_cordoned_go_to_the_spare_pool():
    simulation = simulate(AMPLE, LATE)
    lives = simulation.table.minion_by_id.values()
    assert HALL not in {minion.hall for minion in lives}
    spare = simulation.controller.spare_pool_by_vm
    assert set(spare.values()) == {SPARE_POOL}


# Guards against halls that change a decision while none is cordoned. The figures are
# those of `TurnsSimulation` with this seed in the version before cordons.
def test_without_a_cordon_the_halls_change_nothing():
    simulation = simulate(SHORT)
    assert len(simulation.jobs) == 645
    assert len(simulation.late_jobs()) == 27
    assert simulation.largest_pool == 114
