"""
hingepitch.jobs.halls.cordon
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Cordons: the halls in which no run may start until an operator takes that back. Like
the rest of the state machine it is deterministic: it reads neither the clock nor random
numbers.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["HallCordon", "HallCordons"]


@dataclass(frozen=True, slots=True)
class HallCordon:
    """The cordon of a hall.

    `since_ms`
        When it was recorded by the leader's clock, in milliseconds since the epoch.
    """

    hall: str
    since_ms: int


class HallCordons:
    """The cordoned halls.

    `cordon_by_hall`
        The `HallCordon` of each cordoned hall.
    `revision`
        Log index of the last accepted order, whether it changed a cordon or not; 0
        before the first. An order that finds its state already held has to count,
        or an earlier opposite one that was delayed could still be applied after it.
    """

    def __init__(self, cordons=(), revision=0):
        self.cordon_by_hall = {cordon.hall: cordon for cordon in cordons}
        self.revision = revision

    def __contains__(self, hall):
        return hall in self.cordon_by_hall

    def add(self, cordon, revision):
        """Cordon a hall at a log index; a cordon that exists keeps its time."""
        self.cordon_by_hall.setdefault(cordon.hall, cordon)
        self.revision = revision

    def remove(self, hall, revision):
        """Uncordon a hall at a log index, if it is cordoned."""
        self.cordon_by_hall.pop(hall, None)
        self.revision = revision
