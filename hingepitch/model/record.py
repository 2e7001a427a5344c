"""
hingepitch.model.record
~~~~~~~~~~~~~~~~~~~~~~~

The records of the replicated state.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

__all__ = [
    "Campaign",
    "Claim",
    "ClaimState",
    "EntryRecord",
    "Job",
    "JobState",
    "VmLifecycle",
    "Permit",
    "PLACED_STATES",
    "PlannerLease",
    "Pool",
    "Purpose",
    "RECORD_BY_KIND",
    "Service",
    "Team",
    "Vm",
]


class VmLifecycle(enum.Enum):
    """State of a VM in its lifecycle."""

    LIVE = "live"
    LEAVING = "leaving"
    DRAINED = "drained"
    LOST = "lost"


class Purpose(enum.Enum):
    """Why a permit takes a VM out of service."""

    MAINTENANCE = "maintenance"
    MOVE = "move"


class ClaimState(enum.Enum):
    """Whether the answer to a claimed request is recorded."""

    OPEN = "open"
    ANSWERED = "answered"


class JobState(enum.Enum):
    """State of a job in its lifecycle."""

    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


#: States in which a job takes capacity of its VM.
PLACED_STATES = (JobState.RUNNING, JobState.STOPPING)


@dataclass(frozen=True, slots=True)
class Vm:
    """A machine that runs minions and jobs and belongs to exactly one pool.

    `maintained_version`, `maintained_at_seconds`
        Version and time of the last maintenance; 0: never maintained.
    """

    name: str
    partner: str
    pool: str
    hall: str
    rack: str
    ip: str
    labels: dict[str, str] = field(default_factory=dict)
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0
    life: VmLifecycle = VmLifecycle.LIVE
    maintained_version: int = 0
    maintained_at_seconds: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of VMs of one partner.

    `selector`
        Selects the VMs that the pool takes from other pools.
    `gives`
        Selects the VMs that it may give to other pools; empty: none.
    `floor`
        Minimum number of VMs: at or below it, the pool gives none away.
    """

    name: str
    partner: str
    selector: str = ""
    gives: str = ""
    floor: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A service that callers request, with its minions and limits.

    Its minions are the VMs of `pool` that `selector` matches.

    `max_down`
        The disruption budget: how many VMs of the service may be down at once.
    `slots`
        Maximum number of requests in flight from one entry to one minion.
    """

    name: str
    partner: str
    pool: str
    port: int
    selector: str = ""
    max_down: int = 1
    repeatable: bool = True
    deadline_ms: int = 2000
    slots: int = 8
    connections: int = 500
    max_body_bytes: int = 1_000_000
    version: int = 0


@dataclass(frozen=True, slots=True)
class Team:
    """A team of a partner, with its quota for jobs."""

    name: str
    partner: str
    quota_cores: int
    quota_accelerators: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Campaign:
    """A declared maintenance that reboots each selected VM.

    `every_seconds`
        Time after which a VM is due for maintenance again; 0: only once.
    """

    name: str
    partner: str
    selector: str = ""
    every_seconds: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission for the planner to take one VM out of service.

    `boot_id`
        Boot id of the VM when the permit was granted; a different one shows
        that the VM has rebooted.
    `to_pool`
        For a move: the pool that takes the VM.
    """

    vm: str
    purpose: Purpose
    boot_id: str
    to_pool: str = ""
    version: int = 0


@dataclass(frozen=True, slots=True)
class PlannerLease:
    """The lease of the one planner that may act.

    `fence`
        Fencing token: the log index at which the lease was taken.
    """

    holder: str
    fence: int
    expires_at_seconds: int
    version: int = 0


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim of a request that may not be repeated, opened before sending.

    `key`
        Idempotency key of the request.
    `digest`
        Digest of the request, to detect a key reused for another one.
    `status`, `content_type`, `body`
        The answer, once it is recorded.
    """

    service: str
    key: str
    digest: str
    entry: str
    at_seconds: int
    state: ClaimState = ClaimState.OPEN
    status: int = 0
    content_type: str = ""
    body: bytes | None = None
    version: int = 0


@dataclass(frozen=True, slots=True)
class Job:
    """Work that runs on one VM for a limited time, under a platform lease.

    `lease`
        The version at which the job was placed; 0 while it is not placed.
    `losses`
        How many times the job was lost together with its VM.
    """

    name: str
    partner: str
    team: str
    pool: str
    selector: str = ""
    cores: int = 1
    memory_gb: int = 1
    accelerators: int = 0
    urgent: bool = False
    run_seconds: int = 1
    state: JobState = JobState.WAITING
    vm: str = ""
    lease: int = 0
    attempts: int = 0
    version: int = 0
    losses: int = 0


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """An entry that has joined the fleet."""

    name: str
    hall: str
    version: int = 0


RECORD_BY_KIND = {
    "vm": Vm,
    "pool": Pool,
    "service": Service,
    "team": Team,
    "campaign": Campaign,
    "permit": Permit,
    "planner_lease": PlannerLease,
    "claim": Claim,
    "job": Job,
    "entry": EntryRecord,
}
