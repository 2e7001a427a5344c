"""Messages of another writer: they name nothing to use, and the others hold.

Seen: nothing was dispatched for the rest of a day although a leader was there;
requests of all kinds failed, and lasting tasks that had lapsed had no run
again. One way in which that comes about, shown here: a heartbeat whose address
cannot be called was taken into the log as a minion. Making its client raised
an error in the leader's loop, which ended the session; each later session and
each later leader met the same record at once.
"""

import pytest

from adapter.minion import HttpMinion
from hingepitch.jobs import command as commands
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from standin.taskminion import TaskMinion
from tests.test_dispatch import Rig
from tests.test_job_rules import make_minion


@pytest.fixture
def rig():
    made = Rig(TaskMinion(task_seconds=0.05), connect=HttpMinion)
    yield made
    made.close()


@pytest.mark.parametrize("address", ["not an address", "", "10.0.0.1:none", "::1"])
def test_a_minion_that_cannot_be_called_holds_nobody_up(rig, address):
    stranger = make_minion(9, id="stranger", address=address)
    rig.log.send(commands.RegisterMinion(stranger, 0))
    rig.submit(Step(2))
    rig.wait_status(JobStatus.SUCCEEDED)
