"""A crest of short jobs with a leader that has too little processor time.

The rates are those of the sheet of a deployment whose queues have five times their
mean demand by turns, with 12.8 tasks of 0.64 s to a job. A core of that deployment has
three quarters of the speed on which the costs rest, and a busy machine makes it slower.
"""

import random
from collections import Counter
from dataclasses import replace

import gevent
import pytest

from hingepitch.clock import wall_ms
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands, plan as plan_module
from hingepitch.jobs.cause import EndCause
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.load import measure_pools
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.spec import Step
from tests.leader_simulation import Costs, LeaderSimulation
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, TERMS, DispatchHarness
from tests.test_job_plan import make_log
from tests.test_job_rules import make_minion, task
from tests.test_load_turns import PEAK_PER_SECOND
from tests.test_unchanged_placement import make_random_log

#: How much slower the leader's processor is than the one of `Costs`.
SLOWNESS = 1.8

#: The highest and the usual part of a kind's worth that has to be earned on a day of
#: that deployment: without disruptions, and with them.
CALM_FLOOR = 0.48
DISRUPTED_FLOOR = 0.29

#: A slowness at which a crest takes more than the leader can do.
OVERLOAD_SLOWNESS = 2.5

SEEDS = (1, 2, 3)

DISRUPTIONS = {
    "a rack is lost": lambda simulation: simulation.lose_vms(8),
    "no leader": lambda simulation: simulation.stall(1.0),
    "entries are lost": lambda simulation: simulation.hold_callers(1.0),
}

BUSY_DELAY_SECONDS = 0.02


def simulate(seed, disruption=None, slowness=SLOWNESS, **options):
    costs = Costs().times(slowness)
    simulation = LeaderSimulation(seed, costs=costs, **options)
    simulation.run(PEAK_PER_SECOND, disruption=disruption)
    assert len(simulation.jobs) > 400
    return simulation.in_time_part()


# Guards against a leader whose work for each run is the same however late it is, so
# that at a crest it gets later and later and all jobs of the kind are late.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_busy_leader_serves_a_crest(seed, monkeypatch):
    assert simulate(seed) >= CALM_FLOOR
    monkeypatch.setattr(plan_module, "stays_best", lambda *_: False)
    assert simulate(seed, is_batching=False) < DISRUPTED_FLOOR


# Guards against a leader that begins what is late as soon as what could be in time, so
# that with too little processor time for a crest it serves next to nothing of it.
@pytest.mark.parametrize("seed", SEEDS)
def test_an_overloaded_leader_serves_what_it_can(seed):
    assert simulate(seed, slowness=OVERLOAD_SLOWNESS) >= DISRUPTED_FLOOR


# Guards against a crest that is lost as a whole once something goes wrong within it.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", DISRUPTIONS)
def test_a_busy_leader_serves_a_crest_with_a_disruption(seed, name):
    assert simulate(seed, DISRUPTIONS[name]) >= DISRUPTED_FLOOR


class CountingMinion(MemoryMinion):
    """A minion that counts the polls that wait for ends."""

    polls = 0

    def look(self, order, seconds):
        self.polls += order.wait_ms > 0
        return super().look(order, seconds)

    def begin(self, order):
        self.task_seconds += 0.02
        return super().begin(order)


@pytest.fixture
def make_harness():
    harnesses = []

    def make(*minions):
        by_id = {minion.life: minion for minion in minions}
        harness = DispatchHarness(
            *minions,
            terms=replace(TERMS, lease_seconds=4.0),
            connect=lambda record: by_id[record.id],
        )
        assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
        session = harness.dispatcher.session
        assert wait_until(lambda: len(session.agent_by_minion) == len(minions), SECONDS)
        harnesses.append(harness)
        return harness

    yield make
    for harness in harnesses:
        harness.close()


def set_delay(harness, seconds, monkeypatch):
    """Let the leader find its event loop late by `seconds`."""
    delay = harness.dispatcher.session.load_reporter.loop_delay
    monkeypatch.setattr(delay, "note", lambda _: None)
    delay.average = seconds


# Guards against a busy leader that polls a minion anew for each run that ends there.
@pytest.mark.parametrize("is_busy", [False, True])
def test_a_busy_leader_polls_less_often(make_harness, monkeypatch, is_busy):
    minion = CountingMinion(task_seconds=0.2, slots=16)
    harness = make_harness(minion)
    set_delay(harness, BUSY_DELAY_SECONDS if is_busy else 0.0, monkeypatch)
    harness.submit(Step(16))
    assert wait_until(lambda: len(harness.log.table.run_by_task) == 16, SECONDS)
    assert wait_until(lambda: not harness.log.table.run_by_task, SECONDS)
    assert (minion.polls < 8) is is_busy, minion.polls


# Guards against a log entry for each minion with ends, though they come together.
def test_ends_of_many_minions_are_recorded_together(make_harness, monkeypatch):
    minions = [MemoryMinion(task_seconds=0.3) for _ in range(12)]
    harness = make_harness(*minions)
    set_delay(harness, BUSY_DELAY_SECONDS, monkeypatch)
    sent = Counter()
    propose = harness.replica.propose

    def counted(envelope):
        sent[type(envelope.command)] += 1
        return propose(envelope)

    monkeypatch.setattr(harness.replica, "propose", counted)
    harness.submit(Step(12, cpu_millicores=9000))
    assert wait_until(lambda: len(harness.log.table.run_by_task) == 12, SECONDS)
    assert wait_until(lambda: not harness.log.table.run_by_task, SECONDS)
    assert sent[commands.EndRuns] < 6


# Guards against a caller that waits for good for ends that could not be recorded.
def test_ends_that_cannot_be_recorded_are_told_so(make_harness, monkeypatch):
    harness = make_harness(MemoryMinion())
    session = harness.dispatcher.session
    monkeypatch.setattr(session, "propose", lambda command: False)
    ends = (commands.RunEnd(task(), 1, "none", commands.RunResult.DONE),)
    waiting = gevent.spawn(session.end_recorder.record, ends, EndCause.LISTED)
    assert waiting.get(timeout=SECONDS) is False


# Guards against a scan of all minions of a pool for each task of a step.
def test_the_tasks_of_a_step_are_placed_with_few_checks(monkeypatch):
    minions, tasks = 60, 20
    log = make_log(
        *(make_minion(number, cpu_millicores=16_000) for number in range(minions))
    )
    log.submit(Step(tasks, cpu_millicores=1500))
    checks = []
    fits = plan_module.ResourceUsage.fits

    def counted(usage, minion, step):
        checks.append(minion.id)
        return fits(usage, minion, step)

    monkeypatch.setattr(plan_module.ResourceUsage, "fits", counted)
    starts, _ = plan_starts(log.table, PlanContext(0, set(log.table.minion_by_id)))
    assert len(starts) == tasks
    # Ten tasks fill a minion: two scans, and one check for each task.
    assert len(checks) <= 2 * minions + tasks


# Guards against other starts than those of a scan for each task.
@pytest.mark.parametrize("seed", range(40))
def test_the_best_minion_is_the_one_that_a_scan_finds(seed, monkeypatch):
    log = make_random_log(random.Random(seed))
    usable = set(log.table.minion_by_id)
    for spreads in (False, True):
        context = PlanContext(
            5000, usable, durations=Durations(), spreads_over_halls=spreads
        )
        planned = plan_starts(log.table, context)
        assert planned[0], "nothing was planned"
        with monkeypatch.context() as patch:
            patch.setattr(plan_module, "stays_best", lambda *_: False)
            assert plan_starts(log.table, context) == planned


# Guards against indices of runs that differ from the runs after a while.
@pytest.mark.parametrize("seed", range(10))
def test_the_indices_of_runs_equal_a_recount(seed):
    log = make_random_log(random.Random(seed))
    table = log.table
    for is_first in (True, False):
        by_job = {}
        for run in table.run_by_task.values():
            by_job.setdefault(run.task.job, {})[run.task] = run
        assert table.runs_by_job == by_job
        assert set(table.lasting_runs) == {
            key
            for key in table.run_by_task
            if table.job_by_id[key.job].spec.steps[key.step].lasts
        }
        assert measure_pools(table, wall_ms(), Durations())
        if is_first:
            for key, run in list(table.run_by_task.items())[::2]:
                end = commands.RunEnd(
                    key, run.number, run.minion, commands.RunResult.DONE
                )
                log.send(commands.EndRuns((end,), 1000))
