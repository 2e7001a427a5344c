"""Tests that a replica starts after power losses during operator changes.

They guard against an audit trail that ends the program. No sync covers the latest
writes to the trail, so a power loss can drop or tear one of them and keep a later one.
The start decoded the torn part as a line, and three of five control programs ended
with an uncaught decode error at every start. Without a quorum there was no leader, no
configuration and no answer to jobs. The simulated disk keeps what the syncs cover and
a random part of the rest.
"""

import pytest

from tests.power_replica import PowerReplica

SEEDS = range(12)
CHANGES = 150


@pytest.fixture
def make_replica(tmp_path):
    made = []

    def make(seed):
        made.append(PowerReplica(tmp_path / f"data-{seed}", seed))
        return made[-1]

    yield make
    for replica in made:
        replica.kill()


def change_and_lose_power(replica, losses):
    for _ in range(losses):
        replica.start()
        for _ in range(CHANGES):
            replica.propose_vm()
        replica.lose_power()
    replica.start()


def test_a_replica_starts_after_each_power_loss(make_replica):
    for seed in SEEDS:
        replica = make_replica(seed)
        change_and_lose_power(replica, losses=3)
        assert replica.missing_vms() == [], seed


def test_the_audit_trail_shows_each_change_once_after_a_power_loss(make_replica):
    for seed in SEEDS:
        replica = make_replica(seed)
        change_and_lose_power(replica, losses=2)
        assert replica.audited_ids() == [name for name, _ in replica.acked], seed
