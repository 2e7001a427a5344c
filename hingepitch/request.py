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
    """Whether a request without an answer may have been executed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Priority(enum.IntEnum):
    """Priority of a request; the lowest number is served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@dataclass(slots=True)
class Request:
    """A caller's request.

    `target`
        Path and query for the minion, unmodified.
    `deadline`
        Time in seconds on the clock `hingepitch.clock.lease_seconds`.
    `key`
        Idempotency key, or an empty string.
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
    """A complete answer of a minion.

    `headers`
        Headers without the hop-by-hop ones.
    """

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Failure:
    """The reason why a request has no answer.

    `code`
        Key of `hingepitch.error.ERROR_BY_CODE`.
    `run`
        NOT_RUN only if no byte was handed to any minion's socket.
    `is_refused`
        Whether nothing listens at the minion's address.
    """

    code: str
    run: Execution
    detail: str = ""
    retry_after_ms: int | None = None
    is_refused: bool = False
