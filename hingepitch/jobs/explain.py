"""
hingepitch.jobs.explain
~~~~~~~~~~~~~~~~~~~~~~~

Explanations for operators: why a job of a queue waits, or why it failed, and what
each client account uses.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter

from msgspec import to_builtins

from hingepitch.error import HingepitchError
from hingepitch.jobs.crashes.crash import Suspicion
from hingepitch.jobs.record import TaskStatus
from hingepitch.jobs.spec import format_task

__all__ = ["QUEUED_JOB", "account_rows", "explain_queued_job"]

#: The object kind by which operators request the explanation of a queue's job.
QUEUED_JOB = "queued-job"


def explain_queued_job(table, job_id):
    """Return why a job of a queue waits or failed, as plain values for JSON.

    Raises `HingepitchError` (`unknown_object`) if the table lacks the job.
    """
    job = table.job_by_id.get(job_id)
    if job is None:
        raise HingepitchError("unknown_object", f"no {QUEUED_JOB} {job_id}")
    reasons = list(job_reasons(table, job))
    return {"kind": QUEUED_JOB, "name": job_id, "obstacles": reasons}


def job_reasons(table, job):
    """Yield the reasons for the state of a job, one line for each."""
    if not job.is_open:
        yield f"the job is {job.status.value}: {job.failure or 'no failure noted'}"
        return
    for key in table.ready_steps:
        if key[0] == job.id:
            yield waiting_reason(table, job, key)
    for task in sorted(table.crashes.suspects(job.id)):
        yield suspicion_reason(table, task)


def waiting_reason(table, job, key):
    """Return a line on how many tasks of a step wait, and for which pool."""
    _, round_number, number = key
    tasks = job.round_by_number[round_number].tasks_by_step[number]
    waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
    pool = table.current_queue(job).pool
    minions = [one for one in table.minion_by_id.values() if one.pool == pool]
    text = (
        f"step {number}: {waiting} of {len(tasks)} tasks wait for pool {pool}, "
        f"which has {len(minions)} minions"
    )
    cordoned = [one.hall for one in minions if one.hall in table.cordons]
    if cordoned:
        halls = ", ".join(sorted(set(cordoned)))
        text += f", {len(cordoned)} of them in cordoned halls ({halls})"
    if not table.ledger.admits(job.account, job.spec.steps[number]):
        text += f"; the account {job.account} is at its quota"
    return text


def account_rows(table):
    """Return a row for each client account, as plain values for JSON.

    A row has what the account's runs use, its quota (0: no limit), its number of
    waiting tasks, and how many of these wait since it is at its quota.
    """
    waiting = Counter()
    held = Counter()
    for key in table.ready_steps:
        job = table.job_by_id[key[0]]
        tasks = job.round_by_number[key[1]].tasks_by_step[key[2]]
        count = sum(task.status is TaskStatus.WAITING for task in tasks)
        waiting[job.account] += count
        if not table.ledger.admits(job.account, job.spec.steps[key[2]]):
            held[job.account] += count
    return [
        {
            "name": account.name,
            "weight": account.weight,
            "keys": len(account.key_digests),
            "used": to_builtins(table.ledger.usage(account.name)),
            "quota": to_builtins(account.quota),
            "tasks_waiting": waiting[account.name],
            "tasks_held_by_quota": held[account.name],
        }
        for account in table.accounts.account_by_name.values()
    ]


def suspicion_reason(table, task):
    """Return a line on why and how a suspected task is isolated from others."""
    record = table.crashes.record(task)
    crashes = record.crashes if record else 0
    silent = table.crashes.silent_exposed[task]
    text = f"{format_task(task)}: {crashes} minions crashed under it"
    if silent:
        text += f", {silent} more are silent"
    if table.crashes.suspicion(task) is Suspicion.BARRED:
        return f"{text}; it waits until these have spoken"
    return f"{text}; it starts apart from others"
