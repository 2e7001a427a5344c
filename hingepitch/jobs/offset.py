"""
hingepitch.jobs.offset
~~~~~~~~~~~~~~~~~~~~~~

How far the steady clock of a minion is ahead of ours, from its messages.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__all__ = ["ClockOffset"]

#: What the rounding of a minion's clock to whole milliseconds may take from an
#: answer's proof of a largest offset.
ROUNDING_MS = 1


class ClockOffset:
    """The largest offset that the messages of one life of a minion prove.

    A message is read after its clock was: the time that passes between makes
    a reading too small, by seconds if a cut held the message back, and never
    too large. So each proves a least offset, and the largest of them is the
    nearest. A lease given by it ends on time or early, never late.

    The answer to a call proves a largest offset too: its clock was read after
    the call was sent. What is known above that came of a reading that was
    wrong, and is forgotten: it would make leases outlive what is counted on.

    `drift`
        Part by which the minion's clock may be slower than ours; what was
        proved is worth less by as much, the older it is.
    """

    def __init__(self, drift):
        self.drift = drift
        self.proved_ms = None
        self.proved_at = 0.0
        self.most_ms = None
        self.most_at = 0.0

    def note(self, clock_ms, now, asked_at=None):
        """Note a message that was read at `now`, in seconds of our clock.

        `asked_at`
            When the call was sent that it answers, if it is an answer.
        """
        offset_ms = clock_ms - now * 1000
        if asked_at is not None:
            self.note_most(clock_ms - asked_at * 1000 + ROUNDING_MS, now)
        elif self.is_impossible(offset_ms, now):
            return
        known_ms = self.at(now)
        is_wrong = known_ms is not None and self.is_impossible(known_ms, now)
        if known_ms is None or is_wrong or offset_ms >= known_ms:
            self.proved_ms, self.proved_at = offset_ms, now

    def note_most(self, most_ms, now):
        """Note the largest offset that an answer leaves possible."""
        if self.most_ms is None or not self.is_impossible(most_ms, now):
            self.most_ms, self.most_at = most_ms, now

    def is_impossible(self, offset_ms, now):
        """Whether answers have shown that the offset is less."""
        if self.most_ms is None:
            return False
        return offset_ms > self.most_ms + self.drift * (now - self.most_at) * 1000

    def at(self, now):
        """Return the offset at `now` in milliseconds; None: nothing is known."""
        if self.proved_ms is None:
            return None
        return self.proved_ms - self.drift * (now - self.proved_at) * 1000
