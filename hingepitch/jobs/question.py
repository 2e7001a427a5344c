"""
hingepitch.jobs.question
~~~~~~~~~~~~~~~~~~~~~~~~

Requests to the leader and their responses, encoded as msgpack.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import msgspec

from hingepitch.error import HingepitchError
from hingepitch.jobs.halls.cordon import HallCordon
from hingepitch.jobs.queue import QueueConfig
from hingepitch.jobs.record import Minion
from hingepitch.jobs.spec import JobSpec

__all__ = [
    "AskCancel",
    "AskConfig",
    "AskHalls",
    "AskJob",
    "AskKeys",
    "AskLogIndex",
    "AskMembers",
    "AskPending",
    "AskWave",
    "GiveAccountConfig",
    "GiveConfig",
    "GiveJob",
    "GiveWave",
    "HallListing",
    "JoinGroup",
    "KeyListing",
    "ListedQueue",
    "MemberRow",
    "NoteBeat",
    "NoteLeaving",
    "SetCordon",
    "UNREAD_REQUEST",
    "decode_request",
    "encode",
]


class Question(msgspec.Struct, tag=True, frozen=True):
    """Base class of all requests; each docstring names the type of the response."""


class GiveJob(Question, frozen=True):
    """Accept a job into the queue for `path` at `host`; response: None.

    `key`
        Digest of the key that the call bears, or `NO_KEY`. None from versions that
        pass on no keys.
    `knows_admission_errors`
        Whether the sender knows the error codes of admission control. Earlier versions
        would answer them with 500, from which no caller can tell that the job never
        runs.
    `known_index`
        Log index that the entry knew before the call arrived. None from versions that
        do not tell, which do not know the codes of calls that are refused by it.
    """

    id: str
    host: str
    path: str
    spec: JobSpec
    key: bytes | None = None
    knows_admission_errors: bool = False
    known_index: int | None = None


class AskJob(Question, frozen=True):
    """Get the status of a job; response: the value of its `JobStatus`."""

    id: str
    host: str
    path: str
    key: bytes | None = None


class AskCancel(Question, frozen=True):
    """Cancel a job; response: None."""

    id: str
    host: str
    path: str
    key: bytes | None = None


class AskPending(Question, frozen=True):
    """Get the number of jobs in a queue that have not begun; response: int."""

    host: str
    path: str
    key: bytes | None = None


class GiveConfig(Question, frozen=True):
    """Replace the queues by a newer configuration; response: None."""

    config: QueueConfig


class GiveAccountConfig(Question, frozen=True):
    """Like `GiveConfig`, for a deployment with client accounts; response: None.

    A leader of a version without accounts cannot read it, so it cannot put the
    queues in force without the keys that they need.
    """

    config: QueueConfig


class AskConfig(Question, frozen=True):
    """Get the configuration in force; response: its document, or None."""


class AskKeys(Question, frozen=True):
    """Get what tells unknown keys; response: `KeyListing`, or None if unchanged.

    `known_version`
        Version of the configuration whose listing the sender has; 0: none.
    """

    known_version: int


class GiveWave(Question, frozen=True):
    """Request maintenance of VMs; response: None.

    `max_down`
        Maximum number of the VMs that may be down at once.
    """

    number: int
    vms: tuple[str, ...]
    max_down: int
    duration_ms: int


class AskWave(Question, frozen=True):
    """Get whether a wave is done; response: bool."""

    number: int


class AskHalls(Question, frozen=True):
    """Get the cordoned halls; response: `HallListing`."""


class SetCordon(Question, frozen=True):
    """Cordon or uncordon a hall; response: None.

    A hall in the requested state is no error. `stale_version`: the cordons have
    changed since `base_revision`.

    `base_revision`
        The revision that the sender read before it saw that its caller still waits.
    `is_listed`
        Whether the settings of the sender list the hall. Otherwise it must be the
        hall of a registered minion, or cordoned.
    `caller`
        Address of the operator, for the log.
    """

    hall: str
    is_cordoned: bool
    base_revision: int
    is_listed: bool
    caller: str = ""


class NoteBeat(Question, frozen=True):
    """Heartbeat of a minion with its current record; response: None.

    `sequence`
        Increases with every call of one incarnation.
    `clock_ms`
        The minion's monotonic clock, or None.
    `warm_up_ms`
        For how long the minion is still slow after its start; 0: it is warm, or the
        sender is a version that does not pass it on.
    """

    minion: Minion
    sequence: int
    clock_ms: int | None
    warm_up_ms: int = 0


class NoteLeaving(Question, frozen=True):
    """Report the planned end of an incarnation of a minion; response: None."""

    id: str


class JoinGroup(Question, frozen=True):
    """Announce a replica to the group; response: list of `MemberRow`."""

    identity: str
    name: str
    address: str
    hall: str


class AskLogIndex(Question, frozen=True):
    """Get the index of the last applied log entry from any replica; response: int."""


class AskMembers(Question, frozen=True):
    """Get the replicas of the group from any replica; response: list of `MemberRow`."""


class MemberRow(msgspec.Struct, frozen=True):
    """A replica, the address at which it takes calls, and whether it leads."""

    identity: str
    address: str
    is_leader: bool


class ListedQueue(msgspec.Struct, frozen=True, array_like=True):
    """Where a queue is called, and whether that needs no key."""

    host: str
    path_prefix: str
    is_public: bool


class KeyListing(msgspec.Struct, frozen=True):
    """The queues and the digests of all keys of a configuration.

    `version`
        Version of the configuration.
    """

    version: int
    queues: list[ListedQueue]
    key_digests: list[bytes]


class HallListing(msgspec.Struct, frozen=True):
    """The cordoned halls, and the revision of the cordons."""

    revision: int
    cordons: list[HallCordon]


REQUESTS = (
    GiveJob
    | AskJob
    | AskCancel
    | AskPending
    | GiveConfig
    | GiveAccountConfig
    | AskConfig
    | AskKeys
    | GiveWave
    | AskWave
    | AskHalls
    | SetCordon
    | NoteBeat
    | NoteLeaving
    | JoinGroup
    | AskMembers
    | AskLogIndex
)

#: Start of the detail by which every version says that it cannot decode a request.
UNREAD_REQUEST = "invalid request"

DECODER = msgspec.msgpack.Decoder(REQUESTS)
ENCODER = msgspec.msgpack.Encoder()


def encode(value):
    """Return the msgpack encoding of a request or a response."""
    return ENCODER.encode(value)


def decode_request(data):
    """Return the request decoded from `data`; raise `bad_request` if it is invalid."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, TypeError, RecursionError) as error:
        raise HingepitchError("bad_request", f"{UNREAD_REQUEST}: {error}") from None
