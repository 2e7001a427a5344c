"""
hingepitch.planner.executor
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Executes the steps of a plan.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from functools import singledispatchmethod

from hingepitch.log import log_event
from hingepitch.model.command import Envelope, MarkDrained, Role
from hingepitch.planner.step import (
    CheckDrained,
    Propose,
    Reboot,
    RenewTasks,
    StartTask,
    StopTask,
)

__all__ = ["Executor"]

PROPOSE_SECONDS = 3.0


class Executor:
    """Executes steps by commands in the log and by calls to the platform.

    `group`
        Client of the control group, which takes the commands.
    `platform`
        Client of the platform.
    `name`
        Name of this planner.
    `metrics`
        Registry in which the proposed commands are counted.
    `fence`
        Fencing token of the planner lease; 0 without a lease.
    """

    def __init__(self, group, platform, name, metrics):
        self.group = group
        self.platform = platform
        self.name = name
        self.metrics = metrics
        self.fence = 0

    def propose(self, command):
        """Propose a command to the control group; return its `Outcome`."""
        envelope = Envelope(Role.PLANNER, "", self.name, command, fence=self.fence)
        outcome = self.group.propose(envelope, PROPOSE_SECONDS)
        kind = type(command).__name__
        self.metrics.count(
            "steps", "Commands proposed.", command=kind, code=outcome.code or "accepted"
        )
        log_event("wave_step", command=repr(command), code=outcome.code or "accepted")
        return outcome

    @singledispatchmethod
    def execute_step(self, step):
        """Execute one step; raise `HingepitchError` if it fails."""
        raise TypeError(f"not a step: {step!r}")

    @execute_step.register
    def _(self, step: Propose):
        self.propose(step.command)

    @execute_step.register
    def _(self, step: CheckDrained):
        if self.group.call("is_drained", step.vm, seconds=PROPOSE_SECONDS):
            self.propose(MarkDrained(step.vm))

    @execute_step.register
    def _(self, step: Reboot):
        self.platform.reboot(step.vm, step.request_id)

    @execute_step.register
    def _(self, step: StartTask):
        name = f"{step.job}/{step.lease}"
        self.platform.start_task(name, step.vm, step.run_seconds)

    @execute_step.register
    def _(self, step: StopTask):
        self.platform.stop_task(step.task)

    @execute_step.register
    def _(self, step: RenewTasks):
        self.platform.renew_tasks(step.tasks)
