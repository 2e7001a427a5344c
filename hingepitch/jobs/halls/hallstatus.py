"""
hingepitch.jobs.halls.hallstatus
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What operators see of each hall: its cordon, its VMs, and what runs there.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from msgspec import Struct, to_builtins

__all__ = ["HallRow", "hall_rows", "measure_halls"]


class HallRow(Struct):
    """One hall; CPU in millicores, memory in MB (`..._mb`).

    `cordoned_since_ms`, `cordoned_seconds`
        When the hall was cordoned, in milliseconds since the epoch, and for how long
        it has been; None if it is not cordoned.
    `vms`
        Number of VMs with a registered minion. Those that are off are not known here.
    `runs`, `lasting_runs`
        Number of runs that are recorded, and of those of long-running tasks among
        them, which do not end by themselves.
    `used_millicores`, `used_mb`
        What the runs use.
    `capacity_millicores`, `capacity_mb`
        What the VMs have in all.
    """

    name: str
    cordoned_since_ms: int | None = None
    cordoned_seconds: float | None = None
    vms: int = 0
    runs: int = 0
    lasting_runs: int = 0
    used_millicores: int = 0
    capacity_millicores: int = 0
    used_mb: int = 0
    capacity_mb: int = 0


def hall_rows(table, now_ms):
    """Return a row for each hall, as plain values for JSON.

    `now_ms`
        The current time, in milliseconds since the epoch.
    """
    return [to_builtins(row) for row in measure_halls(table, now_ms)]


def measure_halls(table, now_ms):
    """Return the `HallRow` of each hall that has minions or is cordoned, by name."""
    row_by_hall = {}
    for cordon in table.cordons.cordon_by_hall.values():
        seconds = max(0.0, (now_ms - cordon.since_ms) / 1000)
        row_by_hall[cordon.hall] = HallRow(cordon.hall, cordon.since_ms, seconds)
    for minion in table.minion_by_id.values():
        row = row_by_hall.setdefault(minion.hall, HallRow(minion.hall))
        add_minion(row, table, minion)
    return sorted(row_by_hall.values(), key=lambda row: row.name)


def add_minion(row, table, minion):
    """Add a minion and its runs to the row of its hall."""
    used = table.usage_by_minion[minion.id]
    runs = table.runs_by_minion[minion.id].values()
    row.vms += 1
    row.runs += len(runs)
    row.lasting_runs += sum(is_lasting(table, run) for run in runs)
    row.used_millicores += used.cpu_millicores
    row.used_mb += used.memory_mb
    row.capacity_millicores += minion.cpu_millicores
    row.capacity_mb += minion.memory_mb


def is_lasting(table, run):
    """Whether a run belongs to a long-running task."""
    job = table.job_by_id.get(run.task.job)
    return job is not None and job.spec.steps[run.task.step].lasts
