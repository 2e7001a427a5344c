"""
hingepitch.jobs.terms
~~~~~~~~~~~~~~~~~~~~~

What dispatching may rely on: the terms of the minions' protocol.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

from hingepitch.jobs.pool import PoolTerms

__all__ = ["DispatchTerms"]


@dataclass(frozen=True, slots=True)
class DispatchTerms:
    """What the minions' protocol allows, and what is chosen within it.

    `lease_seconds`
        Lease that each look and start gives.
    `drift`
        Part by which a minion's steady clock may be slower than ours.
    `lapse_seconds`
        How late a minion may notice that its lease is over.
    `beat_seconds`
        Time between two beats of a minion.
    `look_wait_ms`
        How long a look waits at the minion for an end.
    `early_ms`
        A due time may begin this much early.
    `upkeep_seconds`
        How long a VM is down for its upkeep.
    `move_seconds`
        How long a VM is away while it changes pool.
    `far_factor`
        How many times as long tasks take that want one rack and have not.
    `pools`
        When VMs change pool.
    """

    lease_seconds: float = 6.0
    drift: float = 0.021
    lapse_seconds: float = 0.4
    beat_seconds: float = 1.5
    look_wait_ms: int = 2000
    early_ms: int = 0
    upkeep_seconds: float = 2.0
    move_seconds: float = 1.5
    far_factor: float = 2.0
    pools: PoolTerms = PoolTerms()

    @property
    def lease_until_over_seconds(self):
        """Time on our clock until a lease given now is surely over."""
        return self.lease_seconds * (1 + self.drift) + self.lapse_seconds
