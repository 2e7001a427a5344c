"""
hingepitch.model.rule
~~~~~~~~~~~~~~~~~~~~~

Refusals and checks shared by the rules of the state machine.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from functools import singledispatch

from hingepitch.model.command import Outcome

__all__ = [
    "Refusal",
    "apply_command",
    "check_budgets",
    "check_lifecycle",
    "check_owner",
    "require",
]


class Refusal(Exception):
    """Stop applying a command; `outcome` becomes the outcome of the command."""

    def __init__(self, code, detail="", claim=None):
        super().__init__(code)
        self.outcome = Outcome(code=code, detail=detail, claim=claim)


@singledispatch
def apply_command(command, state, envelope, index):
    """Apply one command; raise `Refusal` before changing anything.

    Returns the claim or planner lease that the command stored, else None.
    """
    raise Refusal("bad_request", f"no such command: {type(command).__name__}")


def require(state, kind, name, partner=None):
    """Return the record `name` of `kind`; refuse if it does not exist.

    With `partner`, also refuse if the record belongs to another partner.
    """
    record = state.get(kind, name)
    if record is None:
        raise Refusal("unknown_object", f"no {kind} {name}")
    if partner is not None and record.partner != partner:
        raise Refusal("forbidden", f"{kind} {name} belongs to {record.partner}")
    return record


def check_owner(state, kind, name, partner):
    """Return the existing record or None; refuse one of another partner."""
    record = state.get(kind, name)
    if record is not None and record.partner != partner:
        raise Refusal("forbidden", f"{kind} {name} belongs to {record.partner}")
    return record


def check_lifecycle(vm, *allowed):
    """Refuse if the lifecycle state of `vm` is not one of `allowed`."""
    if vm.life not in allowed:
        raise Refusal("wrong_life", f"VM {vm.name} is {vm.life.value}")


def check_budgets(state, vm, added=1):
    """Refuse if `added` more VMs down would exceed a budget of `vm`."""
    for service in state.services_of(vm):
        down = state.count_down(service)
        if down + added > service.max_down:
            raise Refusal(
                "budget_spent",
                f"service {service.name}: {down} of {service.max_down} down",
            )
