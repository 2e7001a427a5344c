"""
hingepitch.planner.scope
~~~~~~~~~~~~~~~~~~~~~~~~

Tracks which pools a planning pass must examine: those with a change since the
last pass.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.model.record import PLACED_STATES

__all__ = ["PassScope"]

#: Kinds of records that do not belong to a single pool. A change of any of them
#: but the planner lease makes the next pass examine all pools.
GLOBAL_KINDS = frozenset(("pool", "team", "campaign", "planner_lease"))


class PassScope:
    """The pools with changes since the last pass.

    Budgets, waves and placement never depend on more than one pool, so a pass
    over the changed pools decides the same as a pass over all of them.

    `names`
        Names of the changed pools.
    `is_full`
        Whether the next pass must examine all pools.
    """

    def __init__(self):
        self.names = set()
        self.is_full = True

    def add_pools_of_change(self, state, kind, key, record):
        """Add the pools affected by a change that is not yet applied to `state`."""
        if kind in GLOBAL_KINDS:
            self.is_full |= kind != "planner_lease"
            return
        for version in (state.get(kind, key), record):
            if kind == "permit" and version is not None:
                version = state.get("vm", key)
            if version is not None and hasattr(version, "pool"):
                self.names.add(version.pool)
        if kind == "job":
            self.add_pools_waiting_for_quota(state, state.get(kind, key), record)

    def add_pools_waiting_for_quota(self, state, before, after):
        """Add the pools of the waiting jobs of a team whose job has ended."""
        if before is None or before.state not in PLACED_STATES:
            return
        if after is None or after.state not in PLACED_STATES:
            for job in state.waiting_jobs_by_team[before.team].values():
                self.names.add(job.pool)

    def add_pools_of_view(self, state, before, after):
        """Add the pools of the VMs that the platform now reports differently."""
        for name, vm in after.vm_by_name.items():
            if before.vm_by_name.get(name) != vm:
                self.add_pool_of_vm(state, name)

    def add_pool_of_vm(self, state, name):
        """Add the pool of a VM."""
        vm = state.get("vm", name)
        if vm is not None:
            self.names.add(vm.pool)

    def pop_pools(self, state):
        """Return the sorted names of the pools to examine, and reset."""
        names = state.by_kind["pool"] if self.is_full else self.names
        taken = sorted(names)
        self.names = set()
        self.is_full = False
        return taken
