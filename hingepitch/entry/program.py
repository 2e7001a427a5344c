"""
hingepitch.entry.program
~~~~~~~~~~~~~~~~~~~~~~~~

The entry: composition root and command line.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.patch import patch_program

patch_program()

import gevent

from hingepitch.app import Application, run_daemon
from hingepitch.cmdline import run_command
from hingepitch.entry.balance import Balancer
from hingepitch.entry.caller import CallerApi
from hingepitch.entry.claim import Claimer
from hingepitch.entry.follower import Follower
from hingepitch.entry.proxy import Proxy
from hingepitch.entry.settings import EntrySettings
from hingepitch.group import GroupClient
from hingepitch.httpd import HttpServer, StatusResources, wait_until

__all__ = ["Entry", "main"]

#: Time for the answers in flight when the entry stops.
FINISH_SECONDS = 30.0
SERVE_QUEUES_SECONDS = 0.25
CALLS_AT_ONCE = 16


class Entry(Application):
    """One entry, with all its parts."""

    program = "entry"

    def setup(self):
        """Wire the parts."""
        settings = self.settings
        self.is_leaving = False
        self.is_stopping = False
        self.metrics = self.make_metrics()
        self.group = GroupClient(
            settings.control,
            settings.name,
            settings.shared_key,
            connections=CALLS_AT_ONCE,
        )
        following = GroupClient(
            settings.control, settings.name, settings.shared_key, timeout_seconds=2.0
        )
        self.follower = Follower(
            following,
            settings.name,
            settings.hall,
            lambda: self.balancer.in_flight_by_vm(),
        )
        self.balancer = Balancer(
            lambda: self.follower.state,
            settings.hall,
            lambda vm_name: True,
            settings.seed,
        )
        self.proxy = Proxy(
            self.follower,
            self.balancer,
            Claimer(self.group, settings.name),
            self.metrics,
        )
        api = CallerApi(self.proxy, lambda: self.is_stopping, self.metrics).make()
        StatusResources(self.is_healthy, self.status, self.metrics).add_to(api)
        self.http = HttpServer(settings.http_address, api, settings.connections)

    def start(self):
        """Start the children and the server."""
        self.supervisor.start("follower", self.follower.run)
        self.supervisor.start("queues", self.serve_queues)
        self.listen("http", self.http)

    def serve_queues(self):
        """Serve the queues also when nothing ends: minions may have come."""
        while True:
            gevent.sleep(SERVE_QUEUES_SECONDS)
            self.balancer.forget_removed()
            for desk in self.proxy.desk_by_service.values():
                desk.queue.serve()

    def drain(self):
        """Let the balancer leave, refuse new work, finish what is in flight."""
        self.is_leaving = True
        gevent.sleep(self.settings.drain_seconds)
        self.is_stopping = True
        wait_until(lambda: self.proxy.in_flight == 0, FINISH_SECONDS)

    def stop(self):
        """Stop the server."""
        if hasattr(self, "http"):
            self.http.stop()

    def is_healthy(self):
        """Whether a balancer should send callers here."""
        return not self.is_leaving and self.follower.has_lease()

    def status(self):
        """Return the status of this entry as plain values."""
        return {
            "name": self.settings.name,
            "hall": self.settings.hall,
            "version": self.follower.version,
            "has_lease": self.follower.has_lease(),
            "in_flight": self.proxy.in_flight,
            "failing_children": self.supervisor.failing,
            "services": {
                name: {
                    "in_flight": desk.in_flight,
                    "waiting": desk.queue.waiting,
                    "minions": self.minion_status(name),
                }
                for name, desk in self.proxy.desk_by_service.items()
            },
        }

    def minion_status(self, service_name):
        """Return what this entry knows of the minions of a service."""
        known = self.balancer.health_by_service.get(service_name)
        if known is None:
            return {}
        return {
            vm_name: {
                "in_flight": health.in_flight,
                "limit": round(health.limit, 1),
                "success": round(health.success, 3),
            }
            for vm_name, health in known.health_by_vm.items()
        }


def run(*, settings: str, check: bool = False):
    """Run one entry: it takes callers' requests and carries them to minions.

    :param settings: the settings file (YAML)
    :param check: only say whether the settings are valid
    """
    return run_daemon(Entry, EntrySettings, settings, check)


def main():
    """Entry point of `hingepitch-entry`."""
    run_command(run, "hingepitch-entry")
