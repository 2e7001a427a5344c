"""Decisions depend neither on names nor on absolute times."""

import random

import pytest

from hingepitch.jobs import command as commands
from hingepitch.jobs.arrival import ArrivalRate, work_core_ms
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.load import measure_pools
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.pool import (
    IdleVm,
    PoolTerms,
    PoolView,
    plan_moves,
    wanted_minions,
)
from hingepitch.jobs.queue import Queue, QueuePool
from hingepitch.jobs.spec import Step
from tests.test_job_rules import HOST, Log, make_config, make_minion

POOLS = 3
JOBS = 40


def make_step(source):
    return Step(
        source.randint(1, 6),
        cpu_millicores=source.choice([300, 900, 2100]),
        memory_mb=source.choice([100, 900]),
        estimate_ms=source.choice([200, 900, 2500]),
        max_per_minion=source.choice([0, 0, 1]),
        saves_progress=source.random() < 0.5,
    )


def decide(seed, rename, shift_ms):
    """Return all decisions about a random fleet with changed names and times.

    `rename`
        Function from a name to its replacement; it must keep the order of names.
    `shift_ms`
        Added to every time.
    """
    source = random.Random(seed)
    now_ms = 5_000 + shift_ms
    log = Log()
    queues = tuple(
        Queue(
            rename(f"q{n}"),
            HOST,
            f"/{rename(f'q{n}')}/",
            rename(f"p{n}"),
            priority=n % 2,
            attempts=2,
            stretch=1.6,
            objective_ms=600,
            timeout_ms=3000,
        )
        for n in range(POOLS)
    )
    pools = tuple(QueuePool(queue.pool) for queue in queues)
    log.send(commands.PutQueues(make_config(1, queues=queues, pools=pools)))
    for number in range(9):
        minion = make_minion(
            number,
            id=rename(f"i{number}"),
            vm=rename(f"v{number}"),
            pool=rename(f"p{number % POOLS}"),
        )
        log.send(commands.RegisterMinion(minion, shift_ms))
    durations = Durations()
    rates = [ArrivalRate() for _ in range(POOLS)]
    for number in range(JOBS):
        pool = source.randrange(POOLS)
        step = make_step(source)
        queue = queues[pool]
        at_ms = source.randint(0, 5_000)
        log.submit(
            step,
            job=f"{number:016x}",
            path=queue.path_prefix,
            at_ms=at_ms + shift_ms,
        )
        durations.note(queue.route, step, source.randint(100, 3000))
        expected_ms = durations.queue_estimator(queue.route)
        job = log.table.job_by_id[f"{number:016x}"]
        rates[pool].note(work_core_ms(job.spec, expected_ms), at_ms / 1000)
    plan_context = PlanContext(now_ms, set(log.table.minion_by_id), durations=durations)
    starts, gangs = plan_starts(log.table, plan_context)
    log.send(commands.StartRuns(starts, gangs, now_ms))
    loads = measure_pools(log.table, now_ms, durations)
    views = []
    for number in range(POOLS):
        load = loads[rename(f"p{number}")]
        wanted = wanted_minions(load, PoolTerms(), rates[number].millicores(5.0))
        idle = [IdleVm(rename(f"w{number}"), "a", 3.0)]
        views.append(PoolView(rename(f"p{number}"), wanted, load.minions, idle=idle))
    moves = list(plan_moves(views, PoolTerms()))
    return (
        [(start.task, start.minion) for start in starts],
        [(view.name, view.wanted) for view in views],
        [(move.vm, move.pool) for move in moves],
    )


def rename_all(decisions, rename):
    """Return `decisions` with all names replaced by `rename`."""
    starts, wanted, moves = decisions
    return (
        [(key, rename(minion)) for key, minion in starts],
        [(rename(name), count) for name, count in wanted],
        [(rename(vm), rename(pool)) for vm, pool in moves],
    )


@pytest.mark.parametrize("seed", range(8))
def test_decisions_are_the_same_under_other_names_and_times(seed):
    def other(name):
        return f"{name[0]}-other-{name[1:]}"

    as_named = decide(seed, str, 0)
    assert as_named[0], "nothing was decided"
    assert decide(seed, other, 0) == rename_all(as_named, other)
    assert decide(seed, str, 86_400_000_123) == as_named
