"""Planning of starts and of VM moves, and the measurement of pool loads."""

from dataclasses import replace

import pytest

from hingepitch.jobs import command as commands
from hingepitch.jobs.arrival import WINDOW_SECONDS, ArrivalRate, work_core_ms
from hingepitch.jobs.content import content_of, restore_table
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.load import PoolLoad, measure_pools
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.pool import (
    IdleVm,
    Move,
    PoolTerms,
    PoolView,
    plan_moves,
    wanted_minions,
)
from hingepitch.jobs.queue import AdviceTerms, Queue
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import JobSpec, Step, critical_path_from_ms, critical_path_ms
from hingepitch.jobs.upkeep import drain_grace_seconds
from hingepitch.jobs.usage import ResourceUsage
from tests.test_job_rules import HOST, JOB, Log, make_config, make_minion, task

OTHER_JOB = "00000000000000bb"


def by_estimate(step):
    return step.estimate_ms


def make_log(*minions, **config):
    """Return a log with a configuration and the given minions."""
    log = Log()
    log.send(commands.PutQueues(make_config(**config)))
    for minion in minions:
        log.send(commands.RegisterMinion(minion, 0))
    return log


def plan(log, now_ms=0, **plan_context):
    """Return the starts and gangs of a planning pass; by default on all minions."""
    usable = plan_context.pop("usable", set(log.table.minion_by_id))
    return plan_starts(log.table, PlanContext(now_ms, usable, **plan_context))


def places(starts):
    return [(start.task.index, start.minion) for start in starts]


def test_starts_fill_the_free_capacity_and_do_not_exceed_it():
    log = make_log(make_minion(1), make_minion(2))
    log.submit(Step(7, cpu_millicores=1500))
    starts, gangs = plan(log)
    assert len(starts) == 4 and not gangs
    log.send(commands.StartRuns(starts, gangs, 0))
    assert len(log.table.run_by_task) == 4
    assert plan(log) == ((), ())


def test_unusable_and_moving_minions_get_no_runs():
    log = make_log(make_minion(1), make_minion(2), make_minion(3))
    log.send(commands.BeginMove("vm-2", "other"))
    log.submit(Step(9))
    starts, _ = plan(log, usable={"i-1", "i-2"})
    assert {start.minion for start in starts} == {"i-1"}


def test_tasks_share_a_minion_so_that_others_stay_empty():
    log = make_log(make_minion(1), make_minion(2))
    log.submit(Step(2, cpu_millicores=1000))
    starts, _ = plan(log)
    assert len({start.minion for start in starts}) == 1


def test_a_gang_is_planned_completely_or_not_at_all():
    log = make_log(make_minion(1))
    log.submit(Step(3, cpu_millicores=2000, gang=True))
    log.submit(Step(2, cpu_millicores=2000, gang=True), job=OTHER_JOB)
    starts, gangs = plan(log)
    assert not starts
    assert [[start.task.job for start in gang] for gang in gangs] == [[OTHER_JOB] * 2]


def test_the_rack_of_the_data_is_preferred_but_not_waited_for():
    log = make_log(make_minion(1), make_minion(2, rack="r2", labels=("a", "r2")))
    log.submit(Step(4, cpu_millicores=2000, data_rack="r2"))
    starts, _ = plan(log)
    assert [start.minion for start in starts] == ["i-2", "i-2", "i-1", "i-1"]


def test_same_rack_tasks_are_placed_in_one_rack():
    racks = [make_minion(n, rack=f"r{n}", labels=("a", f"r{n}")) for n in (1, 2)]
    log = make_log(*racks, make_minion(3, rack="r2", labels=("a", "r2")))
    log.submit(Step(4, cpu_millicores=2000, same_rack=True))
    starts, _ = plan(log)
    assert {start.minion for start in starts} == {"i-2", "i-3"}
    log.submit(Step(3, cpu_millicores=2000, same_rack=True), job=OTHER_JOB)
    assert all(start.task.job == JOB for start in plan(log)[0])


def test_a_same_rack_step_too_large_for_any_rack_is_spread():
    racks = [make_minion(n, rack=f"r{n}", labels=("a", f"r{n}")) for n in (1, 2)]
    log = make_log(*racks)
    log.submit(Step(4, cpu_millicores=2000, same_rack=True))
    assert len(plan(log)[0]) == 4


def test_required_label_and_max_per_minion_are_respected():
    log = make_log(make_minion(1), make_minion(2, labels=("b", "r1")))
    log.submit(Step(5, required_label="b", max_per_minion=2))
    assert [start.minion for start in plan(log)[0]] == ["i-2", "i-2"]


def test_urgent_queues_and_long_running_tasks_start_first():
    queues = tuple(
        Queue(name, HOST, f"/{name}/", "pool", priority=at, timeout_ms=1)
        for at, name in enumerate(("first", "second"))
    )
    log = make_log(make_minion(1), queues=queues)
    names = [f"{number:016x}" for number in range(3)]
    log.submit(Step(1), job=names[0], path="/second/")
    log.submit(Step(1), job=names[1], path="/first/")
    log.submit(Step(1, lasts=True), job=names[2], path="/first/")
    starts, _ = plan(log)
    assert [start.task.job for start in starts] == [names[2], names[1], names[0]]


def test_a_late_job_starts_after_jobs_that_can_be_in_time():
    log = make_log(make_minion(1))
    log.submit(Step(1, estimate_ms=9000), at_ms=0)
    log.submit(Step(1, estimate_ms=100), job=OTHER_JOB, at_ms=400)
    assert [start.task.job for start in plan(log, 500)[0]] == [OTHER_JOB, JOB]


def test_a_queue_with_advice_uses_permitted_minions_only():
    advice = AdviceTerms(10, 1, 1000)
    queue = Queue("q", HOST, "/q/", "pool", timeout_ms=1, advice=advice)
    log = make_log(make_minion(1), make_minion(2), queues=(queue,))
    log.submit(Step(1))
    assert plan(log) == ((), ())
    starts, _ = plan(log, permitted_by_step={(JOB, 0, 0): {"i-2"}})
    assert [start.minion for start in starts] == ["i-2"]


def test_the_critical_path_is_the_longest_chain_of_steps():
    steps = (
        Step(1, estimate_ms=100),
        Step(1, estimate_ms=500),
        Step(1, estimate_ms=50, after=(0,)),
        Step(1, estimate_ms=70, after=(2, 1)),
    )
    assert critical_path_ms(steps, by_estimate) == 570
    assert critical_path_from_ms(steps, 0, by_estimate) == 220
    assert critical_path_from_ms(steps, 1, by_estimate) == 570
    assert critical_path_from_ms(steps, 3, by_estimate) == 70


def test_pool_loads_count_running_long_running_and_waiting_tasks():
    log = make_log(make_minion(1), make_minion(2, is_draining=True))
    log.submit(Step(3, cpu_millicores=1000, memory_mb=100), Step(1, after=(0,)))
    log.submit(Step(1, cpu_millicores=500, lasts=True), job=OTHER_JOB)
    log.start(task(), task(job=OTHER_JOB))
    assert measure_pools(log.table, 0, Durations())["pool"] == PoolLoad(
        minions=1,
        room=4000,
        room_mb=4000,
        running=1500,
        running_mb=100,
        lasting=500,
        waiting=2000,
        waiting_mb=200,
        waiting_tasks=2,
        largest=ResourceUsage(4000, 4000, 0),
        largest_usable=ResourceUsage(4000, 4000, 0),
    )
    log.end(task(), RunResult.DONE)
    assert measure_pools(log.table, 0, Durations())["pool"].running == 500


def test_tasks_too_large_for_any_minion_add_no_demand():
    log = make_log(make_minion(1))
    log.submit(Step(3, cpu_millicores=4001))
    load = measure_pools(log.table, 0, Durations())["pool"]
    assert (load.waiting, load.waiting_tasks) == (0, 0)


def test_the_demand_of_late_jobs_is_counted_separately():
    log = make_log(make_minion(1))
    log.submit(Step(2, cpu_millicores=1000, memory_mb=100, estimate_ms=500))
    job = next(iter(log.table.job_by_id.values()))
    current_queue = log.table.current_queue(job)
    due = job.accepted_ms + current_queue.objective_ms + current_queue.stretch * 500
    in_time = measure_pools(log.table, due - 500, Durations())["pool"]
    assert (in_time.waiting, in_time.waiting_late) == (2000, 0)
    late = measure_pools(log.table, due - 499, Durations())["pool"]
    assert (late.waiting, late.waiting_late) == (2000, 2000)
    assert (late.waiting_mb, late.waiting_late_mb) == (200, 200)


def test_long_running_tasks_are_never_late():
    log = make_log(make_minion(1))
    log.submit(Step(1, cpu_millicores=1000, estimate_ms=500, lasts=True))
    assert not measure_pools(log.table, 10**9, Durations())["pool"].waiting_late


TERMS = PoolTerms(
    target_utilization=1.0, late_part=0.25, floor=1, idle_seconds=3, lend_seconds=1
)


def idle(*seconds, kind="a", name="vm"):
    """Return one idle VM for each idle time in `seconds`."""
    return [IdleVm(f"{name}-{at}", kind, one) for at, one in enumerate(seconds)]


@pytest.mark.parametrize(
    "changes, wanted",
    [
        ({}, 1),
        ({"running": 5000, "waiting": 4000}, 3),
        ({"running_mb": 300, "waiting_mb": 150}, 5),
        ({"spread": 4}, 4),
        ({"waiting": 16000, "waiting_late": 12000}, 2),
        ({"waiting_mb": 800, "waiting_late_mb": 400}, 5),
    ],
)
def test_a_pool_wants_capacity_for_running_and_waiting_tasks(changes, wanted):
    load = PoolLoad(minions=2, room=8000, room_mb=200, **changes)
    assert wanted_minions(load, TERMS) == wanted


def test_a_pool_wants_capacity_for_arrivals_beside_long_running_tasks():
    load = PoolLoad(minions=2, room=8000, running=1000, lasting=1000)
    assert wanted_minions(load, TERMS, arriving=11_000) == 3
    assert wanted_minions(load, TERMS, arriving=11_001) == 4


# Guards against a crest whose jobs are all late: the pool gets VMs for what arrives,
# and none for what has queued up until they are there.
def test_a_pool_wants_capacity_for_what_queues_up_while_vms_move():
    terms = replace(TERMS, catch_up_seconds=3.0)
    load = PoolLoad(minions=2, room=8000, lasting=2000)
    # 18 cores beyond the room for 1.5 s, done within 3 s: 9 cores more.
    assert wanted_minions(load, terms, 24_000, move_seconds=1.5) == (26 + 9) / 4 + 0.25
    assert wanted_minions(load, terms, 24_000, move_seconds=0.0) == 26 / 4 + 0.5
    # Without a shortage there is no backlog.
    assert wanted_minions(load, terms, 6000, move_seconds=1.5) == 2


def test_the_arrival_rate_gives_the_cores_that_keep_up_with_it():
    rate = ArrivalRate()
    assert rate.millicores(1.0) == 0
    rate.note(1000, 1.0)
    assert rate.millicores(1.0) == 1000 / WINDOW_SECONDS * 0.5, (
        "half a standard error less"
    )
    for _ in range(15):
        rate.note(1000, 1.1)
    assert rate.millicores(1.2) == 16_000 / WINDOW_SECONDS * 0.875
    assert rate.millicores(1.2 + WINDOW_SECONDS) == 0


def test_the_work_of_a_job_excludes_long_running_tasks():
    steps = (
        Step(6, cpu_millicores=500, estimate_ms=1000),
        Step(2, cpu_millicores=250, estimate_ms=2000, after=(0,)),
        Step(5, cpu_millicores=900, estimate_ms=700, lasts=True),
    )
    assert work_core_ms(JobSpec("", steps), by_estimate) == 4000


def test_a_busy_pool_takes_spare_vms_before_idle_vms_of_other_pools():
    busy = PoolView("busy", wanted=4, present=1)
    calm = PoolView("calm", wanted=1, present=3, idle=idle(0.2, 2, 5, name="calm"))
    spare = PoolView("spare", is_spare=True, idle=idle(0, name="spare"))
    moves = list(plan_moves([busy, calm, spare], TERMS))
    assert moves == [
        Move("spare-0", "busy"),
        Move("calm-2", "busy"),
        Move("calm-1", "busy"),
    ]


def test_a_pool_keeps_its_floor_and_gives_long_idle_vms_to_the_spare_pool():
    pool = PoolView("pool", wanted=1, present=3, idle=idle(9, 9, 2))
    spare = PoolView("spare", is_spare=True)
    assert list(plan_moves([pool, spare], TERMS)) == [
        Move("vm-0", "spare"),
        Move("vm-1", "spare"),
    ]


def test_no_vm_is_given_back_before_a_batch_job_was_accepted():
    pool = PoolView("pool", wanted=1, present=3, idle=idle(9, 9))
    spare = PoolView("spare", is_spare=True)
    assert not list(plan_moves([pool, spare], TERMS, may_give_back=False))


def test_long_running_tasks_alone_do_not_count_as_batch_jobs():
    log = make_log(make_minion(1))
    log.submit(Step(1, lasts=True))
    assert not log.table.has_seen_batch_job
    log.submit(Step(1), job=OTHER_JOB)
    assert log.table.has_seen_batch_job
    restored = restore_table(content_of(log.table))
    assert restored.has_seen_batch_job


@pytest.mark.parametrize("kinds, impossible", [({"b"}, ()), ((), {("a", "busy")})])
def test_vms_that_do_not_fit_a_pool_are_not_moved_there(kinds, impossible):
    busy = PoolView("busy", wanted=2, present=1, kinds=frozenset(kinds))
    spare = PoolView("spare", is_spare=True, idle=idle(0))
    assert not list(plan_moves([busy, spare], TERMS, frozenset(impossible)))


@pytest.mark.parametrize(
    "left, waiting, down, seconds",
    [(20, 4, 2, 6.8), (20, 4, 1, 1.8), (5, 4, 1, 0.0), (20, 0, 1, 20.0)],
)
def test_the_drain_grace_period_depends_on_the_time_left_for_the_wave(
    left, waiting, down, seconds
):
    assert drain_grace_seconds(left, waiting, down, 2.0) == pytest.approx(seconds)
