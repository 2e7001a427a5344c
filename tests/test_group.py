"""Calls to the control group: the leader is found, wherever it is."""

import pytest

from hingepitch.error import HingepitchError
from hingepitch.group import GroupClient

NAMED = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
LEADER = "10.0.0.9:1"

#: Calls within which the leader is to be found: three rounds of the named ones.
CALLS = 9


class Replica:
    """Answers as one replica does; `hint` is the leader that it knows."""

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
    """A group in memory, in which `emptied` do not know the leader."""

    def __init__(self, emptied=()):
        super().__init__(NAMED, "test", "key")
        self.emptied = emptied
        self.asked = []

    def client(self, address):
        self.asked.append(address)
        return Replica(address, "" if address in self.emptied else LEADER)

    def find(self):
        for _ in range(CALLS):
            try:
                return self.call_once("ask")
            except HingepitchError:
                continue
        return None


def test_a_leader_that_is_not_named_is_asked_after_the_named_ones():
    group = Group()
    assert group.find() == "answer"
    assert set(NAMED) <= set(group.asked)


@pytest.mark.parametrize("emptied", NAMED)
def test_a_replica_that_lost_its_disk_does_not_hide_the_leader(emptied):
    group = Group((emptied,))
    assert group.find() == "answer", group.asked


def test_a_hint_that_led_nowhere_is_not_followed_for_ever():
    group = Group()
    for _ in range(CALLS):
        group.prefer_next_replica(group.preferred, "10.0.0.8:1")
        if group.preferred == "10.0.0.8:1":
            break
    group.prefer_next_replica("10.0.0.8:1", "")
    after = []
    for _ in NAMED:
        after.append(group.preferred)
        group.prefer_next_replica(group.preferred, "")
    assert sorted(after) == sorted(NAMED)
