"""
hingepitch.planner.step
~~~~~~~~~~~~~~~~~~~~~~~

The steps of a plan.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["CheckDrained", "Propose", "Reboot", "RenewTasks", "StartTask", "StopTask"]


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose a command to the control group."""

    command: object


@dataclass(frozen=True, slots=True)
class CheckDrained:
    """Ask the control group whether a VM is drained; if so, record that."""

    vm: str


@dataclass(frozen=True, slots=True)
class Reboot:
    """Have the platform reboot a drained VM.

    `request_id`
        Makes the reboot idempotent.
    """

    vm: str
    request_id: str


@dataclass(frozen=True, slots=True)
class StartTask:
    """Have the platform start the task of a placed job."""

    job: str
    lease: int
    vm: str
    run_seconds: int


@dataclass(frozen=True, slots=True)
class StopTask:
    """Have the platform stop a task."""

    task: str


@dataclass(frozen=True, slots=True)
class RenewTasks:
    """Have the platform renew the leases of several tasks in one call."""

    tasks: tuple[str, ...]
