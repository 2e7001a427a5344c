"""
hingepitch.control.reconfiguration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Changes of the group's members in the consensus core.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.control.election import LEADER
from hingepitch.control.membership import decode_members
from hingepitch.control.message import EntryKind
from hingepitch.control.progress import Progress

__all__ = ["Reconfiguration"]


class Reconfiguration:
    """The part of `Consensus` that checks and adopts changes of the members.

    It adds configurations to `membership` and changes the keys of
    `progress_by_identity`.
    """

    def apply_member_entry(self, entry):
        """Adopt the members that `entry` lists, if it is a membership entry."""
        if entry.kind is not EntryKind.MEMBERS:
            return
        members = decode_members(entry.payload)
        self.membership.add(entry.index, members)
        if self.role == LEADER:
            self.track_members(members)

    def track_members(self, members):
        """Start tracking new members and stop tracking removed ones."""
        identities = {member.identity for member in members} - {self.identity}
        for identity in identities - self.progress_by_identity.keys():
            self.progress_by_identity[identity] = Progress(self.log.last_index + 1)
        for identity in self.progress_by_identity.keys() - identities:
            del self.progress_by_identity[identity]

    def member_change_error(self, members):
        """Return the error code that forbids a change to `members`, or ""."""
        if self.membership.changed_index > self.commit_index:
            return "queue_full"
        if not self.has_committed_in_term():
            return "not_leader"
        wanted = {member.identity for member in members if member.voter}
        added = wanted - set(self.voters)
        changed = wanted ^ set(self.voters)
        if len(changed) > 1 or not wanted:
            return "bad_request"
        if any(not self.has_caught_up(identity) for identity in added):
            return "stale_version"
        return ""

    def has_caught_up(self, identity):
        """Whether the member `identity` has what was committed one heartbeat ago."""
        progress = self.progress_by_identity.get(identity)
        return progress is not None and progress.match_index >= self.catch_up_index

    def step_down_if_removed(self):
        """Step down once the removal of this replica is committed.

        A last broadcast tells the followers that the removal is committed.
        """
        is_committed = self.membership.changed_index <= self.commit_index
        if is_committed and self.identity not in self.voters:
            self.broadcast()
            self.become_follower(self.term, "")
