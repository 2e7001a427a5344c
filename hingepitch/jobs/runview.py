"""
hingepitch.jobs.runview
~~~~~~~~~~~~~~~~~~~~~~~

One run as the leader's side of its minion sees it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

__all__ = ["UNSEEN_STATUSES", "RunView", "RunViewStatus"]


class RunViewStatus(enum.Enum):
    """What the agent knows of a run.

    `FRESH`: recorded by this leader, never ordered. `INHERITED`: recorded by
    an earlier leader. `ORDERED`: the start is on its way. `RUNNING`: the
    minion said so. `UNSURE`: the start got no answer, or the run is missing
    from a look. `STOPPED`: a stop was answered.
    """

    FRESH = "fresh"
    INHERITED = "inherited"
    ORDERED = "ordered"
    RUNNING = "running"
    UNSURE = "unsure"
    STOPPED = "stopped"


#: A run in one of these goes on if a look shows it.
UNSEEN_STATUSES = frozenset(
    (RunViewStatus.INHERITED, RunViewStatus.ORDERED, RunViewStatus.UNSURE)
)


@dataclass(slots=True)
class RunView:
    """One run as its agent sees it.

    `begun_at`
        When the minion was first known to run it; 0: not yet.
    `answered_at`
        When the last order for it was answered or given up; a look that was
        sent earlier says nothing about its absence.
    `is_stop_sent`
        Whether a stop was sent, which may still be carried out.
    `has_ended`
        Whether its end was listed, recorded or not.
    `percent`
        The pace that was last ordered.
    `row`
        The last row of a look, or None.
    """

    run: object
    status: RunViewStatus
    answered_at: float = 0.0
    is_ordering: bool = False
    is_stop_sent: bool = False
    percent: int = 100
    has_ended: bool = False
    row: object = None
    row_since: float = 0.0
    begun_at: float = 0.0

    def note_begun(self, now):
        """Note that the minion runs it, as seen at `now`."""
        self.begun_at = self.begun_at or now
