"""
hingepitch.planner.wave
~~~~~~~~~~~~~~~~~~~~~~~

Decides which VMs leave for maintenance waves and pool moves, as pure functions
of the state and the view of the platform.

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
from hingepitch.model.record import Purpose, VmLifecycle
from hingepitch.model.selector import matches
from hingepitch.planner.step import CheckDrained, Propose, Reboot

__all__ = [
    "needs_maintenance",
    "plan_drains",
    "plan_health",
    "plan_moves",
    "plan_wave",
]

#: Number of VMs lost under a permit at which the waves of their partner halt.
CORRELATED_LOSSES = 2


class Budgets:
    """Remaining disruption budget of each service while a plan is made.

    `state`
        The state on which the plan is based.
    `pools`
        Names of the pools that the plan covers.
    """

    def __init__(self, state, pools):
        self.left_by_service = {
            service.name: service.max_down - state.count_down(service)
            for pool in pools
            for service in state.services_by_pool[pool].values()
        }

    def left(self, services):
        """Return the smallest remaining budget of `services`; 1 if there are none."""
        return min(
            (self.left_by_service[service.name] for service in services),
            default=1,
        )

    def scarcity(self, services):
        """Return how scarce the remaining budgets are, as the sum of their inverses.

        A used-up budget counts as one half.
        """
        return sum(
            1 / max(self.left_by_service[service.name], 0.5) for service in services
        )

    def spend(self, services):
        """Take one VM off the remaining budget of each of `services`."""
        for service in services:
            self.left_by_service[service.name] -= 1


def needs_maintenance(vm, campaigns, now_seconds):
    """Whether a campaign of the VM's partner requires a reboot of the VM."""
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
    """Return the partners whose waves are halted because of correlated losses."""
    losses = {}
    for name in state.by_kind["permit"]:
        vm = state.get("vm", name)
        if vm is not None and vm.life is VmLifecycle.LOST:
            losses[vm.partner] = losses.get(vm.partner, 0) + 1
    return {partner for partner, count in losses.items() if count >= CORRELATED_LOSSES}


def wave_candidates(state, view, now_seconds, pools):
    """Yield `(vm, services)` of the live, healthy VMs that need maintenance."""
    campaigns = list(state.by_kind["campaign"].values())
    halted = halted_partners(state)
    if not campaigns:
        return
    for pool in pools:
        for vm in state.vms_by_pool[pool].values():
            if vm.life is not VmLifecycle.LIVE or vm.partner in halted:
                continue
            if not is_reported_healthy(view, vm.name):
                continue
            if needs_maintenance(vm, campaigns, now_seconds):
                yield vm, tuple(state.services_of(vm))


def is_reported_healthy(view, name):
    """Whether the platform reports a VM as healthy."""
    reported = view.vm_by_name.get(name)
    return reported is not None and reported.healthy


def sort_candidates(candidates, budgets, racks_down):
    """Return the candidates in the order in which they should leave.

    The service with the most remaining VMs relative to its budget determines
    how long the wave takes, so its VMs go first. Among equals, VMs in a rack
    that already has VMs down go first, so that the wave affects few failure
    domains at once.
    """
    candidates = list(candidates)
    remaining_by_service = Counter(
        service.name for _, services in candidates for service in services
    )

    def key(pair):
        vm, services = pair
        rounds = max(
            (rounds_left(service, remaining_by_service) for service in services),
            default=0,
        )
        return -rounds, vm.rack not in racks_down, budgets.scarcity(services), vm.name

    return sorted(candidates, key=key)


def rounds_left(service, remaining_by_service):
    """Return how many rounds `service` needs for its remaining VMs.

    `remaining_by_service`
        Number of VMs of each service that still need maintenance.
    """
    return remaining_by_service[service.name] / max(service.max_down, 0.5)


def select_within_budget(candidates, budgets):
    """Yield the VMs of the candidates that all budgets allow; spend the budgets."""
    for vm, services in candidates:
        if budgets.left(services) > 0:
            budgets.spend(services)
            yield vm


def plan_wave(state, view, now_seconds, pools):
    """Yield maintenance permits for `pools`, up to the remaining budgets."""
    budgets = Budgets(state, pools)
    racks_down = {
        vm.rack for pool in pools for vm in state.down_vms_by_pool[pool].values()
    }
    candidates = wave_candidates(state, view, now_seconds, pools)
    for vm in select_within_budget(
        sort_candidates(candidates, budgets, racks_down), budgets
    ):
        boot_id = view.vm_by_name[vm.name].boot_id
        yield Propose(GrantPermit(vm.name, Purpose.MAINTENANCE, boot_id))


def plan_drains(state, view):
    """Yield the next step of each VM that has a permit."""
    for permit in state.by_kind["permit"].values():
        vm = state.get("vm", permit.vm)
        if vm is None:
            continue
        if vm.life is VmLifecycle.LEAVING:
            if not state.jobs_by_vm[vm.name]:
                yield CheckDrained(vm.name)
        elif vm.life is VmLifecycle.DRAINED and permit.purpose is Purpose.MOVE:
            yield Propose(MoveVm(vm.name, vm.pool, permit.to_pool))
        elif vm.life is VmLifecycle.DRAINED:
            yield from plan_reboot(vm, permit, view)


def plan_reboot(vm, permit, view):
    """Yield the reboot of a drained VM, or its return once it has rebooted."""
    reported = view.vm_by_name.get(vm.name)
    if reported is not None and reported.healthy and reported.boot_id != permit.boot_id:
        yield Propose(ReturnVm(vm.name, reported.boot_id))
    elif reported is None or reported.boot_id == permit.boot_id:
        yield Reboot(vm.name, f"{vm.name}-{permit.version}")


def plan_health(state, view, now, lost_after_seconds):
    """Yield a command for each VM that became lost or is healthy again."""
    for name, since in view.unhealthy_since_by_vm.items():
        vm = state.get("vm", name)
        is_up = vm is not None and vm.life in (VmLifecycle.LIVE, VmLifecycle.LEAVING)
        if is_up and now - since >= lost_after_seconds:
            yield Propose(ReportLost(name))
    for vms in state.down_vms_by_pool.values():
        for vm in vms.values():
            if vm.life is VmLifecycle.LOST and is_reported_healthy(view, vm.name):
                yield plan_recovery(state, vm, view.vm_by_name[vm.name])


def plan_recovery(state, vm, reported):
    """Return the step for a lost VM that is healthy again."""
    permit = state.get("permit", vm.name)
    if permit is not None and reported.boot_id != permit.boot_id:
        return Propose(ReturnVm(vm.name, reported.boot_id))
    return Propose(ReportHealthy(vm.name, reported.boot_id))


def target_pool(state, vm):
    """Return the pool that should take `vm` from its current pool, or None.

    A VM stays in its pool as long as the selector of that pool matches it.
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
    """Yield move permits for VMs whose labels select another pool."""
    for name in pools:
        own = state.get("pool", name)
        if own is None or not own.gives:
            continue
        for vm in state.vms_by_pool[name].values():
            pool = target_pool(state, vm) if vm.life is VmLifecycle.LIVE else None
            reported = view.vm_by_name.get(vm.name)
            if pool is not None and reported is not None:
                yield Propose(
                    GrantPermit(vm.name, Purpose.MOVE, reported.boot_id, pool.name)
                )
