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
    TransferLeadership,
)

__all__ = ["Consensus"]

#: Bounds of the election timeout, in ticks; each timeout is drawn at random.
ELECTION_TICKS = (6, 12)

#: Bounds of the election timeout, in ticks, of a replica that has heard from no
#: leader since its start. They are lower because after a restart of all replicas
#: there is no leader, and each tick of waiting prolongs the outage. The pre-vote
#: keeps the replica from disturbing a group that has a leader.
FIRST_ELECTION_TICKS = (2, 5)

#: Ticks between two heartbeat rounds of a leader.
HEARTBEAT_TICKS = 2

#: Election timeouts without a leader after which a replica that cannot apply the
#: log (`may_lead` is False) stands for election too. By then the replicas that can
#: apply it have failed to win an election, because they lack entries that this
#: replica has.
CARETAKER_ELECTIONS = 3

#: Ticks between two leadership transfers of a caretaker leader, which cannot apply
#: the log and so must not keep the leadership; an election takes fewer.
TRANSFER_TICKS = 4

#: Ticks after which an unacknowledged snapshot is sent again.
SNAPSHOT_RETRY_TICKS = 50

#: Ticks to wait for the answer to a probe: two heartbeat rounds of the leader.
PROBE_TICKS = 4

#: Limits of one message: number of entries and total bytes of their payloads.
MAX_ENTRIES = 512
MAX_ENTRY_BYTES = 1_000_000

FOLLOWER = "follower"
CANDIDATE = "candidate"
PRE_CANDIDATE = "pre_candidate"
LEADER = "leader"


@dataclass(slots=True)
class Progress:
    """Replication state of one follower, as the leader knows it.

    `active`
        Whether the follower has answered since the last quorum check.
    `sequence`
        The latest read round that the follower has answered.
    `snapshot_ticks`
        Ticks left in which no further snapshot is sent, as one is in transit.
    `is_snapshot_lost`
        The last snapshot is known not to have arrived. Another one is sent
        once the follower answers a heartbeat.
    `probe_index`
        After a rejection, the lowest index tried since; no entries are sent
        until a probe is accepted. None: the follower's log is known to match.
    `probe_ticks`
        Ticks left in which only a rejection below `probe_index` counts, as
        the follower also rejects every message that was already in transit.
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

    def draw_election_ticks(self):
        """Return a new random election timeout, in ticks."""
        bounds = ELECTION_TICKS if self.has_heard_leader else FIRST_ELECTION_TICKS
        return self.random.randint(*bounds)

    def is_pre_vote(self, message):
        """Whether the term of `message` is only proposed, not in force."""
        if message.kind is MessageKind.PRE_VOTE:
            return True
        return message.kind is MessageKind.PRE_VOTE_ANSWER and message.granted

    def must_ignore_vote(self, message):
        """Whether a vote request must be ignored because there is a leader.

        In a request that follows CAMPAIGN_NOW, `granted` is set: the old leader
        has consented to the election.
        """
        alive = self.elapsed_ticks < ELECTION_TICKS[0]
        return bool(self.leader) and alive and not message.granted

    def start_pre_vote(self):
        """Ask the voters whether they would vote, without starting a new term."""
        self.elapsed_ticks = 0
        self.election_ticks = self.draw_election_ticks()
        if self.identity not in self.voters:
            return
        if not self.may_lead:
            self.missed_elections += 1
        if not self.may_lead and self.missed_elections < CARETAKER_ELECTIONS:
            # Forget the leader, so that other candidates can get this vote.
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
        """Start a new term and request votes in it.

        `transferred`
            Whether the leader asked for this election.
        """
        self.term += 1
        self.voted_for = self.identity
        self.emit(SaveVote(self.term, self.voted_for))
        self.set_role(CANDIDATE, "")
        self.votes = {self.identity: True}
        if self.has_votes():
            self.become_leader()
            return
        for receiver in self.other_voters():
            self.send_vote(MessageKind.VOTE, receiver, self.term, transferred)

    def send_vote(self, kind, receiver, term, transferred=False):
        """Send a vote or pre-vote request to `receiver`."""
        self.send(
            kind,
            receiver,
            term=term,
            index=self.log.last_index,
            log_term=self.log.last_term,
            granted=transferred,
        )

    def is_up_to_date(self, message):
        """Whether the sender's log is at least as up to date as this one."""
        theirs = (message.log_term, message.index)
        return theirs >= (self.log.last_term, self.log.last_index)

    def on_pre_vote(self, message):
        """Answer whether this replica would grant its vote."""
        is_leaderless = not self.must_ignore_vote(message) and self.role != LEADER
        granted = (
            message.term > self.term and is_leaderless and self.is_up_to_date(message)
        )
        term = message.term if granted else self.term
        self.send(
            MessageKind.PRE_VOTE_ANSWER, message.sender, term=term, granted=granted
        )

    def on_pre_vote_answer(self, message):
        """Count an answer to a pre-vote request."""
        if self.role != PRE_CANDIDATE or message.term != self.term + 1:
            return
        self.votes[message.sender] = message.granted
        if self.has_votes():
            self.start_election()

    def on_vote(self, message):
        """Grant or deny the vote of this term."""
        has_free_vote = self.voted_for in ("", message.sender)
        granted = (
            message.term == self.term and has_free_vote and self.is_up_to_date(message)
        )
        if granted:
            self.voted_for = message.sender
            self.elapsed_ticks = 0
            self.emit(SaveVote(self.term, self.voted_for))
        self.send(MessageKind.VOTE_ANSWER, message.sender, granted=granted)

    def on_vote_answer(self, message):
        """Count an answer to a vote request."""
        if self.role != CANDIDATE or message.term != self.term:
            return
        self.votes[message.sender] = message.granted
        if self.has_votes():
            self.become_leader()

    def on_campaign_now(self, message):
        """Start an election at once, as the leader transfers its leadership."""
        can_campaign = self.may_lead and self.identity in self.voters
        if message.term == self.term and can_campaign:
            self.start_election(transferred=True)

    def has_votes(self):
        """Whether a majority of the voters granted their vote."""
        return self.is_quorum(name for name, granted in self.votes.items() if granted)

    def is_quorum(self, identities):
        """Whether `identities` include a majority of the voters."""
        voters = set(self.voters)
        return len(voters.intersection(identities)) * 2 > len(voters)

    def set_role(self, role, leader):
        """Set the role and the known leader; report a change to the driver."""
        self.has_heard_leader = self.has_heard_leader or bool(leader)
        if leader:
            self.missed_elections = 0
        changed = (role, leader) != (self.role, self.leader)
        self.role = role
        self.leader = leader
        if changed:
            self.emit(RoleChanged(role, leader, self.term))

    def become_follower(self, term, leader):
        """Become a follower in `term`; `leader` is empty if unknown."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.emit(SaveVote(term, ""))
        self.refuse_reads()
        self.transferring = False
        self.set_role(FOLLOWER, leader)
        self.elapsed_ticks = 0
        self.election_ticks = self.draw_election_ticks()

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
        self.set_role(LEADER, self.identity)
        entry = Entry(first_index, self.term, EntryKind.NOTHING, b"")
        self.append_as_leader((entry,))

    def refuse_reads(self):
        """Refuse the reads that still wait for a quorum to confirm their round."""
        for _, token, _ in self.reads:
            self.emit(Refuse(token, "not_leader"))
        self.reads = []

    def tick_leader(self):
        """Send heartbeats when due; step down when no quorum responds."""
        for progress in self.progress_by_identity.values():
            progress.snapshot_ticks = max(0, progress.snapshot_ticks - 1)
            progress.probe_ticks = max(0, progress.probe_ticks - 1)
        if self.elapsed_ticks % HEARTBEAT_TICKS == 0:
            self.broadcast()
        if not self.may_lead and self.elapsed_ticks % TRANSFER_TICKS == 0:
            self.transfer_leadership()
        if self.elapsed_ticks >= ELECTION_TICKS[0]:
            self.check_quorum()

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

    def has_committed_in_term(self):
        """Whether an entry of this term is committed.

        Only then does the leader know that `commit_index` is up to date.
        """
        return self.log.term_at(self.commit_index) == self.term

    def append_as_leader(self, entries):
        """Append entries of this leader and send them to the followers."""
        self.append(entries, is_async=True)
        self.broadcast()

    def append(self, entries, is_async=False):
        """Append entries to the log, in memory and on disk."""
        self.membership.discard_from(entries[0].index)
        self.log.append(entries)
        for entry in entries:
            self.apply_member_entry(entry)
        self.emit(Append(tuple(entries), is_async))

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
        """Whether the member `identity` has every committed entry."""
        progress = self.progress_by_identity.get(identity)
        return progress is not None and progress.match_index >= self.commit_index

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
        progress.active = True
        progress.sequence = max(progress.sequence, message.sequence)
        if message.granted:
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.snapshot_ticks = 0
            progress.probe_index = None
            self.advance_commit()
        elif progress.is_snapshot_lost:
            # The follower is reachable again, so another snapshot can arrive.
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
        """Set the probe index after a rejection; return whether to probe again.

        The follower also rejects messages that were in transit before the last
        probe; their rejections give no new information and are ignored.
        """
        retry = min(message.index, self.log.last_index)
        known = progress.probe_index
        if known is not None and retry >= known and progress.probe_ticks:
            return False
        progress.probe_index = retry if known is None else min(retry, known)
        progress.probe_ticks = PROBE_TICKS
        progress.next_index = max(progress.match_index, progress.probe_index) + 1
        return True

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

    def step_down_if_removed(self):
        """Step down once the removal of this replica is committed.

        A last broadcast tells the followers that the removal is committed.
        """
        is_committed = self.membership.changed_index <= self.commit_index
        if is_committed and self.identity not in self.voters:
            self.broadcast()
            self.become_follower(self.term, "")

    def release_reads(self):
        """Answer the reads whose round a quorum has confirmed.

        A confirmed round also confirms all earlier ones.
        """
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
                self.emit(ReadReady(token, index))
            self.reads = [read for read in self.reads if read[0] > last]

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

    def other_voters(self):
        """Return the identities of all voters except this replica."""
        return [identity for identity in self.voters if identity != self.identity]

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
