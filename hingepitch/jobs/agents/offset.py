"""
hingepitch.jobs.agents.offset
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimate of the offset between a minion's monotonic clock and the leader's.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__all__ = ["ClockOffset"]

#: Amount by which rounding the minion's clock to whole milliseconds may lower the
#: upper bound that a reply gives.
ROUNDING_MS = 1


class ClockOffset:
    """Best lower bound of the clock offset of one incarnation of a minion.

    The offset is the minion's clock minus the leader's. A message is received some
    time after the minion read its clock, by seconds if a network partition delayed
    it, so a reading can only be too small. Each message thus gives a lower bound
    of the offset, and the largest bound is the closest. A lease whose expiry is
    computed with it expires on time or early, never late.

    The reply to a call also gives an upper bound, as the minion read its clock
    after the call was sent. A lower bound above it came from a wrong reading and
    is dropped, as it would let leases outlive the leader's estimate.

    `drift`
        Fraction by which the minion's clock may run slower than the leader's; the
        bounds widen by it as they age.
    """

    def __init__(self, drift):
        self.drift = drift
        self.lower_ms = None
        self.lower_at = 0.0
        self.upper_ms = None
        self.upper_at = 0.0

    def note(self, clock_ms, now, asked_at=None):
        """Update the bounds from a message received at `now`, in leader seconds.

        `asked_at`
            When the call was sent that the message answers; None if it is not a
            reply.
        """
        offset_ms = clock_ms - now * 1000
        if asked_at is not None:
            self.note_upper_bound(clock_ms - asked_at * 1000 + ROUNDING_MS, now)
        elif self.exceeds_upper_bound(offset_ms, now):
            return
        known_ms = self.at(now)
        is_wrong = known_ms is not None and self.exceeds_upper_bound(known_ms, now)
        if known_ms is None or is_wrong or offset_ms >= known_ms:
            self.lower_ms, self.lower_at = offset_ms, now

    def note_upper_bound(self, upper_ms, now):
        """Update the upper bound from a reply unless the known one is lower."""
        if self.upper_ms is None or not self.exceeds_upper_bound(upper_ms, now):
            self.upper_ms, self.upper_at = upper_ms, now

    def exceeds_upper_bound(self, offset_ms, now):
        """Whether `offset_ms` is above the upper bound at `now`."""
        if self.upper_ms is None:
            return False
        return offset_ms > self.upper_ms + self.drift * (now - self.upper_at) * 1000

    def at(self, now):
        """Return the lower bound at `now` in milliseconds, or None if unknown."""
        if self.lower_ms is None:
            return None
        return self.lower_ms - self.drift * (now - self.lower_at) * 1000
