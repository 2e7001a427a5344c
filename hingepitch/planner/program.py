"""
hingepitch.planner.program
~~~~~~~~~~~~~~~~~~~~~~~~~~

The planner: composition root and command line.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.patch import patch_program

patch_program()

from functools import partial

import gevent

from hingepitch.app import Application, run_daemon
from hingepitch.clock import lease_seconds, wall_seconds
from hingepitch.cmdline import run_command
from hingepitch.commandclient import CommandClient
from hingepitch.error import HingepitchError
from hingepitch.httpd import HttpServer, StatusResources, make_api
from hingepitch.log import log_event
from hingepitch.model.codec import decode_changes
from hingepitch.model.command import TakePlannerLease
from hingepitch.model.state import State
from hingepitch.planner.executor import Executor
from hingepitch.planner.placement import VmQuarantine, plan_jobs, plan_tasks
from hingepitch.planner.platform import TASK_LEASE_SECONDS, PlatformClient
from hingepitch.planner.scope import PassScope
from hingepitch.planner.settings import PlannerSettings
from hingepitch.planner.view import PlatformView
from hingepitch.planner.wave import plan_drains, plan_health, plan_moves, plan_wave

__all__ = ["Planner", "main"]

#: Leases are renewed when this fraction of their duration has passed.
RENEW_FRACTION = 0.3

RETRY_PAUSE_SECONDS = 0.2


class Planner(Application):
    """Decides where jobs run and which VMs leave, while it holds the lease."""

    program = "planner"

    def setup(self):
        """Create the clients, the state copy and the HTTP server."""
        settings = self.settings
        self.metrics = self.make_metrics()
        self.group = CommandClient(
            settings.control, settings.name, settings.shared_key, timeout_seconds=5.0
        )
        self.platform = PlatformClient(settings.platform)
        self.executor = Executor(self.group, self.platform, settings.name, self.metrics)
        self.state = State()
        self.version = 0
        self.view = PlatformView()
        self.quarantine = VmQuarantine()
        self.scope = PassScope()
        self.lease_until = 0.0
        self.poll_due = 0.0
        self.full_pass_due = 0.0
        self.renewal_due = 0.0
        self.is_idle = False
        self.pass_seconds = 0.0
        api = make_api()
        StatusResources(self.is_healthy, self.status, self.metrics).add_to(api)
        self.http = HttpServer(settings.http_address, api, connections=50)

    def start(self):
        """Start the planning loop and the HTTP server."""
        self.supervisor.start("planning", self.run_passes)
        self.listen("http", self.http)

    def stop(self):
        """Stop the HTTP server."""
        if hasattr(self, "http"):
            self.http.stop()

    def run_passes(self):
        """Run planning passes until killed; without the lease, only retry to get it."""
        while True:
            try:
                if self.ensure_lease():
                    self.run_pass()
                else:
                    gevent.sleep(self.settings.pass_seconds)
            except HingepitchError as error:
                log_event("platform_failed", code=error.code, detail=error.detail)
                gevent.sleep(RETRY_PAUSE_SECONDS)

    def ensure_lease(self):
        """Acquire or renew the planner lease; return whether it is held."""
        seconds = self.settings.lease_seconds
        now = lease_seconds()
        if now < self.lease_until - seconds * (1 - RENEW_FRACTION):
            return True
        command = TakePlannerLease(self.settings.name, seconds)
        outcome = self.executor.propose(command)
        if not outcome.accepted:
            self.executor.fence = 0
            self.lease_until = 0.0
            return False
        self.executor.fence = outcome.fence
        self.lease_until = now + seconds
        return True

    def sync_state(self, wait_seconds):
        """Bring the copy of the state up to date.

        Waits up to `wait_seconds` for a change, by a long poll.
        """
        wait_ms = int(wait_seconds * 1000)
        changes = self.group.call("watch", self.version, wait_ms, seconds=3.0)
        if changes.version <= self.version:
            return
        objects = decode_changes(changes.objects)
        for kind, key, record in objects:
            self.scope.add_pools_of_change(self.state, kind, key, record)
        self.scope.is_full |= changes.full
        self.state.apply_changes(objects, changes.version, changes.full)
        self.version = changes.version

    def poll_platform(self, now):
        """Get a new view of the platform if one is due; return whether it was due."""
        if now < self.poll_due:
            return False
        before = self.view
        self.view = self.platform.view(before.unhealthy_since_by_vm, now)
        self.scope.add_pools_of_view(self.state, before, self.view)
        self.quarantine.count_ended_tasks(self.view.task_by_name, now)
        self.poll_due = now + self.settings.platform_seconds
        return True

    def run_pass(self):
        """Update the copy of the state, plan once, and execute the steps.

        If the last pass had no steps, first waits for a change of the state.
        """
        self.sync_state(self.settings.pass_seconds if self.is_idle else 0)
        now = lease_seconds()
        polled = self.poll_platform(now)
        started = lease_seconds()
        steps = list(self.plan(now, polled))
        self.pass_seconds = lease_seconds() - started
        self.metrics.observe("pass_seconds", "Time of planning.", self.pass_seconds)
        for step in steps:
            self.execute_step(step)
        self.is_idle = not steps

    def plan(self, now, polled):
        """Yield the steps of one pass."""
        if now >= self.full_pass_due:
            self.scope.is_full = True
            self.full_pass_due = now + self.settings.full_pass_seconds
        pools = self.scope.pop_pools(self.state)
        is_quarantined = partial(self.quarantine.is_quarantined, now=now)
        lost_after = self.settings.lost_after_seconds
        yield from plan_health(self.state, self.view, now, lost_after)
        yield from plan_tasks(self.state, self.view, self.is_renewal_due(now, polled))
        yield from plan_jobs(self.state, is_quarantined, pools)
        yield from plan_drains(self.state, self.view)
        yield from plan_moves(self.state, self.view, pools)
        yield from plan_wave(self.state, self.view, wall_seconds(), pools)

    def is_renewal_due(self, now, polled):
        """Whether the leases of tasks must be renewed in this pass."""
        if not polled or now < self.renewal_due:
            return False
        self.renewal_due = now + TASK_LEASE_SECONDS * RENEW_FRACTION
        return True

    def execute_step(self, step):
        """Execute one step; a failure is logged and does not stop the others."""
        try:
            self.executor.execute_step(step)
        except HingepitchError as error:
            self.scope.is_full = True
            log_event("platform_failed", step=repr(step), detail=error.detail)

    def is_healthy(self):
        """Whether this planner runs; a standby without the lease is healthy too."""
        return True

    def status(self):
        """Return the status of this planner as plain values."""
        return {
            "name": self.settings.name,
            "version": self.version,
            "plans": lease_seconds() < self.lease_until,
            "fence": self.executor.fence,
            "pass_seconds": self.pass_seconds,
            "failing_children": self.supervisor.failing,
            "permits": sorted(self.state.by_kind["permit"]),
            "waiting_jobs": len(self.state.waiting_job_by_name),
        }


def run(*, settings: str, check: bool = False):
    """Run a planner, which decides placement, maintenance and pool moves.

    Run two or three for availability; only the one that holds the lease plans.

    :param settings: the settings file (YAML)
    :param check: only check whether the settings are valid
    """
    return run_daemon(Planner, PlannerSettings, settings, check)


def main():
    """Entry point of `hingepitch-planner`."""
    run_command(run, "hingepitch-planner")
