"""
hingepitch.jobs.agents.runview
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state of one run as the agent of its minion knows it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

__all__ = ["UNLISTED_STATUSES", "RunView", "RunViewStatus"]


class RunViewStatus(enum.Enum):
    """Status of a run as its agent knows it.

    `FRESH`: recorded by this leader, not ordered yet. `INHERITED`: recorded by
    an earlier leader. `ORDERED`: the start order is in flight. `RUNNING`: the
    minion confirmed the start or listed the run. `UNSURE`: the outcome is
    unknown, as the start got no conclusive reply or a status poll does not list
    the run. `STOPPED`: the minion answered a stop. `REFUSED`: the minion refused
    the start, and the end of the run is yet to be recorded.
    """

    FRESH = "fresh"
    INHERITED = "inherited"
    ORDERED = "ordered"
    RUNNING = "running"
    UNSURE = "unsure"
    STOPPED = "stopped"
    REFUSED = "refused"


#: Statuses that become `RUNNING` when a status poll lists the run.
UNLISTED_STATUSES = frozenset(
    (RunViewStatus.INHERITED, RunViewStatus.ORDERED, RunViewStatus.UNSURE)
)


@dataclass(slots=True)
class RunView:
    """State of one run as its agent knows it; times are on `lease_seconds`.

    `run`
        The recorded run.
    `begun_at`
        When the minion was first known to execute the run; 0 if it is not yet.
    `is_carried_over`
        Whether the run was ordered from an earlier incarnation of the minion.
    `answered_at`
        When the last order for the run was answered or timed out. A status poll
        that was sent earlier does not prove that the run is absent.
    `is_ordering`
        Whether an order for the run is in progress.
    `is_stop_sent`
        Whether a stop was sent that may still be carried out.
    `has_ended`
        Whether the minion listed the end of the run, recorded or not.
    `percent`
        The pace that the minion last confirmed.
    `row`
        The last `RunningRow` of the run, or None.
    `row_since`
        When the progress in `row` last changed.
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
    is_carried_over: bool = False

    def note_begun(self, now):
        """Note that the minion was seen to execute the run at `now`."""
        self.begun_at = self.begun_at or now
