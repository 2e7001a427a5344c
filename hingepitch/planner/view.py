"""
hingepitch.planner.view
~~~~~~~~~~~~~~~~~~~~~~~

VMs and tasks as the platform reports them, which may be out of date.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

__all__ = ["PlatformVm", "PlatformView", "Task", "TaskState"]


class TaskState(enum.Enum):
    """State of a task of the platform."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    EXPIRED = "expired"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class PlatformVm:
    """A VM as the platform reports it; `boot_id` changes with each reboot."""

    name: str
    healthy: bool
    boot_id: str


@dataclass(frozen=True, slots=True)
class Task:
    """A task as the platform reports it; `name` is `job/lease`."""

    name: str
    vm: str
    state: TaskState


@dataclass(frozen=True, slots=True)
class PlatformView:
    """VMs and tasks as of one poll of the platform.

    `unhealthy_since_by_vm`
        Time at which this planner first saw each unhealthy VM as unhealthy.
    """

    vm_by_name: dict[str, PlatformVm] = field(default_factory=dict)
    task_by_name: dict[str, Task] = field(default_factory=dict)
    unhealthy_since_by_vm: dict[str, float] = field(default_factory=dict)
