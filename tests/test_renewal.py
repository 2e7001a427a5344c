"""What the log tells of a lease that lapsed: renewals, and the minion's clock."""

import pytest

from hingepitch.jobs.renewal import RenewalHistory

LEASE_MS = 4000


def test_nothing_is_told_before_a_renewal():
    assert RenewalHistory().fields(5.0) == {}


def test_a_renewal_without_an_answer_is_told_beside_the_one_answered_before():
    book = RenewalHistory()
    book.note_clock(1_000, 10.0)
    book.note_answered(book.note_sent(1_000 + LEASE_MS, 10.0))
    book.note_sent(3_000 + LEASE_MS, 12.0)
    book.note_clock(5_200, 14.2)
    assert book.fields(14.2) == {
        "renewed": 2.2,
        "answered": 4.2,
        "given_ms": LEASE_MS,
        "clock_age": 0.0,
    }


@pytest.mark.parametrize("late_ms", [0, 700, 2500])
def test_a_lease_given_by_a_late_reading_of_the_clock_shows_as_shorter(late_ms):
    book = RenewalHistory()
    book.note_clock(1_000 - late_ms, 10.0)
    book.note_answered(book.note_sent(1_000 - late_ms + LEASE_MS, 10.0))
    book.note_clock(3_000, 12.0)
    assert book.fields(12.0)["given_ms"] == LEASE_MS - late_ms


def test_a_look_without_a_renewal_and_a_late_answer_change_nothing():
    book = RenewalHistory()
    early, late = book.note_sent(4_000, 1.0), book.note_sent(5_000, 2.0)
    book.note_answered(late)
    book.note_answered(early)
    book.note_answered(None)
    assert book.answered is late


def test_a_renewal_is_overdue_unless_one_was_answered_lately():
    book = RenewalHistory()
    assert book.is_overdue(1.0, 1.2)
    book.note_answered(book.note_sent(4_000, 1.0))
    assert not book.is_overdue(2.1, 1.2)
    book.note_sent(5_000, 2.0)
    assert book.is_overdue(2.3, 1.2)
