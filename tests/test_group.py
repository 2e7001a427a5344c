"""`GroupClient` finds the leader of the control group at any address."""

import pytest

from hingepitch.error import HingepitchError
from hingepitch.group import GroupClient

CONFIGURED = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
LEADER = "10.0.0.9:1"

#: Calls within which the leader must be found: three rounds of `CONFIGURED`.
CALLS = 9


class Replica:
    """Stub of one replica; `hint` is the address of the leader it knows."""

    def __init__(self, address, hint):
        self.address = address
        self.hint = hint

    def call(self, method, *arguments):
        if self.address == LEADER:
            return "answer"
        error = HingepitchError("not_leader")
        error.leader = self.hint
        raise error


class Group(GroupClient):
    """Client of stub replicas; those in `wiped` do not know the leader."""

    def __init__(self, wiped=()):
        super().__init__(CONFIGURED, "test", "key")
        self.wiped = wiped
        self.asked = []

    def client(self, address):
        self.asked.append(address)
        return Replica(address, "" if address in self.wiped else LEADER)

    def find(self):
        for _ in range(CALLS):
            try:
                return self.call_once("ask")
            except HingepitchError:
                continue
        return None


def test_an_unconfigured_leader_is_asked_after_the_configured_replicas():
    group = Group()
    assert group.find() == "answer"
    assert set(CONFIGURED) <= set(group.asked)


@pytest.mark.parametrize("wiped", CONFIGURED)
def test_a_replica_that_lost_its_disk_does_not_hide_the_leader(wiped):
    group = Group((wiped,))
    assert group.find() == "answer", group.asked


def test_a_wrong_hint_is_not_followed_forever():
    group = Group()
    for _ in range(CALLS):
        group.prefer_next_replica(group.preferred, "10.0.0.8:1")
        if group.preferred == "10.0.0.8:1":
            break
    group.prefer_next_replica("10.0.0.8:1", "")
    after = []
    for _ in CONFIGURED:
        after.append(group.preferred)
        group.prefer_next_replica(group.preferred, "")
    assert sorted(after) == sorted(CONFIGURED)
