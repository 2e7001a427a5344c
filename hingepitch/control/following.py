"""
hingepitch.control.following
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The follower's part of the consensus core: entries and snapshots from the leader.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.control.election import FOLLOWER
from hingepitch.control.membership import MemberHistory, decode_members
from hingepitch.control.message import Commit, Install, MessageKind

__all__ = ["Following"]


class Following:
    """The part of `Consensus` that follows a leader.

    It changes the log, `membership` and `commit_index` as the leader says, and
    resets `elapsed_ticks` with each message of the leader of this term.
    """

    def on_append(self, message):
        """Accept or reject entries from the leader."""
        if message.term < self.term:
            self.answer_append(message, granted=False, index=self.log.last_index)
            return
        self.follow_sender(message)
        known = self.log.term_at(message.index)
        if message.index < self.log.start_index:
            self.answer_append(message, granted=True, index=self.commit_index)
            return
        if known != message.log_term:
            self.answer_append(message, False, self.retry_index(message))
            return
        self.merge_entries(message.entries)
        last_new = message.index + len(message.entries)
        self.commit_up_to(min(message.commit, last_new))
        self.answer_append(message, granted=True, index=last_new)

    def retry_index(self, message):
        """Return the log index that the leader should try next after a rejection."""
        below = min(message.index - 1, self.log.last_index)
        return max(below, self.commit_index)

    def merge_entries(self, entries):
        """Append the entries from the first that is new or has another term."""
        for position, entry in enumerate(entries):
            if self.log.term_at(entry.index) != entry.term:
                if entry.index <= self.commit_index:
                    raise AssertionError("refusing to overwrite a committed entry")
                self.append(entries[position:])
                return

    def commit_up_to(self, index):
        """Advance the commit index to `index`, as the leader reports it."""
        if index > self.commit_index:
            self.commit_index = index
            self.emit(Commit(index))

    def follow_sender(self, message):
        """Follow the sender of `message`, the leader of this term."""
        if self.role != FOLLOWER or self.leader != message.sender:
            self.become_follower(message.term, message.sender)
        self.elapsed_ticks = 0

    def answer_append(self, message, granted, index):
        """Send the answer to an APPEND or SNAPSHOT message."""
        self.send(
            MessageKind.APPEND_ANSWER,
            message.sender,
            granted=granted,
            index=index,
            sequence=message.sequence,
        )

    def on_snapshot(self, message):
        """Install the snapshot of the leader, unless the log already covers it."""
        if message.term < self.term:
            self.answer_append(message, granted=False, index=self.log.last_index)
            return
        self.follow_sender(message)
        if self.log.term_at(message.index) == message.log_term:
            self.commit_up_to(message.index)
        elif message.index > self.commit_index:
            self.log.reset(message.index, message.log_term)
            self.commit_index = message.index
            members = decode_members(message.entries[0].payload)
            self.membership = MemberHistory(message.index, members)
            self.emit(
                Install(message.index, message.log_term, members, message.snapshot)
            )
        self.answer_append(message, granted=True, index=self.commit_index)
