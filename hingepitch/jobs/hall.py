"""
hingepitch.jobs.hall
~~~~~~~~~~~~~~~~~~~~

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
        Log index of the last change; 0 before the first.
    """

    def __init__(self, cordons=(), revision=0):
        self.cordon_by_hall = {cordon.hall: cordon for cordon in cordons}
        self.revision = revision

    def __contains__(self, hall):
        return hall in self.cordon_by_hall

    def add(self, cordon, revision):
        """Cordon a hall at a log index."""
        self.cordon_by_hall[cordon.hall] = cordon
        self.revision = revision

    def remove(self, hall, revision):
        """Uncordon a hall at a log index."""
        del self.cordon_by_hall[hall]
        self.revision = revision
