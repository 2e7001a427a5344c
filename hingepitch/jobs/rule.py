"""
hingepitch.jobs.rule
~~~~~~~~~~~~~~~~~~~~

The state machine rules that apply the commands for jobs, runs and minions.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.error import HingepitchError
from hingepitch.jobs import command as commands
from hingepitch.jobs.accounts.account import (
    SENDER_WITHOUT_ACCOUNTS,
    caller_of,
    has_access,
)
from hingepitch.jobs.accounts.ledger import exceeds_quota
from hingepitch.jobs.halls.cordon import HallCordon
from hingepitch.jobs.queue import check_config
from hingepitch.jobs.record import (
    JobRecord,
    JobStatus,
    TaskStatus,
    UpkeepStage,
    Wave,
    is_same_birth,
)
from hingepitch.jobs.spec import check_spec
from hingepitch.jobs.tombstone import digest_call
from hingepitch.model.rule import Refusal, apply_command

__all__ = ["start_rejection"]

#: Limit of jobs that have not ended; new jobs above it are refused. At 4 KB each
#: they use 20 MB of memory.
MAX_OPEN_JOBS = 5000


@apply_command.register
def _(command: commands.PutQueues, state, envelope, index):
    if state.jobs.has_accounts:
        raise Refusal("no_leader", SENDER_WITHOUT_ACCOUNTS)
    put_newer_config(state.jobs, command.config)


@apply_command.register
def _(command: commands.PutAccountQueues, state, envelope, index):
    put_newer_config(state.jobs, command.config)


def put_newer_config(table, config):
    """Set the configuration unless the present one is as new; refuse a bad one."""
    if table.config is not None and config.version <= table.config.version:
        return
    check_config(config)
    table.put_config(config)


@apply_command.register
def _(command: commands.AcceptJob, state, envelope, index):
    table = state.jobs
    table.forget_ended_jobs(command.at_ms)
    known = table.job_by_id.get(command.id)
    if known is None and table.config is None:
        raise Refusal("no_queues")
    caller = caller_of(table, command, known)
    if known is not None:
        if not has_access(table, known, caller):
            raise Refusal("job_id_taken", command.id)
        return
    check_tombstones(table, command)
    queue = table.queues.find(command.host, command.path)
    if queue is None:
        raise Refusal("unknown_queue", f"{command.host}{command.path}")
    if len(table.job_by_id) - len(table.ended_jobs) >= MAX_OPEN_JOBS:
        raise Refusal("too_many_jobs")
    try:
        check_spec(command.spec)
    except HingepitchError as error:
        raise Refusal(error.code, error.detail) from None
    check_gangs(table.ledger.quota(caller), command.spec)
    table.add_job(
        JobRecord(command.id, queue, command.spec, command.at_ms, account=caller)
    )


def check_tombstones(table, command):
    """Refuse a call that was made, or may have been, before its job was cancelled."""
    call = digest_call(table, command)
    if table.tombstones.refuses(call, command.known_index):
        raise Refusal("job_cancelled", command.id)
    if table.tombstones.is_too_old(command.known_index):
        raise Refusal("stale_call", command.id)


def check_gangs(quota, spec):
    """Refuse a job with a gang that can never run within the quota of its account."""
    for number, step in enumerate(spec.steps):
        if step.gang and exceeds_quota(quota, step):
            raise Refusal("over_quota", f"step {number}: {step.count} tasks at once")


def find_job(table, command):
    """Return the job that a call names, or None if there is none for its caller."""
    job = table.job_by_id.get(command.id)
    caller = caller_of(table, command, job)
    if job is None or not has_access(table, job, caller):
        return None
    return job


@apply_command.register
def _(command: commands.CancelJob, state, envelope, index):
    job = find_job(state.jobs, command)
    if job is None:
        raise Refusal("unknown_job", command.id)
    cancel(state.jobs, job, command.at_ms)


def cancel(table, job, at_ms):
    """Cancel a job unless it has ended."""
    if job.is_open:
        table.end_job(job, JobStatus.CANCELLED, at_ms)


@apply_command.register
def _(command: commands.CancelUnknownJob, state, envelope, index):
    job = find_job(state.jobs, command)
    if job is None:
        state.jobs.tombstones.add(digest_call(state.jobs, command), index)
    else:
        cancel(state.jobs, job, command.at_ms)


@apply_command.register
def _(command: commands.AgeTombstones, state, envelope, index):
    state.jobs.tombstones.begin_generation()


@apply_command.register
def _(command: commands.OpenRounds, state, envelope, index):
    for job_id in command.jobs:
        job = state.jobs.job_by_id.get(job_id)
        if job is not None and job.is_open and job.rounds_opened < job.rounds_wanted:
            state.jobs.open_round(job)


@apply_command.register
def _(command: commands.StartRuns, state, envelope, index):
    table = state.jobs
    started_steps = {}
    for start in command.starts:
        if not start_rejection(table, start):
            number = table.task(start.task).run + 1
            table.start_run(start, number, command.at_ms)
            started_steps[start.task[:3]] = None
    for gang in command.gangs:
        if start_gang(table, gang, command.at_ms):
            started_steps[gang[0].task[:3]] = None
    table.index_steps(started_steps)


def start_gang(table, gang, at_ms):
    """Start all members of a gang with the same run number; return whether it fits."""
    if any(start_rejection(table, start) for start in gang):
        return False
    number = 1 + max(table.task(start.task).run for start in gang)
    started = []
    for start in gang:
        if start_rejection(table, start):
            undo_gang(table, started)
            return False
        table.start_run(start, number, at_ms)
        started.append(start)
    return True


def undo_gang(table, started):
    """Undo the starts of a gang that does not fit as a whole."""
    for start in started:
        table.drop_run(table.run_by_task[start.task])
        table.task(start.task).status = TaskStatus.WAITING


def start_rejection(table, start):
    """Return why a run may not start; empty if it may."""
    key = start.task
    job = table.job_by_id.get(key.job)
    minion = table.minion_by_id.get(start.minion)
    if job is None or not job.is_open:
        return "the job is not open"
    if minion is None or table.is_leaving(minion):
        return "the minion is gone or is leaving"
    if minion.hall in table.cordons:
        return "the hall is cordoned"
    return task_rejection(table, job, key) or placement_rejection(
        table, job, key, minion
    )


def task_rejection(table, job, key):
    """Return why a task is not ready to start; empty if it is ready."""
    opened = job.round_by_number.get(key.round)
    if opened is None:
        return "the round is not open"
    task = opened.tasks_by_step[key.step][key.index]
    if task.status is not TaskStatus.WAITING or key in table.run_by_task:
        return "the task is not waiting"
    step = job.spec.steps[key.step]
    if any(opened.left_by_step[earlier] for earlier in step.after):
        return "an earlier step is not done"
    return ""


def placement_rejection(table, job, key, minion):
    """Return why a task may not run on a minion; empty if it may."""
    step = job.spec.steps[key.step]
    if minion.pool != table.current_queue(job).pool:
        return "the minion belongs to another pool"
    if step.required_label and step.required_label not in minion.labels:
        return "the minion lacks the required label"
    if step.max_per_minion:
        count = table.run_counts_by_step.get(key[:3], {}).get(minion.id, 0)
        if count >= step.max_per_minion:
            return "the minion runs max_per_minion tasks of the step"
    if not table.usage_by_minion[minion.id].fits(minion, step):
        return "the minion has too little free capacity"
    if not table.ledger.admits(job.account, step):
        return "the account is at its quota"
    return ""


@apply_command.register
def _(command: commands.EndRuns, state, envelope, index):
    for job_id in command.begun_jobs:
        state.jobs.note_begun(job_id)
    for end in command.ends:
        state.jobs.end_run(end, command.at_ms)


@apply_command.register
def _(command: commands.RegisterMinion, state, envelope, index):
    state.jobs.put_minion(command.minion, command.at_ms)


@apply_command.register
def _(command: commands.BeginIncarnation, state, envelope, index):
    state.jobs.begin_incarnation(command.minion, command.at_ms)


@apply_command.register
def _(command: commands.RemoveMinion, state, envelope, index):
    minion = state.jobs.minion_by_id.get(command.id)
    if minion is not None and is_same_birth(command.born_ms, minion.born_ms):
        state.jobs.remove_minion(command.id, command.at_ms)


@apply_command.register
def _(command: commands.SuspectLife, state, envelope, index):
    if command.id in state.jobs.minion_by_id:
        state.jobs.crashes.suspect(command.id, command.blame)


@apply_command.register
def _(command: commands.PutWave, state, envelope, index):
    if command.number in state.jobs.wave_by_number:
        return
    if command.max_down < 1:
        raise Refusal("bad_object", "a wave that takes no VM")
    state.jobs.wave_by_number[command.number] = Wave(
        command.number, command.vms, command.max_down, command.due_ms
    )


def require_wave(state, number):
    """Return the wave `number`; refuse (`unknown_object`) if there is none."""
    wave = state.jobs.wave_by_number.get(number)
    if wave is None:
        raise Refusal("unknown_object", f"no wave {number}")
    return wave


@apply_command.register
def _(command: commands.BeginUpkeep, state, envelope, index):
    wave = require_wave(state, command.number)
    if command.vm not in wave.vms_waiting:
        raise Refusal("wrong_life", f"{command.vm} does not wait for upkeep")
    check_vm_unused(state.jobs, command.vm)
    if len(wave.vms_down) >= wave.max_down:
        raise Refusal("budget_spent", f"{wave.max_down} VMs are down")
    wave.stage_by_vm[command.vm] = UpkeepStage.BEGUN


@apply_command.register
def _(command: commands.SettleUpkeep, state, envelope, index):
    wave = require_wave(state, command.number)
    if command.stage is None:
        wave.stage_by_vm.pop(command.vm, None)
    else:
        wave.stage_by_vm[command.vm] = command.stage


def check_vm_unused(table, vm):
    """Refuse if a VM has runs or is already being moved or maintained."""
    if vm in table.move_by_vm or vm in table.vms_in_upkeep():
        raise Refusal("wrong_life", f"{vm} is being taken already")
    if table.runs_by_minion.get(table.life_by_vm.get(vm)):
        raise Refusal("not_drained", f"runs go on on {vm}")


@apply_command.register
def _(command: commands.BeginMove, state, envelope, index):
    check_vm_unused(state.jobs, command.vm)
    state.jobs.move_by_vm[command.vm] = command.pool


@apply_command.register
def _(command: commands.EndMove, state, envelope, index):
    state.jobs.move_by_vm.pop(command.vm, None)


@apply_command.register
def _(command: commands.CordonHall, state, envelope, index):
    cordons = state.jobs.cordons
    if command.hall not in cordons:
        check_revision(cordons, command)
    cordons.add(HallCordon(command.hall, command.at_ms), index)


@apply_command.register
def _(command: commands.UncordonHall, state, envelope, index):
    cordons = state.jobs.cordons
    if command.hall in cordons:
        check_revision(cordons, command)
    cordons.remove(command.hall, index)


def check_revision(cordons, command):
    """Refuse an order that is based on cordons that have changed since."""
    if command.base_revision != cordons.revision:
        raise Refusal("stale_version", f"the current revision is {cordons.revision}")
