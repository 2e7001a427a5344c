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
from hingepitch.commandclient import CommandClient
from hingepitch.entry.balance import Balancer
from hingepitch.entry.caller import CallerApi
from hingepitch.entry.claim import Claimer
from hingepitch.entry.follower import Follower
from hingepitch.entry.proxy import Proxy
from hingepitch.entry.settings import EntrySettings
from hingepitch.group import GroupClient
from hingepitch.httpd import HttpServer, StatusResources, wait_until

__all__ = ["Entry", "main"]

#: Longest wait for requests in flight when the entry stops, in seconds.
FINISH_SECONDS = 30.0
SERVE_QUEUES_SECONDS = 0.25
CONTROL_CONNECTIONS = 16


class Entry(Application):
    """The entry daemon."""

    program = "entry"

    def setup(self):
        """Create and connect the components."""
        settings = self.settings
        self.is_leaving = False
        self.is_stopping = False
        self.metrics = self.make_metrics()
        self.group = CommandClient(
            settings.control,
            settings.name,
            settings.shared_key,
            connections=CONTROL_CONNECTIONS,
        )
        follower_group = GroupClient(
            settings.control, settings.name, settings.shared_key, timeout_seconds=2.0
        )
        self.follower = Follower(
            follower_group,
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
        """Start the supervised children and the HTTP server."""
        self.supervisor.start("follower", self.follower.run)
        self.supervisor.start("queues", self.serve_queues)
        self.listen("http", self.http)

    def serve_queues(self):
        """Serve the queues periodically.

        Slots also become free when minions are added, not only when requests
        end.
        """
        while True:
            gevent.sleep(SERVE_QUEUES_SECONDS)
            self.balancer.drop_removed_vms()
            for context in self.proxy.context_by_service.values():
                context.queue.serve()

    def drain(self):
        """Fail the health check, then refuse requests and finish those in flight."""
        self.is_leaving = True
        gevent.sleep(self.settings.drain_seconds)
        self.is_stopping = True
        wait_until(lambda: self.proxy.in_flight == 0, FINISH_SECONDS)

    def stop(self):
        """Stop the HTTP server."""
        if hasattr(self, "http"):
            self.http.stop()

    def is_healthy(self):
        """Whether an external load balancer should route callers here."""
        return not self.is_leaving and self.follower.has_lease()

    def status(self):
        """Return the status of this entry as JSON-serializable values."""
        return {
            "name": self.settings.name,
            "hall": self.settings.hall,
            "version": self.follower.version,
            "has_lease": self.follower.has_lease(),
            "in_flight": self.proxy.in_flight,
            "failing_children": self.supervisor.failing,
            "services": {
                name: {
                    "in_flight": context.in_flight,
                    "waiting": context.queue.waiting,
                    "minions": self.minion_status(name),
                }
                for name, context in self.proxy.context_by_service.items()
            },
        }

    def minion_status(self, service_name):
        """Return the health of the minions of a service, by VM."""
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
    """Run an entry, which forwards callers' requests to minions.

    :param settings: the settings file (YAML)
    :param check: validate the settings and exit
    """
    return run_daemon(Entry, EntrySettings, settings, check)


def main():
    """Entry point of `hingepitch-entry`."""
    run_command(run, "hingepitch-entry")
