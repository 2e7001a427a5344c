"""
hingepitch.jobs.report
~~~~~~~~~~~~~~~~~~~~~~

Classifies the heartbeats of minions: which incarnation each of them describes.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum

__all__ = ["ReportKind", "classify_report"]


class ReportKind(enum.Enum):
    """What a heartbeat says of, compared with the recorded minions.

    `FIRST`: a minion that is not recorded. `CURRENT`: the recorded incarnation.
    `LATE`: the recorded incarnation, at an earlier time. `ENDED`: an incarnation
    that has ended. `OTHER`: another incarnation of the minion than the recorded or
    ended one, which may be a later or an earlier one.
    """

    FIRST = "first"
    CURRENT = "current"
    LATE = "late"
    ENDED = "ended"
    OTHER = "other"


def classify_report(table, minion):
    """Return the `ReportKind` of the record `minion` from a heartbeat."""
    known = table.minion_by_id.get(minion.id)
    if known is None:
        return classify_unknown(table, minion)
    if not known.is_same_incarnation(minion):
        return ReportKind.OTHER
    if minion.sequence >= known.sequence:
        return ReportKind.CURRENT
    # A lower number is late, or counts the heartbeats of another incarnation.
    is_unconfirmed = minion.born_ms != known.born_ms and minion.born_ms
    return ReportKind.OTHER if is_unconfirmed else ReportKind.LATE


def classify_unknown(table, minion):
    """Return the `ReportKind` for a minion that is not recorded."""
    born_ms = table.ended_lives.get(minion.id)
    if born_ms is None:
        return ReportKind.FIRST
    if minion.born_ms in (0, born_ms):
        return ReportKind.ENDED
    return ReportKind.OTHER
