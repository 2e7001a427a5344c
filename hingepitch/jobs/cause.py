"""
hingepitch.jobs.cause
~~~~~~~~~~~~~~~~~~~~~

How the leader knows that a run is over.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum

__all__ = ["EndCause"]


class EndCause(enum.Enum):
    """What shows that a run is over.

    `LISTED`: the minion lists its end. `NOT_ORDERED`: its start was never
    ordered. `REFUSED`: the minion refused its only start. `STOPPED`: a stop was
    answered, and a look sent later does not show it. `LAPSED`: its lease is
    surely over.
    """

    LISTED = "listed"
    NOT_ORDERED = "not_ordered"
    REFUSED = "refused"
    STOPPED = "stopped"
    LAPSED = "lapsed"
