"""
hingepitch.jobs.terms
~~~~~~~~~~~~~~~~~~~~~

Timing parameters of dispatching, which follow from the minion protocol.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

from hingepitch.jobs.pool import PoolTerms

__all__ = ["DispatchSettings"]


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Limits set by the minion protocol, and values chosen within them.

    `lease_seconds`
        Duration of the lease that each poll and each start grants.
    `longest_lease_seconds`
        The longest lease that a minion keeps, whatever an order grants.
    `drift`
        Fraction by which a minion's monotonic clock may run slower than the
        leader's.
    `expiry_delay_seconds`
        Longest delay until a minion notices that its lease has expired.
    `heartbeat_seconds`
        Interval between two heartbeats of a minion.
    `poll_wait_ms`
        How long a long poll waits at the minion for the end of a run.
    `max_early_ms`
        How long before its due time a round may be opened.
    `upkeep_seconds`
        How long a VM is down for maintenance.
    `move_seconds`
        How long a VM is unavailable while it changes pool.
    `cross_rack_slowdown`
        Factor by which tasks that prefer one rack are slower across racks.
    `takes_cold_last`
        Whether minions that are still slow after their start come last for tasks
        that can be in time (`hingepitch.jobs.cold`). If not, all count as warm.
    `spreads_over_halls`
        Whether the tasks of a long-running step are spread over halls.
    `pools`
        The `PoolTerms`, which decide when VMs change pool.
    `refuses_late_jobs`
        Whether jobs that cannot end while their end is of use are refused.
    """

    lease_seconds: float = 6.0
    longest_lease_seconds: float = 10.0
    drift: float = 0.021
    expiry_delay_seconds: float = 0.4
    heartbeat_seconds: float = 1.5
    poll_wait_ms: int = 2000
    max_early_ms: int = 0
    upkeep_seconds: float = 2.0
    move_seconds: float = 1.5
    cross_rack_slowdown: float = 2.0
    takes_cold_last: bool = False
    spreads_over_halls: bool = False
    pools: PoolTerms = PoolTerms()
    refuses_late_jobs: bool = False

    @property
    def confirmed_expiry_seconds(self):
        """Leader-clock seconds until a lease granted now is certain to have expired."""
        return self.confirmed_seconds(self.lease_seconds)

    @property
    def longest_expiry_seconds(self):
        """The same for a lease that was granted on the clock of another minion."""
        return self.confirmed_seconds(self.longest_lease_seconds)

    def confirmed_seconds(self, lease_seconds):
        """Leader-clock seconds until a lease of `lease_seconds` has surely expired."""
        return lease_seconds * (1 + self.drift) + self.expiry_delay_seconds
