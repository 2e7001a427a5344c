"""Test pooled connections that become unresponsive while new ones work.

Guards against status polls that time out on every pooled connection in turn.
"""

import pytest

from hingepitch.clock import lease_seconds
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from standin.relay import Relay
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_rules import make_minion

#: Duration of a long poll at the minion, its timeout and the pause after it.
POLL_SECONDS = 2.0


class RelayedHarness(DispatchHarness):
    """Dispatcher harness whose minions are reached through relays."""

    def register(self, number, minion):
        self.relays = [*getattr(self, "relays", []), Relay(minion.address)]
        record = make_minion(
            number,
            id=minion.life,
            address=self.relays[-1].address,
            cpu_millicores=16_000,
        )
        self.log.send(commands.RegisterMinion(record, 0))

    def close(self):
        super().close()
        for relay in self.relays:
            relay.close()


@pytest.fixture
def rig():
    made = RelayedHarness(TaskMinion())
    assert wait_until(lambda: made.dispatcher.session is not None, SECONDS)
    yield made
    made.close()


def test_a_minion_behind_unresponsive_connections_is_polled_on_new_ones(rig):
    (minion,) = rig.minions
    rig.submit(Step(2, 1000), Step(1, 1000, after=(0,)))
    assert wait_until(lambda: len(minion.running) == 2, SECONDS)
    session = rig.dispatcher.session
    (agent,) = session.agent_by_minion.values()
    assert wait_until(lambda: agent.status_poller.polled_at > 0, SECONDS)
    rig.relays[0].stall_connections()
    unresponsive_at = lease_seconds()
    for name in list(minion.running):
        minion.end(name, "done")
    assert wait_until(lambda: len(minion.starts) == 3, SECONDS)
    assert lease_seconds() - unresponsive_at < POLL_SECONDS
    for name in list(minion.running):
        minion.end(name, "done")
    rig.wait_status(JobStatus.SUCCEEDED)
    assert len({(name, run) for name, run, _ in minion.starts}) == 3
    assert {run for _, run, _ in minion.starts} == {1}
