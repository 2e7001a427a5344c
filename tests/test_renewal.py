"""The log fields of an expired lease: its renewals and the minion's clock."""

import pytest

from hingepitch.jobs.agents.renewal import RenewalHistory

LEASE_MS = 4000


def test_no_fields_are_logged_before_a_renewal():
    assert RenewalHistory().fields(5.0) == {}


def test_an_unanswered_renewal_is_logged_with_the_last_answered_one():
    history = RenewalHistory()
    history.note_clock(1_000, 10.0)
    history.note_answered(history.note_sent(1_000 + LEASE_MS, 10.0))
    history.note_sent(3_000 + LEASE_MS, 12.0)
    history.note_clock(5_200, 14.2)
    assert history.fields(14.2) == {
        "renewed": 2.2,
        "answered": 4.2,
        "given_ms": LEASE_MS,
        "clock_age": 0.0,
    }


@pytest.mark.parametrize("late_ms", [0, 700, 2500])
def test_a_late_reading_of_the_clock_shows_as_a_shorter_lease(late_ms):
    history = RenewalHistory()
    history.note_clock(1_000 - late_ms, 10.0)
    history.note_answered(history.note_sent(1_000 - late_ms + LEASE_MS, 10.0))
    history.note_clock(3_000, 12.0)
    assert history.fields(12.0)["given_ms"] == LEASE_MS - late_ms


def test_a_poll_without_a_renewal_and_a_late_reply_change_nothing():
    history = RenewalHistory()
    early, late = history.note_sent(4_000, 1.0), history.note_sent(5_000, 2.0)
    history.note_answered(late)
    history.note_answered(early)
    history.note_answered(None)
    assert history.answered is late


def test_a_renewal_is_overdue_unless_one_was_answered_recently():
    history = RenewalHistory()
    assert history.is_overdue(1.0, 1.2)
    history.note_answered(history.note_sent(4_000, 1.0))
    assert not history.is_overdue(2.1, 1.2)
    history.note_sent(5_000, 2.0)
    assert history.is_overdue(2.3, 1.2)
