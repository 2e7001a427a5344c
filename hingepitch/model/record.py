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
    "Life",
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


class Life(enum.Enum):
    """Where a VM is in its life."""

    LIVE = "live"
    LEAVING = "leaving"
    DRAINED = "drained"
    LOST = "lost"


class Purpose(enum.Enum):
    """What a permit takes a VM out for."""

    MAINTENANCE = "maintenance"
    MOVE = "move"


class ClaimState(enum.Enum):
    """What is known of a request that may not be repeated."""

    OPEN = "open"
    ANSWERED = "answered"


class JobState(enum.Enum):
    """Where a job is in its life."""

    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


#: States in which a job holds room on its VM.
PLACED_STATES = (JobState.RUNNING, JobState.STOPPING)


@dataclass(frozen=True, slots=True)
class Vm:
    """A machine that carries minions and jobs; it has exactly one pool."""

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
    life: Life = Life.LIVE
    maintained_version: int = 0
    maintained_at_seconds: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of VMs of one partner.

    `selector`
        Which VMs the pool takes from other pools.
    `gives`
        Which of its VMs it may give to other pools; empty string: none.
    `floor`
        The pool gives none away below this number of VMs.
    """

    name: str
    partner: str
    selector: str = ""
    gives: str = ""
    floor: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """What callers ask for; its minions are the VMs of `pool` it selects.

    `max_down`
        The availability budget: VMs of the service down at once.
    `slots`
        Requests in flight at one minion, for one entry.
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
    """A team of one partner with its quota."""

    name: str
    partner: str
    quota_cores: int
    quota_accelerators: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Campaign:
    """A declared maintenance: the VMs selected are to be rebooted once.

    `every_seconds`
        Maintain again after this time; 0: only once.
    """

    name: str
    partner: str
    selector: str = ""
    every_seconds: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class Permit:
    """The right of the planner to take one VM out of service."""

    vm: str
    purpose: Purpose
    boot_id: str
    to_pool: str = ""
    version: int = 0


@dataclass(frozen=True, slots=True)
class PlannerLease:
    """Who plans; `fence` is the log index at which the lease was taken."""

    holder: str
    fence: int
    expires_at_seconds: int
    version: int = 0


@dataclass(frozen=True, slots=True)
class Claim:
    """A request that may not be repeated, claimed before it is sent."""

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
    """Work that runs on one VM for a time, under a lease of the platform.

    `lease`
        The version at which the job was placed; 0 while it is not.
    `losses`
        How often it was lost with its VM.
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
    """An entry on the roster."""

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
