"""
hingepitch.model.rules.maintenance
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rules for the commands of the planner (lease, permits, moves, VM health) and
for entries that join.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import replace

from hingepitch.model import command as commands
from hingepitch.model.record import (
    EntryRecord,
    Permit,
    PlannerLease,
    Purpose,
    VmLifecycle,
)
from hingepitch.model.rule import (
    Refusal,
    apply_command,
    check_budgets,
    check_lifecycle,
    require,
)
from hingepitch.model.selector import matches

__all__ = ["check_move", "is_moving"]


@apply_command.register
def _(command: commands.TakePlannerLease, state, envelope, index):
    lease = state.get("planner_lease", "planner")
    expires = state.now_seconds + command.seconds
    if lease is not None and lease.holder != command.holder:
        if state.now_seconds < lease.expires_at_seconds:
            raise Refusal("lease_held", f"by {lease.holder}")
        lease = None
    if lease is not None and lease.fence == envelope.fence:
        renewed = replace(lease, expires_at_seconds=expires)
    else:
        renewed = PlannerLease(command.holder, index, expires)
    return state.put("planner_lease", "planner", renewed, index)


@apply_command.register
def _(command: commands.GrantPermit, state, envelope, index):
    vm = require(state, "vm", command.vm)
    check_lifecycle(vm, VmLifecycle.LIVE)
    check_budgets(state, vm)
    if command.purpose is Purpose.MOVE:
        check_move(state, vm, command.to_pool)
    permit = Permit(command.vm, command.purpose, command.boot_id, command.to_pool)
    state.put("permit", vm.name, permit, index)
    state.put("vm", vm.name, replace(vm, life=VmLifecycle.LEAVING), index)


def check_move(state, vm, to_pool_name):
    """Refuse a move that the declarations of the two pools do not allow."""
    to_pool = require(state, "pool", to_pool_name)
    from_pool = require(state, "pool", vm.pool)
    if to_pool.name == from_pool.name:
        raise Refusal("wrong_pool", f"VM {vm.name} is already in {to_pool.name}")
    if not from_pool.gives or not matches(from_pool.gives, vm.labels):
        raise Refusal("not_selected", f"pool {from_pool.name} does not give it")
    if not to_pool.selector or not matches(to_pool.selector, vm.labels):
        raise Refusal("not_selected", f"pool {to_pool.name} does not take it")
    moving_out = sum(
        1
        for name in state.down_vms_by_pool[from_pool.name]
        if is_moving(state.get("permit", name))
    )
    if len(state.vms_by_pool[from_pool.name]) - moving_out <= from_pool.floor:
        raise Refusal("budget_spent", f"pool {from_pool.name} is at its floor")


def is_moving(permit):
    """Whether `permit` is for a move to another pool."""
    return permit is not None and permit.purpose is Purpose.MOVE


@apply_command.register
def _(command: commands.MarkDrained, state, envelope, index):
    vm = require(state, "vm", command.vm)
    require(state, "permit", command.vm)
    check_lifecycle(vm, VmLifecycle.LEAVING)
    if state.jobs_by_vm[vm.name]:
        raise Refusal("not_drained", f"jobs run on VM {vm.name}")
    state.put("vm", vm.name, replace(vm, life=VmLifecycle.DRAINED), index)


@apply_command.register
def _(command: commands.ReturnVm, state, envelope, index):
    vm = require(state, "vm", command.vm)
    permit = require(state, "permit", command.vm)
    check_lifecycle(vm, VmLifecycle.DRAINED, VmLifecycle.LOST)
    if permit.boot_id == command.boot_id:
        raise Refusal("wrong_boot", f"VM {vm.name} has not booted anew")
    returned = replace(
        vm,
        life=VmLifecycle.LIVE,
        maintained_version=index,
        maintained_at_seconds=state.now_seconds,
    )
    state.drop("permit", vm.name, index)
    state.put("vm", vm.name, returned, index)


@apply_command.register
def _(command: commands.MoveVm, state, envelope, index):
    vm = require(state, "vm", command.vm)
    permit = require(state, "permit", command.vm)
    check_lifecycle(vm, VmLifecycle.DRAINED)
    if vm.pool != command.from_pool:
        raise Refusal("wrong_pool", f"VM {vm.name} is in {vm.pool}")
    if not is_moving(permit) or permit.to_pool != command.to_pool:
        raise Refusal("wrong_pool", f"the permit is not for {command.to_pool}")
    require(state, "pool", command.to_pool)
    state.drop("permit", vm.name, index)
    moved = replace(vm, pool=command.to_pool, life=VmLifecycle.LIVE)
    state.put("vm", vm.name, moved, index)


@apply_command.register
def _(command: commands.ReportLost, state, envelope, index):
    vm = require(state, "vm", command.vm)
    check_lifecycle(vm, VmLifecycle.LIVE, VmLifecycle.LEAVING)
    state.put("vm", vm.name, replace(vm, life=VmLifecycle.LOST), index)


@apply_command.register
def _(command: commands.ReportHealthy, state, envelope, index):
    vm = require(state, "vm", command.vm)
    check_lifecycle(vm, VmLifecycle.LOST)
    permit = state.get("permit", vm.name)
    life = VmLifecycle.LIVE if permit is None else VmLifecycle.LEAVING
    state.put("vm", vm.name, replace(vm, life=life), index)


@apply_command.register
def _(command: commands.JoinEntry, state, envelope, index):
    state.put("entry", command.name, EntryRecord(command.name, command.hall), index)
