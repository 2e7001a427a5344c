"""
hingepitch.model.rule
~~~~~~~~~~~~~~~~~~~~~

What the rules of the state machine share: refusals and checks.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from functools import singledispatch

from hingepitch.model.command import Outcome

__all__ = [
    "Refusal",
    "apply_command",
    "check_budgets",
    "check_life",
    "check_owner",
    "need",
]


class Refusal(Exception):
    """Ends the application of a command; becomes its outcome."""

    def __init__(self, code, detail="", claim=None):
        super().__init__(code)
        self.outcome = Outcome(code=code, detail=detail, claim=claim)


@singledispatch
def apply_command(command, state, envelope, index):
    """Apply one command; raise `Refusal` before any change.

    Returns the claim or planner lease it made, if it made one.
    """
    raise Refusal("bad_request", f"no such command: {type(command).__name__}")


def need(state, kind, name, partner=None):
    """Return the record, or refuse; with `partner`, it must be theirs."""
    record = state.get(kind, name)
    if record is None:
        raise Refusal("unknown_object", f"no {kind} {name}")
    if partner is not None and record.partner != partner:
        raise Refusal("forbidden", f"{kind} {name} belongs to {record.partner}")
    return record


def check_owner(state, kind, name, partner):
    """Refuse to replace an object of the other partner; return it or None."""
    record = state.get(kind, name)
    if record is not None and record.partner != partner:
        raise Refusal("forbidden", f"{kind} {name} belongs to {record.partner}")
    return record


def check_life(vm, *allowed):
    """Refuse when `vm` is in none of the states `allowed`."""
    if vm.life not in allowed:
        raise Refusal("wrong_life", f"VM {vm.name} is {vm.life.value}")


def check_budgets(state, vm, added=1):
    """Refuse when `added` more VMs down would break a budget of `vm`."""
    for service in state.services_of(vm):
        down = state.count_down(service)
        if down + added > service.max_down:
            raise Refusal(
                "budget_spent",
                f"service {service.name}: {down} of {service.max_down} down",
            )
