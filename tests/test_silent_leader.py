"""An entry whose leader is suspended, and one in calm times.

Guards against calls that wait for one time-out after another at the suspended leader,
because until the election the other replicas still name it, and against more calls
than the callers make while all replicas answer.
"""

from collections import Counter
from types import SimpleNamespace

import gevent
import pytest

from hingepitch.error import HingepitchError
from hingepitch.group import GroupClient
from hingepitch.jobs.client import JobClient

REPLICAS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
CALLERS = 20
SECONDS = 10
TIMEOUT_SECONDS = 0.05


class Group(GroupClient):
    """Client of three replicas; the first leads until it is suspended.

    The others elect the second once `elected_after` calls have timed out.
    """

    def __init__(self, is_suspended, elected_after=0):
        super().__init__(REPLICAS, "entry", "key")
        self.is_suspended = is_suspended
        self.elected_after = elected_after
        self.timed_out = 0
        self.asked = Counter()

    @property
    def leader(self):
        return REPLICAS[self.is_suspended and self.timed_out >= self.elected_after]

    def client(self, address):
        return SimpleNamespace(call=lambda *_: self.answer(address))

    def answer(self, address):
        self.asked[address] += 1
        gevent.sleep(0)
        if self.is_suspended and address == REPLICAS[0]:
            self.time_out()
        if address != self.leader:
            error = HingepitchError("not_leader")
            error.leader = self.leader
            raise error
        return b"\xc0"

    def time_out(self):
        gevent.sleep(TIMEOUT_SECONDS)
        self.timed_out += 1
        raise HingepitchError("peer_failed")


def ask_at_once(group, times=1):
    def ask():
        for _ in range(times):
            JobClient(group).ask(None, SECONDS, SECONDS)

    callers = [gevent.spawn(ask) for _ in range(CALLERS)]
    gevent.joinall(callers, timeout=SECONDS, raise_error=True)
    assert all(caller.successful() for caller in callers)


# Guards against: a doubled load of the replicas in calm times.
def test_in_calm_times_each_call_asks_the_leader_once():
    group = Group(is_suspended=False)
    ask_at_once(group, times=10)
    assert group.asked == {REPLICAS[0]: CALLERS * 10}


# Guards against: every call at the suspended leader again, time-out after time-out.
@pytest.mark.parametrize("more_time_outs", [1, 4])
def test_only_one_call_at_a_time_waits_for_a_silent_leader(more_time_outs):
    group = Group(is_suspended=True, elected_after=CALLERS + more_time_outs)
    ask_at_once(group)
    assert group.asked[REPLICAS[0]] <= CALLERS + more_time_outs + 1
    assert group.preferred == REPLICAS[1]


# Guards against: a replica that is avoided for good after one lost answer.
def test_a_leader_that_answers_again_is_used_again():
    group = Group(is_suspended=True, elected_after=10**6)
    callers = gevent.spawn(ask_at_once, group)
    gevent.sleep(TIMEOUT_SECONDS * 3)
    assert group.silent == {REPLICAS[0]}
    group.is_suspended = False
    callers.get(timeout=SECONDS)
    assert (group.preferred, group.silent) == (REPLICAS[0], set())


# Guards against: calls on kept connections to a silent replica, whose outcome would be
# unknown although the network to it is cut.
def test_idle_connections_to_a_silent_replica_are_closed():
    group = GroupClient(REPLICAS, "entry", "key", connections=3)
    closed = []
    group.clients_by_address[REPLICAS[0]] = [
        SimpleNamespace(
            lock=SimpleNamespace(locked=lambda at=at: at == 1),
            close=lambda at=at: closed.append(at),
        )
        for at in range(3)
    ]
    group.record_error(REPLICAS[0], HingepitchError("peer_failed"))
    assert closed == [0, 2]


# Guards against: a search for another leader, and closed connections, while the leader
# answers slowly.
def test_a_replica_with_busy_connections_does_not_count_as_silent():
    group = GroupClient(REPLICAS, "entry", "key")
    error = HingepitchError("peer_unreachable")
    error.is_busy = True
    group.record_error(REPLICAS[0], error)
    assert (group.preferred, group.silent) == (REPLICAS[0], set())
    assert group.leader_lost_at is None
