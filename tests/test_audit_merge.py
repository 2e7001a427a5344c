"""The audit trail of the command line: what one replica lacks, another may have.

A replica that was rebuilt from a snapshot, or whose file was damaged, says which
places of the log it has no records of. Before, its other rows hid that.
"""

from hingepitch.admin.trail import merge_trails


def row(index):
    return {"index": index, "command": "PutVm", "missing_after": -1}


def gap(after, index):
    return {"index": index, "command": "(missing)", "missing_after": after}


def places(rows):
    return [(one["missing_after"], one["index"]) for one in rows]


def test_a_gap_that_another_replica_fills_is_not_shown():
    rows = merge_trails([[row(1), row(2), row(5)], [gap(0, 4), row(5)]])
    assert places(rows) == [(-1, 1), (-1, 2), (-1, 5)]


def test_places_that_all_replicas_lack_are_shown():
    rows = merge_trails([[row(1), gap(1, 6), row(9)], [gap(0, 4), row(5), row(9)]])
    assert places(rows) == [(-1, 1), (1, 4), (-1, 5), (-1, 9)]


def test_a_gap_does_not_hide_the_record_at_its_last_place():
    assert places(merge_trails([[row(4)], [gap(0, 4)]])) == [(-1, 4)]


def test_one_replica_alone_shows_its_gaps():
    assert places(merge_trails([[gap(0, 3), row(4)]])) == [(0, 3), (-1, 4)]


def test_no_answer_at_all_is_an_empty_trail():
    assert merge_trails([]) == []
