"""
hingepitch.jobs.agents.renewal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

History of the lease renewals of one minion: used to renew the lease in time and
to log why it expired.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from typing import NamedTuple

__all__ = ["RenewalHistory"]


class Renewal(NamedTuple):
    """A renewal that was sent; times are on `lease_seconds`.

    `lease_until_ms`
        The new lease expiry, on the minion's clock.
    `clock_age`
        Age in seconds of the last reading of that clock when it was sent.
    """

    sent_at: float
    lease_until_ms: int
    clock_age: float


class RenewalHistory:
    """Lease renewals of one incarnation of a minion.

    `sent`, `answered`
        The last `Renewal` that was sent, and the last that was answered; or None.
    `clock_ms`, `clock_at`
        The last reading of the minion's clock, and when it was received.
    """

    def __init__(self):
        self.sent = None
        self.answered = None
        self.clock_ms = 0
        self.clock_at = 0.0

    def note_clock(self, clock_ms, now):
        """Note the minion's clock from a message that was received at `now`."""
        self.clock_ms, self.clock_at = clock_ms, now

    def note_sent(self, lease_until_ms, now):
        """Note and return a `Renewal` that is sent at `now`."""
        self.sent = Renewal(now, lease_until_ms, now - self.clock_at)
        return self.sent

    def note_answered(self, renewal):
        """Note that the poll with `renewal` was answered; None: it had no renewal."""
        if renewal and (not self.answered or renewal.sent_at > self.answered.sent_at):
            self.answered = renewal

    def is_overdue(self, now, seconds):
        """Whether no renewal sent within the last `seconds` was answered."""
        return self.answered is None or now - self.answered.sent_at > seconds

    def fields(self, now):
        """Return the fields of a log line, without those that are unknown."""
        fields = {}
        if self.sent:
            fields["renewed"] = round(now - self.sent.sent_at, 2)
        if self.answered:
            fields["answered"] = round(now - self.answered.sent_at, 2)
            fields["given_ms"] = round(self.given_ms(self.answered))
            fields["clock_age"] = round(self.answered.clock_age, 2)
        return fields

    def given_ms(self, renewal):
        """Return the lease duration that a renewal gave, by the last clock reading."""
        passed_ms = (self.clock_at - renewal.sent_at) * 1000
        return renewal.lease_until_ms - (self.clock_ms - passed_ms)
