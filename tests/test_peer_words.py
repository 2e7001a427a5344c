"""Words of other processes that cannot be read: answers, addresses, messages.

Looked for after control programs had ended at words that nothing expected to be
unreadable. An address that was learnt from another process and is none raised
ValueError in the client: it ended the greenlet that sends to that replica, which
nothing starts again, and eight times the child that asks for the members. So did
an answer of another version (a record of a kind that is not known here) in the
entries and planners, and a message without its term in the replica itself.
Proof: each of these tests, on the code as it was.
"""

import random
import socketserver
import threading
from types import SimpleNamespace

import gevent
import msgspec
import pytest

from hingepitch.control import peer
from hingepitch.control.healing import GroupReconciler
from hingepitch.control.message import Member, Message, MessageKind
from hingepitch.control.peer import PeerLinks, from_wire, to_wire
from hingepitch.entry.follower import Follower
from hingepitch.error import HingepitchError
from hingepitch.gen.control.ttypes import Changes, LogEntry, PeerMessage
from hingepitch.group import GroupClient
from hingepitch.httpd import wait_until
from hingepitch.jobs.question import JoinGroup, MemberRow, encode
from hingepitch.model.codec import decode_changes, decode_outcome
from hingepitch.peerregistry import PeerRegistry, decode_members
from hingepitch.rpc import ControlClient

SECONDS = 5
KEY = "a key that is long enough"

#: Not an address, as another writer may have put it.
NO_ADDRESS = "node-a"

#: More arrays in each other than a decoder goes through.
DEEP = b"\x91" * 100_000


def assert_refused(code, function, *arguments):
    with pytest.raises(HingepitchError) as caught:
        function(*arguments)
    assert caught.value.code == code


# Addresses.


def test_a_call_to_what_is_no_address_is_a_call_that_did_not_arrive():
    assert_refused(
        "peer_unreachable", ControlClient(NO_ADDRESS, "a", KEY).call, "challenge"
    )


def test_a_link_goes_on_after_a_failure_that_nothing_expected(monkeypatch):
    monkeypatch.setattr(peer, "PAUSE_AFTER_FAILURE_SECONDS", 0.01)
    delivered = []

    class Client:
        address = NO_ADDRESS
        fails = True

        def __init__(self, *_):
            pass

        def call(self, method, messages):
            if Client.fails:
                Client.fails = False
                raise RuntimeError("nobody expected this")
            delivered.extend(messages)

    monkeypatch.setattr(peer, "ControlClient", Client)
    links = PeerLinks("a", KEY)
    message = Message(MessageKind.VOTE, "a", "b", 1)
    links.send(NO_ADDRESS, message)
    assert wait_until(lambda: not Client.fails, SECONDS)
    gevent.sleep(0)
    links.send(NO_ADDRESS, message)
    assert wait_until(lambda: delivered, SECONDS)


def test_members_at_what_is_no_address_are_not_called():
    rows = [MemberRow("a", NO_ADDRESS, True), MemberRow("b", "10.0.0.2:1", False)]
    assert decode_members(encode(rows)) == rows[1:]


def test_a_book_whose_rows_cannot_be_called_leaves_the_settings(tmp_path):
    (tmp_path / "peers").write_bytes(encode([MemberRow("a", NO_ADDRESS, True)]))
    book = PeerRegistry(["10.0.0.1:7060"], tmp_path)
    book.load()
    assert book.addresses() == ["10.0.0.1:7060"]


def test_a_book_that_is_nested_without_end_leaves_the_settings(tmp_path):
    row = b"\x91\x84\xa1x" + DEEP
    (tmp_path / "peers").write_bytes(row)
    book = PeerRegistry(["10.0.0.1:7060"], tmp_path)
    book.load()
    assert book.addresses() == ["10.0.0.1:7060"]
    assert_refused("bad_request", decode_members, row)


def test_a_newcomer_that_cannot_be_called_does_not_join():
    replica = SimpleNamespace(
        is_leader=True,
        core=SimpleNamespace(term=1, members=(), leader="a"),
    )
    reconciler = GroupReconciler(replica, None, None, None, 3)
    question = JoinGroup("b~1", "b", NO_ADDRESS, "h")
    assert_refused("bad_request", reconciler.register_applicant, question)
    assert reconciler.applicant_by_identity == {}


# Answers.


#: Heads of an answer to the first call, and of an exception instead of it.
REPLY = b"\x80\x01\x00\x02\x00\x00\x00\x09challenge\x00\x00\x00\x00"
EXCEPTION = b"\x80\x01\x00\x03\x00\x00\x00\x09challenge\x00\x00\x00\x00"

#: Beginnings of its fields: none, bytes, a text that is none, a structure.
FIELDS = (
    b"",
    b"\x0b\x00\x00",
    b"\x0b\x00\x01\x00\x00\x00\x02\xff\xfe\x00",
    b"\x0c\x00\x00",
    b"\x0b\x00\x00\x00\x00\x00\x01x\x00",
)


class Babbler(socketserver.BaseRequestHandler):
    """Answers every call with a beginning of an answer and random bytes."""

    rng = None

    def handle(self):
        while self.request.recv(65_536):
            body = self.rng.choice((REPLY, EXCEPTION)) + self.rng.choice(FIELDS)
            body += self.rng.randbytes(self.rng.randrange(60))
            self.request.sendall(len(body).to_bytes(4, "big") + body)


@pytest.fixture
def babbler(request, monkeypatch):
    monkeypatch.setattr(Babbler, "rng", random.Random(request.param))
    server = socketserver.TCPServer(("127.0.0.1", 0), Babbler)
    # A thread: the client waits for its answers without letting greenlets run.
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield f"127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize("babbler", range(3), indirect=True)
def test_any_answer_leads_to_a_coded_error(babbler):
    for _ in range(100):
        client = ControlClient(babbler, "a", KEY, 0.2)
        with pytest.raises(HingepitchError):
            client.call("read_index")


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x91\xa1x", DEEP, None])
def test_an_outcome_that_cannot_be_read_is_a_call_that_failed(data, monkeypatch):
    assert_refused("peer_failed", decode_outcome, data)


CHANGES = [
    None,
    b"\xc1",
    DEEP,
    msgspec.msgpack.encode([("a kind of later versions", "x", {"name": "x"})]),
    msgspec.msgpack.encode([("vm", "x", {"name": 5})]),
]


@pytest.mark.parametrize("objects", CHANGES)
def test_changes_that_cannot_be_read_are_a_call_that_failed(objects):
    assert_refused("peer_failed", lambda: list(decode_changes(objects)))


class Group(GroupClient):
    """A control group of a later version."""

    def __init__(self):
        self.calls = 0

    def call_once(self, method, *arguments):
        self.calls += 1
        return Changes(7, True, CHANGES[3], 3000)


def test_an_entry_that_cannot_read_its_changes_has_no_lease_and_asks_again():
    group = Group()
    follower = Follower(group, "e", "h", dict)
    running = gevent.spawn(follower.run)
    wait_until(lambda: group.calls > 1 or running.ready(), SECONDS)
    assert not running.ready()
    running.kill()
    assert not follower.has_lease()
    assert follower.version == 0


# Messages between replicas.

MEMBERS_PAYLOAD = msgspec.msgpack.encode((Member("a", "a", "10.0.0.1:1", "h"),))


def wire(**fields):
    whole = {"kind": 5, "sender": "a", "receiver": "b", "term": 1, "index": 4}
    return PeerMessage(**{**whole, **fields})


@pytest.mark.parametrize(
    "fields",
    [
        {"kind": 99},
        {"kind": None},
        {"term": None},
        {"term": -1},
        {"sender": None},
        {"receiver": None},
        {"index": "4"},
        {"entries": [LogEntry(6, 1, 0, b"x")]},
        {"entries": [LogEntry(None, 1, 0, b"x")]},
        {"entries": [LogEntry(5, None, 0, b"x")]},
        {"entries": [LogEntry(5, 1, 9, b"x")]},
        {"entries": [LogEntry(5, 1, 0, None)]},
        {"entries": [LogEntry(5, 1, 1, b"\xc1")]},
        {"entries": [LogEntry(5, 1, 1, DEEP)]},
        {"kind": 7},
        {"kind": 7, "entries": [LogEntry(4, 1, 0, b"x")]},
        {"kind": 7, "entries": [LogEntry(4, 1, 1, b"\xc1")]},
    ],
)
def test_a_message_that_the_core_cannot_take_is_refused(fields):
    assert_refused("bad_request", from_wire, wire(**fields))


def test_messages_of_every_kind_are_taken():
    entries = [LogEntry(5, 1, 0, b"x"), LogEntry(6, 1, 1, MEMBERS_PAYLOAD)]
    whole = [wire(kind=int(kind)) for kind in MessageKind if kind != 7]
    whole.append(wire(entries=entries))
    whole.append(wire(kind=7, entries=[LogEntry(4, 1, 1, MEMBERS_PAYLOAD)]))
    for message in whole:
        taken = from_wire(message)
        assert from_wire(to_wire(taken)) == taken
