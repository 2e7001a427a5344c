"""
hingepitch.control.election
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Elections of the consensus core: pre-vote, votes and the role of a replica.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.control.message import MessageKind, RoleChanged, SaveVote

__all__ = [
    "CANDIDATE",
    "ELECTION_TICKS",
    "FOLLOWER",
    "LEADER",
    "PRE_CANDIDATE",
    "Election",
]

#: Bounds of the election timeout, in ticks; each timeout is drawn at random.
ELECTION_TICKS = (6, 12)

#: Bounds of the election timeout, in ticks, of a replica that has heard from no
#: leader since its start. They are lower because after a restart of all replicas
#: there is no leader, and each tick of waiting prolongs the outage. The pre-vote
#: keeps the replica from disturbing a group that has a leader.
FIRST_ELECTION_TICKS = (2, 5)

#: Election timeouts without a leader after which a replica that cannot apply the
#: log (`may_lead` is False) stands for election too. By then the replicas that can
#: apply it have failed to win an election, because they lack entries that this
#: replica has.
CARETAKER_ELECTIONS = 3

FOLLOWER = "follower"
CANDIDATE = "candidate"
PRE_CANDIDATE = "pre_candidate"
LEADER = "leader"


class Election:
    """The part of `Consensus` that decides which replica leads.

    It changes `role`, `leader`, `term`, `voted_for`, `votes`, `has_heard_leader`,
    `missed_elections` and the election timer (`elapsed_ticks`, `election_ticks`).
    The other parts change the role and the term only through its methods.
    """

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

    def other_voters(self):
        """Return the identities of all voters except this replica."""
        return [identity for identity in self.voters if identity != self.identity]

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
