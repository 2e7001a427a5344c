"""
standin.simulation
~~~~~~~~~~~~~~~~~~

Simulates the platform and the minions on its VMs in one process. Counts
the requests that the minions ran and those that a stop interrupted.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.patch import patch_program

patch_program()

import json
import sys
import time
from collections import Counter, deque

import falcon
import gevent

from hingepitch.httpd import HttpServer

SNAPSHOT_INTERVAL_SECONDS = 0.02


class Behaviour:
    """How the minions of a VM answer; the keys of `/behave` set the attributes.

    `delay_ms`
        Delay of each answer. Default: 0.
    `status`
        HTTP status of each answer; from 500 on, tasks end as failed.
    `hang`
        Whether requests hang for an hour.
    `cut`
        Whether only the first half of the body is sent.
    """

    def __init__(self):
        self.delay_ms = 0
        self.status = 200
        self.hang = False
        self.cut = False


class StubVm:
    """A VM with the minions of its services, one on each port."""

    def __init__(self, simulation, name, ip, ports):
        self.simulation = simulation
        self.name = name
        self.ip = ip
        self.ports = ports
        self.boot = 1
        self.healthy = True
        self.is_unresponsive = False
        self.in_flight = 0
        self.behaviour = Behaviour()
        self.servers = []

    @property
    def boot_id(self):
        """Id of the current boot."""
        return f"{self.name}-boot-{self.boot}"

    def start(self):
        """Start the minions."""
        self.servers = [
            HttpServer(f"{self.ip}:{port}", self.serve, connections=4000)
            for port in self.ports
        ]
        for server in self.servers:
            server.start()

    def stop(self):
        """Stop the minions and count the interrupted requests."""
        if self.in_flight:
            self.simulation.cut += self.in_flight
        for server in self.servers:
            server.stop()
            server.pool.kill()

    def serve(self, environ, start_response):
        """Count a request and echo it as JSON, as `behaviour` says."""
        name = environ.get("HTTP_REQUEST_NAME", "")
        body = environ["wsgi.input"].read()
        self.simulation.ran_by_name[name] += 1
        self.simulation.ran_by_vm[self.name] += 1
        self.simulation.last_request_at_by_vm[self.name] = time.monotonic()
        behaviour = self.behaviour
        self.in_flight += 1
        try:
            if behaviour.hang:
                gevent.sleep(3600)
            if behaviour.delay_ms:
                gevent.sleep(behaviour.delay_ms / 1000)
        finally:
            self.in_flight -= 1
        answer = json.dumps(
            {"vm": self.name, "name": name, "echo": body.decode("latin-1")}
        ).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(answer))),
        ]
        start_response(f"{behaviour.status} Standin", headers)
        return [answer[: len(answer) // 2] if behaviour.cut else answer]


class Simulation:
    """The state of all VMs and tasks, and the counters.

    `document`
        Description that `Cluster.add_simulation` writes.
    """

    def __init__(self, document):
        self.lag_seconds = document["lag_seconds"]
        self.reboot_seconds = document["reboot_seconds"]
        self.vm_by_name = {
            vm["name"]: StubVm(self, vm["name"], vm["ip"], vm["ports"])
            for vm in document["vms"]
        }
        self.snapshots = deque()
        self.task_by_name = {}
        self.reboot_request_ids = set()
        self.reboots = []
        self.idle_before_reboot_by_vm = {}
        self.group_by_vm = {vm["name"]: vm["group"] for vm in document["vms"]}
        self.down_count_by_group = Counter()
        self.most_down_by_group = Counter()
        self.ran_by_name = Counter()
        self.ran_by_vm = Counter()
        self.last_request_at_by_vm = {}
        self.cut = 0

    def start(self):
        """Start the minions and the periodic update."""
        for vm in self.vm_by_name.values():
            vm.start()
        gevent.spawn(self.update_forever)

    def update_forever(self):
        """Record the VM list, drop lists that are too old and end tasks."""
        while True:
            now = time.monotonic()
            self.snapshots.append((now, self.list_vms()))
            while len(self.snapshots) > 1 and self.snapshots[1][0] <= (
                now - self.lag_seconds
            ):
                self.snapshots.popleft()
            self.end_tasks(now)
            gevent.sleep(SNAPSHOT_INTERVAL_SECONDS)

    def list_vms(self):
        """Return the current list of VMs."""
        return [
            {"name": vm.name, "healthy": vm.healthy, "boot_id": vm.boot_id}
            for vm in self.vm_by_name.values()
        ]

    def end_tasks(self, now):
        """End the tasks that are done or whose lease has expired."""
        for task in self.task_by_name.values():
            if task["state"] != "running":
                continue
            vm = self.vm_by_name[task["vm"]]
            if now >= task["lease_until"]:
                task["state"] = "expired"
            elif now >= task["done_at"] and vm.healthy and not vm.is_unresponsive:
                task["state"] = "failed" if vm.behaviour.status >= 500 else "done"

    def reboot(self, vm):
        """Reboot a VM; count how many VMs of its group are down at once."""
        last = self.last_request_at_by_vm.get(vm.name)
        if last is not None:
            self.idle_before_reboot_by_vm[vm.name] = time.monotonic() - last
        vm.healthy = False
        group = self.group_by_vm[vm.name]
        self.down_count_by_group[group] += 1
        self.most_down_by_group[group] = max(
            self.most_down_by_group[group], self.down_count_by_group[group]
        )
        vm.stop()
        gevent.sleep(self.reboot_seconds)
        vm.boot += 1
        vm.start()
        vm.healthy = True
        self.down_count_by_group[group] -= 1


class PlatformApi:
    """The platform's HTTP API, with endpoints that control the simulation."""

    def __init__(self, simulation):
        self.simulation = simulation

    def make(self):
        """Create the falcon application."""
        api = falcon.App()
        for path in (
            "vms",
            "tasks",
            "renew",
            "stop",
            "behave",
            "lose",
            "recover",
            "counts",
        ):
            api.add_route(f"/{path}", self, suffix=path)
        api.add_route("/vms/{name}/reboot", self, suffix="reboot")
        return api

    def on_get_vms(self, req, resp):
        """Return the list of VMs as it was `lag_seconds` ago."""
        resp.media = self.simulation.snapshots[0][1]

    def on_post_reboot(self, req, resp, name):
        """Reboot a VM, once for each request id."""
        request_id = req.get_media()["request_id"]
        if request_id not in self.simulation.reboot_request_ids:
            self.simulation.reboot_request_ids.add(request_id)
            self.simulation.reboots.append(name)
            gevent.spawn(self.simulation.reboot, self.simulation.vm_by_name[name])
        resp.media = {}

    def on_get_tasks(self, req, resp):
        """Return the state of every task."""
        resp.media = [
            {"name": name, "vm": task["vm"], "state": task["state"]}
            for name, task in self.simulation.task_by_name.items()
        ]

    def on_post_tasks(self, req, resp):
        """Start a task, once for each name."""
        body = req.get_media()
        now = time.monotonic()
        self.simulation.task_by_name.setdefault(
            body["name"],
            {
                "vm": body["vm"],
                "state": "running",
                "done_at": now + body["run_seconds"],
                "lease_until": now + body["lease_seconds"],
            },
        )
        resp.media = {}

    def on_post_renew(self, req, resp):
        """Renew the leases of tasks whose VM is healthy."""
        body = req.get_media()
        for name in body["names"]:
            task = self.simulation.task_by_name.get(name)
            vm = self.simulation.vm_by_name[task["vm"]] if task else None
            if vm is not None and vm.healthy and not vm.is_unresponsive:
                task["lease_until"] = time.monotonic() + body["lease_seconds"]
        resp.media = {}

    def on_post_stop(self, req, resp):
        """Stop the running tasks among those named."""
        for name in req.get_media()["names"]:
            task = self.simulation.task_by_name.get(name)
            if task and task["state"] == "running":
                task["state"] = "stopped"
        resp.media = {}

    def on_post_behave(self, req, resp):
        """Set the behaviour of the minions of a VM."""
        body = req.get_media()
        behaviour = self.simulation.vm_by_name[body.pop("vm")].behaviour
        for key, value in body.items():
            setattr(behaviour, key, value)
        resp.media = {}

    def on_post_lose(self, req, resp):
        """Make VMs unhealthy and unresponsive at once."""
        for name in req.get_media()["vms"]:
            vm = self.simulation.vm_by_name[name]
            vm.healthy = False
            vm.is_unresponsive = True
            vm.in_flight = 0
            vm.stop()
        resp.media = {}

    def on_post_recover(self, req, resp):
        """Bring lost VMs back with a new boot id."""
        for name in req.get_media()["vms"]:
            vm = self.simulation.vm_by_name[name]
            vm.boot += 1
            vm.is_unresponsive = False
            vm.start()
            vm.healthy = True
        resp.media = {}

    def on_get_counts(self, req, resp):
        """Return the counters."""
        simulation = self.simulation
        resp.media = {
            "ran": dict(simulation.ran_by_name),
            "ran_by_vm": dict(simulation.ran_by_vm),
            "reboots": simulation.reboots,
            "idle_before_reboot_by_vm": simulation.idle_before_reboot_by_vm,
            "most_down_by_group": dict(simulation.most_down_by_group),
            "cut": simulation.cut,
        }


def main():
    """Run the simulation that the JSON file named as argument describes."""
    with open(sys.argv[1], encoding="utf-8") as file:
        document = json.load(file)
    simulation = Simulation(document)
    simulation.start()
    HttpServer(
        document["address"], PlatformApi(simulation).make()
    ).server.serve_forever()


if __name__ == "__main__":
    main()
