"""
hingepitch.jobs.crashes.health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Health of a minion, from the failures and stalled tasks of different jobs on it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field

__all__ = ["MinionHealth", "is_stalled"]

#: How long evidence counts, in seconds; then the minion is tried again.
EVIDENCE_SECONDS = 10.0

#: Number of different jobs with failed or stalled runs on a minion from which on
#: the planner avoids the minion, and from which on the minion gets no runs unless a
#: run has succeeded there since. A single job may fail on every minion by its own
#: fault; three at once rarely do.
MIN_JOBS_TO_AVOID = 2
MIN_JOBS_TO_EXCLUDE = 3

#: Time without progress after which a task counts as stalled, in seconds. It spans
#: four status polls, in which even a long, slowed task advances by one percent.
STALL_SECONDS = 2.5

#: Time without progress after which a gang member counts as stalled, in seconds.
#: It makes no progress until all members are present, so this is longer than
#: minions wait for the other members.
GANG_STALL_SECONDS = 4.5


def is_stalled(row_since, polled_at, gang=False, stall_factor=1):
    """Whether a task has stalled.

    `row_since`
        When its progress last changed.
    `polled_at`
        When the last status poll that listed it was sent.
    `stall_factor`
        Factor by which the stall timeout is extended.
    """
    limit = GANG_STALL_SECONDS if gang else STALL_SECONDS
    return polled_at - row_since > stall_factor * limit


@dataclass(slots=True)
class MinionHealth:
    """Health evidence from the runs on one incarnation of a minion.

    `trouble_at_by_job`
        When a run of each job last failed or stalled on the minion.
    `succeeded_at`
        When a run last succeeded on the minion.
    """

    trouble_at_by_job: dict[str, float] = field(default_factory=dict)
    succeeded_at: float = 0.0

    def note_trouble(self, job, now):
        """Note that a run of `job` failed or stalled."""
        self.trouble_at_by_job[job] = now

    def note_success(self, now):
        """Note that a run succeeded."""
        self.succeeded_at = now

    def troubled_jobs(self, now):
        """Return how many jobs had trouble on the minion in `EVIDENCE_SECONDS`."""
        fresh = {
            job: at
            for job, at in self.trouble_at_by_job.items()
            if now - at < EVIDENCE_SECONDS
        }
        self.trouble_at_by_job = fresh
        return len(fresh)

    def avoidance(self, now):
        """Return 1.0 if the planner should avoid the minion, else 0.0."""
        return float(self.troubled_jobs(now) >= MIN_JOBS_TO_AVOID)

    def is_unhealthy(self, now):
        """Whether the minion should get no new runs for now."""
        if self.troubled_jobs(now) < MIN_JOBS_TO_EXCLUDE:
            return False
        return self.succeeded_at < max(self.trouble_at_by_job.values())
