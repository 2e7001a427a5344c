"""
hingepitch.jobs.agents.contact
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Orders from the dispatcher to a minion and the minion's replies. The composition
root supplies the client that sends them.

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
    "PollResult",
    "PollOrder",
    "PaceOrder",
    "Reply",
    "ReplyKind",
    "RunEvidence",
    "RunningRow",
    "StartOrder",
    "StopOrder",
]


class ReplyKind(enum.Enum):
    """Kind of a minion's reply to an order.

    `NOT_SENT` and `UNSURE` stand for a missing reply. `NOT_SENT`: the order has
    certainly not reached the minion. `UNSURE`: the outcome is unknown, as the
    order may have reached the minion or may still do so.

    `OTHER_LIFE`: a minion with another id has replied. `RESTARTED`: another
    incarnation of the minion has replied; what it did is unknown.
    """

    DONE = "done"
    FENCED = "fenced"
    RUN_TOO_OLD = "run_too_old"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    RESTARTED = "restarted"
    BAD_ORDER = "bad_order"
    NOT_SENT = "not_sent"
    UNSURE = "unsure"


#: Replies which guarantee that an order changed nothing on the minion.
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
    """A minion's reply to an order.

    `clock_ms`
        The minion's clock when it replied, or None.
    `is_refused`
        Whether nothing listens at the minion's address.
    """

    kind: ReplyKind
    clock_ms: int | None = None
    detail: str = ""
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    `lease_until_ms`
        Lease expiry on the minion's clock; all runs on the minion end then unless
        the lease is renewed.
    `fence`
        Fencing token of the leadership that gives the order.
    `ticket`
        Permission to use this minion, if the queue of the job needs one.
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
    """Order to stop a run; the minion then refuses a later start of the run."""

    task: TaskKey
    number: int
    fence: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Order to let a run work at `percent` of its full speed."""

    task: TaskKey
    number: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class PollOrder:
    """Status poll: order to list running and ended runs and to renew the lease.

    `lease_until_ms`
        Lease expiry on the minion's clock; None does not renew the lease.
    `ends_recorded`
        The ends up to this sequence number are recorded; the minion may forget
        them.
    `wait_ms`
        Long-poll wait: how long the minion may wait for an end before it replies.
    """

    fence: int
    ends_recorded: int
    lease_until_ms: int | None = None
    wait_ms: int = 0


class RunningRow(NamedTuple):
    """A run in progress, as a minion lists it.

    `percent`
        Progress of the run; from 100, a long-running task is at work, that is,
        has warmed up.
    `load`
        Tail latency in milliseconds of a serving task, otherwise the millicores
        in use; an estimate over the last half second.
    """

    task: TaskKey
    number: int
    checkpoint: str
    percent: int
    load: int = 0


class EndedRun(NamedTuple):
    """A run that ended; `sequence` increases within an incarnation of a minion."""

    sequence: int
    task: TaskKey
    number: int
    result: RunResult
    checkpoint: str


class RunEvidence(enum.Enum):
    """What the reply to a status poll proves about one run.

    `RUNNING`: the run is in progress. `ENDED`: its end is listed. `OVER`: the run is
    not in progress, but it may have an end that is not in the reply. `ABSENT`: the
    run is not in progress and has no end that is yet to be acknowledged, so the
    minion never began it, or it is fenced off by a stop. `NOTHING`: the run may be
    in progress.
    """

    RUNNING = "running"
    ENDED = "ended"
    OVER = "over"
    ABSENT = "absent"
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True)
class PollResult:
    """Result of a `PollOrder`; the lists are empty unless the reply is `DONE`.

    `unread_running`, `unread_ended`
        Number of rows that could not be decoded. Each may be that of any run.
    `born_ms`
        When the incarnation that replied began, in milliseconds since the epoch;
        0 if it does not tell.
    `may_have_more_ends`
        Whether the minion may have further ends that it lists only once it has been
        told that the listed ones are recorded.
    """

    reply: Reply
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    unread_running: int = 0
    unread_ended: int = 0
    born_ms: int = 0
    may_have_more_ends: bool = False

    @property
    def has_all_running(self):
        """Whether a run that is not listed as running is not in progress."""
        return self.reply.kind is ReplyKind.DONE and not self.unread_running

    @property
    def has_all_ended(self):
        """Whether all ends that are yet to be acknowledged are listed."""
        return (
            self.reply.kind is ReplyKind.DONE
            and not self.unread_ended
            and not self.may_have_more_ends
        )

    @property
    def unlisted_evidence(self):
        """The `RunEvidence` about the runs that are in neither list."""
        if not self.has_all_running:
            return RunEvidence.NOTHING
        return RunEvidence.ABSENT if self.has_all_ended else RunEvidence.OVER

    def evidence_by_run(self):
        """Return the `RunEvidence` about the listed runs, by task and run number."""
        ended = {(one.task, one.number): RunEvidence.ENDED for one in self.ended}
        running = {(one.task, one.number): RunEvidence.RUNNING for one in self.running}
        return ended | running
