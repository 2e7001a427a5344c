"""
hingepitch.control.healing
~~~~~~~~~~~~~~~~~~~~~~~~~~

Decisions on automatic membership changes: new replicas become learners, and learners
that have caught up replace voters that are lost.

A replacement has a deadline. Once the successor of a lost replica has run for
`replacement_seconds`, the loss no longer counts against the losses that the group
has to tolerate, and the next ones may follow. By then the successor has to vote in
place of the lost replica, also if the leader is lost meanwhile and the next one
first has to find out who responds. `silence_limit_seconds` derives from this how
long a voter may be silent.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, replace

from hingepitch.control.message import Member
from hingepitch.control.voterspread import (
    UNKNOWN_HALL,
    choose_learner,
    count_voters_by_hall,
    find_crowded_voter,
    has_room_elsewhere,
    survives_losses,
)

__all__ = ["GroupView", "next_members", "silence_limit_seconds"]

#: Longest time of an election, and of the two changes of the voters, in seconds.
ELECTION_SECONDS = 1.2
SWAP_SECONDS = 0.2

#: Shortest time after which a silent voter may be replaced, in seconds: three
#: heartbeats without an answer.
MIN_SILENCE_SECONDS = 0.6


@dataclass(frozen=True, slots=True)
class GroupView:
    """The input of a membership decision.

    `members`
        The current members.
    `leader`
        Identity of the leader.
    `applicants`
        Replicas that announced themselves recently, as learners.
    `caught_up`
        Identities that have caught up with the leader.
    `not_responding`
        Identities that have been silent for longer than a voter may be, the longest
        silent first.
    `voters_wanted`
        How many voters the group should have.
    `halls_tolerated`
        1 or more: the loss of any one hall should leave a quorum. 0: halls do
        not matter.
    """

    members: tuple[Member, ...]
    leader: str
    applicants: tuple[Member, ...]
    caught_up: frozenset[str]
    not_responding: tuple[str, ...]
    voters_wanted: int
    halls_tolerated: int = 0


def silence_limit_seconds(replacement_seconds):
    """Return how long a voter may be silent before a learner may replace it.

    Two leaders may be lost in turn before a replacement is over: the lost voter itself
    and the leader after it. Each time another one is elected, finds out who is silent,
    and changes the voters. The successor starts and catches up meanwhile.

    `replacement_seconds`
        Time from the start of the successor by which it has to vote in place of the
        lost voter.
    """
    seconds_by_leader = replacement_seconds / 2
    left = seconds_by_leader - ELECTION_SECONDS - SWAP_SECONDS
    return max(left, MIN_SILENCE_SECONDS)


def next_members(view):
    """Return the members after the next single change, or None if none is due.

    At most one voter changes at a time. A member whose address announces a new
    identity has lost its disk and cannot vote again under the old one.
    """
    return (
        without_lost_disk(view)
        or with_new_learner(view)
        or with_known_hall(view)
        or with_promoted_learner(view)
        or with_replaced_voter(view)
        or with_relieved_hall(view)
        or without_surplus_voter(view)
    )


def without_lost_disk(view):
    """Return the members without one that has lost its disk, or None."""
    identity_by_address = {
        applicant.address: applicant.identity for applicant in view.applicants
    }
    for member in view.members:
        announced = identity_by_address.get(member.address, member.identity)
        if announced != member.identity and member.identity != view.leader:
            return without_member(view.members, member)
    return None


def with_new_learner(view):
    """Return the members with a new replica added as a learner, or None."""
    known = {member.identity for member in view.members}
    for applicant in view.applicants:
        if applicant.identity not in known:
            return (*view.members, applicant)
    return None


def with_known_hall(view):
    """Return the members with the announced hall of one member, or None."""
    if not view.halls_tolerated:
        return None
    hall_by_identity = {one.identity: one.hall for one in view.applicants}
    for member in view.members:
        hall = hall_by_identity.get(member.identity, UNKNOWN_HALL)
        if hall not in (UNKNOWN_HALL, member.hall):
            return with_member(view.members, replace(member, hall=hall))
    return None


def with_promoted_learner(view):
    """Return the members with one learner promoted to a voter, or None."""
    voters = [member for member in view.members if member.voter]
    if len(voters) >= view.voters_wanted:
        return None
    learner = next_learner(view, view.members)
    if learner is None:
        return None
    return with_member(view.members, replace(learner, voter=True))


def with_replaced_voter(view):
    """Return the members one change nearer to one unresponsive voter less, or None.

    A voter is only removed if a learner takes its place. A replaced voter that returns
    joins again as a learner.
    """
    voter_by_identity = {one.identity: one for one in view.members if one.voter}
    silent = [
        voter_by_identity[identity]
        for identity in view.not_responding
        if identity in voter_by_identity
    ]
    if silent and len(voter_by_identity) > view.voters_wanted:
        return without_member(view.members, silent[0])
    steps = (with_successor(view, voter) for voter in silent)
    return next(filter(None, steps), None)


def with_successor(view, voter):
    """Return the members after the first change that replaces `voter`, or None.

    A learner becomes a voter before `voter` is removed. If `voter` was only slow, the
    group thus tolerates as many losses between the two changes. Where the hall of the
    learner has no room for both, `voter` is removed first.
    """
    others = without_member(view.members, voter)
    learner = next_learner(view, others)
    if learner is None:
        return None
    if view.halls_tolerated and not has_room_elsewhere(
        view.members, [learner], view.voters_wanted
    ):
        return others
    return with_member(view.members, replace(learner, voter=True))


def with_relieved_hall(view):
    """Return the members with one voter less in a hall that is too full, or None.

    None if there is no such hall, if no learner in another hall can take its place, or
    if a voter does not respond. A group that could lose no voter with one less gets the
    learner as a further voter first, and loses the voter with the next change.
    """
    voters = [member for member in view.members if member.voter]
    if not view.halls_tolerated or len(voters) < view.voters_wanted:
        return None
    if any(voter.identity in view.not_responding for voter in voters):
        return None
    crowded = find_crowded_voter(view.members, view.voters_wanted, view.leader)
    if crowded is None:
        return None
    has_surplus = len(voters) > view.voters_wanted
    learners = list(ready_learners(view))
    if not has_surplus and not has_room_elsewhere(
        view.members, learners, view.voters_wanted
    ):
        return None
    members = with_member(view.members, replace(crowded, voter=False))
    if survives_losses(members, view.not_responding, 1):
        return members
    if has_surplus:
        return None
    learner = next_learner(view, view.members)
    return with_member(view.members, replace(learner, voter=True))


def without_surplus_voter(view):
    """Return the members with one voter as a learner, if there are too many, or None.

    A group has one voter too many if a voter responds again while a learner takes its
    place. Another voter then becomes a learner: with an even number of voters, a
    network partition into halves leaves no quorum. None until all voters have answered
    this leader, as a lost one should be removed instead.
    """
    voters = [member for member in view.members if member.voter]
    others = [member for member in voters if member.identity != view.leader]
    is_complete = all(
        one.identity in view.caught_up and one.identity not in view.not_responding
        for one in others
    )
    if len(voters) <= view.voters_wanted or not is_complete:
        return None
    count_by_hall = count_voters_by_hall(view.members)
    surplus = max(others, key=lambda one: count_by_hall[one.hall])
    return with_member(view.members, replace(surplus, voter=False))


def next_learner(view, members):
    """Return the ready learner to promote next among `members`, or None."""
    learners = list(ready_learners(view))
    if not view.halls_tolerated:
        return learners[0] if learners else None
    return choose_learner(members, learners, view.voters_wanted, view.not_responding)


def ready_learners(view):
    """Yield the learners that have caught up and respond."""
    for member in view.members:
        usable = member.identity in view.caught_up
        if not member.voter and usable and member.identity not in view.not_responding:
            yield member


def with_member(members, changed):
    """Return `members` with `changed` in place of the member of its identity."""
    return tuple(
        changed if member.identity == changed.identity else member for member in members
    )


def without_member(members, removed):
    """Return `members` without the member `removed`."""
    return tuple(member for member in members if member.identity != removed.identity)
