"""
hingepitch.jobs.candidate
~~~~~~~~~~~~~~~~~~~~~~~~~

A new job on which admission control decides.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

from hingepitch.jobs.backlog import WaitingJob
from hingepitch.jobs.queue import Queue
from hingepitch.jobs.spec import JobSpec

__all__ = ["Candidate"]


@dataclass(slots=True)
class Candidate:
    """A new job on which admission decides.

    `caller`
        Name of the account of its caller, or empty.
    `account`
        The `ClientAccount` whose rate it counts for, or None.
    `chain_ms`
        Expected time of its critical path.
    `token_wait_ms`
        Time until its account has a token for it; 0 if it is within the rate.
    `work`
        Its `WaitingJob`.
    `wait_ms`
        Its estimated wait, once it has been judged; None if nothing would refuse it.
    `has_counted`
        Whether it was counted for its account by this call.
    """

    id: str
    caller: str
    account: object
    queue: Queue
    spec: JobSpec
    chain_ms: float
    token_wait_ms: float
    work: WaitingJob | None = None
    wait_ms: float | None = None
    has_counted: bool = False
