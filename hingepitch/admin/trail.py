"""
hingepitch.admin.trail
~~~~~~~~~~~~~~~~~~~~~~

One audit trail from those of all replicas.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["merge_trails"]


@dataclass(frozen=True, slots=True)
class Gap:
    """The places in the log after `after` up to `index`."""

    after: int
    index: int


def merge_trails(trails):
    """Return the rows of all replicas' trails, each once, by place.

    A replica may lack records, and says so by a row with `missing_after`. Such a
    row is left only for places that every replica lacks.

    `trails`
        Lists of rows as replicas answer them.
    """
    by_index = {}
    gaps = None
    for rows in trails:
        by_index.update((row["index"], row) for row in rows if not is_gap(row))
        own = [Gap(row["missing_after"], row["index"]) for row in rows if is_gap(row)]
        gaps = own if gaps is None else common_gaps(gaps, own)
    rows = [*by_index.values(), *map(gap_row, gaps or ())]
    return sorted(rows, key=lambda row: row["index"])


def is_gap(row):
    """Whether a row stands for records that a replica lacks."""
    return row.get("missing_after", -1) >= 0


def common_gaps(some, others):
    """Return what two lists of `Gap` have in common."""
    pairs = ((one, other) for one in some for other in others)
    common = (
        Gap(max(one.after, other.after), min(one.index, other.index))
        for one, other in pairs
    )
    return [gap for gap in common if gap.after < gap.index]


def gap_row(gap):
    """Return the row that stands for a `Gap`."""
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
