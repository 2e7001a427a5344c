"""
hingepitch.control.healing
~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the group complete without an operator: newcomers become learners,
learners that have caught up replace the voters that are gone.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, replace

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.control.message import Member
from hingepitch.error import HingepitchError
from hingepitch.jobs.question import JoinGroup, MemberRow, encode
from hingepitch.log import log_event
from hingepitch.peerbook import decode_rows
from hingepitch.setting import check_address

__all__ = ["GroupKeeper", "GroupView", "next_members"]

#: A newcomer that was silent for so long does not wait any more, in seconds.
APPLICANT_SECONDS = 3.0

#: A voter that was silent for so long may be replaced, in seconds. Source:
#: longer than a restart (1 to 2 s) and than most cuts (5 s), so that the
#: group does not change while somebody is merely away.
SILENT_SECONDS = 8.0

#: Time between two steps of the keeper, and between two announcements.
STEP_SECONDS = 0.1
ANNOUNCE_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class GroupView:
    """What a change of the members is decided on.

    `members`
        The members in force.
    `leader`
        Identity of the leader.
    `applicants`
        Replicas that announced themselves lately, as learners.
    `caught_up`, `silent`
        Identities that have all committed entries; that have not answered
        for `SILENT_SECONDS`.
    `voters_wanted`
        How many voters the group should have.
    """

    members: tuple[Member, ...]
    leader: str
    applicants: tuple[Member, ...]
    caught_up: frozenset[str]
    silent: frozenset[str]
    voters_wanted: int


def next_members(view):
    """Return the members after the next single change, or None.

    At most one voter changes at a time. A member whose address announces
    another identity has lost its disk: it cannot vote again.
    """
    return (
        without_lost_disk(view)
        or with_newcomer(view)
        or with_promoted(view)
        or without_silent_voter(view)
    )


def without_lost_disk(view):
    """Return the members without one whose disk is gone, or None."""
    identity_by_address = {one.address: one.identity for one in view.applicants}
    for member in view.members:
        announced = identity_by_address.get(member.address, member.identity)
        if announced != member.identity and member.identity != view.leader:
            return without(view.members, member)
    return None


def with_newcomer(view):
    """Return the members with one more learner, or None."""
    known = {member.identity for member in view.members}
    for applicant in view.applicants:
        if applicant.identity not in known:
            return (*view.members, applicant)
    return None


def with_promoted(view):
    """Return the members with a learner made a voter, or None."""
    voters = [member for member in view.members if member.voter]
    if len(voters) >= view.voters_wanted:
        return None
    for member in ready_learners(view):
        promoted = replace(member, voter=True)
        return tuple(
            promoted if one.identity == member.identity else one for one in view.members
        )
    return None


def without_silent_voter(view):
    """Return the members without a silent voter that can be replaced, or None."""
    if not any(ready_learners(view)):
        return None
    for member in view.members:
        if member.voter and member.identity in view.silent:
            return without(view.members, member)
    return None


def ready_learners(view):
    """Yield the learners that could vote."""
    for member in view.members:
        usable = member.identity in view.caught_up
        if not member.voter and usable and member.identity not in view.silent:
            yield member


def without(members, gone):
    """Return `members` without one of them."""
    return tuple(one for one in members if one.identity != gone.identity)


class GroupKeeper:
    """Announces this replica, and as the leader completes the group.

    `replica`, `book`, `group`
        This replica; where the others are; calls to the leader.
    `me`
        This replica as a learner; its identity is read when it is open.
    `voters_wanted`
        0: members change only by an operator's hand.
    """

    def __init__(self, replica, book, group, me, voters_wanted):
        self.replica = replica
        self.book = book
        self.group = group
        self.me = me
        self.voters_wanted = voters_wanted
        self.applicant_by_identity = {}
        self.heard_by_identity = {}
        self.led_since = 0.0

    # On every replica.

    def announce(self):
        """Tell the leader of this replica until it is a voter."""
        while True:
            gevent.sleep(ANNOUNCE_SECONDS)
            core = self.replica.core
            is_settled = core.identity in core.voters and core.leader
            if self.voters_wanted and not is_settled:
                self.announce_once(core.identity)

    def announce_once(self, identity):
        """Announce this replica to the leader, if one answers."""
        me = self.me
        question = JoinGroup(identity, me.name, me.address, me.hall)
        try:
            self.book.learn(decode_rows(self.group.call_once("ask", encode(question))))
        except HingepitchError as error:
            log_event(
                "peer_unreachable", address=self.group.preferred, error=error.code
            )

    # On the leader.

    def welcome(self, question):
        """Note a newcomer; return the members.

        One that cannot be called must not get into the log: each replica would
        have to send to it.
        """
        core = self.replica.core
        if not self.replica.is_leader:
            raise HingepitchError("not_leader")
        try:
            check_address(question.address)
        except ValueError as error:
            raise HingepitchError("bad_request", f"a newcomer: {error}") from None
        applicant = Member(
            question.identity, question.name, question.address, question.hall, False
        )
        if question.identity not in self.applicant_by_identity:
            log_event("member_joined", identity=question.identity, term=core.term)
        self.applicant_by_identity[question.identity] = (applicant, lease_seconds())
        return self.rows()

    def run(self):
        """Complete the group whenever this replica leads."""
        while True:
            gevent.sleep(STEP_SECONDS)
            if not self.voters_wanted or not self.replica.is_leader:
                self.led_since = 0.0
                self.applicant_by_identity.clear()
                continue
            self.step(lease_seconds())

    def step(self, now):
        """Make one change, if one is due."""
        self.note_heard(now)
        members = next_members(self.view(now))
        if members is None:
            return
        try:
            self.replica.change_members(members)
        except HingepitchError as error:
            log_event("member_step", outcome=error.code)
            return
        voters = [member.identity for member in members if member.voter]
        log_event("member_step", outcome="done", members=len(members), voters=voters)

    def note_heard(self, now):
        """Note which members have answered lately."""
        if not self.led_since:
            self.led_since = now
            self.heard_by_identity = {}
        for identity, progress in self.replica.core.progress_by_identity.items():
            if progress.active:
                self.heard_by_identity[identity] = now

    def view(self, now):
        """Return what the next change is decided on."""
        core = self.replica.core
        fresh = {
            identity: entry
            for identity, entry in self.applicant_by_identity.items()
            if now - entry[1] < APPLICANT_SECONDS
        }
        self.applicant_by_identity = fresh
        others = [one.identity for one in core.members if one.identity != core.identity]
        return GroupView(
            members=core.members,
            leader=core.identity,
            applicants=tuple(applicant for applicant, _ in fresh.values()),
            caught_up=frozenset(one for one in others if core.has_caught_up(one)),
            silent=frozenset(
                one
                for one in others
                if now - self.heard_by_identity.get(one, self.led_since)
                > SILENT_SECONDS
            ),
            voters_wanted=self.voters_wanted,
        )

    def rows(self):
        """Return the members for those who ask."""
        core = self.replica.core
        return [
            MemberRow(member.identity, member.address, member.identity == core.leader)
            for member in core.members
        ]
