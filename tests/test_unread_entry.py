"""A committed entry, or a snapshot, that this version cannot read.

This happens during a rolling upgrade: a replica of a later version leads and appends
a command that the replicas of the earlier version do not know. Each of these failed
at the entry eight times within 30 s and ended, and each later start ended as well.
Once all logs held the entry, no program of the earlier version ran. A snapshot sent
by a leader of the later version had the same effect, and the next start could not
read it.

An entry with an unknown effect must not be skipped. The replica keeps what it stores
and goes on voting, because the others need its vote. It neither leads nor answers
from a state that lacks an entry, and it reports the fault.
"""

from types import SimpleNamespace

import gevent
import pytest
from gevent.event import AsyncResult

from hingepitch.control.admission import PendingCommand
from hingepitch.control.audit import AuditTrail
from hingepitch.control.handler import ControlHandler
from hingepitch.control.message import Member, Message, MessageKind, Tick
from hingepitch.control.replica import Replica
from hingepitch.control.storage import Storage, bootstrap_folder
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.model import codec
from hingepitch.model.command import Envelope, PutPool, Role
from hingepitch.model.state import State

SECONDS = 10

#: Pause between two ticks, in seconds; a tick also waits for busy replicas.
TICK_SECONDS = 0.002

#: Ticks between two leadership transfers; an election takes fewer.
TRANSFER_TICKS = 20

#: Ticks in which a replica that can lead is elected: some election timeouts.
MANY_TICKS = 60
NAMES = ("a", "b", "c")
MEMBERS = tuple(Member(name, name, f"127.0.0.1:{ord(name)}", "h") for name in NAMES)

#: Prefix of the names of pools whose commands only the later version knows.
LATER = "later"


class EarlierReplica(Replica):
    """Replica of an earlier version, which cannot read commands with `LATER`."""

    def apply_command(self, entry):
        if LATER.encode() in entry.payload:
            raise HingepitchError("bad_request", "not a command")
        return super().apply_command(entry)


class Node:
    """One replica with its greenlets."""

    def __init__(self, group, name, kind):
        self.group = group
        self.name = name
        links = SimpleNamespace(send=group.send)
        self.replica = kind(
            Storage(group.folder / name, name),
            AuditTrail(group.folder / name),
            links,
            SimpleNamespace(take_over=lambda now: None),
            lambda identity: identity,
            "1",
        )
        self.replica.open()
        self.greenlets = [
            gevent.spawn(self.replica.run),
            gevent.spawn(self.replica.write_in_background),
        ]

    @property
    def is_running(self):
        return not any(greenlet.ready() for greenlet in self.greenlets)

    def stop(self):
        gevent.killall(self.greenlets)
        self.replica.close()


class Group:
    """Replicas that exchange messages in memory; `members` bootstrap the group."""

    def __init__(self, folder, kind_by_name, members):
        self.folder = folder
        self.ticks = 0
        self.next_transfer = 0
        self.node_by_name = {}
        for name, kind in kind_by_name.items():
            bootstrap_folder(folder / name, name, members)
            self.start(name, kind)

    def start(self, name, kind=Replica):
        self.node_by_name[name] = Node(self, name, kind)

    def stop(self, name):
        self.node_by_name.pop(name).stop()

    def close(self):
        for name in list(self.node_by_name):
            self.stop(name)

    def send(self, address, message):
        if address in self.node_by_name:
            self.node_by_name[address].replica.receive(message)

    def tick(self):
        """Give every replica a tick, unless one is still busy.

        Time stops meanwhile: under load, a sync took longer than an election
        timeout, and no leader stayed.
        """
        gevent.sleep(TICK_SECONDS)
        replicas = [node.replica for node in self.node_by_name.values()]
        if any(one.inbox or one.writer.is_behind for one in replicas):
            return
        for replica in replicas:
            replica.put(Tick())
        self.ticks += 1

    def leader(self):
        """Return the leader if it has committed its whole log, else None."""
        self.tick()
        for node in self.node_by_name.values():
            core = node.replica.core
            if node.replica.is_leader and core.commit_index == core.log.last_index:
                return node.replica
        return None

    def wait(self, condition):
        assert wait_until(lambda: self.tick() or condition(), SECONDS, 0)

    def lead(self, name):
        """Transfer the leadership to the replica `name` and return it."""
        replica = self.node_by_name[name].replica

        def leads():
            leader = self.leader()
            is_other = leader not in (None, replica)
            if is_other and self.ticks >= self.next_transfer:
                self.next_transfer = self.ticks + TRANSFER_TICKS
                term = leader.core.term
                sender = leader.core.identity
                replica.receive(Message(MessageKind.CAMPAIGN_NOW, sender, name, term))
            return leader is replica

        assert wait_until(leads, SECONDS, 0)
        return replica


def put(name):
    return Envelope(Role.OPERATOR, "journeys", "someone", PutPool(name), name)


def pools(replica):
    return set(replica.state.by_kind["pool"])


@pytest.fixture
def make_group(tmp_path):
    made = []

    def make(**kind_by_name):
        members = tuple(one for one in MEMBERS if one.name in kind_by_name)
        made.append(Group(tmp_path, kind_by_name, members))
        return made[-1]

    yield make
    for group in made:
        group.close()


def test_a_replica_that_cannot_read_an_entry_keeps_it_votes_and_does_not_lead(
    make_group,
):
    group = make_group(a=Replica, b=Replica, c=EarlierReplica)
    leader = group.lead("a")
    leader.propose(put("first"))
    leader.propose(put(f"{LATER}-1"))
    earlier = group.node_by_name["c"]
    group.wait(lambda: earlier.replica.read_fault)
    # From here on, a quorum needs the vote and the disk of c.
    group.stop("a")
    group.wait(lambda: group.leader() is group.node_by_name["b"].replica)
    group.node_by_name["b"].replica.propose(put("after"))
    assert earlier.is_running
    assert not earlier.replica.is_leader
    assert pools(earlier.replica) == {"first"}
    # With only a, which lacks entries, c never leads but passes its entries on.
    group.stop("b")
    group.start("a")
    for _ in range(MANY_TICKS):
        group.tick()
        assert not earlier.replica.is_leader
    group.wait(lambda: group.leader() is group.node_by_name["a"].replica)
    everything = {"first", f"{LATER}-1", "after"}
    assert pools(group.node_by_name["a"].replica) == everything
    assert not earlier.replica.is_leader
    # The later version reads what c has kept.
    group.stop("c")
    group.start("c")
    assert pools(group.lead("c")) == everything


def test_a_leader_that_cannot_read_a_committed_entry_hands_over(make_group):
    group = make_group(a=EarlierReplica, b=Replica, c=Replica)
    earlier = group.lead("a")
    with pytest.raises(HingepitchError) as caught:
        earlier.propose(put(f"{LATER}-1"))
    assert caught.value.code == "lost_leadership"
    group.wait(lambda: group.leader() not in (None, earlier))
    assert group.node_by_name["a"].is_running
    assert pools(group.leader()) == {f"{LATER}-1"}
    with pytest.raises(HingepitchError):
        earlier.confirm_leadership()


def test_a_replica_with_an_unread_entry_answers_no_reads(make_group):
    group = make_group(a=Replica, b=Replica, c=EarlierReplica)
    group.lead("a").propose(put(f"{LATER}-1"))
    earlier = group.node_by_name["c"].replica
    group.wait(lambda: earlier.read_fault)
    handler = ControlHandler(earlier, None, None)
    with pytest.raises(HingepitchError) as caught:
        handler.watch(0, 0)
    assert caught.value.code == "lost_leadership"
    with pytest.raises(HingepitchError):
        earlier.wait_applied(earlier.core.commit_index, SECONDS)


def test_an_undecodable_payload_ends_no_replica(make_group):
    group = make_group(a=Replica, b=Replica, c=Replica)
    leader = group.lead("a")
    for payload in (b"\xc1", b"\x78\x9c", b"\x91" * 100_000):
        leader.admission.put("lane", PendingCommand(payload, AsyncResult()))
    leader.wakeup.set()
    group.wait(
        lambda: all(node.replica.read_fault for node in group.node_by_name.values())
    )
    assert all(node.is_running for node in group.node_by_name.values())


def test_a_rule_that_raises_an_unexpected_error_ends_no_replica(
    make_group, monkeypatch
):
    def fail(*_):
        raise ZeroDivisionError

    group = make_group(a=Replica)
    leader = group.lead("a")
    monkeypatch.setattr("hingepitch.control.replica.apply", fail)
    with pytest.raises(HingepitchError):
        leader.propose(put("x"))
    assert group.node_by_name["a"].is_running
    assert "ZeroDivisionError" in leader.read_fault
    assert not leader.storage.snapshot.index


STATES = [
    b"\xc1",
    b"\x90",
    b"\x80",
    b"\x91" * 100_000,
    codec.ENCODER.encode({"records": {"a kind of later versions": {"x": {}}}}),
    codec.ENCODER.encode(
        {
            "records": {},
            "version": 1,
            "now_seconds": 1,
            "outcomes": {},
            "feeds": [1],
        }
    ),
]


@pytest.mark.parametrize("state", STATES)
def test_an_unreadable_snapshot_raises_a_coded_error(state):
    with pytest.raises(HingepitchError) as caught:
        State.from_snapshot(state)
    assert caught.value.code == "storage_unknown"


def test_a_replica_keeps_an_unreadable_snapshot_and_votes(make_group):
    group = make_group(a=Replica, b=Replica, c=Replica)
    leader = group.lead("a")
    leader.propose(put("first"))
    earlier = group.node_by_name["c"]
    index = leader.core.commit_index + 10
    whole = leader.make_snapshot()
    state = codec.ENCODER.encode({"records": {"a kind of later versions": {"x": {}}}})
    leader.state.to_snapshot = lambda: state
    leader.applied_index = index
    leader.send_snapshot(SimpleNamespace(receiver="c", term=leader.core.term))
    leader.applied_index = whole.index
    group.wait(lambda: earlier.replica.storage.snapshot.index == index)
    group.wait(lambda: earlier.replica.read_fault)
    assert earlier.is_running
    # The same holds after a restart.
    group.stop("c")
    group.start("c")
    earlier = group.node_by_name["c"]
    assert earlier.replica.storage.snapshot.state == state
    assert earlier.replica.read_fault
    for _ in range(MANY_TICKS):
        group.tick()
        assert not earlier.replica.is_leader
    assert earlier.is_running
