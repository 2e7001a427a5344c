"""
hingepitch.jobs.warmth
~~~~~~~~~~~~~~~~~~~~~~

How long a minion is still slow after its start, from its heartbeats. Kept in memory
only: it describes one incarnation at one moment, and decreases by itself.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["WARM", "Warmth"]


@dataclass(frozen=True, slots=True)
class Warmth:
    """What one leadership knows of the warm-up of an incarnation.

    `warm_at`
        When the minion is warm, on `lease_seconds`; 0 if it was never seen cold.
    `initial_seconds`
        How long it was still cold when this leadership first saw it so.
    """

    warm_at: float = 0.0
    initial_seconds: float = 0.0

    def is_cold(self, now):
        """Whether the minion is still slow after its start."""
        return now < self.warm_at

    def fraction(self, now):
        """Return the part of the observed warm-up that is over, 0 to 1."""
        if not self.is_cold(now):
            return 1.0
        return max(0.0, 1 - (self.warm_at - now) / self.initial_seconds)

    def updated(self, warm_up_ms, now):
        """Return the warmth after a heartbeat that says `warm_up_ms` at `now`.

        A time in the past is kept as the end of the warm-up: runs that began before
        it are still to be told from the others.
        """
        cold_seconds = warm_up_ms / 1000
        if not cold_seconds:
            return Warmth(min(self.warm_at, now), self.initial_seconds)
        return Warmth(now + cold_seconds, self.initial_seconds or cold_seconds)


#: The warmth of a minion that was never seen cold.
WARM = Warmth()
