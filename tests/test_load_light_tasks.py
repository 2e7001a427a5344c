"""Thousands of light tasks on one minion.

Pattern: clients hand in jobs of thousands of tasks that ask for next to nothing, and
the planner places them on the fullest minion. A leader that works for longer than the
election timeout without a pause is replaced, and the next one finds the same runs.
Grounds for the figures: work that is linear in the runs grows fourfold from 1,000 runs
to 4,000, quadratic work sixteenfold; the limit lies between them.
"""

import time

import gevent

from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.spec import Step
from hingepitch.jobs.table import JobTable
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import DispatchHarness
from tests.test_job_rules import Log, make_config, make_minion, task

FEW_RUNS = 1_000
MANY_RUNS = 4_000
MAX_GROWTH = 8

#: Longest time until all runs have started, in seconds.
SECONDS = 120


class SlowMinion(MemoryMinion):
    """Replies to a start after a moment, as over a network."""

    def start(self, order, seconds):
        gevent.sleep(0.001)
        return super().start(order, seconds)


def processor_seconds(runs):
    """Return the processor time in which so many runs are started on one minion."""
    minion = SlowMinion(task_seconds=600, slots=runs)
    harness = DispatchHarness(minion, connect=lambda record: minion)
    try:
        began = time.process_time()
        harness.submit(Step(runs, lasts=True))
        assert wait_until(lambda: len(minion.running) == runs, SECONDS)
        return time.process_time() - began
    finally:
        harness.close()


# Guards against an agent whose work for each order grows with the runs of its minion.
def test_the_work_for_the_runs_of_one_minion_grows_with_their_number():
    few = processor_seconds(FEW_RUNS)
    assert processor_seconds(MANY_RUNS) < MAX_GROWTH * few


# Guards against a rule that looks through all tasks of a step for each that starts.
def test_starting_the_tasks_of_a_step_checks_once_whether_it_is_ready(monkeypatch):
    log = Log()
    log.send(commands.PutQueues(make_config()))
    log.send(commands.RegisterMinion(make_minion(1), 0))
    log.submit(Step(FEW_RUNS), Step(FEW_RUNS))
    checked = []
    is_ready = JobTable.is_ready

    def count(table, *step):
        checked.append(step)
        return is_ready(table, *step)

    monkeypatch.setattr(JobTable, "is_ready", count)
    keys = [task(step, index) for step in (0, 1) for index in range(FEW_RUNS)]
    assert all(log.start(*keys))
    assert len(checked) == 2
    assert not log.table.ready_steps
