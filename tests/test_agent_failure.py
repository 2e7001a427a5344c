"""A gang whose job has further due times, on two minions.

Seen while the lapses of lasting tasks were looked into: the leader never
looked at a minion again, so all leases there lapsed, and what ran there stayed
recorded for the rest of the leadership. How it came about: the first member's
end ended the whole gang and closed its round; the next member's end came from
another minion, and learning how long it took asked for its task, which was
gone. The error ended the greenlet that looks at that minion. Proof: this test,
with the error's trace in its output.
"""

import pytest

from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import Rig

#: More than half of a minion's processors: one member on each.
MEMBER_MILLICORES = 9000


@pytest.fixture
def rig():
    minions = {one.life: one for one in (MemoryMinion(), MemoryMinion())}
    made = Rig(*minions.values(), connect=lambda record: minions[record.id])
    yield made
    made.close()


def test_each_member_of_a_gang_may_end_after_its_round_has_closed(rig):
    step = Step(2, MEMBER_MILLICORES, gang=True)
    rig.log.submit(step, times=3, interval_ms=1)
    rig.replica.wake()
    rig.wait_status(JobStatus.SUCCEEDED)
    assert not rig.log.table.run_by_task
