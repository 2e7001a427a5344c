"""
hingepitch.planner.platform
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the HTTP API of the platform.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.error import HingepitchError
from hingepitch.jsoncall import call_json
from hingepitch.planner.view import PlatformView, PlatformVm, Task, TaskState

__all__ = ["PlatformClient", "TASK_LEASE_SECONDS"]

TIMEOUT_SECONDS = 5.0
TASK_LEASE_SECONDS = 10


class PlatformClient:
    """Calls the HTTP API of the platform.

    `address`
        `IP:port`.

    Every call is idempotent: the platform identifies reboots by their request
    id and tasks by their name. Calls raise `HingepitchError`
    (`platform_failed`).
    """

    def __init__(self, address):
        self.address = address

    def call(self, method, path, body=None):
        """Return the decoded JSON body of the answer."""
        try:
            status, answer = call_json(
                self.address, method, path, body, timeout_seconds=TIMEOUT_SECONDS
            )
        except HingepitchError as error:
            raise HingepitchError("platform_failed", error.detail) from None
        if status >= 300:
            raise HingepitchError("platform_failed", f"{path}: status {status}")
        return answer

    def view(self, unhealthy_since_by_vm, now):
        """Return the current `PlatformView`.

        `unhealthy_since_by_vm`
            Mapping of the previous view, from which VMs that are still unhealthy
            keep their time.
        """
        vms = self.call("GET", "/vms")
        tasks = self.call("GET", "/tasks")
        try:
            return parse_view(vms, tasks, unhealthy_since_by_vm, now)
        except (LookupError, TypeError, ValueError) as error:
            detail = f"cannot decode the platform's lists: {error!r}"
            raise HingepitchError("platform_failed", detail) from None

    def reboot(self, vm, request_id):
        """Reboot a VM, once for each `request_id`."""
        self.call("POST", f"/vms/{vm}/reboot", {"request_id": request_id})

    def start_task(self, name, vm, run_seconds):
        """Start a task under a lease of `TASK_LEASE_SECONDS`."""
        self.call(
            "POST",
            "/tasks",
            {
                "name": name,
                "vm": vm,
                "run_seconds": run_seconds,
                "lease_seconds": TASK_LEASE_SECONDS,
            },
        )

    def stop_task(self, name):
        """Stop a task."""
        self.call("POST", "/stop", {"names": [name]})

    def renew_tasks(self, names):
        """Renew the leases of tasks."""
        body = {"names": list(names), "lease_seconds": TASK_LEASE_SECONDS}
        self.call("POST", "/renew", body)


def parse_view(vms, tasks, unhealthy_since_by_vm, now):
    """Return the `PlatformView` of the platform's lists of VMs and tasks.

    Raises LookupError, TypeError or ValueError if the lists are malformed.
    """
    vm_by_name = {
        vm["name"]: PlatformVm(vm["name"], vm["healthy"], vm["boot_id"]) for vm in vms
    }
    since = {
        name: unhealthy_since_by_vm.get(name, now)
        for name, vm in vm_by_name.items()
        if not vm.healthy
    }
    task_by_name = {
        task["name"]: Task(task["name"], task["vm"], TaskState(task["state"]))
        for task in tasks
    }
    return PlatformView(vm_by_name, task_by_name, since)
