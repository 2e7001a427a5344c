"""Tests of a replica that loses power in any call that changes its disk.

They guard against a power loss after which a replica does not start. The tests
count the disk calls of a start, of changes with two snapshots, and of a snapshot
install, and inject a power loss into each of them, with several outcomes. The
replica must then start, lead and have all acknowledged changes, and the audit trail
must show each change once and in order.
"""

import time

import pytest

from hingepitch.control import replica as replica_module
from hingepitch.control.audit import MISSING_COMMAND
from hingepitch.control.message import Install
from hingepitch.error import HingepitchError
from standin.powerdisk import Refusal
from tests.power_replica import PowerReplica

#: Entries between two snapshots; small, so that a few changes lead to one.
MIN_SNAPSHOT_ENTRIES = 6
CHANGES = 14

#: Index distance of an installed snapshot; more than the entries in the log.
INSTALL_DISTANCE = 1000

#: Longest time until a change that cannot be written is refused, in seconds.
MAX_REFUSAL_SECONDS = 0.5

#: Seeds of the simulated outcomes of each power loss.
SEEDS = range(2)


@pytest.fixture(autouse=True)
def frequent_snapshots(monkeypatch):
    monkeypatch.setattr(replica_module, "MIN_SNAPSHOT_ENTRIES", MIN_SNAPSHOT_ENTRIES)
    monkeypatch.setattr(replica_module, "MAX_SNAPSHOT_ENTRIES", MIN_SNAPSHOT_ENTRIES)
    monkeypatch.setattr(replica_module, "ENTRIES_KEPT_BEHIND_SNAPSHOT", 2)


@pytest.fixture
def make_replica(tmp_path):
    made = []

    def make(seed):
        made.append(PowerReplica(tmp_path / f"data-{len(made)}", seed))
        return made[-1]

    yield make
    for one in made:
        one.kill()


def start(one):
    """Start the replica; the power may be lost during the start."""
    try:
        one.open()
    except OSError:
        assert not one.disk.has_power
        return
    one.lead()


def change(one):
    """Propose changes until the power is lost."""
    for _ in range(CHANGES):
        if one.disk.has_power:
            one.propose_vm()


def start_and_change(one):
    start(one)
    change(one)


def install(one):
    """Install a snapshot of another replica, as a follower does."""
    core = one.replica.core
    index = core.log.last_index + INSTALL_DISTANCE
    state = one.replica.make_snapshot().state
    try:
        one.replica.write_in_order([Install(index, core.term, core.members, state)])
    except (OSError, HingepitchError):
        assert not one.disk.has_power


def check(one):
    """Start without faults; compare the state with the acknowledged changes."""
    one.start()
    assert not one.replica.storage.quarantine_reason
    assert one.replica.core.identity == "c1"
    assert one.missing_vms() == []
    audited_ids = one.audited_ids()
    assert len(audited_ids) >= len(one.acked)
    assert audited_ids == one.proposed_ids[: len(audited_ids)]
    one.propose_vm()
    assert one.acked[-1][0] == one.proposed_ids[-1]


def lose_power_in_every_call(make_replica, prepare, step, verify):
    """Lose power in each disk call of `step`, for each seed; return their number."""
    counted = make_replica(0)
    prepare(counted)
    before = counted.disk.calls
    step(counted)
    calls = counted.disk.calls - before
    for after in range(calls):
        for seed in SEEDS:
            one = make_replica(seed)
            prepare(one)
            one.disk.lose_power_after(after)
            step(one)
            one.lose_power()
            verify(one)
            one.kill()
            one.close_files()
    return calls


def test_power_loss_in_every_call_of_a_first_start_and_of_changes(make_replica):
    calls = lose_power_in_every_call(
        make_replica, lambda one: None, start_and_change, check
    )
    assert calls > 2 * CHANGES


def prepare_a_folder(one):
    """Leave a folder with a snapshot and later entries after a power loss."""
    one.start()
    change(one)
    one.lose_power()


def test_power_loss_in_every_call_of_a_start_after_a_power_loss(make_replica):
    calls = lose_power_in_every_call(make_replica, prepare_a_folder, start, check)
    assert calls > 4


def prepare_a_follower(one):
    """Open a folder with a snapshot and later entries as a follower."""
    prepare_a_folder(one)
    one.open()


def check_installed(one):
    """Check for the complete installed snapshot, or all earlier content."""
    one.open()
    assert not one.replica.storage.quarantine_reason
    snapshot = one.replica.storage.snapshot
    if snapshot.index < INSTALL_DISTANCE:
        close_and_check(one)
        return
    assert one.replica.core.log.last_index == snapshot.index
    assert one.replica.state.to_snapshot() == snapshot.state
    trail = list(one.replica.audit.read())
    places = [
        at for at, record in enumerate(trail) if record.command == MISSING_COMMAND
    ]
    assert places == [len(trail) - 1]
    assert trail[-1].index == snapshot.index
    assert [record.command_id for record in trail[:-1]] == one.proposed_ids[
        : len(trail) - 1
    ]


def close_and_check(one):
    """Close the folder, then start the replica and check it."""
    one.close_files()
    check(one)


def test_power_loss_in_every_call_of_a_snapshot_install(make_replica):
    calls = lose_power_in_every_call(
        make_replica, prepare_a_follower, install, check_installed
    )
    assert calls > 8


def test_commands_are_refused_at_once_after_a_failed_snapshot(make_replica):
    """Otherwise each command would wait for its timeout of 4 s."""
    one = make_replica(0)
    one.start()
    one.disk.refuse(Refusal(count=None, names=("rename",)))
    started = time.monotonic()
    change(one)
    assert len(one.acked) < len(one.proposed_ids)
    assert time.monotonic() - started < MAX_REFUSAL_SECONDS
