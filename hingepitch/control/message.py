"""
hingepitch.control.message
~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages, events and actions of the consensus core.

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
    "Transfer",
]


class EntryKind(enum.IntEnum):
    """What an entry of the log carries."""

    COMMAND = 0
    MEMBERS = 1
    NOTHING = 2


class MessageKind(enum.IntEnum):
    """Kinds of messages between replicas."""

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
    """A record of the log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


@dataclass(frozen=True, slots=True)
class Member:
    """A replica of the group.

    `identity`
        Written when its data folder was made; a new folder is a new one.
    `voter`
        False for a learner, which neither votes nor counts.
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
        APPEND: of the entry before `entries`. Votes: of the last entry.
        APPEND_ANSWER: what the follower has, or where to try again.
    `sequence`
        APPEND and its answer: the round, for confirmed reads.
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
    """What a replica finds in its data folder when it starts."""

    identity: str
    term: int = 0
    voted_for: str = ""
    snapshot_index: int = 0
    snapshot_term: int = 0
    members: tuple[Member, ...] = ()
    entries: list[Entry] = field(default_factory=list)


# Events.


@dataclass(frozen=True, slots=True)
class Tick:
    """A fixed piece of time has passed."""


@dataclass(frozen=True, slots=True)
class Receive:
    """A message has come."""

    message: Message


@dataclass(frozen=True, slots=True)
class Propose:
    """Commands for the log; `tokens` name them in the answers."""

    payloads: list[bytes]
    tokens: list[object]


@dataclass(frozen=True, slots=True)
class ProposeMembers:
    """A change of the members, one voter at a time."""

    members: tuple[Member, ...]
    token: object


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Wish for an index that a confirmed read may be answered at."""

    token: object


@dataclass(frozen=True, slots=True)
class Durable:
    """The entries up to `index`, the last one of `term`, are on the disk."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class SnapshotLost:
    """A snapshot sent to `receiver` in `term` surely did not arrive."""

    receiver: str
    term: int


@dataclass(frozen=True, slots=True)
class MayLead:
    """Whether this replica may lead: not while its state lacks an entry."""

    is_allowed: bool


@dataclass(frozen=True, slots=True)
class Transfer:
    """Hand the leadership to the voter that is the least behind."""


# Actions.


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Make the term and the vote durable before any later action."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class Append:
    """Make entries durable, replacing what stands from the first one on.

    `is_ahead`
        They are a leader's own: later actions need not wait for the disk, as
        long as `Durable` tells the core when they are there.
    """

    entries: tuple[Entry, ...]
    is_ahead: bool = False


@dataclass(frozen=True, slots=True)
class Install:
    """Replace the state by a snapshot, which has the members at its place."""

    index: int
    term: int
    members: tuple[Member, ...]
    snapshot: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message, once everything before it is durable."""

    message: Message


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """Send the last snapshot to a follower that is too far behind."""

    receiver: str
    term: int


@dataclass(frozen=True, slots=True)
class Commit:
    """Entries up to `index` are committed."""

    index: int


@dataclass(frozen=True, slots=True)
class Proposed:
    """The command of `token` has the place `index` in the log."""

    token: object
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read may be answered once `index` is applied."""

    token: object
    index: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request of `token` cannot be taken: a code of the table."""

    token: object
    code: str


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """This replica is now `role` in `term`; `leader` may be empty."""

    role: str
    leader: str
    term: int
