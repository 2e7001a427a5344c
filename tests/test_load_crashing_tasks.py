"""Tasks that crash their minions, among many that do not; minions that crash too.

The pattern: a crest of jobs of which a few crash every minion that starts them,
ten runs beside each, in a pool of a dozen. Before crashes were remembered, such
tasks went from minion to minion with the same ones beside them, and nobody in the
pool was served any more. The bound on starts is what callers of the pool were
promised; that no other job fails holds for whatever makes minions crash or silent.
"""

import pytest

from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from tests.crash_world import CrashWorld
from tests.test_job_rules import task

SEEDS = range(8)

#: Starts of a task that crashes its minions: three, and then two at most.
MOST_STARTS = 5

#: A culprit crashes its minion at once, or when it has run for a while.
CRASH_SECONDS = (0.008, 1.5)


def culprits(world, count, crash_seconds, **shape):
    """Submit jobs one task of which crashes its minions; return these tasks."""
    made = []
    for number in range(count):
        job = f"c{number:015x}"
        world.submit(job, Step(4, 1000, 100, estimate_ms=2000, **shape))
        culprit = task(index=number % 4, job=job)
        world.crash_after[culprit] = crash_seconds
        made.append(culprit)
    return made


def check_given_up(world, made):
    for culprit in made:
        assert world.status(culprit.job) is JobStatus.FAILED, culprit
        assert world.starts[culprit] <= MOST_STARTS, culprit


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("crash_seconds", CRASH_SECONDS)
@pytest.mark.parametrize("lasts", [False, True])
def test_culprits_are_given_up_and_nobody_else(seed, crash_seconds, lasts):
    world = CrashWorld(seed)
    made = culprits(world, 5, crash_seconds, lasts=lasts)
    others = world.submit_mix(30)
    world.run(3.0)
    others += world.submit_mix(30, "d")
    world.run(47.0)
    check_given_up(world, made)
    assert all(world.status(job) is JobStatus.SUCCEEDED for job in others)


@pytest.mark.parametrize("seed", SEEDS)
def test_culprits_are_given_up_through_changes_of_the_leader(seed):
    world = CrashWorld(seed)
    made = culprits(world, 3, 0.008)
    others = world.submit_mix(20)
    for _ in range(20):
        world.run(world.random.uniform(0.5, 3.0))
        world.change_leader()
    world.run(20.0)
    check_given_up(world, made)
    assert all(world.status(job) is JobStatus.SUCCEEDED for job in others)


#: Beside the first ones: histories in which a task was accused by chance, of two
#: crashes alone or of five in all, before minions that fall together told apart.
CHANCE_SEEDS = (*range(24), 197, 281, 286, 894)


@pytest.mark.parametrize("seed", CHANCE_SEEDS)
def test_no_job_fails_whatever_falls(seed):
    world = CrashWorld(seed)
    lasting = "e" * 16
    world.submit(lasting, Step(10, 1000, 100, lasts=True))
    others = []
    for number in range(12):
        others += world.submit_mix(6, "abcdef0123456789"[number])
        world.run(world.random.uniform(0.2, 2.5))
        lives = list(world.agent_by_minion)
        fallen = world.random.sample(lives, world.random.randint(1, 8))
        for life in fallen:
            if world.random.random() < 0.3:
                world.cut(life, world.random.uniform(1.0, 8.0))
            else:
                world.crash(life)
        if world.random.random() < 0.2:
            world.change_leader()
    world.run(40.0)
    assert [job for job in others if world.status(job) is not JobStatus.SUCCEEDED] == []
    assert world.status(lasting) is JobStatus.RUNNING


def test_a_vm_that_crashes_under_whatever_it_starts_fails_no_job():
    world = CrashWorld(1, minions=3)
    world.sick_vms.add("vm-1")
    others = world.submit_mix(20)
    world.run(60.0)
    assert all(world.status(job) is JobStatus.SUCCEEDED for job in others)


SUSPECT = "c000000000000000"
FILLING = "f000000000000000"


def crash_once(world, millicores):
    """Let one task crash its minion once, and be under suspicion from then on."""
    world.submit(SUSPECT, Step(1, millicores, 100, estimate_ms=500))
    world.crash_after[task(job=SUSPECT)] = 0.008
    world.run(0.1)
    world.crash_after.clear()


def test_a_suspect_that_fits_nowhere_holds_nobody_back():
    world = CrashWorld(1, minions=1)
    crash_once(world, 8000)
    world.millicores = 6000
    world.run(8.0)
    for number in range(20):
        world.submit(f"b{number:015x}", Step(1, 1000, 100, estimate_ms=300))
        world.run(0.2)
    world.run(2.0)
    assert world.table.crashes.suspicion(task(job=SUSPECT))
    assert len(world.done_at) == 20
    assert max(world.done_at[job] - world.accepted_at[job] for job in world.done_at) < 3


def test_a_suspect_returns_to_a_vm_that_crashed_where_no_other_has_room():
    world = CrashWorld(1, minions=2)
    crash_once(world, 8000)
    world.submit(FILLING, Step(1, 16_000, 100, lasts=True))
    world.run(12.0)
    assert world.status(SUSPECT) is JobStatus.SUCCEEDED
