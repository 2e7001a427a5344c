"""
hingepitch.jobs.fleet
~~~~~~~~~~~~~~~~~~~~~

What the leader says to the platform about VMs and hears from it. The
client that puts this on a wire is given by the composition root.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

__all__ = ["FleetReply", "VmList", "VmRow", "VmState"]


class FleetReply(enum.Enum):
    """What the platform said to an order.

    `UNSURE`: no answer; it may have been carried out, or may still be.
    `BUSY`: the VM is not up, or leaving. `NOT_IN_WAVE`: the VM is not due.
    `UNKNOWN_VM`: there is no such VM, or it cannot be in that pool.
    `FENCED`: a later leader gave an order for the VM.
    """

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    UNKNOWN_VM = "unknown_vm"
    TOO_MANY = "too_many"
    UNSURE = "unsure"


class VmState(enum.Enum):
    """What a VM does, as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class VmRow:
    """One VM of the platform's list, which may lag.

    `life`
        The life of the minion on it, or empty.
    `kind`
        Its first label; VMs of one kind are alike.
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
        Entries that could not be read: a VM that is missing may be one of them.
    """

    rows: tuple[VmRow, ...]
    unread: int = 0
