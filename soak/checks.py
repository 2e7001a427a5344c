"""
soak.checks
~~~~~~~~~~~

Checks of the promises against the minions' events, the processes and their logs.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import defaultdict

from standin.accounts import ACCOUNTS, lasting_key

__all__ = ["check_logs", "check_processes", "check_tasks"]

#: A minion gets no start after this time from the acknowledgement that it leaves, as
#: `drain_ms` of the users' pages requires.
DRAIN_SECONDS = 2.0

#: A cancelled job starts no task after this time, as `cancel_ms` of the users'
#: pages requires.
CANCEL_SECONDS = 3.0


def check_tasks(record, site, jobs):
    """Check the task events of the minions against the replies to the callers."""
    doubled = site.doubled_tasks()
    starts = [row for row in site.events() if row[1] == "start"]
    for _, _, minion, task, run in starts:
        detail = f"{task}, run {run} at {minion}"
        record.check("no task runs twice", task not in doubled, detail)
    check_drains(record, site.events())
    job_by_id = {job.id: job for job in jobs}
    for at, _, minion, task, _ in starts:
        job = job_by_id.get(task.partition(".")[0])
        if not record.check("only jobs of callers run", job is not None, task):
            continue
        if job.cancelled_at is not None:
            late = at - job.cancelled_at
            record.check(
                "no start after a cancel",
                late < CANCEL_SECONDS,
                f"{task} at {minion}, acked {late:.3f} s ago",
            )
    check_successes(record, site, jobs)


def check_drains(record, events):
    """Check that no task starts on a minion that has said that it leaves.

    A start that the minion itself carried out late may have been ordered before.
    """
    leaving_since = {}
    late_starts = {tuple(row[2:]) for row in events if row[1] == "late"}
    for at, what, minion, task, run in events:
        if what == "leaving":
            leaving_since.setdefault(minion, at)
        elif what == "crash":
            leaving_since.pop(minion, None)
        elif what == "start" and (minion, task, run) not in late_starts:
            late = at - leaving_since.get(minion, at)
            record.check(
                "no start on a minion that leaves",
                late < DRAIN_SECONDS,
                f"{task}, run {run} at {minion}, acked {late:.3f} s ago",
            )


def check_successes(record, site, jobs):
    """Check that all tasks of each job reported as succeeded are done."""
    done_by_job = defaultdict(set)
    for _, what, _, task, _ in site.events():
        if what == "done":
            done_by_job[task.partition(".")[0]].add(task)
    for job in jobs:
        if job.state == "succeeded":
            count = len(done_by_job[job.id])
            detail = f"{job.id}: {count} tasks of {sum(job.widths)}"
            is_complete = count == sum(job.widths)
            record.check("a succeeded job has all its tasks done", is_complete, detail)


def check_processes(record, site):
    """Check that no process, and not the fleet of minions, ended unexpectedly."""
    site.note_ended()
    seen, site.ended = site.ended, []
    for ip, code in seen:
        tail = site.process_by_ip[ip].log()[-600:]
        detail = f"{ip} with exit code {code}: {tail}"
        record.check("no process ends by itself", False, detail)
    record.check("no process ends by itself", site.fleet.is_running(), "the fleet")


def check_logs(record, site):
    """Check the logs for damaged synced data and for failures inside a replica."""
    for ip in site.control_ips:
        log = site.process_by_ip[ip].log()
        for event in ("log_set_aside", "audit_incomplete"):
            is_intact = f"event={event}" not in log
            record.check("synced data is intact", is_intact, f"{ip}: {event}")
        for key in map(lasting_key, ACCOUNTS):
            record.check("no key is in a log", key not in log, ip)
        has_failed = "event=child_failed" in log or "event=program_failed" in log
        record.check("no component of a control replica fails", not has_failed, ip)
