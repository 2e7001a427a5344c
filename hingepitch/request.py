"""
hingepitch.request
~~~~~~~~~~~~~~~~~~

Requests, answers and failures inside an entry.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

__all__ = ["Answer", "Failure", "Priority", "Request", "Execution"]


class Execution(enum.Enum):
    """What a caller may believe of a request without an answer."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Priority(enum.IntEnum):
    """Urgency of a request; the lowest number is served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@dataclass(slots=True)
class Request:
    """A caller's request.

    `target`
        Path and query for the minion, as they came.
    `deadline`
        On the clock of `hingepitch.clock.lease_seconds`.
    """

    service: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline: float
    priority: Priority = Priority.NORMAL
    key: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    `headers`
        Without the ones that belong to one connection.
    """

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Failure:
    """Why there is no answer.

    `code`
        Of the table in `hingepitch.error`.
    `run`
        NOT_RUN only if no byte was handed to any minion's socket.
    """

    code: str
    run: Execution
    detail: str = ""
    retry_after_ms: int | None = None
