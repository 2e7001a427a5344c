"""
hingepitch.control.reconciler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the group complete: announces this replica to the leader, and changes the members
while it leads.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.control.healing import GroupView, next_members, silence_limit_seconds
from hingepitch.control.message import Member
from hingepitch.control.replica import TICK_SECONDS
from hingepitch.control.settings import REPLACEMENT_SECONDS
from hingepitch.error import HingepitchError
from hingepitch.jobs.question import JoinGroup, MemberRow, encode
from hingepitch.log import log_event
from hingepitch.peerregistry import decode_members
from hingepitch.setting import check_address

__all__ = ["ANNOUNCE_SECONDS", "CHECK_SECONDS", "GroupReconciler"]

#: How long the announcement of a new replica is valid, in seconds.
ANNOUNCEMENT_VALID_SECONDS = 3.0

#: Seconds between two membership checks, and between two announcements.
CHECK_SECONDS = 0.1
ANNOUNCE_SECONDS = 0.4


class GroupReconciler:
    """Announces this replica to the leader; as the leader, changes the members.

    `replica`
        The replica of this process.
    `peer_registry`
        The registry of the replicas' addresses.
    `group`
        Client for calls to the leader.
    `self_member`
        This replica as a learner. Its identity is not used: `announce` reads it
        from the replica, which reads it when it opens its data folder.
    `voters_wanted`
        How many voters the group should have; 0 disables automatic changes.
    `halls_tolerated`
        1 or more: the voters are spread over halls. Default: 0.
    `replacement_seconds`
        Time from the start of a new replica by which it has to have replaced a lost
        voter. Default: 4.
    `clock`
        Function: the time in seconds. Default: `lease_seconds`.
    """

    def __init__(
        self,
        replica,
        peer_registry,
        group,
        self_member,
        voters_wanted,
        halls_tolerated=0,
        replacement_seconds=REPLACEMENT_SECONDS,
        clock=lease_seconds,
    ):
        self.replica = replica
        self.peer_registry = peer_registry
        self.group = group
        self.self_member = self_member
        self.voters_wanted = voters_wanted
        self.halls_tolerated = halls_tolerated
        limit = silence_limit_seconds(replacement_seconds)
        self.silence_limit_ticks = round(limit / TICK_SECONDS)
        self.clock = clock
        self.applicant_by_identity = {}

    def announce(self):
        """Announce this replica while it is not settled. Runs until killed.

        A restarted voter usually hears from the leader before its first announcement.
        """
        gevent.sleep(ANNOUNCE_SECONDS if self.is_voter() else 0)
        while True:
            if self.voters_wanted and not self.is_settled():
                self.announce_once(self.replica.core.identity)
            gevent.sleep(ANNOUNCE_SECONDS)

    def is_voter(self):
        """Whether this replica is a voter, as far as it knows."""
        core = self.replica.core
        return core.identity in core.voters

    def is_settled(self):
        """Whether this replica is a voter, knows a leader, and its hall is known.

        The settings with which a group is bootstrapped may not name the halls.
        """
        core = self.replica.core
        if not self.is_voter() or not core.leader:
            return False
        return not self.halls_tolerated or any(
            member.identity == core.identity and member.hall == self.self_member.hall
            for member in core.members
        )

    def announce_once(self, identity):
        """Announce this replica to the leader and store the members that it returns.

        A replica that is no voter tries all known addresses, as each replica that is
        not the leader would otherwise delay it by an interval. A failure is only
        logged.
        """
        member = self.self_member
        request = encode(JoinGroup(identity, member.name, member.address, member.hall))
        # The leader may have another address, which the last of them tells.
        tries = 1 if self.is_voter() else len(self.group.addresses) + 1
        for _ in range(tries):
            try:
                rows = decode_members(self.group.call_once("ask", request))
            except HingepitchError as error:
                code = error.code
            else:
                self.peer_registry.update_rows(rows)
                return
        log_event("peer_unreachable", address=self.group.preferred, error=code)

    def register_applicant(self, request):
        """Register a new replica that announces itself; return the members.

        An invalid address is rejected here. Once in the log, every replica
        would have to send to it. Raises `HingepitchError`: `not_leader`,
        `bad_request`.
        """
        core = self.replica.core
        if not self.replica.is_leader:
            raise HingepitchError("not_leader")
        try:
            check_address(request.address)
        except ValueError as error:
            raise HingepitchError("bad_request", f"new replica: {error}") from None
        applicant = Member(
            request.identity, request.name, request.address, request.hall, False
        )
        if request.identity not in self.applicant_by_identity:
            log_event("member_joined", identity=request.identity, term=core.term)
        self.applicant_by_identity[request.identity] = (applicant, self.clock())
        return self.rows()

    def run(self):
        """Reconcile the members while this replica leads, until killed."""
        while True:
            gevent.sleep(CHECK_SECONDS)
            self.step()

    def step(self):
        """Make one membership change if this replica leads and one is due."""
        if not self.voters_wanted or not self.replica.is_leader:
            self.applicant_by_identity.clear()
            return
        members = next_members(self.view(self.clock()))
        if members is None:
            return
        try:
            self.replica.change_members(members)
        except HingepitchError as error:
            log_event("member_step", outcome=error.code)
            return
        voters = [member.identity for member in members if member.voter]
        log_event("member_step", outcome="done", members=len(members), voters=voters)

    def view(self, now):
        """Return the `GroupView` at `now`; drops expired announcements."""
        core = self.replica.core
        fresh = {
            identity: entry
            for identity, entry in self.applicant_by_identity.items()
            if now - entry[1] < ANNOUNCEMENT_VALID_SECONDS
        }
        self.applicant_by_identity = fresh
        others = [
            member.identity
            for member in core.members
            if member.identity != core.identity
        ]
        return GroupView(
            members=core.members,
            leader=core.identity,
            applicants=tuple(applicant for applicant, _ in fresh.values()),
            caught_up=frozenset(
                identity for identity in others if core.has_caught_up(identity)
            ),
            not_responding=self.silent_identities(),
            voters_wanted=self.voters_wanted,
            halls_tolerated=self.halls_tolerated,
        )

    def silent_identities(self):
        """Return the members that are silent for too long, the longest silent first.

        Counted in ticks of the leader, so that the time in which this process did not
        run, and read no answers, does not count. A new leader has no knowledge of
        earlier answers: it counts from its election.
        """
        ticks_by_identity = {
            identity: progress.ticks_since_answer
            for identity, progress in self.replica.core.progress_by_identity.items()
            if progress.ticks_since_answer >= self.silence_limit_ticks
        }
        return tuple(sorted(ticks_by_identity, key=ticks_by_identity.get, reverse=True))

    def rows(self):
        """Return the members as a list of `MemberRow`."""
        core = self.replica.core
        return [
            MemberRow(member.identity, member.address, member.identity == core.leader)
            for member in core.members
        ]
