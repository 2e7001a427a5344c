"""
hingepitch.jobs.fleet
~~~~~~~~~~~~~~~~~~~~~

Replies of the platform to the leader's orders on VMs, and the platform's VM
list. The composition root supplies the client that decodes them.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

__all__ = ["FleetReply", "VmList", "VmRow", "VmState"]


class FleetReply(enum.Enum):
    """Kind of the platform's reply to an order.

    `UNSURE`: no reply; the order may have been carried out, or may still be.
    `BUSY`: the VM is not up, or is leaving. `NOT_IN_WAVE`: the VM is not due in
    the wave. `UNKNOWN_VM`: the VM does not exist, or cannot be in that pool.
    `FENCED`: a later leader has given an order for the VM.
    """

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    UNKNOWN_VM = "unknown_vm"
    TOO_MANY = "too_many"
    UNSURE = "unsure"


class VmState(enum.Enum):
    """State of a VM as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class VmRow:
    """One VM in the platform's list, which may lag behind the actual state.

    `life`
        The incarnation of the minion on the VM, or empty.
    `kind`
        The first label of the VM; VMs of one kind are interchangeable.
    """

    vm: str
    pool: str
    state: VmState
    hall: str
    life: str
    kind: str = ""


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs.

    `unread`
        Number of entries that could not be decoded. A VM that is missing from
        `rows` may be one of them.
    """

    rows: tuple[VmRow, ...]
    unread: int = 0
