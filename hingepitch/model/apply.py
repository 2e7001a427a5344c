"""
hingepitch.model.apply
~~~~~~~~~~~~~~~~~~~~~~

The replicated state machine. It refuses every command that would break an
invariant. It uses neither a clock nor random numbers, so the same log always
gives the same state.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from functools import singledispatch

from hingepitch.error import HingepitchError
from hingepitch.jobs import command as job_commands, rule as job_rule
from hingepitch.model import command as commands
from hingepitch.model.command import Outcome, Role
from hingepitch.model.record import Claim, PlannerLease
from hingepitch.model.rule import Refusal, apply_command
from hingepitch.model.rules.claim import expire_claims
from hingepitch.model.rules.job import drop_ended_jobs

__all__ = ["apply", "is_resend", "object_of"]

#: Keeps the import, which registers the rules for jobs.
JOB_RULES = job_rule

#: Command ids kept, so that a resent command gets its original outcome.
MAX_COMMAND_IDS = 20_000


def apply(state, envelope, index):
    """Apply the command of `envelope` at log `index`; return its `Outcome`.

    A resent command changes nothing and gets its original outcome.
    """
    state.now_seconds = max(state.now_seconds, envelope.at_seconds)
    command_id = full_command_id(envelope)
    if command_id in state.outcome_by_command_id:
        return state.outcome_by_command_id[command_id]
    outcome = check_and_apply(state, envelope, index)
    if command_id:
        store_outcome(state, command_id, outcome)
    expire_claims(state, index)
    drop_ended_jobs(state, index)
    return outcome


def full_command_id(envelope):
    """Return the command id prefixed by the partner; empty if there is no id."""
    return envelope.command_id and f"{envelope.partner}/{envelope.command_id}"


def is_resend(state, envelope):
    """Whether the command of `envelope` already has an outcome."""
    return full_command_id(envelope) in state.outcome_by_command_id


def check_and_apply(state, envelope, index):
    """Check and apply a command seen for the first time; return its outcome."""
    try:
        check_role(envelope)
        check_fence(state, envelope)
        check_version(state, envelope)
        stored_record = apply_command(envelope.command, state, envelope, index)
    except Refusal as refusal:
        return refusal.outcome
    except HingepitchError as error:
        return Outcome(code=error.code, detail=error.detail)
    claim = stored_record if isinstance(stored_record, Claim) else None
    fence = stored_record.fence if isinstance(stored_record, PlannerLease) else 0
    return Outcome(version=state.version, claim=claim, fence=fence)


def store_outcome(state, command_id, outcome):
    """Keep the outcome for resends, and drop the oldest beyond the limit."""
    state.outcome_by_command_id[command_id] = outcome
    while len(state.outcome_by_command_id) > MAX_COMMAND_IDS:
        del state.outcome_by_command_id[next(iter(state.outcome_by_command_id))]


def check_role(envelope):
    """Refuse a command that the role of the sender may not send."""
    if type(envelope.command) not in COMMANDS_BY_ROLE[envelope.role]:
        raise Refusal("forbidden", f"not a command of {envelope.role.value}")


def check_fence(state, envelope):
    """Refuse a planner whose fencing token is not the one of the current lease."""
    if envelope.role is not Role.PLANNER:
        return
    if isinstance(envelope.command, commands.TakePlannerLease):
        return
    lease = state.get("planner_lease", "planner")
    if lease is None or lease.fence != envelope.fence:
        raise Refusal("stale_fence", f"fence {envelope.fence} is not the last")


def check_version(state, envelope):
    """Refuse a command based on a version of its object that is not current."""
    if envelope.base_version < 0:
        return
    kind, name = object_of(envelope.command)
    record = state.get(kind, name) if kind else None
    current = record.version if record else 0
    if current != envelope.base_version:
        raise Refusal("stale_version", f"the current version is {current}")


@singledispatch
def object_of(command):
    """Return `(kind, name)` of the object that an operator's command changes.

    Both are empty for commands without such an object.
    """
    return "", ""


@object_of.register
def _(command: commands.PutVm):
    return "vm", command.name


@object_of.register
def _(command: commands.PutPool):
    return "pool", command.name


@object_of.register
def _(command: commands.PutService):
    return "service", command.name


@object_of.register
def _(command: commands.PutTeam):
    return "team", command.name


@object_of.register
def _(command: commands.PutCampaign):
    return "campaign", command.name


@object_of.register
def _(command: commands.Delete):
    return command.kind, command.name


@object_of.register
def _(command: commands.SubmitJob):
    return "job", command.name


COMMANDS_BY_ROLE = {
    Role.OPERATOR: {
        commands.PutVm,
        commands.PutPool,
        commands.PutService,
        commands.PutTeam,
        commands.PutCampaign,
        commands.Delete,
        commands.SubmitJob,
        commands.CancelJobs,
        job_commands.PutQueues,
        job_commands.PutAccountQueues,
        job_commands.PutWave,
        job_commands.CordonHall,
        job_commands.UncordonHall,
    },
    Role.ENTRY: {
        commands.JoinEntry,
        commands.OpenClaim,
        commands.CloseClaim,
        commands.ReleaseClaim,
        commands.SubmitJob,
        commands.CancelJobs,
        job_commands.AcceptJob,
        job_commands.CancelJob,
        job_commands.CancelUnknownJob,
    },
    Role.DISPATCHER: {
        job_commands.AgeTombstones,
        job_commands.OpenRounds,
        job_commands.StartRuns,
        job_commands.EndRuns,
        job_commands.RegisterMinion,
        job_commands.BeginIncarnation,
        job_commands.RemoveMinion,
        job_commands.SuspectLife,
        job_commands.BeginUpkeep,
        job_commands.SettleUpkeep,
        job_commands.BeginMove,
        job_commands.EndMove,
    },
    Role.PLANNER: {
        commands.TakePlannerLease,
        commands.GrantPermit,
        commands.MarkDrained,
        commands.ReturnVm,
        commands.MoveVm,
        commands.ReportLost,
        commands.ReportHealthy,
        commands.PlaceJob,
        commands.EndJob,
    },
}
