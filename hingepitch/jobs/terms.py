"""
hingepitch.jobs.terms
~~~~~~~~~~~~~~~~~~~~~

Timing parameters of dispatching, which follow from the minion protocol.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

from hingepitch.jobs.pool import PoolTerms

__all__ = ["DispatchTerms"]


@dataclass(frozen=True, slots=True)
class DispatchTerms:
    """Limits set by the minion protocol, and values chosen within them.

    `lease_seconds`
        Duration of the lease that each poll and each start grants.
    `drift`
        Fraction by which a minion's monotonic clock may run slower than the
        leader's.
    `lapse_seconds`
        Longest delay until a minion notices that its lease has expired.
    `beat_seconds`
        Interval between two heartbeats of a minion.
    `look_wait_ms`
        How long a long poll waits at the minion for the end of a run.
    `early_ms`
        How long before its due time a round may be opened.
    `upkeep_seconds`
        How long a VM is down for maintenance.
    `move_seconds`
        How long a VM is unavailable while it changes pool.
    `far_factor`
        Factor by which tasks that prefer one rack are slower across racks.
    `pools`
        The `PoolTerms`, which decide when VMs change pool.
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
        """Leader-clock seconds until a lease granted now is certain to have expired."""
        return self.lease_seconds * (1 + self.drift) + self.lapse_seconds
