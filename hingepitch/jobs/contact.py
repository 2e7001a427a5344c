"""
hingepitch.jobs.contact
~~~~~~~~~~~~~~~~~~~~~~~

What the dispatcher says to a minion and hears from it. The client that
puts this on a wire is given by the composition root.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass
from typing import NamedTuple

from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import TaskKey

__all__ = [
    "EndedRun",
    "Look",
    "LookOrder",
    "PaceOrder",
    "Reply",
    "ReplyKind",
    "RunningRow",
    "StartOrder",
    "StopOrder",
]


class ReplyKind(enum.Enum):
    """What a minion said to an order.

    `NOT_SENT` and `UNSURE` are no answers: in the first case the order has
    surely not reached the minion, in the second it may have, or still may.
    """

    DONE = "done"
    FENCED = "fenced"
    RUN_TOO_OLD = "run_too_old"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    BAD_ORDER = "bad_order"
    NOT_SENT = "not_sent"
    UNSURE = "unsure"


#: Replies after which an order has surely changed nothing at the minion.
REFUSALS = frozenset(
    (
        ReplyKind.FENCED,
        ReplyKind.TOO_LATE,
        ReplyKind.NO_ROOM,
        ReplyKind.BAD_TICKET,
        ReplyKind.UNHEALTHY,
        ReplyKind.BAD_ORDER,
        ReplyKind.NOT_SENT,
    )
)


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to an order.

    `clock_ms`
        The minion's clock when it answered, or None.
    """

    kind: ReplyKind
    clock_ms: int | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run.

    `lease_until_ms`
        On the minion's clock; all that runs there ends then unless the lease
        is renewed.
    `ticket`
        Permission for this minion, where its queue needs one.
    """

    task: TaskKey
    number: int
    payload: str
    lease_until_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run; a later start of it is then refused."""

    task: TaskKey
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a run work at `percent` of its speed."""

    task: TaskKey
    number: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class LookOrder:
    """List what runs and what ended, and renew the lease.

    `lease_until_ms`
        On the minion's clock; None leaves the lease as it is.
    `ends_taken`
        Ends up to this number are recorded and may be forgotten.
    `wait_ms`
        The minion may wait so long for an end before it answers.
    """

    fence: int
    ends_taken: int
    lease_until_ms: int | None = None
    wait_ms: int = 0


class RunningRow(NamedTuple):
    """A run that goes on.

    `load`
        Tail latency in milliseconds of a task that serves, else the
        millicores in use; a rough figure of the last half second.
    """

    task: TaskKey
    number: int
    checkpoint: str
    percent: int
    load: int = 0


class EndedRun(NamedTuple):
    """A run that ended; `sequence` rises within a life of a minion."""

    sequence: int
    task: TaskKey
    number: int
    result: RunResult
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Look:
    """The answer to a `LookOrder`; the lists are empty unless it is `DONE`.

    `unread_running`, `unread_ended`
        Rows that could not be read. With one of the first kind, a run that is
        not shown may still go on.
    """

    reply: Reply
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    unread_running: int = 0
    unread_ended: int = 0
