"""A committed entry, or a state, that this version cannot read.

It comes with an upgrade of one program after the other: a later version leads
and puts a command into the log that the others do not know. Each of them failed
at it, eight times within 30 s, and ended; so did each start after that. With the
entry in all logs that is every program of the earlier version. A state that a
later leader sends did the same, and could not even be read at the start.

An entry of which nobody can tell what it changes must not be passed over. The
replica keeps what it stores and goes on voting, for the others need its vote; it
neither leads nor answers from a state that lacks an entry, and says so. Proof:
each of these tests failed with the loop of the replica ended.
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

#: Between two ticks, in seconds; a tick waits for replicas that are at work.
TICK_SECONDS = 0.002

#: Ticks between two handovers; an election takes fewer.
TRANSFER_TICKS = 20

#: Ticks in which a replica that could lead would: some election time-outs.
MANY_TICKS = 60
NAMES = ("a", "b", "c")
MEMBERS = tuple(Member(name, name, f"127.0.0.1:{ord(name)}", "h") for name in NAMES)

#: Begins the names of pools that only the later version knows.
LATER = "later"


class EarlierReplica(Replica):
    """A replica of a version that does not know every command."""

    def apply_command(self, entry):
        if LATER.encode() in entry.payload:
            raise HingepitchError("bad_request", "not a command")
        return super().apply_command(entry)


class Node:
    """One replica with its loops."""

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
    """Replicas that reach each other without a network; `members` found it."""

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
        """Give every replica a tick, unless one is still at work.

        Time stands still meanwhile: beside load, a sync took longer than an
        election time-out, and no leader lasted.
        """
        gevent.sleep(TICK_SECONDS)
        replicas = [node.replica for node in self.node_by_name.values()]
        if any(one.inbox or one.writer.is_behind for one in replicas):
            return
        for replica in replicas:
            replica.put(Tick())
        self.ticks += 1

    def leader(self):
        """Return the replica that leads and has committed all, or None."""
        self.tick()
        for node in self.node_by_name.values():
            core = node.replica.core
            if node.replica.is_leader and core.commit_index == core.log.last_index:
                return node.replica
        return None

    def wait(self, condition):
        assert wait_until(lambda: self.tick() or condition(), SECONDS, 0)

    def lead(self, name):
        """Have the replica `name` lead."""
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
    group.wait(lambda: earlier.replica.unread)
    # Its vote and its disk are needed from here on.
    group.stop("a")
    group.wait(lambda: group.leader() is group.node_by_name["b"].replica)
    group.node_by_name["b"].replica.propose(put("after"))
    assert earlier.is_running
    assert not earlier.replica.is_leader
    assert pools(earlier.replica) == {"first"}
    # Alone with one that is behind it, it never serves, and hands on what it has.
    group.stop("b")
    group.start("a")
    for _ in range(MANY_TICKS):
        group.tick()
        assert not earlier.replica.is_leader
    group.wait(lambda: group.leader() is group.node_by_name["a"].replica)
    everything = {"first", f"{LATER}-1", "after"}
    assert pools(group.node_by_name["a"].replica) == everything
    assert not earlier.replica.is_leader
    # What it kept is read by the later version.
    group.stop("c")
    group.start("c")
    assert pools(group.lead("c")) == everything


def test_a_leader_that_cannot_read_what_it_committed_hands_over(make_group):
    group = make_group(a=EarlierReplica, b=Replica, c=Replica)
    earlier = group.lead("a")
    with pytest.raises(HingepitchError) as caught:
        earlier.propose(put(f"{LATER}-1"))
    assert caught.value.code == "lost_leadership"
    group.wait(lambda: group.leader() not in (None, earlier))
    assert group.node_by_name["a"].is_running
    assert pools(group.leader()) == {f"{LATER}-1"}
    with pytest.raises(HingepitchError):
        earlier.confirm()


def test_a_replica_with_an_unread_entry_answers_nobody_who_follows_it(make_group):
    group = make_group(a=Replica, b=Replica, c=EarlierReplica)
    group.lead("a").propose(put(f"{LATER}-1"))
    earlier = group.node_by_name["c"].replica
    group.wait(lambda: earlier.unread)
    handler = ControlHandler(earlier, None, None)
    with pytest.raises(HingepitchError) as caught:
        handler.watch(0, 0)
    assert caught.value.code == "lost_leadership"
    with pytest.raises(HingepitchError):
        earlier.wait_applied(earlier.core.commit_index, SECONDS)


def test_a_payload_that_is_no_command_ends_no_replica(make_group):
    group = make_group(a=Replica, b=Replica, c=Replica)
    leader = group.lead("a")
    for payload in (b"\xc1", b"\x78\x9c", b"\x91" * 100_000):
        leader.admission.put("lane", PendingCommand(payload, AsyncResult()))
    leader.arrived.set()
    group.wait(lambda: all(node.replica.unread for node in group.node_by_name.values()))
    assert all(node.is_running for node in group.node_by_name.values())


def test_a_rule_that_fails_ends_no_replica(make_group, monkeypatch):
    def fail(*_):
        raise ZeroDivisionError

    group = make_group(a=Replica)
    leader = group.lead("a")
    monkeypatch.setattr("hingepitch.control.replica.apply", fail)
    with pytest.raises(HingepitchError):
        leader.propose(put("x"))
    assert group.node_by_name["a"].is_running
    assert "ZeroDivisionError" in leader.unread
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
def test_a_state_that_cannot_be_read_is_a_coded_error(state):
    with pytest.raises(HingepitchError) as caught:
        State.from_snapshot(state)
    assert caught.value.code == "storage_unknown"


def test_a_replica_keeps_a_state_that_it_cannot_read_and_votes(make_group):
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
    group.wait(lambda: earlier.replica.unread)
    assert earlier.is_running
    # So it does after a start.
    group.stop("c")
    group.start("c")
    earlier = group.node_by_name["c"]
    assert earlier.replica.storage.snapshot.state == state
    assert earlier.replica.unread
    for _ in range(MANY_TICKS):
        group.tick()
        assert not earlier.replica.is_leader
    assert earlier.is_running
