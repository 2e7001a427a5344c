"""Merging the replicas' audit trails on the command line.

A replica that was rebuilt from a snapshot, or whose file was damaged, reports
the log indexes of its missing records. The merged trail must show a gap that no
other replica fills, and must not let a gap hide a record.
"""

from hingepitch.admin.trail import merge_trails


def row(index):
    return {"index": index, "command": "PutVm", "missing_after": -1}


def gap(after, index):
    return {"index": index, "command": "(missing)", "missing_after": after}


def positions(rows):
    return [(one["missing_after"], one["index"]) for one in rows]


def test_a_gap_that_another_replica_fills_is_not_shown():
    rows = merge_trails([[row(1), row(2), row(5)], [gap(0, 4), row(5)]])
    assert positions(rows) == [(-1, 1), (-1, 2), (-1, 5)]


def test_indexes_missing_on_all_replicas_are_shown():
    rows = merge_trails([[row(1), gap(1, 6), row(9)], [gap(0, 4), row(5), row(9)]])
    assert positions(rows) == [(-1, 1), (1, 4), (-1, 5), (-1, 9)]


def test_a_gap_does_not_hide_the_record_at_its_last_index():
    assert positions(merge_trails([[row(4)], [gap(0, 4)]])) == [(-1, 4)]


def test_one_replica_alone_shows_its_gaps():
    assert positions(merge_trails([[gap(0, 3), row(4)]])) == [(0, 3), (-1, 4)]


def test_no_trails_merge_to_an_empty_trail():
    assert merge_trails([]) == []
