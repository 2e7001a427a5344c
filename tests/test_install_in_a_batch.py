"""A follower that handles a snapshot in one step with other messages.

A replica handles all waiting messages in one step. A snapshot among them made the
replica apply entries that were not committed, and write a snapshot with members that
came into force only later.
"""

import pytest

from hingepitch.control.membership import encode_members
from hingepitch.control.message import (
    Entry,
    EntryKind,
    Member,
    Message,
    MessageKind,
    Receive,
)
from hingepitch.control.storage import bootstrap_folder
from hingepitch.model.codec import encode_envelope
from hingepitch.model.command import Envelope, PutPool, Role
from tests.single_replica import make_replica

MEMBERS = tuple(
    Member(name, name, f"127.0.0.1:{at}", "h1")
    for at, name in enumerate(("c1", "c2", "c3"), start=1)
)

FEWER = MEMBERS[:2]
TERM = 3

#: Index of the last entry committed before the snapshot, and of the snapshot.
COMMITTED = 4
INSTALLED = 6


@pytest.fixture
def follower(tmp_path):
    bootstrap_folder(tmp_path / "data", "c2", MEMBERS)
    replica = make_replica(tmp_path / "data", "c2")
    replica.open()
    yield replica
    replica.close()


def pool_entry(index):
    name = f"pool-{index}"
    envelope = Envelope(Role.OPERATOR, "journeys", "someone", PutPool(name), name)
    return Entry(index, TERM, EntryKind.COMMAND, encode_envelope(envelope))


def members_entry(index, members):
    return Entry(index, TERM, EntryKind.MEMBERS, encode_members(members))


def append(before, entries, commit):
    return Message(
        MessageKind.APPEND,
        "c1",
        "c2",
        TERM,
        index=before,
        log_term=TERM if before else 0,
        commit=commit,
        entries=tuple(entries),
    )


def snapshot_message(replica, index=INSTALLED, members=MEMBERS):
    return Message(
        MessageKind.SNAPSHOT,
        "c1",
        "c2",
        TERM,
        index=index,
        log_term=TERM,
        entries=(members_entry(index, members),),
        snapshot=replica.state.to_snapshot(),
    )


def handle_together(replica, *messages):
    for message in messages:
        replica.put(Receive(message))
    replica.handle_events()


# Guards against a replica that shows commands whose entries may still be replaced.
def test_nothing_uncommitted_is_applied_after_an_installed_snapshot(follower):
    first = [pool_entry(index) for index in range(1, COMMITTED + 1)]
    later = [pool_entry(index) for index in range(INSTALLED + 1, INSTALLED + 9)]
    handle_together(
        follower,
        append(0, first, COMMITTED),
        snapshot_message(follower),
        append(INSTALLED, later, INSTALLED),
    )
    assert follower.core.commit_index == INSTALLED
    assert follower.applied_index == INSTALLED
    assert not follower.state.by_kind["pool"]


# Guards against a replica that counts votes of members whose entry was replaced.
def test_an_installed_snapshot_has_the_members_of_its_index(follower):
    later = [members_entry(INSTALLED + 1, FEWER)]
    handle_together(
        follower, snapshot_message(follower), append(INSTALLED, later, INSTALLED)
    )
    assert follower.core.members == FEWER
    assert follower.storage.snapshot.members == MEMBERS


# Guards against an older snapshot whose index the log no longer has after the step.
def test_the_later_of_two_snapshots_in_one_step_is_kept(follower):
    later = snapshot_message(follower, INSTALLED + 5, FEWER)
    handle_together(follower, snapshot_message(follower), later)
    assert follower.storage.snapshot.index == INSTALLED + 5
    assert follower.storage.snapshot.members == FEWER
    assert follower.applied_index == INSTALLED + 5
