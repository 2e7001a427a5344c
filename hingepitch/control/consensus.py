"""
hingepitch.control.consensus
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The consensus core: Raft with pre-vote, leader's quorum check, learners
and confirmed reads. It does no I/O and reads no clock. After D.
Ongaro, Consensus: Bridging Theory and Practice, 2014.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import random
from dataclasses import dataclass
from functools import singledispatchmethod

from hingepitch.control.membership import (
    MemberHistory,
    decode_members,
    encode_members,
)
from hingepitch.control.memlog import MemoryLog
from hingepitch.control.message import (
    Append,
    Commit,
    Durable,
    Entry,
    EntryKind,
    Install,
    MayLead,
    Message,
    MessageKind,
    Propose,
    Proposed,
    ProposeMembers,
    ReadReady,
    ReadRequest,
    Receive,
    Refuse,
    RoleChanged,
    SaveVote,
    Send,
    SendSnapshot,
    SnapshotLost,
    Tick,
    Transfer,
)

__all__ = ["Consensus"]

#: Ticks without a leader before an election; drawn anew each time.
ELECTION_TICKS = (6, 12)

#: The same for a replica that has heard no leader since its start: after the
#: loss of all replicas nobody leads, and each tick of waiting is a tick without
#: service. A pre-vote keeps it from disturbing a group that has a leader.
FIRST_ELECTION_TICKS = (2, 5)

#: Ticks between the rounds of a leader.
HEARTBEAT_TICKS = 2

#: Election time-outs without a leader after which a replica that may not serve
#: stands as well: those that may have had their turn, and lack what it has.
CARETAKER_ELECTIONS = 3

#: Ticks between two hand-overs of a caretaker; an election takes fewer.
HAND_OVER_TICKS = 4

#: Ticks after which a snapshot that was not acknowledged is sent again.
SNAPSHOT_RETRY_TICKS = 50

#: Ticks for the answer to a probe. Source: two rounds of the leader.
PROBE_TICKS = 4

#: Entries in one message, and their bytes together.
MAX_ENTRIES = 512
MAX_ENTRY_BYTES = 1_000_000

FOLLOWER = "follower"
CANDIDATE = "candidate"
PRE_CANDIDATE = "pre_candidate"
LEADER = "leader"


@dataclass(slots=True)
class Progress:
    """What a leader knows of one follower.

    `snapshot_ticks`
        Ticks in which no snapshot is sent again: one is on its way.
    `is_snapshot_lost`
        The last one surely did not arrive: another is sent once the follower
        answers a round.
    `probe_index`
        After a refusal, the lowest index tried since; no entries are sent
        until one is accepted. None: the follower's log is known to match.
    `probe_ticks`
        Ticks in which only a refusal below `probe_index` counts: each message
        that was on its way is refused too.
    """

    next_index: int
    match_index: int = 0
    active: bool = True
    sequence: int = 0
    snapshot_ticks: int = 0
    is_snapshot_lost: bool = False
    probe_index: int | None = None
    probe_ticks: int = 0


class Consensus:
    """One replica's part of the group.

    `recovered`
        What the data folder holds.
    `seed`
        Seed of the election timeouts.

    `step(event)` returns the actions to take, in order. Everything that an
    action makes durable must be so before a later `Send` or `Commit` is
    carried out, but for the entries of a leader (`Append.is_ahead`): it sends
    them while its own disk still writes, and does not count itself among
    those that have them before `Durable` says so. Once a replica no longer
    leads, all that was written ahead must be durable before it sends.

    `may_lead`
        False for a replica that stores and votes, but cannot apply the log. As
        the leader it is a caretaker: it replicates what it has, takes nothing
        new, and hands over to one that has it all.
    `missed_elections`
        Election time-outs in a row in which a replica that may not serve heard
        of no leader.
    `last_heir`
        The follower that a caretaker has asked last to stand.
    `durable_index`
        Up to which entry this replica's own disk has the log, while it leads.
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
        self.last_heir = ""
        self.membership = MemberHistory(recovered.snapshot_index, recovered.members)
        for entry in recovered.entries:
            self.note_members(entry)
        self.leader = ""
        self.has_heard_leader = False
        self.votes = {}
        self.progress_by_identity = {}
        self.sequence = 0
        self.reads = []
        self.transferring = False
        self.actions = []
        self.quiet_ticks = 0
        self.election_ticks = self.draw_election_ticks()

    # What is asked from outside.

    def step(self, event):
        """Take one event; return the list of actions."""
        self.actions = []
        self.handle(event)
        return self.actions

    @property
    def members(self):
        """The members in force, by the last entry that changed them."""
        return self.membership.members

    @property
    def voters(self):
        """The identities that vote."""
        return self.membership.voters

    def compact(self, index):
        """Forget the log up to `index`, which a snapshot covers."""
        self.log.compact(min(index, self.commit_index))
        self.membership.compact(index)

    def members_at(self, index):
        """Return the members in force at `index`."""
        return self.membership.at(index)

    @property
    def serves(self):
        """Whether this replica leads and takes commands and reads."""
        return self.role == LEADER and self.may_lead

    # Events.

    @singledispatchmethod
    def handle(self, event):
        """Take one event."""
        raise TypeError(f"not an event: {event!r}")

    @handle.register
    def _(self, event: Tick):
        self.quiet_ticks += 1
        if self.role == LEADER:
            self.tick_leader()
        elif self.quiet_ticks >= self.election_ticks:
            self.start_pre_vote()

    @handle.register
    def _(self, event: Propose):
        if not self.serves or self.transferring:
            for token in event.tokens:
                self.do(Refuse(token, "not_leader"))
            return
        first = self.log.last_index + 1
        entries = tuple(
            Entry(first + offset, self.term, EntryKind.COMMAND, payload)
            for offset, payload in enumerate(event.payloads)
        )
        for entry, token in zip(entries, event.tokens, strict=True):
            self.do(Proposed(token, entry.index, entry.term))
        self.append_as_leader(entries)

    @handle.register
    def _(self, event: ProposeMembers):
        if not self.serves or self.transferring:
            self.do(Refuse(event.token, "not_leader"))
            return
        code = self.members_fault(event.members)
        if code:
            self.do(Refuse(event.token, code))
            return
        payload = encode_members(event.members)
        index = self.log.last_index + 1
        self.do(Proposed(event.token, index, self.term))
        entry = Entry(index, self.term, EntryKind.MEMBERS, payload)
        self.append_as_leader((entry,))

    @handle.register
    def _(self, event: ReadRequest):
        if not self.serves or not self.has_committed_in_term():
            self.do(Refuse(event.token, "not_leader"))
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
    def _(self, event: Transfer):
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
            if message.kind is MessageKind.VOTE and self.hears_leader(message):
                return
            leads = message.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT)
            self.become_follower(message.term, message.sender if leads else "")
        HANDLER_BY_KIND[message.kind](self, message)

    # Elections.

    def draw_election_ticks(self):
        """Return a new election timeout, in ticks."""
        bounds = ELECTION_TICKS if self.has_heard_leader else FIRST_ELECTION_TICKS
        return self.random.randint(*bounds)

    def is_pre_vote(self, message):
        """Whether the term of `message` is only a wish."""
        if message.kind is MessageKind.PRE_VOTE:
            return True
        return message.kind is MessageKind.PRE_VOTE_ANSWER and message.granted

    def hears_leader(self, message):
        """Whether a vote must be ignored because there is a leader.

        A vote after CAMPAIGN_NOW is marked as granted by the old leader.
        """
        alive = self.quiet_ticks < ELECTION_TICKS[0]
        return bool(self.leader) and alive and not message.granted

    def start_pre_vote(self):
        """Ask whether an election could be won, without a new term."""
        self.quiet_ticks = 0
        self.election_ticks = self.draw_election_ticks()
        if self.identity not in self.voters:
            return
        if not self.may_lead:
            self.missed_elections += 1
        if not self.may_lead and self.missed_elections < CARETAKER_ELECTIONS:
            # Its vote is free for another one from now on.
            self.set_role(FOLLOWER, "")
            return
        self.set_role(PRE_CANDIDATE, "")
        self.votes = {self.identity: True}
        if self.has_votes():
            self.start_election()
            return
        for receiver in self.other_voters():
            self.send_vote(MessageKind.PRE_VOTE, receiver, self.term + 1)

    def start_election(self, transferred=False):
        """Ask for votes in a new term."""
        self.term += 1
        self.voted_for = self.identity
        self.do(SaveVote(self.term, self.voted_for))
        self.set_role(CANDIDATE, "")
        self.votes = {self.identity: True}
        if self.has_votes():
            self.become_leader()
            return
        for receiver in self.other_voters():
            self.send_vote(MessageKind.VOTE, receiver, self.term, transferred)

    def send_vote(self, kind, receiver, term, transferred=False):
        """Ask `receiver` for its vote, or whether it would give it."""
        self.send(
            kind,
            receiver,
            term=term,
            index=self.log.last_index,
            log_term=self.log.last_term,
            granted=transferred,
        )

    def is_up_to_date(self, message):
        """Whether the sender's log is no older than this one."""
        theirs = (message.log_term, message.index)
        return theirs >= (self.log.last_term, self.log.last_index)

    def on_pre_vote(self, message):
        """Say whether a vote would be given."""
        leaderless = not self.hears_leader(message) and self.role != LEADER
        granted = (
            message.term > self.term and leaderless and self.is_up_to_date(message)
        )
        term = message.term if granted else self.term
        self.send(
            MessageKind.PRE_VOTE_ANSWER, message.sender, term=term, granted=granted
        )

    def on_pre_vote_answer(self, message):
        """Count an answer to a pre-vote."""
        if self.role != PRE_CANDIDATE or message.term != self.term + 1:
            return
        self.votes[message.sender] = message.granted
        if self.has_votes():
            self.start_election()

    def on_vote(self, message):
        """Give or refuse the vote of this term."""
        free = self.voted_for in ("", message.sender)
        granted = message.term == self.term and free and self.is_up_to_date(message)
        if granted:
            self.voted_for = message.sender
            self.quiet_ticks = 0
            self.do(SaveVote(self.term, self.voted_for))
        self.send(MessageKind.VOTE_ANSWER, message.sender, granted=granted)

    def on_vote_answer(self, message):
        """Count a vote."""
        if self.role != CANDIDATE or message.term != self.term:
            return
        self.votes[message.sender] = message.granted
        if self.has_votes():
            self.become_leader()

    def on_campaign_now(self, message):
        """Start an election at once: the leader hands over."""
        is_free = self.may_lead and self.identity in self.voters
        if message.term == self.term and is_free:
            self.start_election(transferred=True)

    def has_votes(self):
        """Whether a majority of the voters said yes."""
        return self.is_quorum(name for name, granted in self.votes.items() if granted)

    def is_quorum(self, identities):
        """Whether `identities` hold a majority of the voters."""
        voters = set(self.voters)
        return len(voters.intersection(identities)) * 2 > len(voters)

    # Roles.

    def set_role(self, role, leader):
        """Take a role; tell the driver if something changed."""
        self.has_heard_leader = self.has_heard_leader or bool(leader)
        if leader:
            self.missed_elections = 0
        changed = (role, leader) != (self.role, self.leader)
        self.role = role
        self.leader = leader
        if changed:
            self.do(RoleChanged(role, leader, self.term))

    def become_follower(self, term, leader):
        """Follow in `term`."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.do(SaveVote(term, ""))
        self.refuse_reads()
        self.transferring = False
        self.set_role(FOLLOWER, leader)
        self.quiet_ticks = 0
        self.election_ticks = self.draw_election_ticks()

    def become_leader(self):
        """Lead: commit an empty entry of this term first."""
        following = self.log.last_index + 1
        # The vote of this term was written after all that came before.
        self.durable_index = self.log.last_index
        self.progress_by_identity = {
            member.identity: Progress(following)
            for member in self.members
            if member.identity != self.identity
        }
        self.quiet_ticks = 0
        self.transferring = False
        self.set_role(LEADER, self.identity)
        entry = Entry(following, self.term, EntryKind.NOTHING, b"")
        self.append_as_leader((entry,))

    def refuse_reads(self):
        """Refuse the reads that wait for a round."""
        for _, token, _ in self.reads:
            self.do(Refuse(token, "not_leader"))
        self.reads = []

    # The leader.

    def tick_leader(self):
        """Send a round when due; step down when a quorum is silent."""
        for progress in self.progress_by_identity.values():
            progress.snapshot_ticks = max(0, progress.snapshot_ticks - 1)
            progress.probe_ticks = max(0, progress.probe_ticks - 1)
        if self.quiet_ticks % HEARTBEAT_TICKS == 0:
            self.broadcast()
        if not self.may_lead and self.quiet_ticks % HAND_OVER_TICKS == 0:
            self.hand_over()
        if self.quiet_ticks >= ELECTION_TICKS[0]:
            self.check_quorum()

    def hand_over(self):
        """Have the next follower stand that has all; one that may not lead waits."""
        heirs = sorted(
            identity
            for identity, progress in self.progress_by_identity.items()
            if identity in self.voters and progress.match_index == self.log.last_index
        )
        if heirs:
            later = (identity for identity in heirs if identity > self.last_heir)
            self.last_heir = next(later, heirs[0])
            self.send(MessageKind.CAMPAIGN_NOW, self.last_heir)

    def check_quorum(self):
        """Step down unless a quorum has answered since the last check."""
        active = [
            identity
            for identity, progress in self.progress_by_identity.items()
            if progress.active
        ]
        self.quiet_ticks = 0
        if not self.is_quorum([self.identity, *active]):
            self.become_follower(self.term, "")
            return
        self.transferring = False
        for progress in self.progress_by_identity.values():
            progress.active = False

    def has_committed_in_term(self):
        """Whether the leader knows every committed entry."""
        return self.log.term_at(self.commit_index) == self.term

    def append_as_leader(self, entries):
        """Add entries of this leader and send them on."""
        self.append(entries, is_ahead=True)
        self.broadcast()

    def append(self, entries, is_ahead=False):
        """Add entries to the log, in memory and on disk."""
        self.membership.cut(entries[0].index)
        self.log.append(entries)
        for entry in entries:
            self.note_members(entry)
        self.do(Append(tuple(entries), is_ahead))

    def note_members(self, entry):
        """Take over the members that `entry` declares, if it does."""
        if entry.kind is not EntryKind.MEMBERS:
            return
        members = decode_members(entry.payload)
        self.membership.add(entry.index, members)
        if self.role == LEADER:
            self.track_members(members)

    def track_members(self, members):
        """Start to follow new members, and forget the removed ones."""
        identities = {member.identity for member in members} - {self.identity}
        for identity in identities - self.progress_by_identity.keys():
            self.progress_by_identity[identity] = Progress(self.log.last_index + 1)
        for identity in self.progress_by_identity.keys() - identities:
            del self.progress_by_identity[identity]

    def members_fault(self, members):
        """Return why the members may not change so, or an empty string."""
        if self.membership.changed_at > self.commit_index:
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
        """Whether a learner has every committed entry."""
        progress = self.progress_by_identity.get(identity)
        return progress is not None and progress.match_index >= self.commit_index

    def broadcast(self):
        """Send every other member what it lacks, or an empty round."""
        for identity in self.progress_by_identity:
            self.send_append(identity)

    def send_append(self, identity):
        """Send one member what it lacks, by entries or a snapshot."""
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
        """Yield the first entries that fit a message, at least one."""
        total = 0
        for entry in entries:
            total += len(entry.payload)
            if total > MAX_ENTRY_BYTES and total > len(entry.payload):
                return
            yield entry

    def send_snapshot(self, identity, progress):
        """Ask the driver to send the snapshot, unless one is on its way.

        Meanwhile the receiver gets empty rounds, which it refuses: it keeps
        hearing its leader, and its answers keep the leader in office. Without
        them a leader that needed the receiver for its quorum stepped down
        after `ELECTION_TICKS`, and the next one sent the whole state again.
        """
        if progress.snapshot_ticks:
            self.send_round(identity, self.log.start_index, self.log.start_term)
            return
        progress.snapshot_ticks = SNAPSHOT_RETRY_TICKS
        self.do(SendSnapshot(identity, self.term))

    def send_round(self, identity, index, log_term, entries=()):
        """Send one member the `entries` that follow `index`, or none."""
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
        """Learn what a follower has, and send it the rest."""
        progress = self.progress_by_identity.get(message.sender)
        if self.role != LEADER or message.term != self.term or progress is None:
            return
        progress.active = True
        progress.sequence = max(progress.sequence, message.sequence)
        if message.granted:
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.snapshot_ticks = 0
            progress.probe_index = None
            self.advance_commit()
        elif progress.is_snapshot_lost:
            # It answers again, so that the whole state may reach it now.
            progress.is_snapshot_lost = False
            progress.snapshot_ticks = 0
        elif progress.snapshot_ticks:
            self.release_reads()
            return
        elif not self.probe_lower(progress, message):
            return
        if progress.next_index <= self.log.last_index:
            self.send_append(message.sender)
        self.release_reads()

    def probe_lower(self, progress, message):
        """Step back after a refusal; return whether it says anything new."""
        retry = min(message.index, self.log.last_index)
        known = progress.probe_index
        if known is not None and retry >= known and progress.probe_ticks:
            return False
        progress.probe_index = retry if known is None else min(retry, known)
        progress.probe_ticks = PROBE_TICKS
        progress.next_index = max(progress.match_index, progress.probe_index) + 1
        return True

    def advance_commit(self):
        """Commit what a majority of the voters has of this term."""
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
            self.do(Commit(index))
            self.retire_if_removed()

    def retire_if_removed(self):
        """Step down once the removal of this replica is committed."""
        is_committed = self.membership.changed_at <= self.commit_index
        if is_committed and self.identity not in self.voters:
            self.broadcast()
            self.become_follower(self.term, "")

    def release_reads(self):
        """Answer the reads whose round a quorum has confirmed."""
        ready = []
        for read in self.reads:
            confirmed = [
                identity
                for identity, progress in self.progress_by_identity.items()
                if progress.sequence >= read[0]
            ]
            if self.is_quorum([self.identity, *confirmed]):
                ready.append(read)
        if ready:
            last = ready[-1][0]
            for _, token, index in (read for read in self.reads if read[0] <= last):
                self.do(ReadReady(token, index))
            self.reads = [read for read in self.reads if read[0] > last]

    # The follower.

    def on_append(self, message):
        """Take entries from the leader."""
        if message.term < self.term:
            self.answer_append(message, granted=False, index=self.log.last_index)
            return
        self.hear_leader(message)
        known = self.log.term_at(message.index)
        if message.index < self.log.start_index:
            self.answer_append(message, granted=True, index=self.commit_index)
            return
        if known != message.log_term:
            self.answer_append(message, False, self.retry_index(message))
            return
        self.take_entries(message.entries)
        last_new = message.index + len(message.entries)
        self.commit_up_to(min(message.commit, last_new))
        self.answer_append(message, granted=True, index=last_new)

    def retry_index(self, message):
        """Return the index from which the leader should try again."""
        below = min(message.index - 1, self.log.last_index)
        return max(below, self.commit_index)

    def take_entries(self, entries):
        """Add the entries that are new or differ."""
        for position, entry in enumerate(entries):
            if self.log.term_at(entry.index) != entry.term:
                if entry.index <= self.commit_index:
                    raise AssertionError("a committed entry would be replaced")
                self.append(entries[position:])
                return

    def commit_up_to(self, index):
        """Commit up to `index`, as the leader says."""
        if index > self.commit_index:
            self.commit_index = index
            self.do(Commit(index))

    def hear_leader(self, message):
        """Follow the sender, which leads this term."""
        if self.role != FOLLOWER or self.leader != message.sender:
            self.become_follower(message.term, message.sender)
        self.quiet_ticks = 0

    def answer_append(self, message, granted, index):
        """Answer an APPEND or a SNAPSHOT."""
        self.send(
            MessageKind.APPEND_ANSWER,
            message.sender,
            granted=granted,
            index=index,
            sequence=message.sequence,
        )

    def on_snapshot(self, message):
        """Take the whole state from the leader."""
        if message.term < self.term:
            self.answer_append(message, granted=False, index=self.log.last_index)
            return
        self.hear_leader(message)
        if self.log.term_at(message.index) == message.log_term:
            self.commit_up_to(message.index)
        elif message.index > self.commit_index:
            self.log.reset(message.index, message.log_term)
            self.commit_index = message.index
            members = decode_members(message.entries[0].payload)
            self.membership = MemberHistory(message.index, members)
            self.do(Install(message.index, message.log_term, members, message.snapshot))
        self.answer_append(message, granted=True, index=self.commit_index)

    # Small helpers.

    def other_voters(self):
        """Return the voters but this one."""
        return [identity for identity in self.voters if identity != self.identity]

    def do(self, action):
        """Add an action to the ones that `step` returns."""
        self.actions.append(action)

    def send(self, kind, receiver, term=None, **fields):
        """Send a message of this replica."""
        term = self.term if term is None else term
        self.do(Send(Message(kind, self.identity, receiver, term, **fields)))


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
