"""
hingepitch.jobs.renewal
~~~~~~~~~~~~~~~~~~~~~~~

When the lease of one minion was renewed: to renew it in time, and to tell why
one lapsed.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from typing import NamedTuple

__all__ = ["RenewalBook"]


class Renewal(NamedTuple):
    """A renewal that was sent; times are on `lease_seconds`.

    `lease_until_ms`
        Until when it gives the lease, on the minion's clock.
    `clock_age`
        Age in seconds of the reading of that clock that it rests on.
    """

    sent_at: float
    lease_until_ms: int
    clock_age: float


class RenewalBook:
    """The renewals of the lease of one life of a minion.

    `sent`, `answered`
        The last `Renewal` that was sent, and that got an answer; or None.
    `clock_ms`, `clock_at`
        The minion's clock as it was last read, and when that was.
    """

    def __init__(self):
        self.sent = None
        self.answered = None
        self.clock_ms = 0
        self.clock_at = 0.0

    def note_clock(self, clock_ms, now):
        """Note what the minion's clock showed in a message read at `now`."""
        self.clock_ms, self.clock_at = clock_ms, now

    def note_sent(self, lease_until_ms, now):
        """Note and return a `Renewal` that goes out at `now`."""
        self.sent = Renewal(now, lease_until_ms, now - self.clock_at)
        return self.sent

    def note_answered(self, renewal):
        """Note that a look was answered, and the `Renewal` in it or None."""
        if renewal and (not self.answered or renewal.sent_at > self.answered.sent_at):
            self.answered = renewal

    def is_overdue(self, now, seconds):
        """Whether no renewal was answered that was sent in the last `seconds`."""
        return self.answered is None or now - self.answered.sent_at > seconds

    def fields(self, now):
        """Return the fields of a log line; those that are not known are left out."""
        fields = {}
        if self.sent:
            fields["renewed"] = round(now - self.sent.sent_at, 2)
        if self.answered:
            fields["answered"] = round(now - self.answered.sent_at, 2)
            fields["given_ms"] = round(self.given_ms(self.answered))
            fields["clock_age"] = round(self.answered.clock_age, 2)
        return fields

    def given_ms(self, renewal):
        """Return how long a renewal held, by the minion's clock as known now."""
        passed_ms = (self.clock_at - renewal.sent_at) * 1000
        return renewal.lease_until_ms - (self.clock_ms - passed_ms)
