"""
hingepitch.control.progress
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replication state of one follower, as the leader knows it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Progress"]

#: Ticks to wait for the answer to a probe: two heartbeat rounds of the leader.
PROBE_TICKS = 4


@dataclass(slots=True)
class Progress:
    """Replication state of one follower, as the leader knows it.

    `active`
        Whether the follower has answered since the last quorum check.
    `ticks_since_answer`
        Ticks since the last answer, or since the leader began to track the follower.
    `sequence`
        The latest read round that the follower has answered.
    `snapshot_ticks`
        Ticks left in which no further snapshot is sent, as one is in transit.
    `is_snapshot_lost`
        The last snapshot is known not to have arrived. Another one is sent
        once the follower answers a heartbeat.
    `probe_index`
        After a rejection, the lowest index tried since; no entries are sent
        until a probe is accepted. None: the follower's log is known to match.
    `probe_ticks`
        Ticks left in which only a rejection below `probe_index` counts, as
        the follower also rejects every message that was already in transit.
    """

    next_index: int
    match_index: int = 0
    active: bool = True
    sequence: int = 0
    snapshot_ticks: int = 0
    is_snapshot_lost: bool = False
    probe_index: int | None = None
    probe_ticks: int = 0
    ticks_since_answer: int = 0

    def tick(self):
        """Count a tick of the leader."""
        self.ticks_since_answer += 1
        self.snapshot_ticks = max(0, self.snapshot_ticks - 1)
        self.probe_ticks = max(0, self.probe_ticks - 1)

    def note_answer(self, sequence):
        """Record an answer, which also answers the read round `sequence`."""
        self.active = True
        self.ticks_since_answer = 0
        self.sequence = max(self.sequence, sequence)

    def accept(self, index):
        """Record that the follower has the entries up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.snapshot_ticks = 0
        self.probe_index = None

    def probe_lower(self, retry):
        """Set the probe index after a rejection; return whether to probe again.

        The follower also rejects messages that were in transit before the last
        probe; their rejections give no new information and are ignored.

        `retry`
            The log index that the follower asks for, at most the leader's last.
        """
        known = self.probe_index
        if known is not None and retry >= known and self.probe_ticks:
            return False
        self.probe_index = retry if known is None else min(retry, known)
        self.probe_ticks = PROBE_TICKS
        self.next_index = max(self.match_index, self.probe_index) + 1
        return True
