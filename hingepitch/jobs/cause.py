"""
hingepitch.jobs.cause
~~~~~~~~~~~~~~~~~~~~~

Evidence by which the leader knows that a run has ended.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum

__all__ = ["EndCause"]


class EndCause(enum.Enum):
    """Evidence that a run has ended.

    `LISTED`: the minion listed the end. `NOT_ORDERED`: the start was never
    ordered. `REFUSED`: the minion refused the only start order. `STOPPED`: the
    minion answered a stop, and a status poll sent later does not list the run.
    `LAPSED`: the lease is confirmed to have expired.
    """

    LISTED = "listed"
    NOT_ORDERED = "not_ordered"
    REFUSED = "refused"
    STOPPED = "stopped"
    LAPSED = "lapsed"
