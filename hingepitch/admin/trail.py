"""
hingepitch.admin.trail
~~~~~~~~~~~~~~~~~~~~~~

Merges the audit trails of all replicas.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["merge_trails"]


@dataclass(frozen=True, slots=True)
class Gap:
    """Log indices without records: above `after`, up to and including `index`."""

    after: int
    index: int


def merge_trails(trails):
    """Return the rows of all trails without duplicates, sorted by log index.

    A replica that lacks records returns a row with `missing_after` for them. The
    result has such a row only for log indices whose records every replica lacks.

    `trails`
        Lists of rows, one for each replica that answered.
    """
    by_index = {}
    gaps = None
    for rows in trails:
        by_index.update((row["index"], row) for row in rows if not is_gap(row))
        replica_gaps = [
            Gap(row["missing_after"], row["index"]) for row in rows if is_gap(row)
        ]
        gaps = replica_gaps if gaps is None else common_gaps(gaps, replica_gaps)
    rows = [*by_index.values(), *map(gap_row, gaps or ())]
    return sorted(rows, key=lambda row: row["index"])


def is_gap(row):
    """Whether a row marks records that a replica lacks."""
    return row.get("missing_after", -1) >= 0


def common_gaps(some, others):
    """Return the intersections of two lists of `Gap`."""
    pairs = ((one, other) for one in some for other in others)
    common = (
        Gap(max(one.after, other.after), min(one.index, other.index))
        for one, other in pairs
    )
    return [gap for gap in common if gap.after < gap.index]


def gap_row(gap):
    """Return the row that marks a `Gap`."""
    return {
        "index": gap.index,
        "at_seconds": 0,
        "partner": "",
        "operator": "",
        "command": f"(missing after {gap.after})",
        "name": "",
        "code": "",
        "missing_after": gap.after,
    }
