"""
hingepitch.model.command
~~~~~~~~~~~~~~~~~~~~~~~~

Commands of the log and their outcomes.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

from hingepitch.jobs.command import JOB_COMMANDS
from hingepitch.model.record import Claim, JobState, Purpose

__all__ = ["COMMAND_BY_NAME", "Envelope", "Outcome", "Role"]


class Role(enum.Enum):
    """Who sends a command."""

    OPERATOR = "operator"
    ENTRY = "entry"
    PLANNER = "planner"
    DISPATCHER = "dispatcher"


@dataclass(frozen=True, slots=True)
class PutVm:
    """Register a VM, or change its labels and sizes.

    `pool` counts when the VM is new; later only the system moves it.
    """

    name: str
    pool: str
    hall: str
    rack: str
    ip: str
    labels: dict[str, str] = field(default_factory=dict)
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class PutPool:
    """Declare a pool."""

    name: str
    selector: str = ""
    gives: str = ""
    floor: int = 0


@dataclass(frozen=True, slots=True)
class PutService:
    """Declare a service."""

    name: str
    pool: str
    port: int
    selector: str = ""
    max_down: int = 1
    repeatable: bool = True
    deadline_ms: int = 2000
    slots: int = 8
    connections: int = 500
    max_body_bytes: int = 1_000_000


@dataclass(frozen=True, slots=True)
class PutTeam:
    """Declare a team."""

    name: str
    quota_cores: int
    quota_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class PutCampaign:
    """Declare a maintenance campaign; declared again, it starts anew."""

    name: str
    selector: str = ""
    every_seconds: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove an object of `kind`."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class TakePlannerLease:
    """Take or renew the right to plan."""

    holder: str
    seconds: int


@dataclass(frozen=True, slots=True)
class GrantPermit:
    """Take a VM out of service, within every budget it touches."""

    vm: str
    purpose: Purpose
    boot_id: str
    to_pool: str = ""


@dataclass(frozen=True, slots=True)
class MarkDrained:
    """No entry sends the VM anything, and nothing is in flight to it."""

    vm: str


@dataclass(frozen=True, slots=True)
class ReturnVm:
    """The VM has booted anew and is healthy: end its permit."""

    vm: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class MoveVm:
    """Put a drained VM into another pool: end its permit."""

    vm: str
    from_pool: str
    to_pool: str


@dataclass(frozen=True, slots=True)
class ReportLost:
    """The platform no longer sees the VM healthy."""

    vm: str


@dataclass(frozen=True, slots=True)
class ReportHealthy:
    """The platform sees a lost VM healthy again."""

    vm: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class JoinEntry:
    """Put an entry on the roster."""

    name: str
    hall: str


@dataclass(frozen=True, slots=True)
class OpenClaim:
    """Claim a request that may not be repeated, before it is sent."""

    service: str
    key: str
    digest: str
    entry: str


@dataclass(frozen=True, slots=True)
class CloseClaim:
    """Record the answer to a claimed request."""

    service: str
    key: str
    claim_version: int
    status: int
    content_type: str = ""
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Give a claim back: not one byte of the request left the entry."""

    service: str
    key: str
    claim_version: int


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Hand in a job."""

    name: str
    team: str
    pool: str
    selector: str = ""
    cores: int = 1
    memory_gb: int = 1
    accelerators: int = 0
    urgent: bool = False
    run_seconds: int = 1


@dataclass(frozen=True, slots=True)
class CancelJobs:
    """Cancel a batch of jobs; the ones that ended are left as they are."""

    names: list[str]


@dataclass(frozen=True, slots=True)
class PlaceJob:
    """Place a waiting job on a VM."""

    job: str
    vm: str


@dataclass(frozen=True, slots=True)
class EndJob:
    """Record the end of a placed job; WAITING puts it back in the queue.

    `is_lost`
        Whether its VM was lost under it, or nobody heard how it ended.
    """

    job: str
    lease: int
    state: JobState
    is_lost: bool = False


COMMAND_BY_NAME = {
    command.__name__: command
    for command in (
        PutVm,
        PutPool,
        PutService,
        PutTeam,
        PutCampaign,
        Delete,
        TakePlannerLease,
        GrantPermit,
        MarkDrained,
        ReturnVm,
        MoveVm,
        ReportLost,
        ReportHealthy,
        JoinEntry,
        OpenClaim,
        CloseClaim,
        ReleaseClaim,
        SubmitJob,
        CancelJobs,
        PlaceJob,
        EndJob,
        *JOB_COMMANDS,
    )
}


@dataclass(frozen=True, slots=True)
class Envelope:
    """A command with who sends it and on what ground.

    `command_id`
        Names the command across resends; empty: not remembered.
    `base_version`
        The version of the object that the sender saw; -1: any.
    `fence`
        The planner's fencing token; 0 for others.
    `at_seconds`
        Time of the leader that took the command, in seconds.
    """

    role: Role
    partner: str
    actor: str
    command: object
    command_id: str = ""
    base_version: int = -1
    fence: int = 0
    at_seconds: int = 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a command.

    `code`
        Empty if accepted, else a code of `hingepitch.error`.
    `version`
        The version of the state that has the change.
    `claim`
        For claims: the one that stands.
    `fence`
        For the lease to plan: its fencing token.
    """

    code: str = ""
    detail: str = ""
    version: int = 0
    claim: Claim | None = None
    fence: int = 0

    @property
    def accepted(self):
        """Whether the command took effect."""
        return not self.code
