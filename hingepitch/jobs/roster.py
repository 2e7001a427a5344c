"""
hingepitch.jobs.roster
~~~~~~~~~~~~~~~~~~~~~~

Heartbeats of minions as the leader receives them; kept in memory only.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.jobs.crashes.crash import NO_BLAME

__all__ = ["MinionRoster"]


class MinionRoster:
    """Latest heartbeat sequence number of each incarnation, and dispatcher callbacks.

    `sequence_by_incarnation`
        Sequence number of the last heartbeat, by id and time of birth.
    `on_heartbeat`
        Callback with an incarnation, its clock and for how long it is still cold (None
        if a newer heartbeat has told that), for each new heartbeat.
    `on_crash`
        Callback that returns the `Blame` for the end of an incarnation that is
        replaced by a newer one on its VM.
    `is_present`
        Callback that returns whether the incarnation of a `Minion` answers a
        probe now.
    `has_ended`
        Callback that returns whether a probe shows that the incarnation of a
        `Minion` has ended.

    The dispatcher sets the callbacks.
    """

    def __init__(self):
        self.sequence_by_incarnation = {}
        self.on_heartbeat = None
        self.on_crash = None
        self.is_present = None
        self.has_ended = None

    def clear(self):
        """Forget all sequence numbers when another leadership begins."""
        self.sequence_by_incarnation = {}

    def note(self, heartbeat):
        """Note a heartbeat; return whether it is newer than all earlier ones."""
        key = incarnation_key(heartbeat)
        if heartbeat.sequence <= self.sequence_by_incarnation.get(key, -1):
            return False
        self.sequence_by_incarnation[key] = heartbeat.sequence
        return True

    def blame_for(self, life):
        """Return the `Blame` for an incarnation that a newer one replaces."""
        return self.on_crash(life) if self.on_crash is not None else NO_BLAME

    def pass_heartbeat(self, heartbeat):
        """Pass the heartbeat of a minion to the dispatcher.

        A newer one may have been passed while the record of this one was committed.
        """
        if self.on_heartbeat is None:
            return
        newest = self.sequence_by_incarnation.get(incarnation_key(heartbeat))
        warm_up_ms = heartbeat.warm_up_ms if newest == heartbeat.sequence else None
        self.on_heartbeat(heartbeat.minion.id, heartbeat.clock_ms, warm_up_ms)


def incarnation_key(heartbeat):
    """Return the id and the time of birth of the incarnation that sent a heartbeat."""
    return (heartbeat.minion.id, heartbeat.minion.born_ms)
