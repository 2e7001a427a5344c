"""Gangs several members of which fail in one run."""

import pytest

from hingepitch.jobs.record import JobStatus, RunResult
from hingepitch.jobs.spec import Step
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import DispatchHarness

MEMBERS = 4

#: How often a gang may fail, as the queue of the harness has it.
ATTEMPTS = 2


class GreyMinion(MemoryMinion):
    """Ends all runs up to the number `last_failing_run` as failed."""

    def __init__(self, last_failing_run):
        super().__init__(task_seconds=0.1)
        self.last_failing_run = last_failing_run

    def end(self, task, number, result):
        is_grey = number <= self.last_failing_run
        super().end(task, number, RunResult.FAILED if is_grey else result)


# Guards against a gang that uses up an attempt for each member that fails in one run,
# and against one that is started more often than its queue allows.
@pytest.mark.parametrize(
    "last_failing_run, status, runs",
    [
        (1, JobStatus.SUCCEEDED, 2),
        (ATTEMPTS, JobStatus.FAILED, ATTEMPTS),
    ],
)
def test_a_failed_run_of_a_gang_counts_once(last_failing_run, status, runs):
    minion = GreyMinion(last_failing_run)
    harness = DispatchHarness(minion, connect=lambda record: minion)
    try:
        harness.submit(Step(MEMBERS, gang=True))
        harness.wait_status(status)
        assert max(number for _, number, _ in minion.begun) == runs
    finally:
        harness.close()
