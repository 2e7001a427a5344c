"""
hingepitch.model.command
~~~~~~~~~~~~~~~~~~~~~~~~

Commands that the log replicates, and their outcomes.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

from hingepitch.jobs.command import JOB_COMMANDS
from hingepitch.model.record import Claim, JobState, Purpose

__all__ = ["COMMAND_BY_NAME", "Envelope", "Outcome", "Role"]


class Role(enum.Enum):
    """Role of the sender of a command."""

    OPERATOR = "operator"
    ENTRY = "entry"
    PLANNER = "planner"
    DISPATCHER = "dispatcher"


@dataclass(frozen=True, slots=True)
class PutVm:
    """Register a VM, or change its labels and sizes.

    `pool`
        Initial pool of a new VM. For a registered VM it must be the current
        pool: only the planner moves VMs between pools.
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
    """Create or replace a pool."""

    name: str
    selector: str = ""
    gives: str = ""
    floor: int = 0


@dataclass(frozen=True, slots=True)
class PutService:
    """Create or replace a service."""

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
    """Create or replace a team."""

    name: str
    quota_cores: int
    quota_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class PutCampaign:
    """Declare a maintenance campaign; declaring it again restarts it."""

    name: str
    selector: str = ""
    every_seconds: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove the object `name` of `kind`."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class TakePlannerLease:
    """Acquire or renew the planner lease, for `seconds`."""

    holder: str
    seconds: int


@dataclass(frozen=True, slots=True)
class GrantPermit:
    """Grant a permit to take a VM out of service, within its services' budgets."""

    vm: str
    purpose: Purpose
    boot_id: str
    to_pool: str = ""


@dataclass(frozen=True, slots=True)
class MarkDrained:
    """Record that a VM is drained.

    No entry sends requests to it any more and none is in flight.
    """

    vm: str


@dataclass(frozen=True, slots=True)
class ReturnVm:
    """End the permit of a VM that has rebooted and is healthy."""

    vm: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class MoveVm:
    """Put a drained VM into another pool and end its permit."""

    vm: str
    from_pool: str
    to_pool: str


@dataclass(frozen=True, slots=True)
class ReportLost:
    """Record that a VM is lost: the platform reports it as unhealthy."""

    vm: str


@dataclass(frozen=True, slots=True)
class ReportHealthy:
    """Record that the platform reports a lost VM as healthy again."""

    vm: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class JoinEntry:
    """Register an entry, or update its hall."""

    name: str
    hall: str


@dataclass(frozen=True, slots=True)
class OpenClaim:
    """Claim a request that may not be repeated, before sending it."""

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
    """Delete the claim of a request of which the entry has sent no byte."""

    service: str
    key: str
    claim_version: int


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Submit a job."""

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
    """Cancel a batch of jobs; jobs that have ended stay unchanged."""

    names: list[str]


@dataclass(frozen=True, slots=True)
class PlaceJob:
    """Place a waiting job on a VM."""

    job: str
    vm: str


@dataclass(frozen=True, slots=True)
class EndJob:
    """Record the end of a placed job.

    `lease`
        The job's `lease` for the placement that ended; refused if it has another.
    `state`
        New state of the job; WAITING puts it back in the queue.
    `is_lost`
        Whether the job was lost with its VM, or its result is unknown.
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
    """A command with its sender and its preconditions.

    `command_id`
        Identifies the command when it is resent; empty: resends are not
        detected.
    `base_version`
        Version of the object that the sender has read; -1: any version.
    `fence`
        The planner's fencing token; 0 for others.
    `at_seconds`
        Time at which the leader accepted the command, in seconds.
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
    """The result of applying a command.

    `code`
        Empty if the command was accepted, else a code of `hingepitch.error`.
    `version`
        Version of the state that contains the change.
    `claim`
        For claim commands: the claim record in effect.
    `fence`
        For the planner lease: its fencing token.
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
