"""Long-running steps are spread over halls, so that the loss of one takes few tasks."""

from collections import Counter

import pytest

from hingepitch.jobs import command as commands, plan as planner
from hingepitch.jobs.spec import Step
from tests.test_job_plan import make_log, plan
from tests.test_job_rules import JOB, make_minion, task

HALLS = ("h1", "h2", "h3")


def make_halls(*sizes, **fields):
    """Return a log with that many minions in each hall."""
    halls = [hall for hall, size in zip(HALLS, sizes, strict=True) for _ in range(size)]
    minions = (make_minion(n, hall=hall, **fields) for n, hall in enumerate(halls))
    return make_log(*minions)


def halls_of(log, starts):
    """Return the number of starts in each hall."""
    return Counter(log.table.minion_by_id[start.minion].hall for start in starts)


# Guards against a hall whose loss takes more than a third of a step, with much room
# elsewhere, and against a spread where the settings do not ask for it.
@pytest.mark.parametrize("count", [2, 3, 7, 12])
@pytest.mark.parametrize("sizes", [(12, 12, 12), (30, 3, 5), (2, 9, 4)])
def test_the_loss_of_a_hall_takes_at_most_a_third(count, sizes):
    log = make_halls(*sizes)
    log.submit(Step(count, cpu_millicores=2000, lasts=True))
    starts, _ = plan(log, spreads_over_halls=True)
    in_halls = halls_of(log, starts)
    assert in_halls.total() == count
    assert max(in_halls.values()) <= -(-count // 3)
    assert halls_of(log, plan(log)[0])["h1"] == min(count, 2 * sizes[0])


# Guards against tasks that wait because their hall's turn has no room.
def test_tasks_are_spread_only_as_far_as_room_allows():
    log = make_halls(1, 1, 4)
    log.submit(Step(12, cpu_millicores=2000, lasts=True))
    starts, _ = plan(log, spreads_over_halls=True)
    assert halls_of(log, starts) == {"h1": 2, "h2": 2, "h3": 8}


# Guards against a restart after a loss that forgets where the other tasks are.
def test_a_task_that_starts_again_counts_the_tasks_at_work():
    log = make_halls(2, 2, 2)
    log.submit(Step(3, cpu_millicores=1000, lasts=True))
    log.start(task(0, 0), minion="i-0")
    log.start(task(0, 1), minion="i-2")
    starts, _ = plan(log, spreads_over_halls=True)
    assert halls_of(log, starts) == {"h3": 1}


# Guards against a spread that puts a task on a VM whose maintenance would evict it, on
# an unhealthy minion, or on several VMs that could be lent.
def test_maintenance_and_penalties_come_first_and_the_least_free_cpu_last():
    log = make_halls(2, 2, 2)
    log.submit(Step(1, cpu_millicores=1000), job="00000000000000cc")
    log.start(task(job="00000000000000cc"), minion="i-3")
    log.send(commands.PutWave(1, ("vm-4", "vm-5"), 1, 60_000))
    log.submit(Step(2, cpu_millicores=1000, lasts=True))
    penalties = {"i-0": 1.0, "i-1": 1.0}
    starts, _ = plan(log, spreads_over_halls=True, penalty_by_minion=penalties)
    assert [start.minion for start in starts] == ["i-3", "i-3"]


# Guards against short tasks that are spread: idle VMs could not be lent.
def test_short_tasks_are_not_spread():
    log = make_halls(2, 2, 2)
    log.submit(Step(2, cpu_millicores=1000))
    starts, _ = plan(log, spreads_over_halls=True)
    assert len({start.minion for start in starts}) == 1


# Guards against a gang that leaves its counts behind when it does not fit, so that the
# next gang of the same pass is spread by tasks that never start.
def test_a_gang_that_does_not_fit_is_taken_out_of_the_counts():
    log = make_halls(1, 1, 1)
    log.submit(Step(7, cpu_millicores=2000, lasts=True, gang=True))
    work = planner.PlanningPass(
        log.table,
        planner.PlanContext(0, set(log.table.minion_by_id), spreads_over_halls=True),
    )
    job, key = log.table.job_by_id[JOB], (JOB, 0, 0)
    assert not list(planner.place_step(work, job, key))
    assert not any(work.hall_counts(key, job.spec.steps[0]).values())


# Guards against a pass whose effort grows with tasks times candidates times runs.
def test_the_tasks_by_hall_are_counted_once_per_step_and_pass(monkeypatch):
    counted = []
    count = planner.count_by_hall
    monkeypatch.setattr(
        planner, "count_by_hall", lambda *args: counted.append(1) or count(*args)
    )
    log = make_halls(10, 10, 10)
    log.submit(Step(30, cpu_millicores=2000, lasts=True))
    log.submit(Step(8, cpu_millicores=2000), job="00000000000000cc")
    assert len(plan(log, spreads_over_halls=True)[0]) == 38
    assert len(counted) == 1
