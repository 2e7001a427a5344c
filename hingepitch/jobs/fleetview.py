"""
hingepitch.jobs.fleetview
~~~~~~~~~~~~~~~~~~~~~~~~~

What one leadership knows of the VMs that may move: the spare and the idle ones, those
that are moving or on hold, and the view of each pool that follows from it.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import defaultdict

from hingepitch.clock import lease_seconds
from hingepitch.jobs.demand import Demand
from hingepitch.jobs.fleet import VmState
from hingepitch.jobs.load import PoolLoad
from hingepitch.jobs.pool import IdleVm, PoolView

__all__ = ["FleetView"]


class FleetView:
    """The VMs and the pools as a decision on moves sees them.

    `session`
        The `Session` of the leadership.
    `terms`
        A `PoolTerms`.
    `move_seconds`
        Duration of a move; the VM accepts no other order meanwhile.
    `proposed_pool_by_vm`
        Target pools of the moves that are proposed but not yet committed.
    `held_until_by_vm`
        Time until which a VM gets no new move, on the clock of `lease_seconds`.
    `idle_since_by_vm`
        Since when each idle VM of a pool has been seen without runs.
    `spare_pool_by_vm`
        The spare pools of the VMs that are off.
    `kind_by_vm`
        The kinds of the VMs in the platform's list.
    `hall_by_vm`
        The halls of the VMs in the platform's list, and of those that went to a spare
        pool since.
    `kinds_by_pool`
        The kinds of VMs that were seen in each pool.
    `demand`
        The `Demand` of the pools.
    """

    def __init__(self, session, terms, move_seconds):
        self.session = session
        self.terms = terms
        self.move_seconds = move_seconds
        self.proposed_pool_by_vm = {}
        self.held_until_by_vm = {}
        self.idle_since_by_vm = {}
        self.spare_pool_by_vm = {}
        self.kind_by_vm = {}
        self.hall_by_vm = {}
        self.kinds_by_pool = defaultdict(set)
        self.demand = Demand(session, terms, move_seconds)

    def apply_vm_list(self, rows):
        """Update the spare VMs and the kinds of all VMs from listed rows.

        A spare VM that is on hold stays spare, whatever the list says. One that is
        moving to a spare pool is on hold until the move is over: an earlier leader
        may have ordered it.
        """
        spare_pools = {
            pool.name for pool in self.session.table.config.pools if pool.is_spare
        }
        self.kind_by_vm = {row.vm: row.kind for row in rows}
        for row in rows:
            self.kinds_by_pool[row.pool].add(row.kind)
        in_transit = {
            vm: pool
            for vm, pool in self.spare_pool_by_vm.items()
            if lease_seconds() < self.held_until_by_vm.get(vm, 0.0)
        }
        spare = [
            row
            for row in rows
            if row.pool in spare_pools
            and row.state is not VmState.UPKEEP
            and row.vm not in self.session.table.life_by_vm
        ]
        for row in spare:
            if row.state is VmState.MOVING and row.vm not in self.spare_pool_by_vm:
                self.hold(row.vm, self.move_seconds)
        halls = {vm: self.hall_by_vm.get(vm, "") for vm in in_transit}
        self.hall_by_vm = halls | {row.vm: row.hall for row in rows}
        self.spare_pool_by_vm = in_transit | {row.vm: row.pool for row in spare}

    def hold(self, vm, seconds):
        """Give a VM no new move for the next `seconds`."""
        until = lease_seconds() + seconds
        self.held_until_by_vm[vm] = max(until, self.held_until_by_vm.get(vm, 0.0))

    def views(self, config, now):
        """Yield a `PoolView` of each configured pool."""
        loads = self.session.measure_pools()
        in_upkeep = self.vms_in_upkeep()
        taken = self.unavailable_vms(in_upkeep)
        minions_by_pool = self.minions_by_pool()
        for pool in config.pools:
            load = loads.get(pool.name, PoolLoad())
            minions = minions_by_pool[pool.name]
            view = PoolView(pool.name, is_spare=pool.is_spare)
            if pool.is_spare:
                view.idle = list(self.idle_spare_vms(pool.name, taken, now))
                view.present = len(view.idle)
            elif pool.name in self.session.table.queues.pools:
                view.wanted = self.demand.wanted(pool.name, load, now)
            if not pool.is_spare:
                usable = [one for one in minions if not self.is_cordoned(one.hall)]
                view.idle = list(self.idle_vms(minions, taken, now))
                view.cordoned = sum(idle.is_cordoned for idle in view.idle)
                view.present = load.minions + self.incoming(pool.name)
                view.present -= self.outgoing(pool.name)
                view.present -= count_unavailable(usable, in_upkeep)
                expired = self.expired_vms(usable, now) - in_upkeep
                view.present -= count_unavailable(usable, expired)
            view.kinds = frozenset(minion.kind for minion in minions)
            self.kinds_by_pool[pool.name] |= view.kinds
            yield view

    def minions_by_pool(self):
        """Return the registered minions of each pool."""
        minions_by_pool = defaultdict(list)
        for minion in self.session.table.minion_by_id.values():
            minions_by_pool[minion.pool].append(minion)
        return minions_by_pool

    @property
    def pool_by_moving_vm(self):
        """Target pools of the VMs whose move is recorded or proposed."""
        return self.proposed_pool_by_vm | self.session.table.move_by_vm

    def is_cordoned(self, hall):
        """Whether no run may start in a hall."""
        return hall in self.session.table.cordons

    def hall_of(self, vm):
        """Return the hall of a VM; empty if it is not known."""
        table = self.session.table
        minion = table.minion_by_id.get(table.life_by_vm.get(vm))
        return minion.hall if minion is not None else self.hall_by_vm.get(vm, "")

    def incoming(self, pool):
        """Return how many VMs are moving to a pool, those of cordoned halls aside."""
        return sum(
            to == pool and not self.is_cordoned(self.hall_of(vm))
            for vm, to in self.pool_by_moving_vm.items()
        )

    def outgoing(self, pool):
        """Return how many registered VMs are moving out of a pool.

        Those of cordoned halls do not count as present and are left out.
        """
        table = self.session.table
        lives = (table.life_by_vm.get(vm) for vm in self.pool_by_moving_vm)
        minions = (table.minion_by_id[life] for life in lives if life)
        return sum(
            minion.pool == pool and not self.is_cordoned(minion.hall)
            for minion in minions
        )

    def unavailable_vms(self, in_upkeep):
        """Return the VMs that are moving, or in `in_upkeep`."""
        return in_upkeep.union(self.pool_by_moving_vm)

    def vms_in_upkeep(self):
        """Return the VMs that are in maintenance or being drained for it.

        A decision computes this set once: computing it for each VM took 5 % of
        the leader's time with 272 minions.
        """
        leaving = self.session.upkeep.leaving_since_by_vm
        return self.session.table.vms_in_upkeep().union(leaving)

    def expired_vms(self, minions, now):
        """Return the VMs of those `minions` whose lease has expired."""
        agents = self.session.agent_by_minion
        pairs = ((one.vm, agents.get(one.id)) for one in minions)
        return {vm for vm, agent in pairs if agent and agent.is_lease_expired(now)}

    def is_free(self, vm, taken, now):
        """Whether a VM is neither in `taken` nor on hold."""
        return vm not in taken and now > self.held_until_by_vm.get(vm, 0.0)

    def idle_spare_vms(self, pool, taken, now):
        """Yield an `IdleVm` for each spare VM of a pool that is free and usable."""
        for vm, at in self.spare_pool_by_vm.items():
            is_usable = not self.is_cordoned(self.hall_of(vm))
            if at == pool and is_usable and self.is_free(vm, taken, now):
                yield IdleVm(vm, self.kind_by_vm.get(vm, ""), 0.0)

    def idle_vms(self, minions, taken, now):
        """Yield an `IdleVm` for each of `minions` that has no runs and is free."""
        table = self.session.table
        for minion in minions:
            vm = minion.vm
            if table.runs_by_minion.get(minion.id) or minion.is_draining:
                self.idle_since_by_vm.pop(vm, None)
                continue
            since = self.idle_since_by_vm.setdefault(vm, now)
            if self.is_free(vm, taken, now):
                is_cordoned = self.is_cordoned(minion.hall)
                yield IdleVm(vm, minion.kind, now - since, is_cordoned)


def count_unavailable(minions, gone):
    """Return how many of `minions` are on VMs in `gone` and are not draining.

    A minion stays registered until the next incarnation on its VM registers. Counted
    as present, unavailable ones would keep a pool from getting replacements: a
    long-running task waited 3.7 s for a VM while a wave had taken down 45 of 272, and
    8.3 s while a network partition cut off 5 minions of a pool.
    """
    return sum(one.vm in gone and not one.is_draining for one in minions)
