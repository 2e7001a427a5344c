"""
hingepitch.model.rules.declaration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rules for the objects that operators declare.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import asdict, replace

from hingepitch.model import command as commands
from hingepitch.model.record import Campaign, Pool, Service, Team, Vm, VmLifecycle
from hingepitch.model.rule import (
    Refusal,
    apply_command,
    check_budgets,
    check_lifecycle,
    check_owner,
    require,
)
from hingepitch.model.selector import parse_selector

__all__ = ["DELETABLE_KINDS", "check_relabelled"]

#: Kinds that an operator may delete.
DELETABLE_KINDS = ("vm", "pool", "service", "team", "campaign")


@apply_command.register
def _(command: commands.PutVm, state, envelope, index):
    before = check_owner(state, "vm", command.name, envelope.partner)
    if before is None:
        require(state, "pool", command.pool, envelope.partner)
        vm = Vm(partner=envelope.partner, **asdict(command))
    else:
        if command.pool != before.pool:
            raise Refusal("pool_is_decided", f"VM {before.name} is in {before.pool}")
        vm = replace(before, **asdict(command))
        if before.life is not VmLifecycle.LIVE:
            check_relabelled(state, before, vm)
    state.put("vm", vm.name, vm, index)


def check_relabelled(state, before, after):
    """Refuse labels that add a VM that is down to a service without budget left."""
    carried = {service.name for service in state.services_of(before)}
    for service in state.services_of(after):
        joins = service.name not in carried
        if joins and state.count_down(service) + 1 > service.max_down:
            raise Refusal("budget_spent", f"service {service.name}")


@apply_command.register
def _(command: commands.PutPool, state, envelope, index):
    check_owner(state, "pool", command.name, envelope.partner)
    parse_selector(command.selector)
    parse_selector(command.gives)
    pool = Pool(partner=envelope.partner, **asdict(command))
    state.put("pool", pool.name, pool, index)


@apply_command.register
def _(command: commands.PutService, state, envelope, index):
    check_owner(state, "service", command.name, envelope.partner)
    require(state, "pool", command.pool, envelope.partner)
    parse_selector(command.selector)
    service = Service(partner=envelope.partner, **asdict(command))
    state.put("service", service.name, service, index)


@apply_command.register
def _(command: commands.PutTeam, state, envelope, index):
    check_owner(state, "team", command.name, envelope.partner)
    team = Team(partner=envelope.partner, **asdict(command))
    state.put("team", team.name, team, index)


@apply_command.register
def _(command: commands.PutCampaign, state, envelope, index):
    check_owner(state, "campaign", command.name, envelope.partner)
    parse_selector(command.selector)
    campaign = Campaign(partner=envelope.partner, **asdict(command))
    state.put("campaign", campaign.name, campaign, index)


@apply_command.register
def _(command: commands.Delete, state, envelope, index):
    if command.kind not in DELETABLE_KINDS:
        raise Refusal("forbidden", f"a {command.kind} cannot be deleted")
    record = require(state, command.kind, command.name, envelope.partner)
    if command.kind == "vm":
        check_lifecycle(record, VmLifecycle.LIVE, VmLifecycle.DRAINED, VmLifecycle.LOST)
        if record.life is VmLifecycle.LIVE:
            check_budgets(state, record)
    if command.kind == "pool" and state.vms_by_pool[record.name]:
        raise Refusal("bad_object", f"pool {record.name} still has VMs")
    if command.kind == "pool" and state.services_by_pool[record.name]:
        raise Refusal("bad_object", f"pool {record.name} still has services")
    state.drop(command.kind, command.name, index)
    if command.kind == "vm":
        state.drop("permit", command.name, index)
