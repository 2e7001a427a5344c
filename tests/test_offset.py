"""The clock offset of a minion, estimated from messages that may be read late."""

import random

import pytest

from hingepitch.jobs.agents.offset import ClockOffset

DRIFT = 0.021
AHEAD_MS = 5_000_000


def test_the_offset_is_unknown_before_a_message():
    assert ClockOffset(DRIFT).at(3.0) is None


@pytest.mark.parametrize("late_ms", [1, 300, 9_000])
def test_a_message_read_late_lowers_the_offset_by_drift_at_most(late_ms):
    offset = ClockOffset(DRIFT)
    offset.note(AHEAD_MS + 10_000, 10.0)
    offset.note(AHEAD_MS + 11_000 - late_ms, 11.0)
    drift_ms = min(late_ms, DRIFT * 1000)
    assert offset.at(11.0) == pytest.approx(AHEAD_MS - drift_ms)


def test_a_first_message_read_late_is_corrected_by_the_next():
    offset = ClockOffset(DRIFT)
    offset.note(AHEAD_MS + 7_000, 10.0)
    offset.note(AHEAD_MS + 10_500, 10.5)
    assert offset.at(10.5) == pytest.approx(AHEAD_MS)


@pytest.mark.parametrize("rate", [1.0, 0.99, 0.98])
@pytest.mark.parametrize("seed", range(5))
def test_the_offset_is_never_too_large_and_close_after_a_prompt_message(rate, seed):
    rng = random.Random(seed)
    offset = ClockOffset(DRIFT)
    for step in range(1, 400):
        now = step * 0.5
        late = 0.0 if step % 10 == 0 else rng.choice((0.001, 0.02, 0.4, 6.0))
        offset.note(AHEAD_MS + rate * (now - late) * 1000, now)
        true_ms = AHEAD_MS + rate * now * 1000 - now * 1000
        assert offset.at(now) <= true_ms + 1e-3
        if step >= 10:
            assert offset.at(now) >= true_ms - DRIFT * 5 * 1000 - 1


def test_a_reply_corrects_an_offset_from_a_wrong_reading():
    offset = ClockOffset(DRIFT)
    offset.note(AHEAD_MS + 60_000, 10.0)  # A reading of another clock.
    offset.note(AHEAD_MS + 10_600, 11.0, asked_at=10.5)
    assert offset.at(11.0) == pytest.approx(AHEAD_MS - 400)


def test_a_slow_reply_does_not_lower_a_correct_offset():
    offset = ClockOffset(DRIFT)
    offset.note(AHEAD_MS + 10_000, 10.0)
    offset.note(AHEAD_MS + 10_500, 12.0, asked_at=10.5)
    assert offset.at(12.0) == pytest.approx(AHEAD_MS - DRIFT * 2000)


def test_a_heartbeat_cannot_exceed_the_largest_offset_that_a_reply_allows():
    offset = ClockOffset(DRIFT)
    offset.note(AHEAD_MS + 10_010, 10.02, asked_at=10.0)
    offset.note(AHEAD_MS + 60_000, 11.0)  # A reading of another clock.
    assert offset.at(11.0) <= AHEAD_MS
    offset.note(AHEAD_MS + 12_000, 12.0)
    assert offset.at(12.0) == pytest.approx(AHEAD_MS)
