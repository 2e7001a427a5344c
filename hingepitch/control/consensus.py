"""
hingepitch.control.consensus
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The consensus core: Raft with pre-vote, the leader's quorum check, learners
and linearizable reads. It does no I/O and reads no clock. Follows D.
Ongaro, Consensus: Bridging Theory and Practice, 2014.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import random
from functools import singledispatchmethod

from hingepitch.control.election import FOLLOWER, LEADER, Election
from hingepitch.control.following import Following
from hingepitch.control.leadership import Leadership
from hingepitch.control.membership import (
    MemberHistory,
    encode_members,
)
from hingepitch.control.memlog import MemoryLog
from hingepitch.control.message import (
    Append,
    Durable,
    Entry,
    EntryKind,
    MayLead,
    Message,
    MessageKind,
    Propose,
    Proposed,
    ProposeMembers,
    ReadRequest,
    Receive,
    Refuse,
    Send,
    SnapshotLost,
    Tick,
    TransferLeadership,
)
from hingepitch.control.reads import Reads
from hingepitch.control.reconfiguration import Reconfiguration
from hingepitch.control.replication import Replication

__all__ = ["Consensus"]


class Consensus(Election, Leadership, Reads, Reconfiguration, Replication, Following):
    """The Raft state machine of one replica.

    `recovered`
        The `Recovered` contents of the data folder.
    `seed`
        Seed of the random election timeouts.

    `step(event)` returns the actions to execute, in order. What an action
    stores must be durable before a later `Send` or `Commit` is executed. The
    exception is a leader's own entries (`Append.is_async`): the leader sends
    them while its disk is still writing, and counts itself towards their
    quorum only after `Durable`. Once a replica no longer leads, all entries
    written this way must be durable before it sends a message.

    `may_lead`
        False for a replica that stores entries and votes, but cannot apply the
        log. If elected it is a caretaker leader: it replicates its log, accepts
        no requests, and transfers the leadership to a voter that has the
        complete log.
    `missed_elections`
        Consecutive election timeouts in which a replica that may not lead
        heard from no leader.
    `last_transfer_target`
        The follower that a caretaker leader last asked to start an election.
    `durable_index`
        While leading, index of the last entry that is durable on this
        replica's own disk.
    `catch_up_index`, `next_catch_up_index`
        While leading, the entry that a follower needs to count as caught up: the
        last that was committed one heartbeat ago, and the one from the next
        heartbeat on.
    `elapsed_ticks`
        Ticks since the election timer was last reset; on a leader, since the
        last quorum check.
    `sequence`
        Number of the latest read round. Each APPEND message carries it and the
        answer returns it, so that a quorum of answers proves that this replica
        still led when the round began.
    `reads`
        The reads that wait for their round, as tuples of the round, the token and
        the commit index when the round began.
    """

    def __init__(self, recovered, seed):
        self.identity = recovered.identity
        self.random = random.Random(seed)
        self.term = recovered.term
        self.voted_for = recovered.voted_for
        self.log = MemoryLog(
            recovered.snapshot_index, recovered.snapshot_term, recovered.entries
        )
        self.commit_index = recovered.snapshot_index
        self.durable_index = self.log.last_index
        self.role = FOLLOWER
        self.may_lead = True
        self.missed_elections = 0
        self.last_transfer_target = ""
        self.membership = MemberHistory(recovered.snapshot_index, recovered.members)
        for entry in recovered.entries:
            self.apply_member_entry(entry)
        self.leader = ""
        self.has_heard_leader = False
        self.votes = {}
        self.progress_by_identity = {}
        self.catch_up_index = self.next_catch_up_index = 0
        self.sequence = 0
        self.reads = []
        self.transferring = False
        self.actions = []
        self.elapsed_ticks = 0
        self.election_ticks = self.draw_election_ticks()

    def step(self, event):
        """Handle one event; return the list of actions to execute."""
        self.actions = []
        self.handle(event)
        return self.actions

    @property
    def members(self):
        """The current members, as the last membership entry lists them."""
        return self.membership.members

    @property
    def voters(self):
        """The identities of the voters."""
        return self.membership.voters

    def compact(self, index):
        """Discard the log up to `index`, which a snapshot covers."""
        self.log.compact(min(index, self.commit_index))
        self.membership.compact(index)

    def members_at(self, index):
        """Return the members as of the entry at `index`."""
        return self.membership.at(index)

    @property
    def serves(self):
        """Whether this replica leads and accepts commands and reads."""
        return self.role == LEADER and self.may_lead

    @singledispatchmethod
    def handle(self, event):
        """Handle one event; the implementation depends on its type."""
        raise TypeError(f"unsupported event: {event!r}")

    @handle.register
    def _(self, event: Tick):
        self.elapsed_ticks += 1
        if self.role == LEADER:
            self.tick_leader()
        elif self.elapsed_ticks >= self.election_ticks:
            self.start_pre_vote()

    @handle.register
    def _(self, event: Propose):
        if not self.serves or self.transferring:
            for token in event.tokens:
                self.emit(Refuse(token, "not_leader"))
            return
        first = self.log.last_index + 1
        entries = tuple(
            Entry(first + offset, self.term, EntryKind.COMMAND, payload)
            for offset, payload in enumerate(event.payloads)
        )
        for entry, token in zip(entries, event.tokens, strict=True):
            self.emit(Proposed(token, entry.index, entry.term))
        self.append_as_leader(entries)

    @handle.register
    def _(self, event: ProposeMembers):
        if not self.serves or self.transferring:
            self.emit(Refuse(event.token, "not_leader"))
            return
        code = self.member_change_error(event.members)
        if code:
            self.emit(Refuse(event.token, code))
            return
        payload = encode_members(event.members)
        index = self.log.last_index + 1
        self.emit(Proposed(event.token, index, self.term))
        entry = Entry(index, self.term, EntryKind.MEMBERS, payload)
        self.append_as_leader((entry,))

    @handle.register
    def _(self, event: ReadRequest):
        if not self.serves or not self.has_committed_in_term():
            self.emit(Refuse(event.token, "not_leader"))
            return
        self.sequence += 1
        self.reads.append((self.sequence, event.token, self.commit_index))
        self.broadcast()
        self.release_reads()

    @handle.register
    def _(self, event: Durable):
        if self.role != LEADER or self.log.term_at(event.index) != event.term:
            return
        self.durable_index = max(self.durable_index, event.index)
        self.advance_commit()

    @handle.register
    def _(self, event: SnapshotLost):
        progress = self.progress_by_identity.get(event.receiver)
        if progress is not None and event.term == self.term:
            progress.is_snapshot_lost = True

    @handle.register
    def _(self, event: MayLead):
        self.may_lead = event.is_allowed
        if self.may_lead:
            return
        if self.role == LEADER:
            self.refuse_reads()
        elif self.role != FOLLOWER:
            self.become_follower(self.term, "")

    @handle.register
    def _(self, event: TransferLeadership):
        if self.role != LEADER:
            return
        candidates = [
            (progress.match_index, identity)
            for identity, progress in self.progress_by_identity.items()
            if identity in self.voters and progress.active
        ]
        if candidates:
            self.transferring = True
            _, receiver = max(candidates)
            self.send(MessageKind.CAMPAIGN_NOW, receiver)

    @handle.register
    def _(self, event: Receive):
        message = event.message
        if message.receiver != self.identity:
            return
        if message.term > self.term and not self.is_pre_vote(message):
            if message.kind is MessageKind.VOTE and self.must_ignore_vote(message):
                return
            leads = message.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT)
            self.become_follower(message.term, message.sender if leads else "")
        HANDLER_BY_KIND[message.kind](self, message)

    def append(self, entries, is_async=False):
        """Append entries to the log, in memory and on disk."""
        self.membership.discard_from(entries[0].index)
        self.log.append(entries)
        for entry in entries:
            self.apply_member_entry(entry)
        self.emit(Append(tuple(entries), is_async))

    def emit(self, action):
        """Add an action to those that `step` returns."""
        self.actions.append(action)

    def send(self, kind, receiver, term=None, **fields):
        """Emit a message from this replica; `term` defaults to the current one."""
        term = self.term if term is None else term
        self.emit(Send(Message(kind, self.identity, receiver, term, **fields)))


HANDLER_BY_KIND = {
    MessageKind.PRE_VOTE: Consensus.on_pre_vote,
    MessageKind.PRE_VOTE_ANSWER: Consensus.on_pre_vote_answer,
    MessageKind.VOTE: Consensus.on_vote,
    MessageKind.VOTE_ANSWER: Consensus.on_vote_answer,
    MessageKind.APPEND: Consensus.on_append,
    MessageKind.APPEND_ANSWER: Consensus.on_append_answer,
    MessageKind.SNAPSHOT: Consensus.on_snapshot,
    MessageKind.CAMPAIGN_NOW: Consensus.on_campaign_now,
}
