"""
hingepitch.jobs.content
~~~~~~~~~~~~~~~~~~~~~~~

The content of a job table in a snapshot.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import msgspec

from hingepitch.jobs.accounts.account import Quota
from hingepitch.jobs.crashes.crash import CrashRecord, CrashRegistry, IncarnationBlame
from hingepitch.jobs.halls.cordon import HallCordon, HallCordons
from hingepitch.jobs.queue import QueueConfig
from hingepitch.jobs.record import JobRecord, JobStatus, Minion, Run, Wave
from hingepitch.jobs.table import JobTable
from hingepitch.jobs.tombstone import Tombstone, TombstoneRegistry

__all__ = ["TableContent", "content_of", "restore_table"]


class TableContent(msgspec.Struct):
    """The content of a `JobTable` in a snapshot.

    `has_beginnings`
        Whether a job is only running if a minion has begun it. Earlier versions
        took a job as running once a run of it was recorded.
    """

    config: QueueConfig | None
    jobs: list[JobRecord]
    minions: list[Minion]
    runs: list[Run]
    waves: list[Wave]
    ended_lives: list[str]
    births_of_ended: dict[str, int] = {}
    moves: dict[str, str] = {}
    crashes: list[CrashRecord] = []
    silent_lives: list[IncarnationBlame] = []
    departed_quotas: dict[str, Quota] = {}
    cordons: list[HallCordon] = []
    cordon_revision: int = 0
    has_beginnings: bool = False
    tombstones: list[tuple[bytes, Tombstone]] = []
    tombstone_generation: int = 0
    dropped_tombstone_index: int = 0


def content_of(table):
    """Return the `TableContent` of a `JobTable`."""
    crashes, silent_lives = table.crashes.to_content()
    return TableContent(
        config=table.config,
        jobs=list(table.job_by_id.values()),
        minions=list(table.minion_by_id.values()),
        runs=list(table.run_by_task.values()),
        waves=list(table.wave_by_number.values()),
        ended_lives=list(table.ended_lives),
        births_of_ended={
            life: born_ms for life, born_ms in table.ended_lives.items() if born_ms
        },
        moves=table.move_by_vm,
        crashes=crashes,
        silent_lives=silent_lives,
        departed_quotas=table.ledger.departed_quotas,
        cordons=list(table.cordons.cordon_by_hall.values()),
        cordon_revision=table.cordons.revision,
        has_beginnings=True,
        tombstones=list(table.tombstones.tombstone_by_call.items()),
        tombstone_generation=table.tombstones.generation,
        dropped_tombstone_index=table.tombstones.dropped_index,
    )


def reset_beginnings(jobs):
    """Mark the running jobs as pending whose records do not show that they have begun.

    The leader learns from the minions which of them have.
    """
    for job in jobs:
        if job.status is JobStatus.RUNNING and not job.has_progress:
            job.status = JobStatus.PENDING


def restore_table(content):
    """Return the `JobTable` restored from a `TableContent`."""
    table = JobTable()
    table.put_config(content.config)
    table.ledger.departed_quotas = content.departed_quotas
    table.cordons = HallCordons(content.cordons, content.cordon_revision)
    table.tombstones = TombstoneRegistry(
        dict(content.tombstones),
        content.tombstone_generation,
        content.dropped_tombstone_index,
    )
    for minion in content.minions:
        table.store_minion(minion, 0)
    births = content.births_of_ended
    table.ended_lives = {life: births.get(life, 0) for life in content.ended_lives}
    table.move_by_vm = content.moves
    table.wave_by_number = {wave.number: wave for wave in content.waves}
    if not content.has_beginnings:
        reset_beginnings(content.jobs)
    for job in content.jobs:
        table.restore_job(job)
    ended = [job for job in content.jobs if not job.is_open]
    ended.sort(key=lambda job: job.ended_ms)
    table.ended_jobs = {job.id: job.ended_ms for job in ended}
    for run in content.runs:
        table.add_run(run)
    table.crashes = CrashRegistry.from_content(content.crashes, content.silent_lives)
    return table
