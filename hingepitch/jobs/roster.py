"""
hingepitch.jobs.roster
~~~~~~~~~~~~~~~~~~~~~~

The beats of minions, as the leader hears them; kept in memory only.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.jobs.crash import NO_BLAME

__all__ = ["MinionRoster"]


class MinionRoster:
    """Who spoke last, and with which sequence number.

    `on_beat`
        Function of a life and its clock, called for each new beat; set by
        the dispatcher.
    `on_crash`
        Function from a life that another one on its VM has ended to the
        `Blame`; set by the dispatcher.
    `is_present`
        Function of a `Minion`: whether that life answers a call now; set by
        the dispatcher.
    """

    def __init__(self):
        self.sequence_by_minion = {}
        self.on_beat = None
        self.on_crash = None
        self.is_present = None

    def clear(self):
        """Forget everything; another leadership begins."""
        self.sequence_by_minion = {}

    def note(self, beat):
        """Note a beat; return whether it is newer than the ones before."""
        last = self.sequence_by_minion.get(beat.minion.id, -1)
        if beat.sequence <= last:
            return False
        self.sequence_by_minion[beat.minion.id] = beat.sequence
        return True

    def take_blame(self, life):
        """Return the `Blame` for a life that another one on its VM has ended."""
        return self.on_crash(life) if self.on_crash is not None else NO_BLAME

    def tell(self, minion_id, clock_ms):
        """Tell the dispatcher that a minion spoke."""
        if self.on_beat is not None:
            self.on_beat(minion_id, clock_ms)
