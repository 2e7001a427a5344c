"""
hingepitch.control.leadership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's part of the consensus core that takes the leadership, checks it at
each tick and transfers it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.control.election import ELECTION_TICKS, LEADER
from hingepitch.control.message import Entry, EntryKind, MessageKind
from hingepitch.control.progress import Progress

__all__ = ["Leadership"]

#: Ticks between two heartbeat rounds of a leader.
HEARTBEAT_TICKS = 2

#: Ticks between two leadership transfers of a caretaker leader, which cannot apply
#: the log and so must not keep the leadership; an election takes fewer.
TRANSFER_TICKS = 4


class Leadership:
    """The part of `Consensus` that holds the leadership and gives it up.

    It changes `transferring`, `last_transfer_target` and the indices that a follower
    needs to count as caught up, creates `progress_by_identity` and marks followers as
    inactive at each quorum check.
    """

    def become_leader(self):
        """Take the leadership and append an empty entry of this term.

        A leader can commit entries of earlier terms only through one of its own.
        """
        first_index = self.log.last_index + 1
        # Everything before is durable: the vote of this term was written after it.
        self.durable_index = self.log.last_index
        self.progress_by_identity = {
            member.identity: Progress(first_index)
            for member in self.members
            if member.identity != self.identity
        }
        self.elapsed_ticks = 0
        self.transferring = False
        self.catch_up_index = self.next_catch_up_index = first_index
        self.set_role(LEADER, self.identity)
        entry = Entry(first_index, self.term, EntryKind.NOTHING, b"")
        self.append_as_leader((entry,))

    def tick_leader(self):
        """Send heartbeats when due; step down when no quorum responds."""
        for progress in self.progress_by_identity.values():
            progress.tick()
        if self.elapsed_ticks % HEARTBEAT_TICKS == 0:
            self.advance_catch_up_index()
            self.broadcast()
        if not self.may_lead and self.elapsed_ticks % TRANSFER_TICKS == 0:
            self.transfer_leadership()
        if self.elapsed_ticks >= ELECTION_TICKS[0]:
            self.check_quorum()

    def advance_catch_up_index(self):
        """Require what was committed one heartbeat ago of members that catch up.

        While entries are committed all the time, the answers of a follower that keeps
        up are still always a little later than those of the fastest quorum.
        """
        self.catch_up_index = self.next_catch_up_index
        self.next_catch_up_index = max(self.next_catch_up_index, self.commit_index)

    def check_quorum(self):
        """Step down unless a quorum has answered since the last check.

        Also ends a leadership transfer that has not succeeded by then.
        """
        active = [
            identity
            for identity, progress in self.progress_by_identity.items()
            if progress.active
        ]
        self.elapsed_ticks = 0
        if not self.is_quorum([self.identity, *active]):
            self.become_follower(self.term, "")
            return
        self.transferring = False
        for progress in self.progress_by_identity.values():
            progress.active = False

    def transfer_leadership(self):
        """Ask the next voter that has the complete log to start an election.

        The voters are asked in turn, because one that may not lead ignores the
        request.
        """
        complete_voters = sorted(
            identity
            for identity, progress in self.progress_by_identity.items()
            if identity in self.voters and progress.match_index == self.log.last_index
        )
        if complete_voters:
            later = (
                identity
                for identity in complete_voters
                if identity > self.last_transfer_target
            )
            self.last_transfer_target = next(later, complete_voters[0])
            self.send(MessageKind.CAMPAIGN_NOW, self.last_transfer_target)

    def has_committed_in_term(self):
        """Whether an entry of this term is committed.

        Only then does the leader know that `commit_index` is up to date.
        """
        return self.log.term_at(self.commit_index) == self.term
