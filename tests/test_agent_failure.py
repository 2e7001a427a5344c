"""Ends of gang members that arrive after their round was closed.

In a job with further due times, the end of the first member ended the whole gang
and closed its round. When another minion reported the end of the next member,
recording its duration looked up a task that no longer existed. The error ended
the greenlet that polls that minion, so all leases there expired, and its runs
stayed recorded for the rest of the leadership.
"""

import pytest

from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import DispatchHarness

#: More than half of a minion's CPU capacity, so that each minion gets one member.
MEMBER_MILLICORES = 9000


@pytest.fixture
def harness():
    minions = {one.life: one for one in (MemoryMinion(), MemoryMinion())}
    made = DispatchHarness(*minions.values(), connect=lambda record: minions[record.id])
    yield made
    made.close()


def test_each_member_of_a_gang_may_end_after_its_round_has_closed(harness):
    step = Step(2, MEMBER_MILLICORES, gang=True)
    harness.log.submit(step, times=3, interval_ms=1)
    harness.replica.wake()
    harness.wait_status(JobStatus.SUCCEEDED)
    assert not harness.log.table.run_by_task
