"""More work than a pool can do: open-loop arrivals at up to four times its capacity.

Callers send without waiting for responses and return when a refusal says so. Twenty
accounts have rates that together fill the pool; all of them send one, two or four
times their rate, or one of them 7.5 times what it usually sends beside nineteen others.
A job counts if it ends in time, from the submission that was accepted. Each load runs
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
    assert overloaded > goodput(seed, "all", load, is_weighted=is_weighted)


# Guards against refusals of what would have been done in time.
@pytest.mark.parametrize("seed", SEEDS)
def test_at_capacity_admission_control_costs_no_goodput(seed):
    assert goodput(seed, "bound", 1) >= goodput(seed, "all", 1)


# Guards against accounts that lose what they may expect to one that sends far more.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_heavy_account_costs_the_others_less_than_without_refusals(seed):
    others = {
        method: simulate(seed, method, 1, HEAVY_FACTOR).in_time_by_account()
        for method in ("all", "bound")
    }
    for in_time in others.values():
        del in_time["heavy"]
    assert others["bound"].total() >= others["all"].total()


# Guards against a bound that is worse than the method it was chosen over.
@pytest.mark.parametrize("seed", SEEDS)
def test_the_bound_is_as_good_as_a_simulation_of_the_queue(seed):
    for load in (1, 4):
        simulated = goodput(seed, "simulation", load)
        assert goodput(seed, "bound", load) >= GOODPUT_PART * simulated
