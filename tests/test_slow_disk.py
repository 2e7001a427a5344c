"""A leader whose disk is slow or hangs.

The other replicas can commit its entries without it. The leader counts towards the
quorum of an entry only when the entry is on its own disk.
"""

from types import SimpleNamespace

import gevent
import pytest
from gevent.event import Event

from hingepitch.control.message import (
    Durable,
    Entry,
    EntryKind,
    Member,
    Message,
    MessageKind,
    Recovered,
    Tick,
)
from hingepitch.control.replica import Replica
from hingepitch.control.snapshot import Snapshot
from hingepitch.control.writer import LogWriter
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs.command import OpenRounds
from hingepitch.model.command import Envelope, Role

NAMES = ("n0", "n1", "n2")
SECONDS = 3


class GatedStorage:
    """Data folder in memory whose writes wait while `gate` is closed."""

    def __init__(self):
        self.gate = Event()
        self.gate.set()
        self.fails = False
        self.written = []
        self.snapshot = Snapshot(0, 0, (), b"")
        self.snapshot_bytes = 0

    def open(self):
        members = tuple(Member(name, name, name, "h") for name in NAMES)
        return Recovered("n0", members=members)

    def write(self, vote, entries):
        self.gate.wait()
        if self.fails:
            raise HingepitchError("storage_failed", "test")
        if vote is not None:
            self.written.append(vote)
        self.written += [entry.index for entry in entries]


class Links:
    """Stub of the links to other replicas that keeps the messages sent."""

    def __init__(self):
        self.sent = []

    def send(self, address, message):
        self.sent.append(message)

    def of(self, kind):
        return [message for message in self.sent if message.kind is kind]


class Group:
    """The replica n0 of a group of three, and the messages from the others."""

    def __init__(self):
        self.storage = GatedStorage()
        self.links = Links()
        roster = SimpleNamespace(take_over=lambda now: None)
        audit = SimpleNamespace(open=lambda position, index: None)
        self.replica = Replica(
            self.storage, audit, self.links, roster, lambda identity: identity, "1"
        )
        self.replica.open()
        self.greenlets = [
            gevent.spawn(self.replica.handle_forever),
            gevent.spawn(self.replica.write_in_background),
        ]

    def receive(self, kind, sender="n1", term=1, **fields):
        self.replica.receive(Message(kind, sender, "n0", term, **fields))

    def lead(self):
        core = self.replica.core
        while core.role != "pre_candidate":
            self.replica.put(Tick())
            gevent.sleep(0)
        self.receive(MessageKind.PRE_VOTE_ANSWER, granted=True)
        assert wait_until(lambda: core.role == "candidate", SECONDS)
        self.receive(MessageKind.VOTE_ANSWER, granted=True)
        assert wait_until(lambda: core.role == "leader", SECONDS)
        self.acknowledge("n1", 1)
        assert wait_until(lambda: core.commit_index == 1, SECONDS)
        assert wait_until(lambda: not self.replica.writer.is_behind, SECONDS)

    def acknowledge(self, name, index):
        self.receive(MessageKind.APPEND_ANSWER, name, granted=True, index=index)

    def propose(self):
        envelope = Envelope(Role.DISPATCHER, "", "test", OpenRounds(()))
        return gevent.spawn(self.replica.propose, envelope)

    def close(self):
        gevent.killall(self.greenlets)


@pytest.fixture
def group():
    made = Group()
    made.lead()
    yield made
    made.storage.gate.set()
    made.close()


def last_sent_index(group):
    appends = group.links.of(MessageKind.APPEND)
    return max(entry.index for message in appends for entry in message.entries)


def test_a_change_is_committed_by_the_others_while_the_leaders_disk_hangs(group):
    group.storage.gate.clear()
    proposals = [group.propose()]
    assert wait_until(lambda: last_sent_index(group) == 2, SECONDS)
    group.acknowledge("n1", 2)
    group.acknowledge("n2", 2)
    assert wait_until(proposals[0].ready, SECONDS)
    proposals.append(group.propose())
    assert wait_until(lambda: last_sent_index(group) == 3, SECONDS)
    assert group.storage.written[-1] == 1


def test_a_leader_whose_disk_hangs_does_not_count_itself(group):
    group.storage.gate.clear()
    proposal = group.propose()
    assert wait_until(lambda: last_sent_index(group) == 2, SECONDS)
    group.acknowledge("n1", 2)
    gevent.sleep(0.1)
    assert not proposal.ready()
    group.storage.gate.set()
    assert wait_until(proposal.ready, SECONDS)
    assert group.storage.written[-1] == 2


def test_a_former_leader_acknowledges_only_what_its_disk_has(group):
    group.storage.gate.clear()
    group.propose()
    assert wait_until(lambda: last_sent_index(group) == 2, SECONDS)
    group.receive(MessageKind.APPEND, term=2, index=2, log_term=1)
    gevent.sleep(0.1)
    assert not group.links.of(MessageKind.APPEND_ANSWER)
    group.storage.gate.set()
    assert wait_until(lambda: group.links.of(MessageKind.APPEND_ANSWER), SECONDS)
    assert 2 in group.storage.written


def test_commands_are_batched_while_the_disk_writes(group):
    group.storage.gate.clear()
    rounds = len(group.links.of(MessageKind.APPEND))
    for _ in range(20):
        group.propose()
        gevent.sleep(0)
    assert wait_until(lambda: last_sent_index(group) == 21, SECONDS)
    with_entries = [
        message
        for message in group.links.of(MessageKind.APPEND)[rounds:]
        if message.entries and message.receiver == "n1"
    ]
    assert len(with_entries) <= 3


def entry(index):
    return Entry(index, 1, EntryKind.NOTHING, b"")


def test_background_writes_reach_the_disk_before_later_writes():
    events = []
    storage = GatedStorage()
    writer = LogWriter(storage, events.append)
    writer.write_later([entry(1), entry(2)])
    writer.write((2, "n1"), [entry(3)])
    assert storage.written == [(2, "n1"), 1, 2, 3]
    assert events == [Durable(2, 1)]


def test_no_entry_is_written_after_one_that_could_not_be_written():
    storage = GatedStorage()
    writer = LogWriter(storage, lambda event: None)
    storage.fails = True
    writer.write_later([entry(1)])
    with pytest.raises(HingepitchError):
        writer.write()
    storage.fails = False
    with pytest.raises(HingepitchError):
        writer.write(None, [entry(2)])
    assert not storage.written
    writer.reset(storage)
    writer.write(None, [entry(1)])
    assert storage.written == [1]
