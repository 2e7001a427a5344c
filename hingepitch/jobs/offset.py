"""
hingepitch.jobs.offset
~~~~~~~~~~~~~~~~~~~~~~

How far the steady clock of a minion is ahead of ours, from its messages.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__all__ = ["ClockOffset"]


class ClockOffset:
    """The largest offset that the messages of one life of a minion prove.

    A message is read after its clock was: the time that passes between makes
    a reading too small, by seconds if a cut held the message back, and never
    too large. So each proves a least offset, and the largest of them is the
    nearest. A lease given by it ends on time or early, never late.

    `drift`
        Part by which the minion's clock may be slower than ours; what was
        proved is worth less by as much, the older it is.
    """

    def __init__(self, drift):
        self.drift = drift
        self.proved_ms = None
        self.proved_at = 0.0

    def note(self, clock_ms, now):
        """Note a message that was read at `now`, in seconds of our clock."""
        offset_ms = clock_ms - now * 1000
        known_ms = self.at(now)
        if known_ms is None or offset_ms >= known_ms:
            self.proved_ms, self.proved_at = offset_ms, now

    def at(self, now):
        """Return the offset at `now` in milliseconds; None: nothing is known."""
        if self.proved_ms is None:
            return None
        return self.proved_ms - self.drift * (now - self.proved_at) * 1000
