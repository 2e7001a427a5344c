"""
hingepitch.control.message
~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between replicas, and the events and actions of the consensus core.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

__all__ = [
    "Append",
    "Commit",
    "Durable",
    "Entry",
    "EntryKind",
    "Install",
    "MayLead",
    "Member",
    "Message",
    "MessageKind",
    "Propose",
    "Proposed",
    "ProposeMembers",
    "ReadReady",
    "ReadRequest",
    "Receive",
    "Recovered",
    "Refuse",
    "RoleChanged",
    "SaveVote",
    "Send",
    "SendSnapshot",
    "SnapshotLost",
    "Tick",
    "TransferLeadership",
]


class EntryKind(enum.IntEnum):
    """What a log entry carries: a command, the members, or nothing."""

    COMMAND = 0
    MEMBERS = 1
    NOTHING = 2


class MessageKind(enum.IntEnum):
    """Kinds of messages between replicas.

    CAMPAIGN_NOW asks the receiver to start an election at once, to transfer
    the leadership to it.
    """

    PRE_VOTE = 1
    PRE_VOTE_ANSWER = 2
    VOTE = 3
    VOTE_ANSWER = 4
    APPEND = 5
    APPEND_ANSWER = 6
    SNAPSHOT = 7
    CAMPAIGN_NOW = 8


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


@dataclass(frozen=True, slots=True)
class Member:
    """A replica that belongs to the group.

    `identity`
        Generated with its data folder; a new folder has a new identity.
    `voter`
        False for a learner, which neither votes nor counts towards a quorum.
    """

    identity: str
    name: str
    address: str
    hall: str
    voter: bool = True


@dataclass(frozen=True, slots=True)
class Message:
    """One message between replicas; the fields in use depend on `kind`.

    `index`, `log_term`
        APPEND: index and term of the entry before `entries`. Vote and pre-vote
        requests: of the sender's last entry. SNAPSHOT: of the last entry that
        the snapshot covers. APPEND_ANSWER: in `index`, the last entry that the
        follower has, or after a rejection the index to try next.
    `commit`
        APPEND: the commit index of the leader.
    `granted`
        Answers: whether the request was accepted. Vote requests: whether the
        leader asked the sender to campaign.
    `sequence`
        APPEND and its answer: number of the leader's latest read round.
    """

    kind: MessageKind
    sender: str
    receiver: str
    term: int
    index: int = 0
    log_term: int = 0
    commit: int = 0
    granted: bool = False
    sequence: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: bytes = b""


@dataclass(frozen=True, slots=True)
class Recovered:
    """Contents of the data folder when a replica starts."""

    identity: str
    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    snapshot_term: int = 0
    members: tuple[Member, ...] = ()
    entries: list[Entry] = field(default_factory=list)


# Events: the input of `Consensus.step`.


@dataclass(frozen=True, slots=True)
class Tick:
    """One tick, the core's unit of time, has passed."""


@dataclass(frozen=True, slots=True)
class Receive:
    """A message from another replica has arrived."""

    message: Message


@dataclass(frozen=True, slots=True)
class Propose:
    """Request to append commands; `tokens` identify them in the answers."""

    payloads: list[bytes]
    tokens: list[object]


@dataclass(frozen=True, slots=True)
class ProposeMembers:
    """Request to replace the members; at most one voter may change."""

    members: tuple[Member, ...]
    token: object


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Request for the index at which a linearizable read may be answered."""

    token: object


@dataclass(frozen=True, slots=True)
class Durable:
    """The entries up to `index`, the last of which has `term`, are durable."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class SnapshotLost:
    """A snapshot sent to `receiver` in `term` is known not to have arrived."""

    receiver: str
    term: int


@dataclass(frozen=True, slots=True)
class MayLead:
    """Whether this replica may lead, which requires that it can apply the log."""

    is_allowed: bool


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Request to transfer the leadership to the most up-to-date active voter."""


# Actions: the output of `Consensus.step`, for the driver to execute.


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Make the term and the vote durable before any later action."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class Append:
    """Make entries durable, replacing the log from the first of them on.

    `is_async`
        The entries are a leader's own. Later actions need not wait for the
        disk, provided that `Durable` tells the core when they are stored.
    """

    entries: tuple[Entry, ...]
    is_async: bool = False


@dataclass(frozen=True, slots=True)
class Install:
    """Replace the state by a snapshot; `members` are the members at `index`."""

    index: int
    term: int
    members: tuple[Member, ...]
    snapshot: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message once all earlier actions are durable."""

    message: Message


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Send a snapshot to a follower that lacks entries which were compacted."""

    receiver: str
    term: int


@dataclass(frozen=True, slots=True)
class Commit:
    """The entries up to `index` are committed and may be applied."""

    index: int


@dataclass(frozen=True, slots=True)
class Proposed:
    """The request of `token` was appended to the log as entry `index`."""

    token: object
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The read of `token` may be answered once `index` is applied."""

    token: object
    index: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request of `token` is refused with an error code."""

    token: object
    code: str


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """This replica has `role` in `term`; `leader` is empty if unknown."""

    role: str
    leader: str
    term: int
