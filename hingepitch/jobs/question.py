"""
hingepitch.jobs.question
~~~~~~~~~~~~~~~~~~~~~~~~

Questions to the leader and their answers, as msgpack.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import msgspec

from hingepitch.error import HingepitchError
from hingepitch.jobs.queue import QueueConfig
from hingepitch.jobs.record import Minion
from hingepitch.jobs.spec import JobSpec

__all__ = [
    "AskCancel",
    "AskConfig",
    "AskJob",
    "AskMembers",
    "AskPending",
    "AskWave",
    "GiveConfig",
    "GiveJob",
    "GiveWave",
    "JoinGroup",
    "MemberRow",
    "NoteBeat",
    "NoteLeaving",
    "decode_question",
    "encode",
]


class Question(msgspec.Struct, tag=True, frozen=True):
    """Base of all questions; `answer` is the type of the answer."""


class GiveJob(Question, frozen=True):
    """Accept a job into the queue for `path` at `host`; answer: None."""

    id: str
    host: str
    path: str
    spec: JobSpec


class AskJob(Question, frozen=True):
    """What became of a job; answer: the value of its `JobStatus`."""

    id: str
    host: str
    path: str


class AskCancel(Question, frozen=True):
    """Cancel a job; answer: None."""

    id: str
    host: str
    path: str


class AskPending(Question, frozen=True):
    """How many jobs of a queue have not begun; answer: int."""

    host: str
    path: str


class GiveConfig(Question, frozen=True):
    """Replace the queues by a newer configuration; answer: None."""

    config: QueueConfig


class AskConfig(Question, frozen=True):
    """The configuration in force; answer: its document, or None."""


class GiveWave(Question, frozen=True):
    """Ask for the upkeep of VMs; answer: None."""

    number: int
    vms: tuple[str, ...]
    max_down: int
    duration_ms: int


class AskWave(Question, frozen=True):
    """Whether a wave is done; answer: bool."""

    number: int


class NoteBeat(Question, frozen=True):
    """A minion's account of itself; answer: None.

    `sequence`
        Rises with every call of one life.
    `clock_ms`
        Its steady clock.
    """

    minion: Minion
    sequence: int
    clock_ms: int | None


class NoteLeaving(Question, frozen=True):
    """A life of a minion has ended as planned; answer: None."""

    id: str


class JoinGroup(Question, frozen=True):
    """A replica announces itself; answer: list of `MemberRow`."""

    identity: str
    name: str
    address: str
    hall: str


class AskMembers(Question, frozen=True):
    """The replicas of the group, of any of them; answer: list of `MemberRow`."""


class MemberRow(msgspec.Struct, frozen=True):
    """A replica, where it takes calls, and whether it leads."""

    identity: str
    address: str
    is_leader: bool


QUESTIONS = (
    GiveJob
    | AskJob
    | AskCancel
    | AskPending
    | GiveConfig
    | AskConfig
    | GiveWave
    | AskWave
    | NoteBeat
    | NoteLeaving
    | JoinGroup
    | AskMembers
)

DECODER = msgspec.msgpack.Decoder(QUESTIONS)
ENCODER = msgspec.msgpack.Encoder()


def encode(value):
    """Return the bytes of a question or an answer."""
    return ENCODER.encode(value)


def decode_question(data):
    """Return the question of `data`; raise `bad_request`."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, TypeError, RecursionError) as error:
        raise HingepitchError("bad_request", f"not a question: {error}") from None
