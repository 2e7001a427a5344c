"""
hingepitch.planner.view
~~~~~~~~~~~~~~~~~~~~~~~

What the platform shows of VMs and tasks; it lags.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

__all__ = ["PlatformVm", "PlatformView", "Task", "TaskState"]


class TaskState(enum.Enum):
    """Where a task of the platform is in its life."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    EXPIRED = "expired"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class PlatformVm:
    """A VM as the platform shows it."""

    name: str
    healthy: bool
    boot_id: str


@dataclass(frozen=True, slots=True)
class Task:
    """A task as the platform shows it; `name` is `job/lease`."""

    name: str
    vm: str
    state: TaskState


@dataclass(frozen=True, slots=True)
class PlatformView:
    """One answer of the platform.

    `unhealthy_since_by_vm`
        When this planner first saw each unhealthy VM unhealthy.
    """

    vm_by_name: dict[str, PlatformVm] = field(default_factory=dict)
    task_by_name: dict[str, Task] = field(default_factory=dict)
    unhealthy_since_by_vm: dict[str, float] = field(default_factory=dict)
