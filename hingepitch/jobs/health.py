"""
hingepitch.jobs.health
~~~~~~~~~~~~~~~~~~~~~~

Evidence on how a minion does: failures of different jobs, and tasks that
stand still.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field

__all__ = ["MinionHealth", "is_hung"]

#: Evidence counts for so long, in seconds; then the minion is tried again.
EVIDENCE_SECONDS = 10.0

#: Different jobs in trouble on a minion from which it is avoided, and from
#: which it gets nothing at all unless something has succeeded there since. One
#: job may fail everywhere by its own fault, three hardly do.
DOUBTED_FROM = 2
SICK_FROM = 3

#: A task whose progress has not moved for so long stands still, in seconds: four
#: looks, in which also a long task that was slowed moves by a percent.
HUNG_SECONDS = 2.5

#: The same for a member of a gang, which stands still until all are present:
#: longer than minions wait for the others.
HUNG_GANG_SECONDS = 4.5


def is_hung(row_since, looked_at, gang=False, patience=1):
    """Whether progress seen last at `row_since` had not moved at `looked_at`.

    `patience`
        How many times as long as usual it may stand still.
    """
    limit = HUNG_GANG_SECONDS if gang else HUNG_SECONDS
    return looked_at - row_since > patience * limit


@dataclass(slots=True)
class MinionHealth:
    """What the runs on one life of a minion tell about it.

    `trouble_at_by_job`
        When a run of a job last failed or stood still here.
    `succeeded_at`
        When a run last succeeded here.
    """

    trouble_at_by_job: dict[str, float] = field(default_factory=dict)
    succeeded_at: float = 0.0

    def note_trouble(self, job, now):
        """Note that a run of `job` failed or stood still."""
        self.trouble_at_by_job[job] = now

    def note_success(self, now):
        """Note that a run succeeded."""
        self.succeeded_at = now

    def troubled_jobs(self, now):
        """Return how many jobs were in trouble here lately."""
        fresh = {
            job: at
            for job, at in self.trouble_at_by_job.items()
            if now - at < EVIDENCE_SECONDS
        }
        self.trouble_at_by_job = fresh
        return len(fresh)

    def doubt(self, now):
        """Return how much the minion is to be avoided, 0 or 1."""
        return float(self.troubled_jobs(now) >= DOUBTED_FROM)

    def is_sick(self, now):
        """Whether the minion should get nothing for now."""
        if self.troubled_jobs(now) < SICK_FROM:
            return False
        return self.succeeded_at < max(self.trouble_at_by_job.values())
