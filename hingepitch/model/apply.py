"""
hingepitch.model.apply
~~~~~~~~~~~~~~~~~~~~~~

The state machine: it refuses whatever would break a promise. It reads
no clock and no randomness; the same log gives the same state.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import asdict, replace
from functools import singledispatch

from hingepitch.error import HingepitchError
from hingepitch.model import command as commands
from hingepitch.model.command import Outcome, Role
from hingepitch.model.record import (
    PLACED_STATES,
    Campaign,
    Claim,
    ClaimState,
    EntryRecord,
    Job,
    JobState,
    Life,
    Permit,
    PlannerLease,
    Pool,
    Purpose,
    Service,
    Team,
    Vm,
)
from hingepitch.model.selector import matches, parse_selector

__all__ = ["CLAIM_RETENTION_SECONDS", "apply", "claim_key", "is_resend", "object_of"]

#: Command ids kept, so that a resent command gets its first outcome.
MAX_COMMAND_IDS = 20_000

#: How long an answered claim is kept after its request was claimed.
CLAIM_RETENTION_SECONDS = 24 * 3600

#: Claims kept before answered ones go earlier, but not before this age.
MAX_CLAIMS = 50_000
MIN_CLAIM_RETENTION_SECONDS = 3600

#: With so many claims, new ones are refused: the young ones must stay.
REFUSE_CLAIMS_ABOVE = 2 * MAX_CLAIMS

#: Jobs kept after their end.
MAX_ENDED_JOBS = 20_000

#: A claim older than the deadline by this much has an unknown outcome.
CLAIM_GRACE_SECONDS = 2

#: Kinds that an operator may delete.
DELETABLE_KINDS = ("vm", "pool", "service", "team", "campaign")

#: A running job keeps its room until the platform has stopped it.
STATE_AFTER_CANCEL = {
    JobState.WAITING: JobState.CANCELLED,
    JobState.RUNNING: JobState.STOPPING,
}


class Refusal(Exception):
    """Ends the application of a command; becomes its outcome."""

    def __init__(self, code, detail="", claim=None):
        super().__init__(code)
        self.outcome = Outcome(code=code, detail=detail, claim=claim)


def apply(state, envelope, index):
    """Apply the command of `envelope` at log `index`; return its `Outcome`.

    A resent command changes nothing and gets its first outcome.
    """
    state.now_seconds = max(state.now_seconds, envelope.at_seconds)
    command_id = full_command_id(envelope)
    if command_id in state.outcome_by_command_id:
        return state.outcome_by_command_id[command_id]
    outcome = decide(state, envelope, index)
    if command_id:
        remember_outcome(state, command_id, outcome)
    expire_claims(state, index)
    forget_ended_jobs(state, index)
    return outcome


def full_command_id(envelope):
    """Return the command id, told apart by partner; empty if there is none."""
    return envelope.command_id and f"{envelope.partner}/{envelope.command_id}"


def is_resend(state, envelope):
    """Whether the command of `envelope` was decided before."""
    return full_command_id(envelope) in state.outcome_by_command_id


def decide(state, envelope, index):
    """Return the outcome of a command seen for the first time."""
    try:
        check_role(envelope)
        check_fence(state, envelope)
        check_version(state, envelope)
        made = apply_command(envelope.command, state, envelope, index)
    except Refusal as refusal:
        return refusal.outcome
    except HingepitchError as error:
        return Outcome(code=error.code, detail=error.detail)
    claim = made if isinstance(made, Claim) else None
    fence = made.fence if isinstance(made, PlannerLease) else 0
    return Outcome(version=state.version, claim=claim, fence=fence)


def remember_outcome(state, command_id, outcome):
    """Keep the outcome for resends, and forget the oldest ones."""
    state.outcome_by_command_id[command_id] = outcome
    while len(state.outcome_by_command_id) > MAX_COMMAND_IDS:
        del state.outcome_by_command_id[next(iter(state.outcome_by_command_id))]


def check_role(envelope):
    """Refuse commands that the sender's role may not give."""
    if type(envelope.command) not in COMMANDS_BY_ROLE[envelope.role]:
        raise Refusal("forbidden", f"not a command of {envelope.role.value}")


def check_fence(state, envelope):
    """Refuse a planner whose lease has passed to another."""
    if envelope.role is not Role.PLANNER:
        return
    if isinstance(envelope.command, commands.TakePlannerLease):
        return
    lease = state.get("planner_lease", "planner")
    if lease is None or lease.fence != envelope.fence:
        raise Refusal("stale_fence", f"fence {envelope.fence} is not the last")


def check_version(state, envelope):
    """Refuse a command made against another version of its object."""
    if envelope.base_version < 0:
        return
    kind, name = object_of(envelope.command)
    record = state.get(kind, name) if kind else None
    current = record.version if record else 0
    if current != envelope.base_version:
        raise Refusal("stale_version", f"the current version is {current}")


@singledispatch
def object_of(command):
    """Return `(kind, name)` of the object of an operator's command."""
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


def claim_key(service_name, key):
    """Return the key of a claim record."""
    return f"{service_name}/{key}"


def need(state, kind, name, partner=None):
    """Return the record, or refuse; with `partner`, it must be theirs."""
    record = state.get(kind, name)
    if record is None:
        raise Refusal("unknown_object", f"no {kind} {name}")
    if partner is not None and record.partner != partner:
        raise Refusal("forbidden", f"{kind} {name} belongs to {record.partner}")
    return record


def check_owner(state, kind, name, partner):
    """Refuse to replace an object of the other partner; return it or None."""
    record = state.get(kind, name)
    if record is not None and record.partner != partner:
        raise Refusal("forbidden", f"{kind} {name} belongs to {record.partner}")
    return record


def check_life(vm, *allowed):
    """Refuse when `vm` is in none of the states `allowed`."""
    if vm.life not in allowed:
        raise Refusal("wrong_life", f"VM {vm.name} is {vm.life.value}")


def check_budgets(state, vm, added=1):
    """Refuse when `added` more VMs down would break a budget of `vm`."""
    for service in state.services_of(vm):
        down = state.count_down(service)
        if down + added > service.max_down:
            raise Refusal(
                "budget_spent",
                f"service {service.name}: {down} of {service.max_down} down",
            )


@singledispatch
def apply_command(command, state, envelope, index):
    """Apply one command; raise `Refusal` before any change.

    Returns the claim or planner lease it made, if it made one.
    """
    raise Refusal("bad_request", f"no such command: {type(command).__name__}")


@apply_command.register
def _(command: commands.PutVm, state, envelope, index):
    before = check_owner(state, "vm", command.name, envelope.partner)
    if before is None:
        need(state, "pool", command.pool, envelope.partner)
        vm = Vm(partner=envelope.partner, **asdict(command))
    else:
        if command.pool != before.pool:
            raise Refusal("pool_is_decided", f"VM {before.name} is in {before.pool}")
        vm = replace(before, **asdict(command))
        if before.life is not Life.LIVE:
            check_relabelled(state, before, vm)
    state.put("vm", vm.name, vm, index)


def check_relabelled(state, before, after):
    """Refuse labels that bring a VM that is down under a spent budget."""
    carried = {service.name for service in state.services_of(before)}
    for service in state.services_of(after):
        joins = service.name not in carried
        if joins and state.count_down(service) + 1 > service.max_down:
            raise Refusal("budget_spent", f"service {service.name}")


@apply_command.register
def _(command: commands.PutPool, state, envelope, index):
    check_owner(state, "pool", command.name, envelope.partner)
    parse_selector(command.selector)
    parse_selector(command.gives)
    pool = Pool(partner=envelope.partner, **asdict(command))
    state.put("pool", pool.name, pool, index)


@apply_command.register
def _(command: commands.PutService, state, envelope, index):
    check_owner(state, "service", command.name, envelope.partner)
    need(state, "pool", command.pool, envelope.partner)
    parse_selector(command.selector)
    service = Service(partner=envelope.partner, **asdict(command))
    state.put("service", service.name, service, index)


@apply_command.register
def _(command: commands.PutTeam, state, envelope, index):
    check_owner(state, "team", command.name, envelope.partner)
    team = Team(partner=envelope.partner, **asdict(command))
    state.put("team", team.name, team, index)


@apply_command.register
def _(command: commands.PutCampaign, state, envelope, index):
    check_owner(state, "campaign", command.name, envelope.partner)
    parse_selector(command.selector)
    campaign = Campaign(partner=envelope.partner, **asdict(command))
    state.put("campaign", campaign.name, campaign, index)


@apply_command.register
def _(command: commands.Delete, state, envelope, index):
    if command.kind not in DELETABLE_KINDS:
        raise Refusal("forbidden", f"a {command.kind} cannot be deleted")
    record = need(state, command.kind, command.name, envelope.partner)
    if command.kind == "vm":
        check_life(record, Life.LIVE, Life.LOST)
        if record.life is Life.LIVE:
            check_budgets(state, record)
    if command.kind == "pool" and state.vms_by_pool[record.name]:
        raise Refusal("bad_object", f"pool {record.name} still has VMs")
    if command.kind == "pool" and state.services_by_pool[record.name]:
        raise Refusal("bad_object", f"pool {record.name} still has services")
    state.drop(command.kind, command.name, index)
    if command.kind == "vm":
        state.drop("permit", command.name, index)


@apply_command.register
def _(command: commands.TakePlannerLease, state, envelope, index):
    lease = state.get("planner_lease", "planner")
    expires = state.now_seconds + command.seconds
    if lease is not None and lease.holder != command.holder:
        if state.now_seconds < lease.expires_at_seconds:
            raise Refusal("lease_held", f"by {lease.holder}")
        lease = None
    if lease is not None and lease.fence == envelope.fence:
        renewed = replace(lease, expires_at_seconds=expires)
    else:
        renewed = PlannerLease(command.holder, index, expires)
    return state.put("planner_lease", "planner", renewed, index)


@apply_command.register
def _(command: commands.GrantPermit, state, envelope, index):
    vm = need(state, "vm", command.vm)
    check_life(vm, Life.LIVE)
    check_budgets(state, vm)
    if command.purpose is Purpose.MOVE:
        check_move(state, vm, command.to_pool)
    permit = Permit(command.vm, command.purpose, command.boot_id, command.to_pool)
    state.put("permit", vm.name, permit, index)
    state.put("vm", vm.name, replace(vm, life=Life.LEAVING), index)


def check_move(state, vm, to_pool_name):
    """Refuse a move that the owners of the pools have not allowed."""
    to_pool = need(state, "pool", to_pool_name)
    from_pool = need(state, "pool", vm.pool)
    if to_pool.name == from_pool.name:
        raise Refusal("wrong_pool", f"VM {vm.name} is already in {to_pool.name}")
    if not from_pool.gives or not matches(from_pool.gives, vm.labels):
        raise Refusal("not_selected", f"pool {from_pool.name} does not give it")
    if not to_pool.selector or not matches(to_pool.selector, vm.labels):
        raise Refusal("not_selected", f"pool {to_pool.name} does not take it")
    going = sum(
        1
        for name in state.down_by_pool[from_pool.name]
        if is_moving(state.get("permit", name))
    )
    if len(state.vms_by_pool[from_pool.name]) - going <= from_pool.floor:
        raise Refusal("budget_spent", f"pool {from_pool.name} is at its floor")


def is_moving(permit):
    """Whether `permit` takes its VM to another pool."""
    return permit is not None and permit.purpose is Purpose.MOVE


@apply_command.register
def _(command: commands.MarkDrained, state, envelope, index):
    vm = need(state, "vm", command.vm)
    need(state, "permit", command.vm)
    check_life(vm, Life.LEAVING)
    if state.jobs_by_vm[vm.name]:
        raise Refusal("not_drained", f"jobs run on VM {vm.name}")
    state.put("vm", vm.name, replace(vm, life=Life.DRAINED), index)


@apply_command.register
def _(command: commands.ReturnVm, state, envelope, index):
    vm = need(state, "vm", command.vm)
    permit = need(state, "permit", command.vm)
    check_life(vm, Life.DRAINED, Life.LOST)
    if permit.boot_id == command.boot_id:
        raise Refusal("wrong_boot", f"VM {vm.name} has not booted anew")
    returned = replace(
        vm,
        life=Life.LIVE,
        maintained_version=index,
        maintained_at_seconds=state.now_seconds,
    )
    state.drop("permit", vm.name, index)
    state.put("vm", vm.name, returned, index)


@apply_command.register
def _(command: commands.MoveVm, state, envelope, index):
    vm = need(state, "vm", command.vm)
    permit = need(state, "permit", command.vm)
    check_life(vm, Life.DRAINED)
    if vm.pool != command.from_pool:
        raise Refusal("wrong_pool", f"VM {vm.name} is in {vm.pool}")
    if not is_moving(permit) or permit.to_pool != command.to_pool:
        raise Refusal("wrong_pool", f"the permit is not for {command.to_pool}")
    need(state, "pool", command.to_pool)
    state.drop("permit", vm.name, index)
    moved = replace(vm, pool=command.to_pool, life=Life.LIVE)
    state.put("vm", vm.name, moved, index)


@apply_command.register
def _(command: commands.ReportLost, state, envelope, index):
    vm = need(state, "vm", command.vm)
    check_life(vm, Life.LIVE, Life.LEAVING)
    state.put("vm", vm.name, replace(vm, life=Life.LOST), index)


@apply_command.register
def _(command: commands.ReportHealthy, state, envelope, index):
    vm = need(state, "vm", command.vm)
    check_life(vm, Life.LOST)
    permit = state.get("permit", vm.name)
    life = Life.LIVE if permit is None else Life.LEAVING
    state.put("vm", vm.name, replace(vm, life=life), index)


@apply_command.register
def _(command: commands.JoinEntry, state, envelope, index):
    state.put("entry", command.name, EntryRecord(command.name, command.hall), index)


@apply_command.register
def _(command: commands.OpenClaim, state, envelope, index):
    service = need(state, "service", command.service)
    key = claim_key(command.service, command.key)
    claim = state.get("claim", key)
    if claim is None:
        if len(state.by_kind["claim"]) >= REFUSE_CLAIMS_ABOVE:
            raise Refusal("queue_full", "too many claims are kept")
        fresh = Claim(
            service=command.service,
            key=command.key,
            digest=command.digest,
            entry=command.entry,
            at_seconds=state.now_seconds,
        )
        return state.put("claim", key, fresh, index)
    if claim.digest != command.digest:
        raise Refusal("key_reused", "the key was used with another body")
    if claim.state is ClaimState.ANSWERED:
        raise Refusal("key_in_progress", "answered", claim)
    age_seconds = state.now_seconds - claim.at_seconds
    if age_seconds * 1000 > service.deadline_ms + CLAIM_GRACE_SECONDS * 1000:
        raise Refusal("key_unknown", f"claimed by {claim.entry}", claim)
    raise Refusal("key_in_progress", f"claimed by {claim.entry}", claim)


def need_claim(state, command):
    """Return `(key, claim)` of the open claim that `command` names."""
    key = claim_key(command.service, command.key)
    claim = state.get("claim", key)
    if claim is None or claim.version != command.claim_version:
        raise Refusal("unknown_object", f"no claim {key}")
    if claim.state is not ClaimState.OPEN:
        raise Refusal("key_in_progress", "answered already")
    return key, claim


@apply_command.register
def _(command: commands.CloseClaim, state, envelope, index):
    key, claim = need_claim(state, command)
    answered = replace(
        claim,
        state=ClaimState.ANSWERED,
        status=command.status,
        content_type=command.content_type,
        body=command.body,
    )
    return state.put("claim", key, answered, index)


@apply_command.register
def _(command: commands.ReleaseClaim, state, envelope, index):
    key, _ = need_claim(state, command)
    state.drop("claim", key, index)


def expire_claims(state, index):
    """Drop answered claims past their retention; open ones stay."""
    while state.claims_by_age:
        at_seconds, key, version = state.claims_by_age[0]
        age_seconds = state.now_seconds - at_seconds
        if age_seconds <= claim_retention_seconds(state):
            return
        state.claims_by_age.popleft()
        claim = state.get("claim", key)
        if claim is not None and claim.version == version:
            if claim.state is ClaimState.ANSWERED:
                state.drop("claim", key, index)


def claim_retention_seconds(state):
    """Return how long answered claims are kept, with as many as there are."""
    if len(state.by_kind["claim"]) > MAX_CLAIMS:
        return MIN_CLAIM_RETENTION_SECONDS
    return CLAIM_RETENTION_SECONDS


def forget_ended_jobs(state, index):
    """Drop the jobs that ended the longest ago, beyond the number kept."""
    while len(state.ended_job_by_name) > MAX_ENDED_JOBS:
        state.drop("job", next(iter(state.ended_job_by_name)), index)


@apply_command.register
def _(command: commands.SubmitJob, state, envelope, index):
    team = need(state, "team", command.team, envelope.partner)
    need(state, "pool", command.pool, envelope.partner)
    parse_selector(command.selector)
    if state.get("job", command.name) is not None:
        raise Refusal("bad_object", f"job {command.name} exists")
    job = Job(partner=team.partner, **asdict(command))
    state.put("job", job.name, job, index)


@apply_command.register
def _(command: commands.CancelJobs, state, envelope, index):
    for name in command.names:
        need(state, "job", name, envelope.partner)
    for name in command.names:
        job = state.get("job", name)
        if job.state in STATE_AFTER_CANCEL:
            after = STATE_AFTER_CANCEL[job.state]
            state.put("job", name, replace(job, state=after), index)


@apply_command.register
def _(command: commands.PlaceJob, state, envelope, index):
    job = need(state, "job", command.job)
    vm = need(state, "vm", command.vm)
    if job.state is not JobState.WAITING:
        raise Refusal("wrong_life", f"job {job.name} is {job.state.value}")
    check_life(vm, Life.LIVE)
    if vm.pool != job.pool or not matches(job.selector, vm.labels):
        raise Refusal("not_selected", f"job {job.name} does not select {vm.name}")
    check_room(state, job, vm)
    check_quota(state, job)
    placed = replace(
        job,
        state=JobState.RUNNING,
        vm=vm.name,
        lease=index,
        attempts=job.attempts + 1,
    )
    state.put("job", job.name, placed, index)


def check_room(state, job, vm):
    """Refuse a job that does not fit beside the ones already on `vm`."""
    for size in ("cores", "memory_gb", "accelerators"):
        jobs = state.jobs_by_vm[vm.name].values()
        taken = sum(getattr(other, size) for other in jobs)
        if taken + getattr(job, size) > getattr(vm, size):
            raise Refusal("no_room", f"{size} of VM {vm.name}")


def check_quota(state, job):
    """Refuse a job that would take its team over the quota."""
    team = need(state, "team", job.team)
    for size in ("cores", "accelerators"):
        jobs = state.jobs_by_team[job.team].values()
        taken = sum(getattr(other, size) for other in jobs)
        if taken + getattr(job, size) > getattr(team, f"quota_{size}"):
            raise Refusal("quota_spent", f"{size} of team {team.name}")


@apply_command.register
def _(command: commands.EndJob, state, envelope, index):
    job = need(state, "job", command.job)
    if job.lease != command.lease or job.state not in PLACED_STATES:
        raise Refusal("wrong_life", f"job {job.name} is {job.state.value}")
    ended = replace(job, state=command.state, vm="", lease=0)
    state.put("job", job.name, ended, index)


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
    },
    Role.ENTRY: {
        commands.JoinEntry,
        commands.OpenClaim,
        commands.CloseClaim,
        commands.ReleaseClaim,
        commands.SubmitJob,
        commands.CancelJobs,
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
