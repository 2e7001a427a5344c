"""More work than a pool can do: open-loop arrivals at up to four times its capacity.

Callers send without waiting for responses and return when a refusal says so. Twenty
accounts have rates that together fill the pool; all of them send one, two or four
times their rate, or one of them 7.5 times what it usually sends beside nineteen others.
A job counts if it ends in time, from the submission that was accepted, while the load
lasts. Each load runs
without admission control, with its bound, and with a simulation of the queue in place
of the bound; once with rates, and once without, where only `cannot_finish` is left.
"""

from functools import cache

import pytest

from hingepitch.jobs.estimate import BoundEstimator
from tests.overload_simulation import (
    CAPACITY_PER_SECOND,
    OverloadSimulation,
)
from tests.queue_simulator import QueueSimulator

ACCOUNTS = ["heavy", *(f"small{number}" for number in range(19))]
RATES = dict.fromkeys(ACCOUNTS, CAPACITY_PER_SECOND / len(ACCOUNTS))
HEAVY_FACTOR = 7.5

#: What accounts usually send, in parts of the rates that they may expect.
USUAL_LOAD = 0.8
SEEDS = (1, 2)

#: Part of the goodput at the pool's capacity that is left at four times the load.
GOODPUT_PART = 0.9

METHODS = {"all": None, "bound": BoundEstimator, "simulation": QueueSimulator}


@cache
def simulate(seed, method, load, heavy_load=None, is_weighted=True):
    """Return the simulation of a load of all accounts, in parts of their rates."""
    simulation = OverloadSimulation(seed, METHODS[method], RATES, is_weighted)
    simulation.run(dict.fromkeys(ACCOUNTS, load) | {"heavy": heavy_load or load})
    return simulation


def goodput(*arguments, **options):
    return simulate(*arguments, **options).in_time_by_account().total()


# Guards against a pool whose work in time falls as more is asked of it.
@pytest.mark.parametrize("is_weighted", [True, False])
@pytest.mark.parametrize("load", [2, 4])
@pytest.mark.parametrize("seed", SEEDS)
def test_overload_leaves_the_goodput(seed, load, is_weighted):
    at_capacity = goodput(seed, "bound", 1, is_weighted=is_weighted)
    overloaded = goodput(seed, "bound", load, is_weighted=is_weighted)
    assert overloaded >= GOODPUT_PART * at_capacity


# Guards against refusals that leave the pool with less work that is done in time. The
# number of jobs tells less here: with a long backlog the small ones are in time.
@pytest.mark.parametrize("is_weighted", [True, False])
@pytest.mark.parametrize("load", [1, 2, 4])
@pytest.mark.parametrize("seed", SEEDS)
def test_refusals_cost_no_work_that_is_done_in_time(seed, load, is_weighted):
    bound = simulate(seed, "bound", load, is_weighted=is_weighted)
    accepting = simulate(seed, "all", load, is_weighted=is_weighted)
    assert bound.work_in_time() >= accepting.work_in_time()
    if load > 1:
        assert bound.refused and not accepting.refused


# Guards against accounts that lose what they may expect to one that sends far more
# than its rate.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_heavy_account_leaves_the_others_their_goodput(seed):
    alone, beside = (
        simulate(seed, "bound", USUAL_LOAD, load).in_time_by_account()
        for load in (USUAL_LOAD, HEAVY_FACTOR * USUAL_LOAD)
    )
    del alone["heavy"], beside["heavy"]
    assert beside.total() >= GOODPUT_PART * alone.total()


# Guards against a bound that is worse than the method it was chosen over.
@pytest.mark.parametrize("seed", SEEDS)
def test_the_bound_is_as_good_as_a_simulation_of_the_queue(seed):
    for load in (1, 4):
        simulated = simulate(seed, "simulation", load).work_in_time()
        assert simulate(seed, "bound", load).work_in_time() >= simulated
