"""
hingepitch.model.rules.job
~~~~~~~~~~~~~~~~~~~~~~~~~~

Rules for jobs: submission, placement, quotas, cancellation and end.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import asdict, replace

from hingepitch.model import command as commands
from hingepitch.model.record import PLACED_STATES, Job, JobState, VmLifecycle
from hingepitch.model.rule import Refusal, apply_command, check_lifecycle, require
from hingepitch.model.selector import matches, parse_selector

__all__ = ["check_quota", "check_capacity", "drop_ended_jobs"]

#: Maximum number of ended jobs that are kept.
MAX_ENDED_JOBS = 20_000

#: State of a job after its cancellation. A running job keeps its capacity until
#: the platform has stopped it.
STATE_AFTER_CANCEL = {
    JobState.WAITING: JobState.CANCELLED,
    JobState.RUNNING: JobState.STOPPING,
}


def drop_ended_jobs(state, index):
    """Drop the jobs that ended first, beyond `MAX_ENDED_JOBS`."""
    while len(state.ended_job_by_name) > MAX_ENDED_JOBS:
        state.drop("job", next(iter(state.ended_job_by_name)), index)


@apply_command.register
def _(command: commands.SubmitJob, state, envelope, index):
    team = require(state, "team", command.team, envelope.partner)
    require(state, "pool", command.pool, envelope.partner)
    parse_selector(command.selector)
    if state.get("job", command.name) is not None:
        raise Refusal("bad_object", f"job {command.name} exists")
    job = Job(partner=team.partner, **asdict(command))
    state.put("job", job.name, job, index)


@apply_command.register
def _(command: commands.CancelJobs, state, envelope, index):
    for name in command.names:
        require(state, "job", name, envelope.partner)
    for name in command.names:
        job = state.get("job", name)
        if job.state in STATE_AFTER_CANCEL:
            after = STATE_AFTER_CANCEL[job.state]
            state.put("job", name, replace(job, state=after), index)


@apply_command.register
def _(command: commands.PlaceJob, state, envelope, index):
    job = require(state, "job", command.job)
    vm = require(state, "vm", command.vm)
    if job.state is not JobState.WAITING:
        raise Refusal("wrong_life", f"job {job.name} is {job.state.value}")
    check_lifecycle(vm, VmLifecycle.LIVE)
    if vm.pool != job.pool or not matches(job.selector, vm.labels):
        raise Refusal("not_selected", f"job {job.name} does not select {vm.name}")
    check_capacity(state, job, vm)
    check_quota(state, job)
    placed = replace(
        job,
        state=JobState.RUNNING,
        vm=vm.name,
        lease=index,
        attempts=job.attempts + 1,
    )
    state.put("job", job.name, placed, index)


def check_capacity(state, job, vm):
    """Refuse a job that does not fit into the free capacity of `vm`."""
    for size in ("cores", "memory_gb", "accelerators"):
        jobs = state.jobs_by_vm[vm.name].values()
        taken = sum(getattr(other, size) for other in jobs)
        if taken + getattr(job, size) > getattr(vm, size):
            raise Refusal("no_room", f"{size} of VM {vm.name}")


def check_quota(state, job):
    """Refuse a job that would exceed the quota of its team."""
    team = require(state, "team", job.team)
    for size in ("cores", "accelerators"):
        jobs = state.jobs_by_team[job.team].values()
        taken = sum(getattr(other, size) for other in jobs)
        if taken + getattr(job, size) > getattr(team, f"quota_{size}"):
            raise Refusal("quota_spent", f"{size} of team {team.name}")


@apply_command.register
def _(command: commands.EndJob, state, envelope, index):
    job = require(state, "job", command.job)
    if job.lease != command.lease or job.state not in PLACED_STATES:
        raise Refusal("wrong_life", f"job {job.name} is {job.state.value}")
    losses = job.losses + command.is_lost
    ended = replace(job, state=command.state, vm="", lease=0, losses=losses)
    state.put("job", job.name, ended, index)
