"""Answers of an entry to calls that the leader does not answer.

Guards against 502 and 504 for calls that certainly changed nothing: their callers must
then find out what became of the job. And against 503 for calls that may have.
"""

import socket
from types import SimpleNamespace

import gevent
import pytest
from thrift.transport.TSocket import TSocket

from adapter.front import retry_seconds
from hingepitch.clock import lease_seconds
from hingepitch.control.replica import Replica
from hingepitch.error import HingepitchError
from hingepitch.gen.control import Control
from hingepitch.gen.control.ttypes import Refused
from hingepitch.jobs.client import RETRY_TIMEOUT_SECONDS, JobClient
from hingepitch.jobs.command import OpenRounds
from hingepitch.jobs.question import AskCancel, AskJob, AskKeys, AskPending
from hingepitch.model.command import Envelope, Role
from hingepitch.rpc import ControlClient, LimitedTransport, make_protocol
from tests.single_replica import make_replica

READS = (AskJob("1", "h", "/"), AskPending("h", "/"), AskKeys(0))


def code_of(function, *arguments):
    with pytest.raises(HingepitchError) as caught:
        function(*arguments)
    return caught.value.code


@pytest.fixture
def connected():
    """A client on an open connection, and the server's end of it."""
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    inner = TSocket("127.0.0.1", 1)
    inner.setHandle(ours)
    inner.setTimeout(50)
    client = ControlClient("127.0.0.1:1", "entry", "key")
    client.transport = LimitedTransport(inner)
    client.stub = Control.Client(make_protocol(client.transport))
    client.connect = refuse_connection
    yield client, theirs
    theirs.close()


def refuse_connection():
    raise ConnectionRefusedError


# Guards against: 504 for every call on a kept connection to a leader that has ended.
def test_a_call_on_a_connection_that_the_server_closed_was_not_sent(connected):
    client, server = connected
    server.close()
    assert code_of(client.call, "ask", b"x") == "peer_unreachable"


# Guards against: 504 for a call that a suspended leader cannot have read completely.
def test_a_call_that_was_not_written_completely_was_not_sent(connected):
    client, server = connected
    assert code_of(client.call, "ask", bytes(1_000_000)) == "peer_unreachable"
    assert server.recv(10) and client.transport is None


# Guards against: 503 for a call that a suspended leader may still read.
def test_a_call_that_was_written_and_not_answered_may_have_run(connected):
    client, _ = connected
    assert code_of(client.call, "ask", b"x") == "peer_failed"


# Guards against: calls that wait for one time-out after another at a suspended leader.
def test_a_call_that_waited_for_a_failed_connection_is_not_sent():
    client = ControlClient("127.0.0.1:1", "entry", "key", 0.05)
    client.transport = SimpleNamespace(isOpen=lambda: True, close=lambda: None)
    sent = []
    client.stub = SimpleNamespace(
        send_ask=sent.append, recv_ask=lambda: gevent.sleep(60)
    )
    calls = [gevent.spawn(code_of, client.call, "ask", number) for number in range(3)]
    gevent.joinall(calls, timeout=5)
    codes = [call.value for call in calls]
    assert codes == ["peer_failed", "peer_unreachable", "peer_unreachable"]
    assert sent == [0]


# Guards against: a call that waits without limit for others on its connection, each of
# which is answered in time.
def test_a_call_waits_for_a_busy_connection_only_for_the_time_out():
    client = ControlClient("127.0.0.1:1", "entry", "key", 0.4)
    client.transport = SimpleNamespace(isOpen=lambda: True, close=lambda: None)
    sent = []
    client.stub = SimpleNamespace(
        send_ask=sent.append, recv_ask=lambda: gevent.sleep(0.1)
    )
    calls = [gevent.spawn(client.call, "ask", number) for number in range(30)]
    gevent.joinall(calls, timeout=1.5)
    assert all(call.ready() for call in calls)
    refused = [call.exception for call in calls if not call.successful()]
    assert len(sent) + len(refused) == len(calls) and 1 < len(sent) < 10
    assert all(error.code == "peer_unreachable" and error.is_busy for error in refused)
    assert not client.lock.locked() and client.transport is not None


class OneReplica:
    """Group client whose only replica answers each call with the next code."""

    def __init__(self, *codes, is_handshake=False):
        self.codes = list(codes)
        self.is_handshake = is_handshake

    def call_once(self, method, data):
        code = self.codes.pop(0) if len(self.codes) > 1 else self.codes[0]
        error = HingepitchError(code)
        error.is_handshake = self.is_handshake
        raise error

    def skip_replica(self):
        pass


# Guards against: 401 to a caller because a replica has another shared key.
def test_a_replica_that_refuses_the_entry_does_not_refuse_its_caller(monkeypatch):
    client = ControlClient("127.0.0.1:1", "entry", "key")

    def fail():
        raise Refused("unauthenticated", "wrong key")

    monkeypatch.setattr(client, "connect", fail)
    with pytest.raises(HingepitchError) as caught:
        client.call("ask", b"x")
    assert (caught.value.code, caught.value.is_handshake) == ("unauthenticated", True)
    for is_handshake, code in ((True, "no_leader"), (False, "unauthenticated")):
        group = OneReplica("unauthenticated", is_handshake=is_handshake)
        assert code_of(JobClient(group).ask, None, 0.1, 0.05) == code


# Guards against: 502 and 504 for reads, which change nothing wherever they arrive.
@pytest.mark.parametrize("code", ["peer_failed", "lost_leadership"])
@pytest.mark.parametrize("request_", [*READS, AskCancel("1", "h", "/")])
def test_a_read_without_an_answer_is_not_reported_as_unknown(request_, code):
    expected = "no_leader" if request_ in READS else "deadline_passed"
    assert code_of(JobClient(OneReplica(code)).ask, request_, 0.1, 0.05) == expected


def time_refusal(group, request_, seconds, leaderless_seconds):
    """Return how long `group` is asked until the request is refused, in seconds."""
    began = lease_seconds()
    code_of(JobClient(group).ask, request_, seconds, leaderless_seconds)
    return lease_seconds() - began


# Guards against: a read that is held as long as a call that may have been applied, and
# a command that is not.
@pytest.mark.parametrize("code", ["peer_failed", "lost_leadership"])
def test_a_read_without_an_answer_is_retried_like_a_call_that_was_not_sent(code):
    for read in READS:
        assert time_refusal(OneReplica(code, "no_leader"), read, 5, 0.1) < 1
        assert time_refusal(OneReplica(code), read, 5, 0.1) < 1
    cancel = AskCancel("1", "h", "/")
    assert time_refusal(OneReplica(code, "no_leader"), cancel, 0.3, 0.1) >= 0.3


# Guards against: 503 for a read because one replica answered too late, although
# another one leads.
def test_a_read_without_an_answer_is_asked_of_one_more_replica():
    group = OneReplica("peer_failed", "no_leader", "peer_failed", "no_leader")
    assert time_refusal(group, READS[0], 5, -1) < 1
    assert group.codes == ["peer_failed", "no_leader"]


# Guards against: 503 for a command that is in the log of a replica with a bad disk, and
# 504 for one that is not.
def test_only_commands_outside_the_log_are_refused_with_storage_failed(
    tmp_path, monkeypatch
):
    replica = make_replica(tmp_path)
    monkeypatch.setattr(Replica, "is_leader", True)
    envelope = Envelope(Role.PLANNER, "", "test", OpenRounds(1))
    queued = gevent.spawn(code_of, replica.propose, envelope)
    gevent.idle()
    [command] = replica.admission.take(1)
    replica.waiter_by_index[1] = (1, command.result)
    waiting = gevent.spawn(code_of, replica.propose, envelope)
    gevent.idle()
    replica.handle_storage_fault("the disk is full")
    gevent.joinall([queued, waiting], timeout=5)
    assert (queued.value, waiting.value) == ("lost_leadership", "storage_failed")
    assert code_of(replica.propose, envelope) == "storage_failed"
    assert not replica.admission.size


# Guards against: an answer that arrives after its caller has stopped waiting, and 504
# for a call whose caller would have waited for the next leader.
@pytest.mark.parametrize(
    "header, seconds",
    [
        (None, RETRY_TIMEOUT_SECONDS),
        ("3000", 2.3),
        ("6500", 5.8),
        ("100", 0.0),
        ("soon", RETRY_TIMEOUT_SECONDS),
        ("-5", RETRY_TIMEOUT_SECONDS),
        ("9" * 5000, RETRY_TIMEOUT_SECONDS),
    ],
)
def test_a_call_is_retried_while_its_caller_waits(header, seconds):
    req = SimpleNamespace(get_header=lambda name: header)
    assert retry_seconds(req) == pytest.approx(seconds)


# Guards against requests that all ask every 30 ms while there is no leader: they load
# the replicas that are electing one, and the leader that is elected.
def test_requests_ask_less_often_the_longer_there_is_no_leader():
    attempts = []

    def refuse(method, *arguments):
        attempts.append(lease_seconds())
        raise HingepitchError("not_leader")

    client = JobClient(SimpleNamespace(call_once=refuse))
    assert code_of(client.ask, AskJob("1", "h", "/"), 0.8, 0.8) == "no_leader"
    assert 3 <= len(attempts) <= 10
    pauses = [late - early for early, late in zip(attempts, attempts[1:], strict=False)]
    assert pauses[-1] >= 0.1
