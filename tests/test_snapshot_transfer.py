"""Consensus while a snapshot is in transit to a replica that is far behind.

Guards against repeated elections after the loss of two of five disks: three replicas
have to agree, and one of them lacks entries that the leader's log no longer holds. If
the leader sends it nothing else during the transfer, the replica receives no heartbeat
and campaigns, and the leader receives no answer and steps down. The next leader then
sends the snapshot to everyone again.
"""

from types import SimpleNamespace

import gevent
import pytest

from hingepitch.control import peer
from hingepitch.control.consensus import Consensus
from hingepitch.control.handler import ControlHandler
from hingepitch.control.message import (
    Entry,
    EntryKind,
    Member,
    Message,
    MessageKind,
    Receive,
    Recovered,
    Send,
    SendSnapshot,
    SnapshotLost,
    Tick,
)
from hingepitch.control.peer import Link, PeerLinks
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until

#: Ticks for which a snapshot of some megabytes may be in transit.
TRANSIT_TICKS = 30

#: Ticks until the round after the pause that follows a failure.
TICKS_UNTIL_RESENT = 6

#: Duration of the call with the snapshot, and the longest wait for it.
TRANSFER_SECONDS = 0.3
SECONDS = 8

MEMBERS = tuple(Member(name, name, name, "h") for name in ("n0", "n1", "n2"))


class Pair:
    """Two of three voters: the log of n0 starts after the last entry of n1."""

    def __init__(self):
        entries = [Entry(101, 1, EntryKind.COMMAND, b"x")]
        self.leader = Consensus(
            Recovered("n0", 1, "", 100, 1, MEMBERS, entries), seed=1
        )
        self.behind = Consensus(Recovered("n1", 1, "", 90, 1, MEMBERS, []), seed=1)
        self.roles = []
        self.snapshots = 0
        while self.leader.role != "leader":
            self.step(self.leader, Tick())

    def step(self, core, event):
        """Process one event; messages arrive at once, snapshots never arrive."""
        for action in core.step(event):
            if isinstance(action, SendSnapshot):
                self.snapshots += 1
            elif isinstance(action, Send):
                self.deliver(action.message)

    def deliver(self, message):
        for core in (self.leader, self.behind):
            if core.identity == message.receiver:
                self.step(core, Receive(message))

    def tick(self):
        self.step(self.leader, Tick())
        self.step(self.behind, Tick())


@pytest.fixture
def pair():
    return Pair()


def test_a_leader_stays_leader_while_the_state_is_on_its_way(pair):
    term = pair.leader.term
    for _ in range(TRANSIT_TICKS):
        pair.tick()
        assert (pair.leader.role, pair.leader.term) == ("leader", term)
        assert pair.behind.leader == "n0"


def test_the_snapshot_is_sent_once_while_it_is_in_transit(pair):
    for _ in range(TRANSIT_TICKS):
        pair.tick()
    assert pair.snapshots == 1


def test_a_snapshot_that_was_not_delivered_is_sent_again_soon(pair):
    pair.step(pair.leader, SnapshotLost("n1", pair.leader.term))
    for _ in range(TICKS_UNTIL_RESENT):
        pair.tick()
    assert pair.snapshots == 2


def test_a_snapshot_that_was_lost_in_an_earlier_term_is_not_sent_again(pair):
    pair.step(pair.leader, SnapshotLost("n1", pair.leader.term - 1))
    for _ in range(TICKS_UNTIL_RESENT):
        pair.tick()
    assert pair.snapshots == 1


def test_a_snapshot_in_transit_causes_at_most_one_append_round_per_tick(pair):
    sent = []
    deliver = pair.deliver
    pair.deliver = lambda message: (sent.append(message.kind), deliver(message))
    for _ in range(TRANSIT_TICKS):
        pair.tick()
    rounds = sent.count(MessageKind.APPEND)
    assert 0 < rounds <= TRANSIT_TICKS
    assert sent.count(MessageKind.APPEND_ANSWER) <= rounds


class UnreachableReplica:
    """Stub of a replica that no call reaches."""

    address = "127.0.0.1:1"

    def call(self, method, *arguments):
        raise HingepitchError("peer_unreachable", "refused")


def test_a_link_reports_the_messages_that_were_not_delivered():
    links = PeerLinks("n0", "key")
    lost = []
    links.on_lost = lost.append
    link = Link(UnreachableReplica())
    sent = [Message(MessageKind.SNAPSHOT, "n0", "n1", term) for term in (1, 2)]
    link.messages.append(sent[1])
    links.deliver(link, sent[:1])
    assert lost == sent


class WaitingReplica(UnreachableReplica):
    """Stub of a replica that waits for its data folder."""

    def __init__(self):
        self.received = []
        replica = SimpleNamespace(
            is_open=False, read_fault="not open", receive=self.received.append
        )
        self.handler = ControlHandler(replica, None, None)

    def call(self, method, *arguments):
        return getattr(self.handler, method)(*arguments)


# Guards against a snapshot that is accepted and dropped: the leader does not send it
# again for 5 s.
def test_a_replica_that_waits_for_its_folder_accepts_no_snapshot():
    links = PeerLinks("n0", "key")
    lost = []
    links.on_lost = lost.append
    waiting = WaitingReplica()
    sent = [Message(MessageKind.SNAPSHOT, "n0", "n1", 1)]
    links.deliver(Link(waiting), sent)
    assert lost == sent
    assert not waiting.received


class SlowReplica(UnreachableReplica):
    """Stub of a replica to which a snapshot takes `TRANSFER_SECONDS`."""

    def __init__(self, arrived):
        self.arrived = arrived

    def call(self, method, messages):
        is_snapshot = messages[0].kind == MessageKind.SNAPSHOT
        gevent.sleep(TRANSFER_SECONDS if is_snapshot else 0)
        self.arrived.append(MessageKind(messages[0].kind))


def test_append_rounds_do_not_wait_for_the_snapshot(monkeypatch):
    arrived = []
    monkeypatch.setattr(peer, "ControlClient", lambda *_: SlowReplica(arrived))
    links = PeerLinks("n0", "key")
    links.send("address", Message(MessageKind.SNAPSHOT, "n0", "n1", 1))
    links.send("address", Message(MessageKind.APPEND, "n0", "n1", 1))
    assert wait_until(lambda: len(arrived) == 2, SECONDS)
    assert arrived == [MessageKind.APPEND, MessageKind.SNAPSHOT]


def test_a_lost_snapshot_is_not_sent_again_before_its_receiver_answers(pair):
    pair.deliver = lambda message: None
    for _ in range(3):
        pair.step(pair.leader, SnapshotLost("n1", pair.leader.term))
        pair.step(pair.leader, Tick())
    assert pair.snapshots == 1
