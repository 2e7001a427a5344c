"""
hingepitch.planner.scope
~~~~~~~~~~~~~~~~~~~~~~~~

Which pools a pass has to look at: the ones that changed since the
last.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.model.record import PLACED_STATES

__all__ = ["Scope"]

#: Kinds whose change may matter to every pool.
WIDE_KINDS = frozenset(("pool", "team", "campaign", "planner_lease"))


class Scope:
    """The pools touched since the last pass.

    Budgets, waves and placement never reach over the edge of a pool, so a
    pass over the touched pools decides the same as one over all of them.
    """

    def __init__(self):
        self.names = set()
        self.is_full = True

    def note_change(self, state, kind, key, record):
        """Note a change that `state` has not taken yet."""
        if kind in WIDE_KINDS:
            self.is_full |= kind != "planner_lease"
            return
        for version in (state.get(kind, key), record):
            if kind == "permit" and version is not None:
                version = state.get("vm", key)
            if version is not None and hasattr(version, "pool"):
                self.names.add(version.pool)
        if kind == "job":
            self.note_freed_quota(state, state.get(kind, key), record)

    def note_freed_quota(self, state, before, after):
        """Note the pools that a team's next jobs wait for, when one ended."""
        if before is None or before.state not in PLACED_STATES:
            return
        if after is None or after.state not in PLACED_STATES:
            for job in state.waiting_by_team[before.team].values():
                self.names.add(job.pool)

    def note_view(self, state, before, after):
        """Note the VMs that the platform shows differently than before."""
        for name, vm in after.vm_by_name.items():
            if before.vm_by_name.get(name) != vm:
                self.note_vm(state, name)

    def note_vm(self, state, name):
        """Note the pool of a VM."""
        vm = state.get("vm", name)
        if vm is not None:
            self.names.add(vm.pool)

    def take(self, state):
        """Return the names of the pools to look at, sorted; start anew."""
        names = state.by_kind["pool"] if self.is_full else self.names
        taken = sorted(names)
        self.names = set()
        self.is_full = False
        return taken
