"""
hingepitch.control.program
~~~~~~~~~~~~~~~~~~~~~~~~~~

The control replica: composition root and command line.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.patch import patch_program

patch_program()

from hingepitch.app import Application, run_daemon
from hingepitch.cmdline import run_command
from hingepitch.commandclient import CommandClient
from hingepitch.control.audit import AuditTrail
from hingepitch.control.handler import ControlHandler
from hingepitch.control.member import MemberChanger
from hingepitch.control.message import Member
from hingepitch.control.peer import PeerLinks
from hingepitch.control.reconciler import GroupReconciler
from hingepitch.control.replica import Replica
from hingepitch.control.roster import EntryRoster
from hingepitch.control.settings import ControlSettings
from hingepitch.control.storage import Storage, bootstrap_folder
from hingepitch.disk import Disk
from hingepitch.error import ExitCode, HingepitchError
from hingepitch.group import GroupClient
from hingepitch.httpd import HttpServer, StatusResources, wait_until
from hingepitch.jobs.roster import MinionRoster
from hingepitch.jobs.service import JobService
from hingepitch.peerregistry import PeerRegistry
from hingepitch.rpc import RpcServer
from hingepitch.setting import load_settings

__all__ = ["Control", "main"]

TRANSFER_SECONDS = 2.0
MEGABYTE = 1_000_000

#: Timeout of the calls that reconcile the group's membership.
RECONCILER_CALL_SECONDS = 0.4


class Control(Application):
    """The process of one replica of the control group."""

    program = "control"
    disk_class = Disk

    def setup(self):
        """Create and connect the components."""
        settings = self.settings
        self.disk = self.disk_class()
        self.metrics = self.make_metrics()
        self.metrics.probes.append(self.update_folder_metrics)
        self.roster = EntryRoster(settings.lease_seconds)
        self.replica = Replica(
            Storage(settings.data_folder, settings.name, self.disk),
            AuditTrail(
                settings.data_folder, self.disk, settings.audit_megabytes * MEGABYTE
            ),
            PeerLinks(settings.name, settings.shared_key),
            self.roster,
            self.address_of,
            settings.seed,
        )
        self.peer_registry = PeerRegistry(
            [settings.rpc_address, *(peer.address for peer in settings.peers)],
            settings.data_folder,
            self.disk,
        )
        self.peer_registry.load()
        self.group = CommandClient(
            self.peer_registry.addresses(), settings.name, settings.shared_key
        )
        self.reconciler = GroupReconciler(
            self.replica,
            self.peer_registry,
            self.make_group(RECONCILER_CALL_SECONDS),
            Member("", settings.name, settings.rpc_address, settings.hall, False),
            settings.voters,
            settings.halls_tolerated,
            settings.replacement_seconds,
        )
        self.minions = MinionRoster()
        self.jobs = JobService(
            self.replica, self.minions, self.reconciler, settings.name
        )
        handler = ControlHandler(self.replica, self.roster, self.jobs)
        self.rpc = RpcServer(settings.rpc_address, handler, settings.shared_key)
        self.members = MemberChanger(self.replica)
        api = self.make_api()
        StatusResources(self.is_healthy, self.status, self.metrics).add_to(api)
        self.http = HttpServer(settings.http_address, api)

    def make_group(self, seconds):
        """Return a client of the group whose calls time out after `seconds`."""
        settings = self.settings
        return GroupClient(
            self.peer_registry.addresses(), settings.name, settings.shared_key, seconds
        )

    def make_api(self):
        """Return the falcon application of this replica."""
        # Imported only here: building the operators' forms takes 0.1 s, which a
        # subclass with another API saves at its start.
        from hingepitch.control.operator import Authenticator, OperatorApi

        return OperatorApi(
            self.replica,
            self.roster,
            self.group,
            Authenticator(self.settings.operators),
            self.members,
        ).make()

    def start(self):
        """Start the servers, recover the state, and start the child greenlets.

        The servers start first: while the replica still waits for its data folder,
        it refuses calls, so that clients try another replica.
        """
        self.listen("rpc", self.rpc)
        self.listen("http", self.http)
        self.replica.open_when_possible(self.stopping)
        self.supervisor.start("replica", self.replica.run)
        self.supervisor.start("log writer", self.replica.write_in_background)
        self.supervisor.start("ticks", self.replica.tick)
        self.supervisor.start("book", self.refresh_peer_registry)
        self.supervisor.start("announcer", self.reconciler.announce)
        self.supervisor.start("keeper", self.reconciler.run)

    def refresh_peer_registry(self):
        """Keep the replicas' addresses up to date if members change automatically."""
        if self.settings.voters:
            self.peer_registry.refresh_forever(self.reconciler.group, self.group)

    def drain(self):
        """Transfer the leadership to another replica."""
        if self.replica.is_leader:
            self.replica.transfer_leadership()
            wait_until(lambda: not self.replica.is_leader, TRANSFER_SECONDS)

    def stop(self):
        """Stop the servers and close the data folder."""
        for name in ("http", "rpc"):
            if hasattr(self, name):
                getattr(self, name).stop()
        if hasattr(self, "replica"):
            self.replica.close()

    def address_of(self, identity):
        """Return the address of a replica, or None."""
        for member in self.replica.core.members:
            if member.identity == identity:
                return member.address
        name = identity.partition("~")[0]
        for peer in self.settings.peers:
            if peer.name == name:
                return peer.address
        return self.peer_registry.address_of(identity)

    def update_folder_metrics(self):
        """Set the metrics of the data folder and the audit trail."""
        replica = self.replica
        self.metrics.set(
            "storage_failed",
            "1 while the data folder cannot be written.",
            int(bool(replica.storage_fault)),
        )
        self.metrics.set(
            "log_unread",
            "1 while the state lacks an entry that cannot be read.",
            int(bool(replica.read_fault)),
        )
        self.metrics.set(
            "log_set_aside",
            "1 while files of a log that could not be read are kept.",
            int(bool(replica.storage.quarantined_files_reason)),
        )
        self.metrics.set(
            "audit_places_missing",
            "Places of the log whose audit records were found missing since the start.",
            replica.audit.missing_index_count,
        )

    def is_healthy(self):
        """Whether this replica knows a leader and can write and read its log."""
        replica = self.replica
        return (
            bool(replica.core.leader) and not replica.storage_fault + replica.read_fault
        )

    def status(self):
        """Return the status of this replica as plain values."""
        replica = self.replica
        now = replica.state.feed_by_name["routing"].version
        entries = {
            name: {
                "confirmed_version": status.confirmed_version,
                "in_flight_by_vm": status.in_flight_by_vm,
            }
            for name, status in self.roster.status_by_entry.items()
        }
        return {
            "name": self.settings.name,
            "hall": self.settings.hall,
            **self.members.status(),
            "version": replica.state.version,
            "routing_version": now,
            "applied_index": replica.applied_index,
            "commit_index": replica.core.commit_index,
            "last_index": replica.core.log.last_index,
            "snapshot_index": replica.storage.snapshot.index,
            "commands_applied": replica.commands_applied,
            "storage_fault": replica.storage_fault,
            "unread": replica.read_fault,
            "set_aside": replica.storage.quarantined_files_reason,
            "failing_children": self.supervisor.failing,
            "entries": entries,
        }


def init_data_folder(settings_path):
    """Create the data folder of an initial member; return the exit code."""
    try:
        settings = load_settings(ControlSettings, settings_path)
        members = tuple(
            Member(peer.name, peer.name, peer.address, peer.hall)
            for peer in settings.peers
        )
        bootstrap_folder(settings.data_folder, settings.name, members)
    except HingepitchError as error:
        print(error)
        bad = error.code == "bad_settings"
        return ExitCode.BAD_SETTINGS if bad else ExitCode.FAILED
    print(f"{settings.data_folder}: created for {settings.name}")
    return ExitCode.SUCCESS


def run(*, settings: str, check: bool = False, init: bool = False):
    """Run one replica of the control group.

    :param settings: the settings file (YAML)
    :param check: only check the settings, then exit
    :param init: create the data folder of an initial member, then exit; only
        to bootstrap a new group, never to replace a lost disk
    """
    if init:
        return init_data_folder(settings)
    return run_daemon(Control, ControlSettings, settings, check)


def main():
    """Entry point of `hingepitch-control`."""
    run_command(run, "hingepitch-control")
