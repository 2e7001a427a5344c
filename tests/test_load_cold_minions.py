"""A pool of which a third of the minions is cold: where its work starts.

Tasks on a cold minion take several times as long. The rule in force places work that
can still be in time there last; it is compared with treating cold minions like others,
and with a limit on their runs that grows as they warm up.
"""

from statistics import mean

import pytest

from hingepitch.jobs import command as commands
from hingepitch.jobs.plan import PlanContext, PlanningPass, plan_starts
from hingepitch.jobs.spec import Step
from tests import cold_simulation
from tests.cold_simulation import (
    IN_FORCE,
    MINIONS,
    AsIfWarm,
    ColdLastRamp,
    ColdRamp,
    ColdSimulation,
)
from tests.test_job_plan import make_log, places, plan
from tests.test_job_rules import make_minion

SEEDS = (1, 2, 3, 4, 5)

#: Load and backlog, and by how much more of the jobs have to be in time than with cold
#: minions treated like others.
LOADS = ((0.4, 0, 0.1), (0.6, 0, 0.05), (0.9, 0, 0.02), (0.6, 40, 0.05))


def in_time(cold_rule, load, backlog):
    """Return the mean part of the jobs that are in time, over all seeds."""
    runs = (ColdSimulation(seed, cold_rule, load, backlog).run() for seed in SEEDS)
    return mean(run.in_time() for run in runs)


# Guards against jobs that are late because they were placed on a cold minion while a
# warm one had room or would soon have it, and against another rule that does better.
@pytest.mark.parametrize("load, backlog, gain", LOADS)
def test_cold_minions_last_is_the_best_rule(monkeypatch, load, backlog, gain):
    best = in_time(IN_FORCE, load, backlog)
    assert best >= in_time(AsIfWarm, load, backlog) + gain
    # A step that a limit keeps from cold minions says nothing about late steps.
    monkeypatch.setattr(PlanningPass, "note_too_large", lambda *arguments: None)
    assert best >= in_time(ColdRamp, load, backlog)
    assert best >= in_time(ColdLastRamp, load, backlog)


# Guards against a rule that leaves work undone while the slowdown is small.
def test_cold_minions_last_does_no_harm_where_they_are_hardly_slower(monkeypatch):
    monkeypatch.setattr(cold_simulation, "SLOWDOWN", 1.2)
    assert in_time(IN_FORCE, 0.6, 0) >= in_time(AsIfWarm, 0.6, 0) - 0.01


# Guards against a pool that starts nothing until its minions are warm, as after a loss
# of all power.
def test_work_starts_in_a_pool_whose_minions_are_all_cold():
    simulation = ColdSimulation(1, IN_FORCE, 0.2, cold_minions=MINIONS)
    simulation.submit()
    simulation.start_tasks()
    assert len(simulation.runs) == cold_simulation.STEP_TASKS
    assert len(simulation.run().times()) == len(simulation.jobs)


# Guards against work that waits while only cold minions have room.
def test_cold_minions_are_used_once_the_warm_ones_are_full_the_warmest_first():
    log = make_log(*map(make_minion, (1, 2, 3)))
    log.submit(Step(5, cpu_millicores=2000))
    starts, _ = plan(log, warmth_by_minion={"i-1": 0.2, "i-2": 0.6})
    assert [minion for _, minion in places(starts)] == [
        *("i-3", "i-3"),
        *("i-2", "i-2"),
        "i-1",
    ]


# Guards against a task that goes to a cold minion for the sake of its data's rack, or
# because the warm one is emptier.
def test_a_task_that_can_be_in_time_prefers_an_idle_warm_minion():
    log = make_log(make_minion(1, rack="r2"), make_minion(2))
    log.submit(Step(1, cpu_millicores=1000), job="00000000000000aa")
    log.send(commands.StartRuns(plan(log, usable={"i-1"})[0], (), 0))
    log.submit(Step(1, cpu_millicores=1000, data_rack="r2"), job="00000000000000bb")
    assert places(plan(log)[0]) == [(0, "i-1")]
    assert places(plan(log, warmth_by_minion={"i-1": 0.9})[0]) == [(0, "i-2")]


# Guards against late and long-running tasks that crowd the warm minions, where others
# can still be in time.
@pytest.mark.parametrize("lasts, now_ms", [(True, 0), (False, 60_000)])
def test_long_running_and_late_tasks_take_cold_minions_like_others(lasts, now_ms):
    log = make_log(make_minion(1), make_minion(2))
    log.submit(Step(2, cpu_millicores=2000, lasts=lasts, estimate_ms=1000))
    starts, _ = plan(log, now_ms=now_ms, warmth_by_minion={"i-1": 0.5})
    assert starts == plan(log, now_ms=now_ms)[0]
    assert {start.minion for start in starts} == {"i-1"}


# Guards against a check for lateness for each candidate: a pass over a large pool would
# hold up the other pools.
def test_whether_a_step_is_late_is_computed_once_per_pass(monkeypatch):
    calls = []
    monkeypatch.setattr(
        "hingepitch.jobs.plan.avoids_cold", lambda *arguments: calls.append(1) or True
    )
    log = make_log(*map(make_minion, range(30)))
    log.submit(Step(20, cpu_millicores=2000))
    context = PlanContext(0, set(log.table.minion_by_id), warmth_by_minion={"i-1": 0.5})
    assert len(plan_starts(log.table, context)[0]) == 20 and len(calls) == 1
