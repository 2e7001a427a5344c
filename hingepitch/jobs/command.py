"""
hingepitch.jobs.command
~~~~~~~~~~~~~~~~~~~~~~~

The replicated log commands for jobs, minions and maintenance waves.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field

from hingepitch.jobs.crashes.crash import Blame
from hingepitch.jobs.queue import QueueConfig
from hingepitch.jobs.record import Minion, RunResult, UpkeepStage
from hingepitch.jobs.spec import JobSpec, TaskKey

__all__ = [
    "AcceptJob",
    "AgeTombstones",
    "BeginIncarnation",
    "BeginMove",
    "BeginUpkeep",
    "CancelJob",
    "CancelUnknownJob",
    "CordonHall",
    "EndMove",
    "EndRuns",
    "JOB_COMMANDS",
    "OpenRounds",
    "PutAccountQueues",
    "PutQueues",
    "PutWave",
    "RegisterMinion",
    "RemoveMinion",
    "RunEnd",
    "SettleUpkeep",
    "Start",
    "StartRuns",
    "SuspectLife",
    "UncordonHall",
]


#: Results of runs that a minion has executed, and of those of a gang whose members were
#: all present.
EXECUTED_RESULTS = frozenset(
    (
        RunResult.DONE,
        RunResult.FAILED,
        RunResult.STOPPED,
        RunResult.LAPSED,
        RunResult.BROKEN,
    )
)
ASSEMBLED_RESULTS = frozenset((RunResult.DONE, RunResult.FAILED))


@dataclass(frozen=True, slots=True)
class PutQueues:
    """Replace the queue configuration if the version is newer than the current one."""

    config: QueueConfig


@dataclass(frozen=True, slots=True)
class PutAccountQueues:
    """Like `PutQueues`, for a deployment with client accounts.

    Versions that check no keys cannot read this command, and so cannot lead a group
    that uses it. From then on `PutQueues`, which they send, is refused.
    """

    config: QueueConfig


@dataclass(frozen=True, slots=True)
class AcceptJob:
    """Accept a job into the queue for `path` at `host`.

    `key`
        Digest of the key that the call bears; None from versions without keys.
    `known_index`
        Log index that the entry knew before the call arrived; None from versions that
        do not tell.
    """

    id: str
    host: str
    path: str
    spec: JobSpec
    at_ms: int
    key: bytes | None = field(default=None, repr=False)
    known_index: int | None = None


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job at the request of a call for `path` at `host`.

    `key`
        As in `AcceptJob`.
    """

    id: str
    at_ms: int
    host: str = ""
    path: str = ""
    key: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class CancelUnknownJob:
    """Like `CancelJob`, for a job that is not known.

    It leaves a tombstone, so that the job is not accepted by a call from before its
    cancellation. Versions without tombstones cannot read this command, and so cannot
    lead a group that uses it.
    """

    id: str
    at_ms: int
    host: str
    path: str
    key: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class AgeTombstones:
    """Begin the next generation of tombstones; the oldest are dropped."""


@dataclass(frozen=True, slots=True)
class OpenRounds:
    """Open the next round of each of the repeated jobs."""

    jobs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Start:
    """A new run of a task on a minion."""

    task: TaskKey
    minion: str


@dataclass(frozen=True, slots=True)
class StartRuns:
    """Record runs before they are started; skip those that may not start.

    `gangs`
        Groups of runs, each of which is recorded as a whole or not at all.
    """

    starts: tuple[Start, ...]
    gangs: tuple[tuple[Start, ...], ...]
    at_ms: int


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run, with its result."""

    task: TaskKey
    number: int
    minion: str
    result: RunResult
    checkpoint: str = ""

    def shows_beginning(self, step):
        """Whether the end shows that a minion has begun the task, one of `step`."""
        results = ASSEMBLED_RESULTS if step.gang else EXECUTED_RESULTS
        return bool(self.checkpoint) or self.result in results


@dataclass(frozen=True, slots=True)
class EndRuns:
    """Record that runs are confirmed ended, and that jobs have begun.

    `begun_jobs`
        Ids of jobs of which a minion has begun a task. Versions without this field
        take a job as begun once a run of it is recorded.
    """

    ends: tuple[RunEnd, ...]
    at_ms: int
    begun_jobs: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RegisterMinion:
    """Add a minion incarnation, or update what it reports about itself."""

    minion: Minion
    at_ms: int


@dataclass(frozen=True, slots=True)
class BeginIncarnation:
    """Record that a minion has started again under its id.

    The runs recorded on it stay: the new incarnation may have carried out an order
    for the one before, so each run ends only once the minion is seen without it.
    Versions that do not tell incarnations of one id apart cannot read this command,
    and so cannot lead a group that uses it.
    """

    minion: Minion
    at_ms: int


@dataclass(frozen=True, slots=True)
class RemoveMinion:
    """End a minion incarnation and all its runs.

    `born_ms`
        When the incarnation began; it is not ended if another one has this id by
        now. 0: whichever has it.
    """

    id: str
    at_ms: int
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class SuspectLife:
    """Record which tasks to suspect if an unresponsive minion has crashed.

    Recorded before `RemoveMinion`; an empty `Blame` withdraws the suspicion once the
    minion answers again. Versions that do not count crashes cannot read this
    command, and so cannot lead a group that uses it.
    """

    id: str
    blame: Blame


@dataclass(frozen=True, slots=True)
class PutWave:
    """Add a wave of VMs due for maintenance."""

    number: int
    vms: tuple[str, ...]
    max_down: int
    due_ms: int


@dataclass(frozen=True, slots=True)
class BeginUpkeep:
    """Reserve a VM of a wave for maintenance before the platform is ordered."""

    number: int
    vm: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class SettleUpkeep:
    """Record the stage of the maintenance of one VM.

    `stage`
        None: it is confirmed that the platform has not accepted the order; the
        VM waits again.
    """

    number: int
    vm: str
    stage: UpkeepStage | None


@dataclass(frozen=True, slots=True)
class BeginMove:
    """Reserve a VM without runs for a move before the platform is ordered."""

    vm: str
    pool: str


@dataclass(frozen=True, slots=True)
class EndMove:
    """Record that the move of a VM is over or was refused."""

    vm: str


@dataclass(frozen=True, slots=True)
class CordonHall:
    """Let no run start on the minions of a hall.

    Versions without cordons cannot read this command, and so cannot lead a group that
    uses it.

    `base_revision`
        The revision of the cordons on which the order is based. An order that was
        delayed until after another change has an old one and is refused.
    """

    hall: str
    at_ms: int
    base_revision: int


@dataclass(frozen=True, slots=True)
class UncordonHall:
    """Let runs start on the minions of a hall again.

    `base_revision`
        As in `CordonHall`.
    """

    hall: str
    base_revision: int


JOB_COMMANDS = (
    PutQueues,
    PutAccountQueues,
    AcceptJob,
    CancelJob,
    CancelUnknownJob,
    AgeTombstones,
    OpenRounds,
    StartRuns,
    EndRuns,
    RegisterMinion,
    BeginIncarnation,
    RemoveMinion,
    SuspectLife,
    PutWave,
    BeginUpkeep,
    SettleUpkeep,
    BeginMove,
    EndMove,
    CordonHall,
    UncordonHall,
)
