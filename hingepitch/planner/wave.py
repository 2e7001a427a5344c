"""
hingepitch.planner.wave
~~~~~~~~~~~~~~~~~~~~~~~

Maintenance waves and pool moves: which VM may leave now. Pure
functions over the state and what the platform shows.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter

from hingepitch.model.command import (
    GrantPermit,
    MoveVm,
    ReportHealthy,
    ReportLost,
    ReturnVm,
)
from hingepitch.model.record import Life, Purpose
from hingepitch.model.selector import matches
from hingepitch.planner.step import CheckDrained, Propose, Reboot

__all__ = [
    "needs_maintenance",
    "plan_drains",
    "plan_health",
    "plan_moves",
    "plan_wave",
]

#: VMs lost under a permit at which a wave takes no more.
CORRELATED_LOSSES = 2


class Budgets:
    """What is left of each budget while a plan is being made.

    `state`
        The state that the plan starts from.
    `pools`
        Names of the pools that the plan is about.
    """

    def __init__(self, state, pools):
        self.left_by_service = {
            service.name: service.max_down - state.count_down(service)
            for pool in pools
            for service in state.services_by_pool[pool].values()
        }

    def left(self, services):
        """Return the smallest rest of the budgets of `services`."""
        return min(
            (self.left_by_service[service.name] for service in services),
            default=1,
        )

    def pressure(self, services):
        """Return how scarce the budgets of `services` are together."""
        return sum(
            1 / max(self.left_by_service[service.name], 0.5) for service in services
        )

    def take(self, services):
        """Spend one of each budget of `services`."""
        for service in services:
            self.left_by_service[service.name] -= 1


def needs_maintenance(vm, campaigns, now_seconds):
    """Whether a campaign of the VM's owner wants it rebooted."""
    for campaign in campaigns:
        if campaign.partner != vm.partner or not matches(campaign.selector, vm.labels):
            continue
        if vm.maintained_version < campaign.version:
            return True
        age_seconds = now_seconds - vm.maintained_at_seconds
        if campaign.every_seconds and age_seconds >= campaign.every_seconds:
            return True
    return False


def halted_partners(state):
    """Return the partners whose waves stopped on correlated losses."""
    losses = {}
    for name in state.by_kind["permit"]:
        vm = state.get("vm", name)
        if vm is not None and vm.life is Life.LOST:
            losses[vm.partner] = losses.get(vm.partner, 0) + 1
    return {partner for partner, count in losses.items() if count >= CORRELATED_LOSSES}


def wave_candidates(state, view, now_seconds, pools):
    """Yield the live VMs that want maintenance, with their services."""
    campaigns = list(state.by_kind["campaign"].values())
    halted = halted_partners(state)
    if not campaigns:
        return
    for pool in pools:
        for vm in state.vms_by_pool[pool].values():
            if vm.life is not Life.LIVE or vm.partner in halted:
                continue
            if not is_shown_healthy(view, vm.name):
                continue
            if needs_maintenance(vm, campaigns, now_seconds):
                yield vm, tuple(state.services_of(vm))


def is_shown_healthy(view, name):
    """Whether the platform shows a VM healthy."""
    shown = view.vm_by_name.get(name)
    return shown is not None and shown.healthy


def in_order(candidates, budgets, racks_down):
    """Return the candidates, the ones that the end of the wave waits for first.

    The service with the most VMs left for its budget decides how long the
    wave takes, so its VMs go first; among equals, a VM in a rack that is
    already touched, so that a wave spreads over few failure domains.
    """
    candidates = list(candidates)
    left = Counter(service.name for _, services in candidates for service in services)

    def key(pair):
        vm, services = pair
        rounds = max((rounds_left(service, left) for service in services), default=0)
        return -rounds, vm.rack not in racks_down, budgets.pressure(services), vm.name

    return sorted(candidates, key=key)


def rounds_left(service, left):
    """Return how many times the budget of `service` its VMs left are."""
    return left[service.name] / max(service.max_down, 0.5)


def within_budget(candidates, budgets):
    """Yield the candidates that every budget still allows, and spend it."""
    for vm, services in candidates:
        if budgets.left(services) > 0:
            budgets.take(services)
            yield vm


def plan_wave(state, view, now_seconds, pools):
    """Yield the permits that use up the budgets in `pools`, and no more."""
    budgets = Budgets(state, pools)
    racks_down = {vm.rack for pool in pools for vm in state.down_by_pool[pool].values()}
    candidates = wave_candidates(state, view, now_seconds, pools)
    for vm in within_budget(in_order(candidates, budgets, racks_down), budgets):
        boot_id = view.vm_by_name[vm.name].boot_id
        yield Propose(GrantPermit(vm.name, Purpose.MAINTENANCE, boot_id))


def plan_drains(state, view):
    """Yield the next step of every VM that has a permit."""
    for permit in state.by_kind["permit"].values():
        vm = state.get("vm", permit.vm)
        if vm is None:
            continue
        if vm.life is Life.LEAVING:
            if not state.jobs_by_vm[vm.name]:
                yield CheckDrained(vm.name)
        elif vm.life is Life.DRAINED and permit.purpose is Purpose.MOVE:
            yield Propose(MoveVm(vm.name, vm.pool, permit.to_pool))
        elif vm.life is Life.DRAINED:
            yield from plan_reboot(vm, permit, view)


def plan_reboot(vm, permit, view):
    """Yield the reboot of a drained VM, or its return after it."""
    shown = view.vm_by_name.get(vm.name)
    if shown is not None and shown.healthy and shown.boot_id != permit.boot_id:
        yield Propose(ReturnVm(vm.name, shown.boot_id))
    elif shown is None or shown.boot_id == permit.boot_id:
        yield Reboot(vm.name, f"{vm.name}-{permit.version}")


def plan_health(state, view, now, lost_after_seconds):
    """Yield reports of VMs that the platform lost or has again."""
    for name, since in view.unhealthy_since_by_vm.items():
        vm = state.get("vm", name)
        is_up = vm is not None and vm.life in (Life.LIVE, Life.LEAVING)
        if is_up and now - since >= lost_after_seconds:
            yield Propose(ReportLost(name))
    for vms in state.down_by_pool.values():
        for vm in vms.values():
            if vm.life is Life.LOST and is_shown_healthy(view, vm.name):
                yield plan_recovery(state, vm, view.vm_by_name[vm.name])


def plan_recovery(state, vm, shown):
    """Return the step that brings a lost VM back."""
    permit = state.get("permit", vm.name)
    if permit is not None and shown.boot_id != permit.boot_id:
        return Propose(ReturnVm(vm.name, shown.boot_id))
    return Propose(ReportHealthy(vm.name, shown.boot_id))


def wanted_pool(state, vm):
    """Return the pool that takes `vm` from its own, or None.

    A VM stays where it is as long as its own pool's selector holds it.
    """
    own = state.get("pool", vm.pool)
    if own is None or not own.gives or not matches(own.gives, vm.labels):
        return None
    if own.selector and matches(own.selector, vm.labels):
        return None
    for name in sorted(state.by_kind["pool"]):
        pool = state.get("pool", name)
        if name != own.name and pool.selector and matches(pool.selector, vm.labels):
            return pool
    return None


def plan_moves(state, view, pools):
    """Yield the permits of VMs whose labels put them into another pool."""
    for name in pools:
        own = state.get("pool", name)
        if own is None or not own.gives:
            continue
        for vm in state.vms_by_pool[name].values():
            pool = wanted_pool(state, vm) if vm.life is Life.LIVE else None
            shown = view.vm_by_name.get(vm.name)
            if pool is not None and shown is not None:
                yield Propose(
                    GrantPermit(vm.name, Purpose.MOVE, shown.boot_id, pool.name)
                )
