"""A replica that loses power in every single call that changes its disk.

Control programs did not start after a loss of power in one moment out of many.
So the calls of a start, of changes with two snapshots, and of an installed
snapshot are counted, and the power is lost in each of them in turn, with
several outcomes of the loss. After it the replica starts, leads, and has what
was acknowledged; the audit trail shows each change once and in order.
"""

import time

import pytest

from hingepitch.control import replica as replica_module
from hingepitch.control.audit import MISSING_COMMAND
from hingepitch.control.message import Install
from hingepitch.error import HingepitchError
from standin.powerdisk import Refusal
from tests.power_replica import PowerReplica

#: Entries between two snapshots here; so a few changes lead to one.
SNAPSHOT_EVERY = 6
CHANGES = 14

#: Entries by which an installed snapshot is ahead; more than there are.
AHEAD = 1000

#: A change that cannot be written is refused within this, in seconds.
REFUSED_SECONDS = 0.5

#: Outcomes of each loss.
SEEDS = range(2)


@pytest.fixture(autouse=True)
def often_a_snapshot(monkeypatch):
    monkeypatch.setattr(replica_module, "SNAPSHOT_EVERY", SNAPSHOT_EVERY)
    monkeypatch.setattr(replica_module, "SNAPSHOT_EVERY_AT_MOST", SNAPSHOT_EVERY)
    monkeypatch.setattr(replica_module, "KEEP_BEHIND_SNAPSHOT", 2)


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
    """Start the replica; it may lose its power while it does."""
    try:
        one.open()
    except OSError:
        assert not one.disk.has_power
        return
    one.lead()


def change(one):
    """Send changes as long as there is power."""
    for _ in range(CHANGES):
        if one.disk.has_power:
            one.relabel()


def start_and_change(one):
    start(one)
    change(one)


def install(one):
    """Install a snapshot of another replica, as a follower does."""
    core = one.replica.core
    index = core.log.last_index + AHEAD
    state = one.replica.make_snapshot().state
    try:
        one.replica.write_in_order([Install(index, core.term, core.members, state)])
    except (OSError, HingepitchError):
        assert not one.disk.has_power


def check(one):
    """Start once more without trouble, and compare with what was acknowledged."""
    one.start()
    assert not one.replica.storage.set_aside_reason
    assert one.replica.core.identity == "c1"
    assert one.missing() == []
    audited = one.audited()
    assert len(audited) >= len(one.acked)
    assert audited == one.tried[: len(audited)]
    one.relabel()
    assert one.acked[-1][0] == one.tried[-1]


def lose_in_every_call(make_replica, prepare, step, verify):
    """Lose power in each call of `step`, for each seed; return the calls."""
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
            one.let_go()
    return calls


def test_power_is_lost_in_every_call_of_a_first_start_and_of_changes(make_replica):
    calls = lose_in_every_call(make_replica, lambda one: None, start_and_change, check)
    assert calls > 2 * CHANGES


def prepare_a_folder(one):
    """Leave a folder with a snapshot, entries behind it, and a loss of power."""
    one.start()
    change(one)
    one.lose_power()


def test_power_is_lost_in_every_call_of_a_start_after_a_loss(make_replica):
    calls = lose_in_every_call(make_replica, prepare_a_folder, start, check)
    assert calls > 4


def prepare_a_follower(one):
    """Open a folder with a snapshot and entries, without leading."""
    prepare_a_folder(one)
    one.open()


def check_installed(one):
    """The installed snapshot is there whole, or all that was there before."""
    one.open()
    assert not one.replica.storage.set_aside_reason
    snapshot = one.replica.storage.snapshot
    if snapshot.index < AHEAD:
        check_again(one)
        return
    assert one.replica.core.log.last_index == snapshot.index
    assert one.replica.state.to_snapshot() == snapshot.state
    trail = list(one.replica.audit.read())
    places = [
        at for at, record in enumerate(trail) if record.command == MISSING_COMMAND
    ]
    assert places == [len(trail) - 1]
    assert trail[-1].index == snapshot.index
    assert [record.command_id for record in trail[:-1]] == one.tried[: len(trail) - 1]


def check_again(one):
    """Close a folder that was looked at, and start it."""
    one.let_go()
    check(one)


def test_power_is_lost_in_every_call_of_an_install(make_replica):
    calls = lose_in_every_call(
        make_replica, prepare_a_follower, install, check_installed
    )
    assert calls > 8


def test_what_waits_while_a_snapshot_is_refused_is_refused_at_once(make_replica):
    """It waited out its 4 s, although it was known that nothing can be written."""
    one = make_replica(0)
    one.start()
    one.disk.refuse(Refusal(count=None, names=("rename",)))
    started = time.monotonic()
    change(one)
    assert len(one.acked) < len(one.tried)
    assert time.monotonic() - started < REFUSED_SECONDS
