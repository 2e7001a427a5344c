"""
standin.world
~~~~~~~~~~~~~

A stand-in for the platform and for the minions on its VMs, in one
process. It counts what really ran and what a reboot cut off.

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

SNAPSHOT_EVERY_SECONDS = 0.02


class Behaviour:
    """How a minion behaves; set through `/behave`."""

    def __init__(self):
        self.delay_ms = 0
        self.status = 200
        self.hang = False
        self.cut = False


class StandinVm:
    """One VM with the minions of its services."""

    def __init__(self, world, name, ip, ports):
        self.world = world
        self.name = name
        self.ip = ip
        self.ports = ports
        self.boot = 1
        self.healthy = True
        self.is_silent = False
        self.in_flight = 0
        self.behaviour = Behaviour()
        self.servers = []

    @property
    def boot_id(self):
        """Name of the present boot."""
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
        """Stop the minions, cutting off what is in flight."""
        if self.in_flight:
            self.world.cut += self.in_flight
        for server in self.servers:
            server.stop()
            server.pool.kill()

    def serve(self, environ, start_response):
        """Run one request and count it."""
        name = environ.get("HTTP_REQUEST_NAME", "")
        body = environ["wsgi.input"].read()
        self.world.ran_by_name[name] += 1
        self.world.ran_by_vm[self.name] += 1
        self.world.last_by_vm[self.name] = time.monotonic()
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


class World:
    """All VMs and tasks, and what was counted."""

    def __init__(self, document):
        self.lag_seconds = document["lag_seconds"]
        self.reboot_seconds = document["reboot_seconds"]
        self.vm_by_name = {
            vm["name"]: StandinVm(self, vm["name"], vm["ip"], vm["ports"])
            for vm in document["vms"]
        }
        self.snapshots = deque()
        self.task_by_name = {}
        self.reboots_seen = set()
        self.reboots = []
        self.idle_before_reboot_by_vm = {}
        self.group_by_vm = {vm["name"]: vm["group"] for vm in document["vms"]}
        self.down_now = Counter()
        self.most_down_by_group = Counter()
        self.ran_by_name = Counter()
        self.ran_by_vm = Counter()
        self.last_by_vm = {}
        self.cut = 0

    def start(self):
        """Start the minions and the clock of the world."""
        for vm in self.vm_by_name.values():
            vm.start()
        gevent.spawn(self.keep_time)

    def keep_time(self):
        """Take lagging snapshots and end tasks."""
        while True:
            now = time.monotonic()
            self.snapshots.append((now, self.show_vms()))
            while len(self.snapshots) > 1 and self.snapshots[1][0] <= (
                now - self.lag_seconds
            ):
                self.snapshots.popleft()
            self.end_tasks(now)
            gevent.sleep(SNAPSHOT_EVERY_SECONDS)

    def show_vms(self):
        """Return the list of VMs as it is now."""
        return [
            {"name": vm.name, "healthy": vm.healthy, "boot_id": vm.boot_id}
            for vm in self.vm_by_name.values()
        ]

    def end_tasks(self, now):
        """End the tasks that are done, or whose lease ran out."""
        for task in self.task_by_name.values():
            if task["state"] != "running":
                continue
            vm = self.vm_by_name[task["vm"]]
            if now >= task["lease_until"]:
                task["state"] = "expired"
            elif now >= task["done_at"] and vm.healthy and not vm.is_silent:
                task["state"] = "failed" if vm.behaviour.status >= 500 else "done"

    def reboot(self, vm):
        """Reboot a VM."""
        last = self.last_by_vm.get(vm.name)
        if last is not None:
            self.idle_before_reboot_by_vm[vm.name] = time.monotonic() - last
        vm.healthy = False
        group = self.group_by_vm[vm.name]
        self.down_now[group] += 1
        self.most_down_by_group[group] = max(
            self.most_down_by_group[group], self.down_now[group]
        )
        vm.stop()
        gevent.sleep(self.reboot_seconds)
        vm.boot += 1
        vm.start()
        vm.healthy = True
        self.down_now[group] -= 1


class PlatformApi:
    """The platform's HTTP API, and the knobs of the stand-in."""

    def __init__(self, world):
        self.world = world

    def make(self):
        """Return the falcon application."""
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
        """Answer the lagging list."""
        resp.media = self.world.snapshots[0][1]

    def on_post_reboot(self, req, resp, name):
        """Reboot a VM, once for each request id."""
        request_id = req.get_media()["request_id"]
        if request_id not in self.world.reboots_seen:
            self.world.reboots_seen.add(request_id)
            self.world.reboots.append(name)
            gevent.spawn(self.world.reboot, self.world.vm_by_name[name])
        resp.media = {}

    def on_get_tasks(self, req, resp):
        """Answer the tasks."""
        resp.media = [
            {"name": name, "vm": task["vm"], "state": task["state"]}
            for name, task in self.world.task_by_name.items()
        ]

    def on_post_tasks(self, req, resp):
        """Start a task, once for each name."""
        body = req.get_media()
        now = time.monotonic()
        self.world.task_by_name.setdefault(
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
        """Renew leases."""
        body = req.get_media()
        for name in body["names"]:
            task = self.world.task_by_name.get(name)
            vm = self.world.vm_by_name[task["vm"]] if task else None
            if vm is not None and vm.healthy and not vm.is_silent:
                task["lease_until"] = time.monotonic() + body["lease_seconds"]
        resp.media = {}

    def on_post_stop(self, req, resp):
        """Stop tasks."""
        for name in req.get_media()["names"]:
            task = self.world.task_by_name.get(name)
            if task and task["state"] == "running":
                task["state"] = "stopped"
        resp.media = {}

    def on_post_behave(self, req, resp):
        """Set the behaviour of the minions of a VM."""
        body = req.get_media()
        behaviour = self.world.vm_by_name[body.pop("vm")].behaviour
        for key, value in body.items():
            setattr(behaviour, key, value)
        resp.media = {}

    def on_post_lose(self, req, resp):
        """Lose VMs: they fall silent at once."""
        for name in req.get_media()["vms"]:
            vm = self.world.vm_by_name[name]
            vm.healthy = False
            vm.is_silent = True
            vm.in_flight = 0
            vm.stop()
        resp.media = {}

    def on_post_recover(self, req, resp):
        """Bring lost VMs back, booted anew."""
        for name in req.get_media()["vms"]:
            vm = self.world.vm_by_name[name]
            vm.boot += 1
            vm.is_silent = False
            vm.start()
            vm.healthy = True
        resp.media = {}

    def on_get_counts(self, req, resp):
        """Answer what was counted."""
        world = self.world
        resp.media = {
            "ran": dict(world.ran_by_name),
            "ran_by_vm": dict(world.ran_by_vm),
            "reboots": world.reboots,
            "idle_before_reboot_by_vm": world.idle_before_reboot_by_vm,
            "most_down_by_group": dict(world.most_down_by_group),
            "cut": world.cut,
        }


def main():
    """Run the world of the JSON file given as the argument."""
    with open(sys.argv[1], encoding="utf-8") as file:
        document = json.load(file)
    world = World(document)
    world.start()
    HttpServer(document["address"], PlatformApi(world).make()).server.serve_forever()


if __name__ == "__main__":
    main()
