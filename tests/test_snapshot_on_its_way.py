"""A group that has just lost two replicas, while one of the rest is far behind.

Found by reading, while an outage was looked into in which nothing was served
for 15 s and more after all machines were back; no play showed it. How it may
come about: two of five disks are lost, so three replicas have to agree, and one
of them lacks entries that the leader's log no longer holds. Shown here: while the
whole state is on its way to a replica, the leader sends it nothing else, so
it hears no leader and asks for an election, and the leader hears nothing from
it and steps down; the next leader sends the whole state to everyone again.
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

#: How long a state of some megabytes may be on its way, in ticks.
TICKS_ON_ITS_WAY = 30

#: The round after the pause that follows a failure.
TICKS_UNTIL_SENT_AGAIN = 6

#: How long the call with the whole state lasts, and the longest wait for it.
STATE_SECONDS = 0.3
SECONDS = 8

MEMBERS = tuple(Member(name, name, name, "h") for name in ("n0", "n1", "n2"))


class Pair:
    """Two of three voters: n0 with a short log, n1 without its beginning."""

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
        """Take one event; messages arrive at once, the state not at all."""
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


def test_a_leader_leads_on_while_the_state_is_on_its_way(pair):
    term = pair.leader.term
    for _ in range(TICKS_ON_ITS_WAY):
        pair.tick()
        assert (pair.leader.role, pair.leader.term) == ("leader", term)
        assert pair.behind.leader == "n0"


def test_the_state_is_sent_once_while_it_is_on_its_way(pair):
    for _ in range(TICKS_ON_ITS_WAY):
        pair.tick()
    assert pair.snapshots == 1


def test_a_state_that_surely_did_not_arrive_is_sent_again_soon(pair):
    pair.step(pair.leader, SnapshotLost("n1", pair.leader.term))
    for _ in range(TICKS_UNTIL_SENT_AGAIN):
        pair.tick()
    assert pair.snapshots == 2


def test_a_state_that_an_earlier_leadership_lost_is_not_sent_again(pair):
    pair.step(pair.leader, SnapshotLost("n1", pair.leader.term - 1))
    for _ in range(TICKS_UNTIL_SENT_AGAIN):
        pair.tick()
    assert pair.snapshots == 1


def test_a_replica_that_waits_for_the_state_costs_no_more_messages(pair):
    sent = []
    deliver = pair.deliver
    pair.deliver = lambda message: (sent.append(message.kind), deliver(message))
    for _ in range(TICKS_ON_ITS_WAY):
        pair.tick()
    rounds = sent.count(MessageKind.APPEND)
    assert 0 < rounds <= TICKS_ON_ITS_WAY
    assert sent.count(MessageKind.APPEND_ANSWER) <= rounds


class DeadReplica:
    """A replica at which no call arrives."""

    address = "127.0.0.1:1"

    def call(self, method, *arguments):
        raise HingepitchError("peer_unreachable", "refused")


def test_a_link_tells_which_messages_surely_did_not_arrive():
    links = PeerLinks("n0", "key")
    lost = []
    links.on_lost = lost.append
    link = Link(DeadReplica())
    sent = [Message(MessageKind.SNAPSHOT, "n0", "n1", term) for term in (1, 2)]
    link.messages.append(sent[1])
    links.deliver(link, sent[:1])
    assert lost == sent


class WaitingReplica(DeadReplica):
    """A replica that waits for its data folder."""

    def __init__(self):
        self.taken = []
        replica = SimpleNamespace(
            is_open=False, unread="not open", receive=self.taken.append
        )
        self.handler = ControlHandler(replica, None, None)

    def call(self, method, *arguments):
        return getattr(self.handler, method)(*arguments)


# Guards against a state that is taken and dropped: it is not sent again for 5 s.
def test_a_replica_that_waits_for_its_folder_takes_no_state():
    links = PeerLinks("n0", "key")
    lost = []
    links.on_lost = lost.append
    waiting = WaitingReplica()
    sent = [Message(MessageKind.SNAPSHOT, "n0", "n1", 1)]
    links.deliver(Link(waiting), sent)
    assert lost == sent
    assert not waiting.taken


class SlowReplica(DeadReplica):
    """A replica to which the whole state takes long."""

    def __init__(self, arrived):
        self.arrived = arrived

    def call(self, method, messages):
        is_state = messages[0].kind == MessageKind.SNAPSHOT
        gevent.sleep(STATE_SECONDS if is_state else 0)
        self.arrived.append(MessageKind(messages[0].kind))


def test_rounds_do_not_wait_behind_the_whole_state(monkeypatch):
    arrived = []
    monkeypatch.setattr(peer, "ControlClient", lambda *_: SlowReplica(arrived))
    links = PeerLinks("n0", "key")
    links.send("address", Message(MessageKind.SNAPSHOT, "n0", "n1", 1))
    links.send("address", Message(MessageKind.APPEND, "n0", "n1", 1))
    assert wait_until(lambda: len(arrived) == 2, SECONDS)
    assert arrived == [MessageKind.APPEND, MessageKind.SNAPSHOT]


def test_a_state_is_not_sent_again_before_its_receiver_answers(pair):
    pair.deliver = lambda message: None
    for _ in range(3):
        pair.step(pair.leader, SnapshotLost("n1", pair.leader.term))
        pair.step(pair.leader, Tick())
    assert pair.snapshots == 1
