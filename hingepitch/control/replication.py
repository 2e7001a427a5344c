"""
hingepitch.control.replication
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's part of the consensus core that sends the log to the followers and
commits what a quorum has.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.control.election import LEADER
from hingepitch.control.message import Commit, MessageKind, SendSnapshot

__all__ = ["Replication"]

#: Ticks after which an unacknowledged snapshot is sent again.
SNAPSHOT_RETRY_TICKS = 50

#: Limits of one message: number of entries and total bytes of their payloads.
MAX_ENTRIES = 512
MAX_ENTRY_BYTES = 1_000_000


class Replication:
    """The part of `Consensus` that replicates the log of a leader.

    It changes the values of `progress_by_identity` and, as more voters have an
    entry, `commit_index`.
    """

    def append_as_leader(self, entries):
        """Append entries of this leader and send them to the followers."""
        self.append(entries, is_async=True)
        self.broadcast()

    def broadcast(self):
        """Send every other member the entries it lacks, or a heartbeat."""
        for identity in self.progress_by_identity:
            self.send_append(identity)

    def send_append(self, identity):
        """Send one member the entries it lacks, a heartbeat or a snapshot.

        It needs a snapshot once the log no longer has the entries it lacks.
        """
        progress = self.progress_by_identity[identity]
        before = progress.next_index - 1
        log_term = self.log.term_at(before)
        if log_term is None:
            self.send_snapshot(identity, progress)
            return
        entries = ()
        if progress.probe_index is None:
            entries = tuple(self.limit_bytes(self.log.after(before, MAX_ENTRIES)))
        self.send_round(identity, before, log_term, entries)
        progress.next_index += len(entries)

    def limit_bytes(self, entries):
        """Yield the first entries that fit one message, at least one."""
        total = 0
        for entry in entries:
            total += len(entry.payload)
            if total > MAX_ENTRY_BYTES and total > len(entry.payload):
                return
            yield entry

    def send_snapshot(self, identity, progress):
        """Ask the driver to send a snapshot, unless one is in transit.

        While a snapshot is in transit, the receiver gets heartbeats, which it
        rejects. They tell it that the leader is alive, and its answers count in the
        quorum check. Without them, a leader that needs the receiver for its quorum
        steps down after `ELECTION_TICKS`, and the next leader sends the complete
        state again.
        """
        if progress.snapshot_ticks:
            self.send_round(identity, self.log.start_index, self.log.start_term)
            return
        progress.snapshot_ticks = SNAPSHOT_RETRY_TICKS
        self.emit(SendSnapshot(identity, self.term))

    def send_round(self, identity, index, log_term, entries=()):
        """Send one member the `entries` after `index`; none for a heartbeat."""
        self.send(
            MessageKind.APPEND,
            identity,
            index=index,
            log_term=log_term,
            commit=self.commit_index,
            sequence=self.sequence,
            entries=entries,
        )

    def on_append_answer(self, message):
        """Record which entries a follower has, and send it the missing ones."""
        progress = self.progress_by_identity.get(message.sender)
        if self.role != LEADER or message.term != self.term or progress is None:
            return
        progress.note_answer(message.sequence)
        if message.granted:
            progress.accept(message.index)
            self.advance_commit()
        elif progress.is_snapshot_lost:
            # The follower is reachable again, so another snapshot can arrive.
            progress.is_snapshot_lost = False
            progress.snapshot_ticks = 0
        elif progress.snapshot_ticks:
            self.release_reads()
            return
        elif not progress.probe_lower(min(message.index, self.log.last_index)):
            return
        if progress.next_index <= self.log.last_index:
            self.send_append(message.sender)
        self.release_reads()

    def advance_commit(self):
        """Commit the entries that a majority of the voters has.

        The last of them must be of this term.
        """
        matches = sorted(
            (
                self.durable_index
                if identity == self.identity
                else self.progress_by_identity[identity].match_index
                for identity in self.voters
            ),
            reverse=True,
        )
        index = matches[len(matches) // 2]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self.emit(Commit(index))
            self.step_down_if_removed()
