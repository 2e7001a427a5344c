"""
hingepitch.jobs.command
~~~~~~~~~~~~~~~~~~~~~~~

Commands of the log that are about jobs.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

from hingepitch.jobs.crash import Blame
from hingepitch.jobs.queue import QueueConfig
from hingepitch.jobs.record import Minion, RunResult, UpkeepStage
from hingepitch.jobs.spec import JobSpec, TaskKey

__all__ = [
    "AcceptJob",
    "BeginMove",
    "BeginUpkeep",
    "CancelJob",
    "EndMove",
    "EndRuns",
    "JOB_COMMANDS",
    "OpenRounds",
    "PutQueues",
    "PutWave",
    "RegisterMinion",
    "RemoveMinion",
    "RunEnd",
    "SettleUpkeep",
    "Start",
    "StartRuns",
    "SuspectLife",
]


@dataclass(frozen=True, slots=True)
class PutQueues:
    """Replace the configuration, if it is newer than the one held."""

    config: QueueConfig


@dataclass(frozen=True, slots=True)
class AcceptJob:
    """Accept a job into the queue for `path` at `host`."""

    id: str
    host: str
    path: str
    spec: JobSpec
    at_ms: int


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job."""

    id: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class OpenRounds:
    """Begin the next due times of repeated jobs, by job."""

    jobs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Start:
    """One more run of a task on a minion."""

    task: TaskKey
    minion: str


@dataclass(frozen=True, slots=True)
class StartRuns:
    """Record runs before they are started; the ones that may not are left out.

    `gangs`
        Groups that start together or not at all.
    """

    starts: tuple[Start, ...]
    gangs: tuple[tuple[Start, ...], ...]
    at_ms: int


@dataclass(frozen=True, slots=True)
class RunEnd:
    """A run is over."""

    task: TaskKey
    number: int
    minion: str
    result: RunResult
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class EndRuns:
    """Record that runs are over."""

    ends: tuple[RunEnd, ...]
    at_ms: int


@dataclass(frozen=True, slots=True)
class RegisterMinion:
    """Add a life of a minion, or change what it says of itself."""

    minion: Minion
    at_ms: int


@dataclass(frozen=True, slots=True)
class RemoveMinion:
    """A life of a minion is over, and all its runs with it."""

    id: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class SuspectLife:
    """A life may have crashed; nothing is to blame once it answers again.

    Recorded before its end is. Versions that do not count crashes cannot read
    it, and so do not lead a group that does.
    """

    id: str
    blame: Blame


@dataclass(frozen=True, slots=True)
class PutWave:
    """Ask for the upkeep of VMs."""

    number: int
    vms: tuple[str, ...]
    max_down: int
    due_ms: int


@dataclass(frozen=True, slots=True)
class BeginUpkeep:
    """Take one VM of a wave for its upkeep, before the order goes out."""

    number: int
    vm: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class SettleUpkeep:
    """How far the upkeep of one VM has come.

    `stage`
        None: the platform has surely not taken the order, the VM waits again.
    """

    number: int
    vm: str
    stage: UpkeepStage | None


@dataclass(frozen=True, slots=True)
class BeginMove:
    """Take a VM without runs out of its pool, before the order goes out."""

    vm: str
    pool: str


@dataclass(frozen=True, slots=True)
class EndMove:
    """A move is over, or was refused."""

    vm: str


JOB_COMMANDS = (
    PutQueues,
    AcceptJob,
    CancelJob,
    OpenRounds,
    StartRuns,
    EndRuns,
    RegisterMinion,
    RemoveMinion,
    SuspectLife,
    PutWave,
    BeginUpkeep,
    SettleUpkeep,
    BeginMove,
    EndMove,
)
